"""What the sidecar tells of itself: metrics, events, the access log. All draw on the same counters."""

from __future__ import annotations

import asyncio
import json
import logging
import sys

import pytest
from prometheus_client.openmetrics.parser import text_string_to_metric_families

from sprucenotch import api, settings
from sprucenotch.node import log, metrics
from sprucenotch.node.telemetry import Histogram, Telemetry
from tests.sidecar import Seen, Sidecar, always_ok, endpoint, ok, request, run, sidecar, status


def scraped(node: Sidecar) -> dict[str, float]:
    """The samples by name and labels, as the reference parser reads them."""
    text = metrics.render(node.host.standing, node.host.budget).decode()
    return {
        " ".join((sample.name, *sample.labels.values())): sample.value
        for family in text_string_to_metric_families(text)  # type: ignore[no-untyped-call]
        for sample in family.samples
    }


def test_metrics_tell_what_telemetry_tells_and_more_of_the_same_requests() -> None:
    async def test() -> None:
        async def fails(seen: Seen) -> bytes:
            return status(500)

        async with endpoint(always_ok) as good, endpoint(fails) as bad, sidecar(good.dial, bad.dial) as node:
            client = await node.client()
            for _ in range(20):
                await client.ask(request())
            told, figures = scraped(node), node.host.standing.figures()
        for outcome, key in (("served", "passed"), ("refused", "dropped"), ("failed", "bad_gateway")):
            assert told[f"sprucenotch_requests_total read {outcome}"] == figures[key]["read"]
        assert told["sprucenotch_upstream_tries_total"] == figures["upstream_tries"]
        assert told["sprucenotch_attempts_total s-0 ok"] == len(good.seen) == figures["passed"]["read"]
        assert told["sprucenotch_attempts_total s-1 error"] == len(bad.seen) > 0
        assert told["sprucenotch_request_duration_seconds_count read"] == figures["passed"]["read"]
        assert told["sprucenotch_request_duration_seconds_bucket read 2.0"] == figures["passed"]["read"]
        assert told["sprucenotch_engines known"] == 2

    run(test())


def test_names_that_need_escaping_survive_the_text() -> None:
    async def test() -> None:
        async with sidecar("127.0.0.1:9") as node:
            odd = 'a "b"\\c\nd'
            node.host.telemetry.know([api.RequestClass(odd, 1000, 2000, 1.0)])
            assert scraped(node)[f"sprucenotch_requests_total {odd} served"] == 0

    run(test())


def test_each_latency_counts_in_the_buckets_from_its_bound_on() -> None:
    histogram = Histogram((10, 20))
    for took in (10, 11, 20, 21):
        histogram.observe(took)
    assert (histogram.counts, histogram.sum) == ([1, 2, 1], 62)


def test_every_listed_engine_is_counted_by_itself_and_no_attempt_is_lost() -> None:
    told, listed = Telemetry(), {number.to_bytes(8, "big") for number in range(2048)}
    first, unlisted = (0).to_bytes(8, "big"), (2048).to_bytes(8, "big")
    told.keep_engines(listed)
    for engine in listed:
        told.attempt_ended(engine, api.Outcome.OK, 5)
    assert told.by_engine.keys() == listed and not sum(told.other_engines)
    told.attempt_ended(unlisted, api.Outcome.OK, 5)  # so that what is counted grows no further than the list
    assert told.by_engine.keys() == listed and sum(told.other_engines) == 1
    told.keep_engines({first})
    counted = sum(map(sum, told.by_engine.values())) + sum(told.other_engines)
    assert (len(told.by_engine), counted, told.mean_ok()) == (1, 2049, 5)


def told_by(formatter: logging.Formatter, caplog: pytest.LogCaptureFixture) -> str:
    [record] = caplog.records
    return formatter.format(record)


def test_an_event_is_an_object_for_programs_and_a_line_for_people(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO):
        log.event(logging.getLogger("sprucenotch.node.x"), logging.INFO, "moved", to="a b", name=0.123456)
    told = json.loads(told_by(log.JsonLines(), caplog))
    assert (told["event"], told["part"], told["level"], told["to"]) == ("moved", "x", "info", "a b")
    assert told_by(log.TextLines(), caplog)[9:] == 'info    moved to="a b" name=0.123'


def test_a_fault_keeps_its_trace_within_its_line(caplog: pytest.LogCaptureFixture) -> None:
    try:
        raise ValueError("why")
    except ValueError:
        caplog.handler.handle(
            logging.LogRecord("sprucenotch.x", logging.ERROR, "", 0, "fault", (), sys.exc_info())
        )
    line = told_by(log.JsonLines(), caplog)
    assert "ValueError: why" in json.loads(line)["exception"] and "\n" not in line


def test_the_level_goes_up_and_back_to_that_of_the_configuration() -> None:
    before = logging.getLogger("sprucenotch").level
    try:
        log.configure_logging(settings.Log(level="warning"))
        log.toggle_debug("warning")
        assert log.level() == "debug"
        log.toggle_debug("warning")
        assert log.level() == "warning"
    finally:
        log.ROOT.setLevel(before)
        log.ROOT.handlers.clear()
        log.ROOT.propagate = True


def test_the_access_log_is_spread_evenly_bounded_and_counts_what_it_passes_over() -> None:
    access, second = log.AccessLog(4), 10**9
    wanted = [now for now in range(0, 3 * second, second // 100) if access.wants(now)]
    assert wanted == list(range(0, 3 * second, second // 4))


def test_the_access_log_says_what_became_of_a_request(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async def slow(seen: Seen) -> bytes:
            await asyncio.sleep(0)
            return ok()

        async with endpoint(slow) as served, sidecar(served.dial, log={"access_per_s": 1}) as node:
            client = await node.client()
            for _ in range(3):
                await client.ask(request("post"))

    with caplog.at_level(logging.INFO, "sprucenotch.access"):
        run(test())
    [fields] = (record.__dict__["fields"] for record in caplog.records if record.message == "request")
    kept = {name: fields[name] for name in ("cls", "outcome", "attempts", "engine", "passed_over")}
    assert kept == {"cls": "post", "outcome": "served", "attempts": 1, "engine": "s-0", "passed_over": 0}
    assert fields["took_ms"] >= fields["attempt_ms"] > 0

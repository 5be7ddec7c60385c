"""Metrics, events and the access log. All use the same counters."""

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


def scrape(node: Sidecar) -> dict[str, float]:
    """Return the samples by name and labels, as read by the reference parser."""
    text = metrics.render(node.host.status_report, node.host.budget).decode()
    return {
        " ".join((sample.name, *sample.labels.values())): sample.value
        for family in text_string_to_metric_families(text)  # type: ignore[no-untyped-call]
        for sample in family.samples
    }


def test_metrics_agree_with_telemetry() -> None:
    async def test() -> None:
        async def fails(seen: Seen) -> bytes:
            return status(500)

        async with endpoint(always_ok) as good, endpoint(fails) as bad, sidecar(good.dial, bad.dial) as node:
            client = await node.client()
            for _ in range(20):
                await client.ask(request())
            samples, figures = scrape(node), node.host.status_report.figures()
        for outcome, key in (("served", "passed"), ("refused", "dropped"), ("failed", "bad_gateway")):
            assert samples[f"sprucenotch_requests_total read {outcome}"] == figures[key]["read"]
        assert samples["sprucenotch_upstream_tries_total"] == figures["upstream_tries"]
        assert samples["sprucenotch_attempts_total s-0 ok"] == len(good.seen) == figures["passed"]["read"]
        assert samples["sprucenotch_attempts_total s-1 error"] == len(bad.seen) > 0
        assert samples["sprucenotch_request_duration_seconds_count read"] == figures["passed"]["read"]
        assert samples["sprucenotch_request_duration_seconds_bucket read 2.0"] == figures["passed"]["read"]
        assert samples["sprucenotch_engines known"] == 2

    run(test())


def test_label_values_are_escaped() -> None:
    async def test() -> None:
        async with sidecar("127.0.0.1:9") as node:
            odd = 'a "b"\\c\nd'
            node.host.telemetry.register_classes([api.RequestClass(odd, 1000, 2000, 1.0)])
            assert scrape(node)[f"sprucenotch_requests_total {odd} served"] == 0

    run(test())


def test_latency_is_counted_in_bucket_with_inclusive_bound() -> None:
    histogram = Histogram((10, 20))
    for took in (10, 11, 20, 21):
        histogram.observe(took)
    assert (histogram.counts, histogram.sum) == ([1, 2, 1], 62)


def test_listed_engines_are_counted_separately_and_no_attempt_is_lost() -> None:
    telemetry, listed = Telemetry(), {number.to_bytes(8, "big") for number in range(2048)}
    first, unlisted = (0).to_bytes(8, "big"), (2048).to_bytes(8, "big")
    telemetry.set_listed_engines(listed)
    for engine in listed:
        telemetry.attempt_ended(engine, api.Outcome.OK, 5)
    assert telemetry.by_engine.keys() == listed and not sum(telemetry.other_engines)
    telemetry.attempt_ended(unlisted, api.Outcome.OK, 5)  # counted in sum, so the memory is bounded
    assert telemetry.by_engine.keys() == listed and sum(telemetry.other_engines) == 1
    telemetry.set_listed_engines({first})
    counted = sum(map(sum, telemetry.by_engine.values())) + sum(telemetry.other_engines)
    assert (len(telemetry.by_engine), counted, telemetry.mean_ok()) == (1, 2049, 5)


def formatted(formatter: logging.Formatter, caplog: pytest.LogCaptureFixture) -> str:
    [record] = caplog.records
    return formatter.format(record)


def test_event_is_formatted_as_json_or_as_text(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO):
        log.event(logging.getLogger("sprucenotch.node.x"), logging.INFO, "moved", to="a b", name=0.123456)
    record = json.loads(formatted(log.JsonLines(), caplog))
    assert (record["event"], record["part"], record["level"], record["to"]) == ("moved", "x", "info", "a b")
    assert formatted(log.TextLines(), caplog)[9:] == 'info    moved to="a b" name=0.123'


def test_exception_trace_stays_within_one_json_line(caplog: pytest.LogCaptureFixture) -> None:
    try:
        raise ValueError("why")
    except ValueError:
        caplog.handler.handle(
            logging.LogRecord("sprucenotch.x", logging.ERROR, "", 0, "fault", (), sys.exc_info())
        )
    line = formatted(log.JsonLines(), caplog)
    assert "ValueError: why" in json.loads(line)["exception"] and "\n" not in line


def test_toggle_switches_level_to_debug_and_back() -> None:
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


def test_access_log_samples_evenly_at_its_rate() -> None:
    access, second = log.AccessLog(4), 10**9
    logged = [now for now in range(0, 3 * second, second // 100) if access.should_log(now)]
    assert logged == list(range(0, 3 * second, second // 4))


def test_access_log_line_has_outcome_of_request(caplog: pytest.LogCaptureFixture) -> None:
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
    [fields] = (record.__dict__["fields"] for record in caplog.records if record.getMessage() == "request")
    kept = {name: fields[name] for name in ("cls", "outcome", "attempts", "engine", "passed_over")}
    assert kept == {"cls": "post", "outcome": "served", "attempts": 1, "engine": "s-0", "passed_over": 0}
    assert fields["took_ms"] >= fields["attempt_ms"] > 0

"""New settings with requests in flight: which requests they apply to, and which files are rejected."""

from __future__ import annotations

import asyncio
import copy
import json
import math
from pathlib import Path
from typing import Any

import pytest

from sprucenotch import api
from sprucenotch.api import Effect, Outcome
from sprucenotch.node import config
from sprucenotch.node.config import ConfigError
from sprucenotch.node.reload import Reload
from sprucenotch.policy.admission import USER_LEVELS
from tests.helpers import MS, SECOND, Bench, request_class, settings
from tests.sidecar import (
    SETTINGS,
    Seen,
    Sidecar,
    always_ok,
    configuration,
    endpoint,
    never,
    ok,
    request,
    run,
    sidecar,
    status,
)

CHEAP = request_class(name="cheap", worth=1.0)
MIDDLE = request_class(name="middle", worth=5.0)
DEAR = request_class(name="dear", worth=8.0)


def retune(b: Bench, *classes: api.RequestClass, **changes: Any) -> None:
    assert b.give(api.Retuned(settings(*classes, **changes))) == []


# ---- the balancer


def test_request_in_flight_keeps_its_class_and_later_one_gets_the_new() -> None:
    b = Bench(settings(CHEAP, MIDDLE, max_attempts=3))
    b.balancer.budget = 5.0
    sent = b.sent(1)
    retune(b, request_class(name="middle", worth=5.0, effect=Effect.UNSAFE), max_attempts=1)
    [again] = b.answer(sent, Outcome.RESET)
    assert isinstance(again, api.Send)  # it arrived when its class was safe to retry, with three attempts
    later = b.sent(0)
    assert isinstance(b.answer(later, Outcome.RESET)[0], api.Fail)  # it may have run, and is unsafe now
    once = b.sent(0)
    assert isinstance(b.answer(once, Outcome.CONNECT_FAILED)[0], api.Refuse)  # one attempt is allowed now


def test_learned_values_follow_the_class_name() -> None:
    b = Bench(settings(CHEAP, MIDDLE))
    for kind, mean in zip(b.balancer.class_states, (20 * MS, 70 * MS), strict=True):
        kind.mean = kind.base = mean
    retune(b, DEAR, MIDDLE, CHEAP)
    assert [k.mean for k in b.balancer.class_states] == [0.0, 70 * MS, 20 * MS]
    assert [k.business_level for k in b.balancer.class_states] == [2, 1, 0]


def test_learned_engine_state_is_kept() -> None:
    b = Bench(settings(CHEAP, MIDDLE))
    member = b.balancer.engines.members[b.sent(0).endpoint]
    member.ejected_until, member.ejections, member.relative_latency = b.now + SECOND, 2, 3.0
    retune(b, MIDDLE)
    assert b.balancer.engines.members[member.id] is member
    assert (member.in_flight, member.ejections, member.relative_latency) == (1, 2, 3.0)
    assert b.balancer.attempts_in_flight == 1


def test_cut_and_histogram_move_with_class_levels() -> None:
    b = Bench(settings(CHEAP, DEAR))
    b.balancer.admission.cut = USER_LEVELS + 32.0  # the whole cheap class, a quarter of the dear one
    b.balancer.admission.histogram = {5: 2.0, USER_LEVELS + 7: 3.0}
    b.balancer.admission.keyless_arrivals = [40.0, 10.0]
    retune(b, CHEAP, MIDDLE, DEAR)
    assert (
        b.balancer.admission.cut == 2 * USER_LEVELS + 32.0
        and b.balancer.admission.max_level == 3 * USER_LEVELS
    )
    assert b.balancer.admission.histogram == {5: 2.0, 2 * USER_LEVELS + 7: 3.0}
    assert b.balancer.admission.keyless_arrivals == [40.0, 0.0, 10.0]
    retune(b, CHEAP, MIDDLE)  # the class at the cut was removed
    assert b.balancer.admission.cut == 0.0 and b.balancer.admission.keyless_arrivals == [40.0, 0.0]


def test_zero_cut_stays_zero_when_cheaper_class_is_added() -> None:
    b = Bench(settings(MIDDLE, DEAR))
    retune(b, CHEAP, MIDDLE, DEAR)
    assert b.balancer.admission.cut == 0.0
    assert isinstance(b.ask(0), api.Send)


def test_same_settings_change_nothing() -> None:
    b = Bench(settings(CHEAP, DEAR))
    b.sent(0, key=7)
    b.balancer.admission.cut = 130.0
    before = copy.deepcopy(
        {k: v for k, v in vars(b.balancer).items() if k in ("histogram", "keyless_arrivals", "cut")}
    )
    retune(b, CHEAP, DEAR)
    assert {k: getattr(b.balancer, k) for k in before} == before


def test_shortened_aim_keeps_estimates_in_range() -> None:
    b = Bench(settings(request_class(name="c", aim=800 * MS)))
    b.balancer.class_states[0].mean = b.balancer.class_states[0].base = 100.0 * MS
    under_way = b.sent(0)
    retune(b, request_class(name="c", aim=100 * MS))
    b.tick()
    b.answer(under_way, took=300 * MS)
    for _ in range(5):
        b.tick()
        assert abs(b.balancer.pressure) <= 2 and b.balancer.overload_threshold > 0


# ---- the file


def file_with_settings(**changes: Any) -> dict[str, Any]:
    file: dict[str, Any] = json.loads(json.dumps(configuration("127.0.0.1:9")))
    file["settings"] |= changes
    return file


def file_with_category(**changes: Any) -> dict[str, Any]:
    return file_with_settings(Categories=[SETTINGS["Categories"][0], SETTINGS["Categories"][1] | changes])


def file_without(*path: Any) -> dict[str, Any]:
    file = file_with_settings()
    part: Any = file
    for key in path[:-1]:
        part = part[key]
    del part[path[-1]]
    return file


BROKEN_FILES: list[Any] = [
    "", "{", "[]", "null", json.dumps(configuration("127.0.0.1:9"))[:-40],
    *(file_without(key) for key in ("settings", "discovery", "listen", "limits", "known", "seed")),
    *(file_without("settings", key) for key in ("Categories", "Limits", "Discovery")),
    file_without("settings", "Limits", "MaxAttempts"),
    *(file_without("settings", "Categories", 1, key)
      for key in ("Name", "Effect", "HardLimitNs", "LateWorth")),
    *(file_with_category(HardLimitNs=bad) for bad in (0, -1, True, "9", None, math.nan, math.inf)),
    *(file_with_category(AimNs=bad) for bad in (0, True, math.nan)),
    *(file_with_settings(Limits=SETTINGS["Limits"] | {"MaxAttempts": bad})
      for bad in (0, -2, True, "3", None, math.nan, math.inf)),
    file_with_category(Name="read"), file_with_category(Name=""), file_with_settings(Categories=[]),
]  # fmt: skip


@pytest.mark.parametrize("broken", BROKEN_FILES)
def test_broken_file_is_rejected_whole_and_next_good_one_is_applied(
    broken: Any, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "config.json"
    monkeypatch.setenv("PROXY_CONFIG", str(file))

    async def test() -> None:
        async with sidecar("127.0.0.1:9") as node:
            reload = Reload(node.config, node.host, node.frontend, node.discovery)
            file.write_text(broken if isinstance(broken, str) else json.dumps(broken))
            reload.begin()
            figures = node.host.status_report.figures()
            assert (figures["loads"], figures["load_errors"]) == (0, 1)
            assert reload.config is node.config and not any(isinstance(e, api.Retuned) for e in node.events)
            file.write_text(json.dumps(configuration("127.0.0.1:9")))
            reload.begin()
            figures = node.host.status_report.figures()
            assert (figures["loads"], figures["load_errors"]) == (1, 1)

    run(test())


def test_missing_file_counts_as_load_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("PROXY_CONFIG", raising=False)

    async def test() -> None:
        async with sidecar("127.0.0.1:9") as node:
            Reload(node.config, node.host, node.frontend, node.discovery).begin()
            assert node.host.status_report.figures()["load_errors"] == 1

    run(test())


def test_optional_key_may_disappear_and_others_may_not() -> None:
    before = config.parse(file_with_category(AimStretch=0.5))
    config.parse(file_with_settings()).check_complete(before)
    with pytest.raises(ConfigError, match=r"Categories\[1\].LateWorth"):
        config.parse(file_without("settings", "Categories", 1, "LateWorth")).check_complete(before)


# ---- the sidecar


NEW_CLASSES = [
    {"Name": "fresh", "Effect": "fragile", "AimNs": 2_000_000_000, "HardLimitNs": 5_000_000_000,
     "Importance": 3, "LateWorth": 0.5},
    {"Name": "post", "Effect": "retryable", "AimNs": 2_000_000_000, "HardLimitNs": 9_000_000_000,
     "Importance": 8, "LateWorth": 0.5},
]  # fmt: skip


def swap(node: Sidecar, dial: str) -> None:
    file = configuration(dial, settings=SETTINGS | {"Categories": NEW_CLASSES})
    new_config = config.parse(json.loads(json.dumps(file)))
    node.frontend.retune(new_config)
    node.host.retune(new_config)


def test_classes_are_added_and_removed_with_requests_in_flight() -> None:
    go_on = asyncio.Event()

    async def held(seen: Seen) -> bytes:
        await go_on.wait()
        return ok(seen.headers[b"req-kind"])

    async def test() -> None:
        async with endpoint(held) as served, sidecar(served.dial) as node:
            leaving, half, coming = [await node.client() for _ in range(3)]
            leaving.writer.write(request("read"))
            await served.arrived.wait()
            whole = request("read", body=b"body")
            half.writer.write(whole[:-2])
            while not any(c._head_received for c in node.frontend._connections):
                await asyncio.sleep(0.01)
            swap(node, served.dial)
            go_on.set()
            assert (await leaving.answer())[2] == b"read"
            assert (await half.ask(whole[-2:]))[0] == 400  # it was not accepted yet
            fresh = request("post").replace(b"Req-Kind: post", b"Req-Kind: fresh")
            assert (await coming.ask(fresh))[2] == b"fresh"
            assert (await coming.ask(request("read")))[0] == 400
            assert (await coming.ask(request("post")))[0] == 405  # safe to retry now, so it must be a GET
            figures = node.host.status_report.figures()
            assert figures["passed"] == {"read": 1, "post": 0, "fresh": 1}

    run(test())


def test_request_keeps_its_max_attempts() -> None:
    async def test() -> None:
        async with endpoint(never) as one, endpoint(always_ok) as other, sidecar(one.dial) as node:
            node.host._balancer.budget = 5.0
            client = await node.client()
            client.writer.write(request("read"))
            await one.arrived.wait()
            file = configuration(
                one.dial,
                settings=SETTINGS | {"Limits": SETTINGS["Limits"] | {"MaxAttempts": 1}},
            )
            node.host.retune(config.parse(json.loads(json.dumps(file))))
            known = {"seq": 2, "whole": True, "hosts": file["known"]["hosts"][:0]}
            hosts = json.loads(json.dumps(configuration(one.dial, other.dial)["known"]["hosts"]))
            node.host.learn(config.host_list(known | {"hosts": hosts}, node.config.names), api.ListKind.FULL)
            [attempt] = [r.attempt for r in node.host._open.values()]
            assert attempt is not None
            attempt.abandon(Outcome.RESET)
            assert (await client.answer())[0] == 200  # a second attempt, at the other engine

    run(test())


def test_upload_in_progress_keeps_its_class() -> None:
    async def declining(seen: Seen) -> bytes:
        return status(503, b"Srv-Declined: 1")

    async def test() -> None:
        async with endpoint(declining) as served, sidecar(served.dial) as node:
            client = await node.client()
            raw = request("post", body=b"x" * 100_000)
            client.writer.write(raw[:50_000])
            while not node.host._open:
                await asyncio.sleep(0.01)
            new_config = config.parse(
                json.loads(json.dumps(configuration(settings=SETTINGS | {"Categories": NEW_CLASSES[:1]})))
            )
            node.frontend.retune(new_config)
            node.host.retune(new_config)
            assert (await client.ask(raw[50_000:]))[0] == 503
            assert node.host.status_report.figures()["dropped"] == {"read": 0, "post": 1, "fresh": 0}

    run(test())

"""The watch on the list in the on-request mode: the order of calls after each kind of failure."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

import pytest

from sprucenotch import api
from sprucenotch.node import config, discovery
from sprucenotch.policy.discovery import MAX_GAP, CallSchedule
from sprucenotch.policy.state import HOUR, SECOND
from tests.sidecar import (
    SETTINGS,
    Endpoint,
    Seen,
    always_ok,
    endpoint,
    entry,
    never,
    ok,
    request,
    run,
    sidecar,
    status,
)
from tests.test_leaving import LateConnections

ASKED = SETTINGS | {"Discovery": "on_request"}


def list_answer(seq: int, *hosts: dict[str, Any]) -> bytes:
    return ok(json.dumps({"seq": seq, "whole": False, "hosts": hosts}).encode())


async def wait_for_calls(service: Endpoint, number: int) -> list[str]:
    """Wait for `number` calls; return the queries of all calls so far."""
    while len(service.seen) < number:
        service.arrived.clear()
        await service.arrived.wait()
    return [seen.line.split()[1].decode().partition("?")[2] for seen in service.seen]


FAILED, SILENT = api.ListKind.FAILED, api.ListKind.SILENT


def failed(event: api.Event) -> bool:
    return isinstance(event, api.EndpointList) and event.kind == FAILED


def silent(event: api.Event) -> bool:
    return isinstance(event, api.EndpointList) and event.kind == SILENT


def test_silent_watch_timeouts_fit_within_deadline() -> None:
    """Checks the formulas documented next to the constants, with the longest answer time that they allow."""
    answer, drain, gap = 1.9, 0.5, MAX_GAP / SECOND
    assert discovery.MAX_HOLD * discovery.MIN_HOLD_SHARE >= 4
    assert discovery.HOLD_TIMEOUT_MARGIN + gap + answer <= discovery.SILENT_WATCH_DEADLINE + drain
    assert discovery.CONNECT_TIMEOUT + gap < discovery.SILENT_WATCH_DEADLINE


def test_silent_watch_is_reopened_at_once_and_missed_drain_is_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The new call has no hold."""
    monkeypatch.setattr(discovery, "MAX_HOLD", 0.05)
    monkeypatch.setattr(discovery, "MIN_HOLD_SHARE", 1.0)

    async def test() -> None:
        async def script(seen: Seen) -> bytes:
            if len(service.seen) == 1:
                return list_answer(1)
            if len(service.seen) == 3:
                return list_answer(2, entry("s-0", served.dial, "draining"))
            return await never(seen)

        async with (
            endpoint(always_ok) as served,
            endpoint(script) as service,
            sidecar(served.dial, discovery=service.dial, settings=ASKED) as node,
        ):
            node.discovery.watch(True)
            assert (await wait_for_calls(service, 4))[:4] == [
                "from=1&hold_ms=0", "from=1&hold_ms=50", "from=1&hold_ms=0", "from=2&hold_ms=50",
            ]  # fmt: skip
            assert not any(map(failed, node.events))
            client = await node.client()
            assert (await client.ask(request()))[0] == 503 and served.seen == []

    run(test())


def test_call_refused_after_silent_watch_is_retried(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "MAX_HOLD", 0.05)
    monkeypatch.setattr(discovery, "HOLD_TIMEOUT_MARGIN", 0.05)

    async def test() -> None:
        async def script(seen: Seen) -> bytes:
            if len(service.seen) == 1:
                return list_answer(1)
            return await never(seen) if len(service.seen) == 2 else status(503)

        async with (
            endpoint(script) as service,
            sidecar("127.0.0.1:9", discovery=service.dial, settings=ASKED) as node,
        ):
            node.discovery.watch(True)
            assert (await wait_for_calls(service, 5))[2:5] == ["from=1&hold_ms=0"] * 3
            kinds = [e.kind for e in node.events if isinstance(e, api.EndpointList)]
            assert kinds.index(SILENT) < kinds.index(FAILED)

    run(test())


def test_unanswered_call_stays_open_and_its_late_answer_is_applied() -> None:
    """The service may be slow rather than hung; a call made anew would start at the end of its queue."""

    async def test() -> None:
        second = asyncio.Event()

        async def script(seen: Seen) -> bytes:
            if len(service.seen) == 1:
                await second.wait()
                return list_answer(2, ENTRY)
            second.set()
            return await never(seen)

        async with (
            endpoint(script) as service,
            sidecar("127.0.0.1:9", discovery=service.dial, settings=ASKED) as node,
        ):
            node.discovery._response_timeout = 0.05
            node.discovery.watch(True)
            await node.event(silent)
            await node.event(lambda e: getattr(e, "kind", None) == api.ListKind.DELTA)
            assert not service.seen[0].left.is_set()

    run(test())


def test_late_answer_after_failed_call_starts_a_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The balancer takes an answer for the start of a watch, so it schedules no call of its own."""
    monkeypatch.setattr(CallSchedule, "start", lambda self, now, settings: HOUR)
    monkeypatch.setattr(CallSchedule, "failed", lambda self, now, settings: HOUR)

    async def test() -> None:
        refused = asyncio.Event()

        async def script(seen: Seen) -> bytes:
            if len(service.seen) == 1:
                await refused.wait()
                return list_answer(2, ENTRY)
            return status(503) if len(service.seen) == 2 else await never(seen)

        async with (
            endpoint(script) as service,
            sidecar("127.0.0.1:9", discovery=service.dial, settings=ASKED) as node,
        ):
            node.discovery._response_timeout = 0.05
            node.discovery.watch(True)
            await node.event(failed)
            refused.set()
            watch = (await wait_for_calls(service, 3))[2]
            assert watch.startswith("from=2&") and not watch.endswith("hold_ms=0")

    run(test())


def test_refused_or_reset_watch_is_rescheduled_by_the_balancer() -> None:
    """Discovery refuses or is down; if all sidecars called again at once, it would not recover."""

    async def test() -> None:
        for answer in (status(503), None):

            async def script(seen: Seen, answer: bytes | None = answer) -> bytes | None:
                return list_answer(1) if len(service.seen) == 1 else answer

            async with (
                endpoint(script) as service,
                sidecar("127.0.0.1:9", discovery=service.dial, settings=ASKED) as node,
            ):
                node.discovery.watch(True)
                await node.event(failed)
                first, watch = await wait_for_calls(service, 2)
                assert first == "from=1&hold_ms=0"
                assert 14_000 <= int(watch.removeprefix("from=1&hold_ms=")) <= 20_000
                assert (await wait_for_calls(service, 3))[2] == "from=1&hold_ms=0"

    run(test())


ENTRY = entry("s-1", "127.0.0.1:9")
ODD: list[Any] = [[], {}, [[]], None, 1e400, -1e400, "", "x" * 200, "\ud800", 10**30, True]


@pytest.mark.parametrize("change", [{key: value} for key in ENTRY for value in ODD])
def test_host_list_with_odd_value_is_accepted_or_raises_value_error(change: dict[str, Any]) -> None:
    """A ValueError counts as a failed call; any other exception would end the watch for good."""
    with contextlib.suppress(ValueError):
        config.host_list({"seq": 1, "whole": True, "hosts": [ENTRY | change]}, config.Names({}, {}))


@pytest.mark.parametrize("pushed", [False, True])
def test_watch_ended_by_exception_counts_as_failed_and_list_is_requested_again(pushed: bool) -> None:
    async def script(seen: Seen) -> bytes:
        at = seen.line.partition(b"from=")[2].partition(b"&")[0]
        return list_answer(1 + len(service.seen), ENTRY) if at == b"1" else await never(seen)

    service: Endpoint

    async def test() -> None:
        nonlocal service
        settings = SETTINGS if pushed else ASKED
        async with (
            endpoint(script) as service,
            sidecar("127.0.0.1:9", discovery=service.dial, settings=settings) as node,
        ):
            learn, faults = node.host.learn, [1, 2]

            def planted(host_list: config.HostList, kind: int) -> None:
                if faults:
                    raise KeyError(faults.pop())
                learn(host_list, kind)

            node.host.learn = planted  # type: ignore[method-assign]
            node.discovery.watch(True)
            for number in (1, 2):
                if not pushed:
                    await node.event(failed, number)
                    node.discovery.watch(True)  # as the balancer does, after a delay
            await node.event(lambda e: isinstance(e, api.EndpointList) and e.kind == api.ListKind.DELTA)
            assert {call.partition("&")[0] for call in await wait_for_calls(service, 3)} >= {"from=1"}

    run(test())


def test_moved_discovery_is_called_at_once_without_open_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A watch has failed and the balancer delays the next call, here forever. Changes at the new address must
    be applied soon."""
    monkeypatch.setattr(CallSchedule, "start", lambda self, now, settings: HOUR)
    monkeypatch.setattr(CallSchedule, "failed", lambda self, now, settings: HOUR)

    async def refuses(seen: Seen) -> bytes:
        return status(503)

    async def test() -> None:
        async with (
            endpoint(refuses) as old,
            endpoint(never) as new,
            sidecar("127.0.0.1:9", discovery=old.dial, settings=ASKED) as node,
        ):
            node.discovery.watch(True)
            await node.event(failed)
            node.discovery.change_address(config.address(new.dial))
            await new.arrived.wait()
            assert len(old.seen) == 1

    run(test())


def test_drain_in_first_answer_stops_attempt_that_is_connecting() -> None:
    """The process sends by an outdated list; the drain arrives while the connection is being opened."""

    async def test() -> None:
        asked = asyncio.Event()

        async def script(seen: Seen) -> bytes:
            if len(service.seen) > 1:
                return await never(seen)
            await asked.wait()
            return list_answer(2, entry("s-0", served.dial, "draining"))

        async with (
            endpoint(always_ok) as served,
            endpoint(script) as service,
            sidecar(served.dial, discovery=service.dial, settings=ASKED) as node,
        ):
            connections = LateConnections(node)
            node.discovery.watch(True)
            client = await node.client()
            client.writer.write(request())
            await connections.coming.wait()
            asked.set()
            await node.event(lambda e: getattr(e, "kind", None) == api.ListKind.DELTA)
            connections.release.set()
            assert (await client.answer())[0] == 503 and served.seen == []
            assert (await wait_for_calls(service, 1))[0] == "from=1&hold_ms=0"

    run(test())

"""Rules checked at run time: each violation is counted by rule and logged."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

import pytest

from sprucenotch import api
from sprucenotch.api import ListKind, Outcome
from sprucenotch.node import config, metrics
from sprucenotch.node.attempt import Attempt
from sprucenotch.node.pool import Pool
from sprucenotch.node.rules import MAX_SEND_DELAY_NS, CloseReason, Rule
from tests.sidecar import (
    Seen,
    always_ok,
    dead_dial,
    endpoint,
    entry,
    never,
    ok,
    request,
    run,
    sidecar,
    status,
)


def test_send_to_draining_server_is_counted_and_logged(monkeypatch: pytest.MonkeyPatch) -> None:
    """The regular check before sending is disabled here."""
    events: list[dict[str, Any]] = []
    monkeypatch.setattr(
        "sprucenotch.node.rules.event", lambda log, level, name, **fields: events.append(fields)
    )
    monkeypatch.setattr(Pool, "accepts", lambda self, connection: True)

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            original = Attempt.start

            def drains_first(self: Attempt) -> None:
                hosts = {"seq": 2, "whole": False, "hosts": [entry("s-0", served.dial, "draining")]}
                node.host.upstream.update_hosts(config.host_list(hosts, node.config.names).hosts, whole=False)
                original(self)

            monkeypatch.setattr(Attempt, "start", drains_first)
            client = await node.client()
            assert (await client.ask(request(id=b"9b1f")))[0] == 200
            assert node.host.telemetry.violations[Rule.SENT_WITHDRAWN] == 1
            text = metrics.render(node.host.status_report, node.host.budget)
            assert b'rule_violations_total{rule="sent to a server that drains or is gone"} 1' in text

    run(test())
    [fields] = events
    assert (fields["rule"], fields["req_id"]) == (Rule.SENT_WITHDRAWN.value, "9b1f")


def test_send_delayed_beyond_tolerance_is_counted() -> None:
    """The delay is between the decision and the write; up to the tolerance it is not counted."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            for held_up, broken in (
                (MAX_SEND_DELAY_NS - 100_000_000, 0),
                (MAX_SEND_DELAY_NS + 100_000_000, 1),
            ):
                before, sent = node.host.now, node.host.rules.sent

                def late(asked, pool, now, sent=sent, held_up=held_up):  # type: ignore[no-untyped-def]
                    sent(asked, pool, now + held_up)

                node.host.rules.sent = late  # type: ignore[method-assign]
                client = await node.client()
                assert (await client.ask(request()))[0] == 200
                node.host.rules.sent, node.host.now = sent, before  # type: ignore[method-assign]
                assert node.host.telemetry.violations[Rule.SENT_DEADLINE] == broken

    run(test())


def test_unsafe_request_that_may_have_run_is_not_resent_despite_decision() -> None:
    async def test() -> None:
        async def breaks(seen: Seen) -> None:
            return None

        async with endpoint(breaks) as served, sidecar(served.dial) as node:
            handle = node.host._balancer.handle

            def always_again(now: int, event: api.Event) -> list[api.Action]:
                actions = handle(now, event)
                if isinstance(event, api.Completed) and event.outcome == Outcome.RESET:
                    return [api.Send(event.id, event.endpoint, 0), *actions]
                return actions

            node.host._balancer.handle = always_again  # type: ignore[method-assign]
            client = await node.client()
            assert (await client.ask(request("post")))[0] == 502
            assert len(served.seen) == 1
            assert node.host.telemetry.violations[Rule.REPEATED_HARMFUL] == 1

    run(test())


def test_close_with_pending_answer_is_counted() -> None:
    async def test() -> None:
        async with endpoint(never) as served, sidecar(served.dial) as node:
            client = await node.client()
            client.writer.write(request())
            await served.arrived.wait()
            [connection] = node.frontend._connections
            connection.close_connection(CloseReason.ROOM)
            assert node.host.telemetry.violations[Rule.CLOSED_OWED] == 1

    run(test())


def test_closes_refusals_and_retries_are_counted_without_violation() -> None:
    async def test() -> None:
        answers = iter([status(503, b"Srv-Declined: 1"), ok(), status(500)])

        async def answered(seen: Seen) -> bytes:
            return next(answers)

        async with endpoint(answered) as one, sidecar(one.dial) as node:
            hosts = {"seq": 2, "whole": False, "hosts": [entry("s-1", one.dial)]}
            node.host.learn(config.host_list(hosts, node.config.names), ListKind.DELTA)
            node.host._balancer.budget = 5.0
            client = await node.client()
            assert (await client.ask(request()))[0] == 200
            assert (await client.ask(request("post", extra=b"Connection: close\r\n")))[0] == 502
            assert await client.ended()
            telemetry = node.host.telemetry
            assert telemetry.retries == {Outcome.FULL: 1}
            assert telemetry.refusals[api.Reason.MAY_HAVE_RUN] == 1
            assert telemetry.client_closes[CloseReason.LAST_ANSWER] == 1
            assert telemetry.violations.total() == 0

    run(test())


def test_accepting_clients_before_list_is_known_is_counted() -> None:
    async def test() -> None:
        async with sidecar() as node:
            node.host.rules.started(node.host.may_take_clients)
            assert node.host.telemetry.violations[Rule.STARTED_UNINFORMED] == 1

    run(test())


def test_early_timer_does_not_accept_clients_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """Found by the hunt (seeds 6 and 24), with discovery down at the start: 1 ms too early."""

    async def test() -> None:
        async with sidecar(dead_dial()) as node:
            waits = 0

            async def early(waited: Coroutine[Any, Any, Any], timeout: float) -> None:
                nonlocal waits
                waits += 1
                waited.close()
                late = -1_000_000 if waits == 1 else 0
                node.host.now = lambda: node.host._start_deadline + late
                raise TimeoutError

            monkeypatch.setattr("sprucenotch.node.host.asyncio.wait_for", early)
            await node.host.wait_until_may_take_clients()
            assert waits == 2 and node.host.may_take_clients

    run(test())

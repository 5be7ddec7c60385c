"""Requests that never become whole give way to those that do, if connections or memory run out."""

from __future__ import annotations

import asyncio

import pytest

from sprucenotch.node import frontend
from sprucenotch.node.rules import CloseReason
from sprucenotch.node.stream import ANSWER_RESERVATION, MAX_BUFFERED_BODY_SIZE
from sprucenotch.policy import incomplete
from sprucenotch.policy.incomplete import (
    MAX_UNREAD_HEAD_WAIT,
    MAX_USUAL_ARRIVAL,
    MAX_USUAL_START,
    MIN_USUAL_ARRIVAL,
    UNREAD_HEAD_WAIT,
    choose_to_give_up,
    seconds_until_choice,
)
from tests.sidecar import WAIT, always_ok, endpoint, request, run, sidecar

MAX_CLIENTS = 4
HALF_HEAD = request()[:-2]
ENDLESS_FIELD = HALF_HEAD + b"X-Long: " + b"x" * 40_000
HALF_BODY = request("post", body=b"b" * 60_000)[:-30_000]
HALF_UPLOAD = request("post", body=b"u" * 200_000)[:-100_000]


def test_request_that_has_been_arriving_for_longest_is_given_up() -> None:
    young, old, oldest = 0.01, MAX_USUAL_ARRIVAL, 2.0
    assert choose_to_give_up([young, oldest, old]) == 1
    assert choose_to_give_up([young, old]) == 1
    assert choose_to_give_up([young]) is None and choose_to_give_up([]) is None
    assert seconds_until_choice([young]) == pytest.approx(MAX_USUAL_ARRIVAL - 0.01)
    assert seconds_until_choice([young, old]) == 0.0 and seconds_until_choice([]) == 0.0


# Guards against: new connections wait behind a crowd for longer than their time.
def test_patience_with_incomplete_requests_is_shorter_while_others_have_been_waiting() -> None:
    young, waiting = MIN_USUAL_ARRIVAL, MAX_USUAL_ARRIVAL
    assert choose_to_give_up([young]) is None and choose_to_give_up([young], waiting / 2) is None
    assert choose_to_give_up([young], waiting) == 0
    assert choose_to_give_up([young / 2], waiting) is None
    assert seconds_until_choice([young / 2], waiting) == pytest.approx(young / 2)


# Guards against: incomplete requests hold all connections, and new clients are closed unread.
@pytest.mark.parametrize("half", [HALF_HEAD, HALF_BODY, HALF_UPLOAD])
def test_new_client_is_served_where_incomplete_requests_hold_all_connections(half: bytes) -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            node.frontend._max_connections = MAX_CLIENTS
            slow = [await node.client() for _ in range(MAX_CLIENTS)]
            for client in slow:
                client.writer.write(half)
            while sum(c.incomplete for c in node.frontend._connections) < MAX_CLIENTS:
                await asyncio.sleep(0.001)
            oldest = next(iter(node.frontend._connections))
            oldest._request_began_at -= MAX_USUAL_ARRIVAL
            code, _, _ = await (await node.client()).ask(request())
            assert code == 200
            assert (await slow[0].answer())[0] == 503  # harmless to repeat: it was never whole
            assert node.host.telemetry.events["incomplete_given_up"] == 1
            assert not node.host.telemetry.violations.total()

    run(test())


# Guards against: the same, while all of them are too young to be given up.
def test_new_client_waits_until_an_incomplete_request_may_be_given_up() -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            node.frontend._max_connections = MAX_CLIENTS
            slow = [await node.client() for _ in range(MAX_CLIENTS)]
            for client in slow:
                client.writer.write(HALF_HEAD)
            while sum(c.incomplete for c in node.frontend._connections) < MAX_CLIENTS:
                await asyncio.sleep(0.001)
            assert 0 < node.frontend.seconds_until_room() <= MAX_USUAL_ARRIVAL
            assert 0 <= node.frontend._waiting_for < MAX_USUAL_ARRIVAL
            assert (await (await node.client()).ask(request()))[0] == 200
            assert not node.host.telemetry.violations.total()

    run(test())


def test_others_wait_for_unused_connections_and_unread_heads_too() -> None:
    young = MAX_USUAL_START / 2
    assert seconds_until_choice([], unused_for=[0.0, young]) == pytest.approx(MAX_USUAL_START - young)
    assert seconds_until_choice([0.0], unused_for=[young]) == pytest.approx(MAX_USUAL_START - young)
    assert seconds_until_choice([], unused_for=[MAX_USUAL_START]) == 0.0
    assert seconds_until_choice([], unread_heads=True) == UNREAD_HEAD_WAIT
    assert seconds_until_choice([], MAX_UNREAD_HEAD_WAIT, unread_heads=True) == 0.0


# Guards against: connections with input that does not end hold all slots, and new clients are closed unread.
def test_new_client_is_served_where_unreadable_input_holds_all_connections() -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            node.frontend._max_connections = MAX_CLIENTS
            endless = [await node.client() for _ in range(MAX_CLIENTS)]
            for client in endless:
                client.writer.write(ENDLESS_FIELD)
            while sum(c.refused_unreadable for c in node.frontend._connections) < MAX_CLIENTS:
                await asyncio.sleep(0.001)
            for connection in node.frontend._connections:
                connection._unread = lambda: True  # type: ignore[method-assign]  # more has come
            assert (await (await node.client()).ask(request()))[0] == 200
            assert not node.host.telemetry.violations.total()

    run(test())


def test_unreadable_input_that_does_not_end_is_discarded_only_for_a_while() -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            client = await node.client()
            with pytest.raises(ConnectionError):
                while True:
                    client.writer.write(ENDLESS_FIELD)
                    await client.writer.drain()
            assert node.host.telemetry.client_closes[CloseReason.UNREADABLE] == 1

    run(test())


# Guards against: a new client is closed to make room, in the moment between its connect and its request.
def test_connections_whose_first_request_is_about_to_come_are_not_closed_for_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for module in (frontend, incomplete):
        monkeypatch.setattr(module, "MAX_USUAL_START", WAIT)

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            node.frontend._max_connections = MAX_CLIENTS
            clients = [await node.client() for _ in range(MAX_CLIENTS)]
            while len(node.frontend._connections) < MAX_CLIENTS:
                await asyncio.sleep(0.001)
            assert node.frontend.seconds_until_room() > 0
            answer = asyncio.ensure_future((await node.client()).ask(request()))
            for client in clients:
                assert (await client.ask(request()))[0] == 200
            assert (await answer)[0] == 200

    run(test())


# Guards against: incomplete requests hold all memory, and complete ones are refused.
@pytest.mark.parametrize("half", [HALF_BODY, HALF_UPLOAD])
def test_request_gets_the_memory_of_one_that_stays_incomplete(half: bytes) -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            node.host.budget.max_bytes = MAX_BUFFERED_BODY_SIZE + ANSWER_RESERVATION
            slow, client = await node.client(), await node.client()
            slow.writer.write(half)
            while not any(c.holds_memory for c in node.frontend._connections):
                await asyncio.sleep(0.001)
            [holder] = (c for c in node.frontend._connections if c.holds_memory)
            assert (await client.ask(request("post", body=b"x" * 60_000)))[0] == 503  # it may be whole soon
            holder._request_began_at -= MAX_USUAL_ARRIVAL
            assert (await client.ask(request("post", body=b"x" * 60_000)))[0] == 200
            assert (await slow.answer())[0] == 503

    run(test())

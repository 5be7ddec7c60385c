"""Rare orders of events at the sockets, each made to happen: what comes between two steps of the program."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest

from sprucenotch import api
from sprucenotch.api import Outcome
from sprucenotch.node import upstream
from sprucenotch.node.attempt import Attempt
from sprucenotch.node.connection import Connection
from sprucenotch.node.frontend import ClientConnection
from sprucenotch.node.listener import bound, listening
from tests.sidecar import SETTINGS, Seen, accepting, always_ok, endpoint, never, ok, request, run, sidecar
from tests.test_leaving import LateConnections, completed
from tests.test_retuning import swap
from tests.test_stream import Handler, hangs, raw


def test_a_second_answer_that_comes_late_is_not_taken_for_that_of_the_next_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It comes once the next request has been decided on, and that one is sent to the same endpoint."""
    monkeypatch.setattr(upstream, "REST", 200_000_000)

    async def test() -> None:
        decided = asyncio.Event()

        async def answers_twice(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ok(b"first"))
            await decided.wait()
            writer.write(ok(b"first, again"))
            if await reader.read():
                writer.write(ok(b"second"))

        async def answers(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if opened:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(ok(b"second"))
            else:
                opened.append(True)
                await answers_twice(reader, writer)

        opened: list[bool] = []
        async with raw(answers) as dial, sidecar(dial) as node:
            client = await node.client()
            assert await client.ask(request()) == (200, {b"content-length": b"5"}, b"first")
            client.writer.write(request())
            while not any(one.attempt for one in node.host._open.values()):
                await asyncio.sleep(0)
            decided.set()
            assert (await client.answer())[2] == b"second"

    run(test())


def test_what_comes_late_after_a_stop_is_answered_before_the_process_is_killed() -> None:
    """A client goes on sending on a connection that stayed open, and the engine hangs beyond that time."""

    async def test() -> None:
        async with endpoint(never) as hangs, sidecar(hangs.dial) as node:
            client = await node.client()
            node.frontend.draining = True
            node.host.drain()
            client.writer.write(request(deadline="9"))
            await hangs.arrived.wait()
            assert float(hangs.seen[0].headers[b"req-deadline"]) <= 3.0 + 0.7 - 0.1
            [one] = node.host._open.values()
            assert one.deadline_timer is not None
            left = one.deadline_timer.when() - node.host._loop.time()
            assert round(left * 1000) <= 3600  # the loop counts whole milliseconds, in floats

    run(test())


def test_settings_taken_up_while_a_body_comes_do_not_leave_its_request_with_a_laxer_effect() -> None:
    """It came as one that may not run twice; by its end its class may, and has another method."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            client = await node.client()
            whole = request("post", body=b"body")
            client.writer.write(whole[:-2])
            while not any(c._headed for c in node.frontend._connections):
                await asyncio.sleep(0)
            swap(node, served.dial)
            assert (await client.ask(whole[-2:]))[0] == 405 and served.seen == []
            assert node.host.budget.used == 0

    run(test())


def test_a_crash_in_one_action_leaves_neither_its_request_nor_any_other_unanswered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            client, other = await node.client(), await node.client()
            with monkeypatch.context() as planted:
                planted.setattr(Attempt, "start", lambda self: 1 / 0)
                assert (await client.ask(request("post", deadline="0.1")))[0] == 503  # it never ran
            assert (await other.ask(request()))[0] == 200
            assert (await client.ask(request()))[0] == 200

    run(test())


def test_a_deadline_that_comes_a_moment_early_sends_nothing_more() -> None:
    """Timers count in milliseconds, the decisions in nanoseconds: a moment is left, another engine idle."""

    async def test() -> None:
        async with endpoint(never) as one, endpoint(never) as other, sidecar(one.dial, other.dial) as node:
            client = await node.client()
            client.writer.write(request())
            while not one.seen and not other.seen:
                await asyncio.sleep(0)
            [asked] = node.host._open.values()
            assert asked.deadline_timer is not None
            asked.deadline_timer.cancel()
            node.host._at_deadline(asked)
            assert (await client.answer())[0] == 503  # safe to repeat
            assert not node.host._open and len(one.seen) + len(other.seen) == 1

    run(test())


def test_what_never_went_out_by_its_deadline_never_ran() -> None:
    """Its connection has not come up: a request that may not run twice is refused, not failed."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            connections = LateConnections(node)
            client = await node.client()
            client.writer.write(request("post", deadline="0.1"))
            assert (await client.answer())[0] == 503
            connections.let.set()
            assert (await node.event(completed)).outcome == Outcome.CONNECT_FAILED and served.seen == []

    run(test())


KEYED = SETTINGS | {
    "Categories": [
        SETTINGS["Categories"][0]
        | {"Name": "post", "Effect": "dedup", "KeyScope": "cell", "WindowNs": 3_000_000_000}
    ],
    "Limits": SETTINGS["Limits"] | {"MaxAttempts": 2},
}


@pytest.mark.parametrize("late", [False, True])
def test_a_repeat_goes_out_within_the_window_in_which_it_is_dropped_or_not_at_all(late: bool) -> None:
    """It was decided within it, and its connection comes up later."""

    async def test() -> None:
        async def breaks(seen: Seen) -> None:
            connections.let.clear()  # that of the next attempt comes up once it is let
            return None

        async with (
            endpoint(breaks) as one,
            endpoint(breaks) as other,
            sidecar(one.dial, other.dial, settings=KEYED) as node,
        ):
            connections = LateConnections(node)
            connections.let.set()
            client = await node.client()
            client.writer.write(request("post", extra=b"Idempotency-Key: k\r\n"))
            await node.event(completed)
            [asked] = node.host._open.values()
            assert asked.attempts == 2 and len(one.seen) + len(other.seen) == 1
            if late:
                past = node.host.now() + 4_000_000_000
                node.host.upstream.now = lambda: past
            connections.let.set()
            assert (await client.answer())[0] == 502
            assert len(one.seen) + len(other.seen) == 2 - late

    run(test())


def established(connection: Connection) -> bool:
    """Whether neither side has ended its sending, by the kernel."""
    assert connection._transport is not None
    told = connection._transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return bool(told[0] == 1)


async def answers_nonsense(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"this is no answer\r\n")
    await reader.read()


@pytest.mark.parametrize("engine", [hangs, answers_nonsense])
def test_an_attempt_that_ends_is_off_before_the_decisions_can_send_another(engine: Handler) -> None:
    """Timed out or answered with nonsense: no moment in which two attempts of the request are out."""

    async def test() -> None:
        async with raw(engine) as dial, sidecar(dial) as node:
            out: list[tuple[int, bool]] = []
            handle = node.host._balancer.handle

            def watched(now: int, event: api.Event) -> list[api.Action]:
                if isinstance(event, api.Completed):
                    out.append((event.outcome, established(connection)))
                return handle(now, event)

            node.host._balancer.handle = watched  # type: ignore[method-assign]
            client = await node.client()
            client.writer.write(request())
            while not any(one.attempt and one.attempt._whole for one in node.host._open.values()):
                await asyncio.sleep(0)
            [asked] = node.host._open.values()
            assert asked.attempt is not None and asked.attempt._connection is not None
            connection = asked.attempt._connection
            if engine is hangs:
                asked.attempt.abandon(Outcome.TIMEOUT)
            while not out:
                await asyncio.sleep(0)
            assert out[0] == (Outcome.TIMEOUT if engine is hangs else Outcome.ERROR, False)

    run(test())


def test_connections_that_wait_to_be_taken_as_the_listener_closes_are_taken_and_answered() -> None:
    """The loop stands still over the end of the time for new connections, and clients come meanwhile."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            loop = asyncio.get_running_loop()
            listener = await listening(await bound(("127.0.0.1", 0), shared=True))
            acceptor = accepting(node, listener)
            address = listener.getsockname()
            clients = [socket.create_connection(address) for _ in range(20)]
            for one in clients:
                one.sendall(request())  # from here on the sidecar's machine has it
            await acceptor.close()
            for one in clients:
                one.setblocking(False)
                assert (await loop.sock_recv(one, 1000)).startswith(b"HTTP/1.1 200")
                one.close()
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(address)

    run(test())


def test_of_more_that_wait_than_are_allowed_each_has_room_made_for_it_in_turn() -> None:
    """Idle clients fill the queue: what is kept of the descriptors for other uses stays free, and the most
    holds again at once."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            loop = asyncio.get_running_loop()
            frontend = node.frontend
            frontend._max_connections, opened = 4, frontend.opened
            held: list[int] = []

            def counted(connection: ClientConnection) -> None:
                held.append(len(os.listdir("/proc/self/fd")))
                opened(connection)

            frontend.opened = counted  # type: ignore[method-assign]
            listener = await listening(await bound(("127.0.0.1", 0), shared=True))
            acceptor = accepting(node, listener)
            crowd = [socket.create_connection(listener.getsockname()) for _ in range(40)]
            asking = socket.create_connection(listener.getsockname())
            asking.sendall(request())
            asking.setblocking(False)
            before = len(os.listdir("/proc/self/fd"))
            await acceptor.close()
            assert (await loop.sock_recv(asking, 1000)).startswith(b"HTTP/1.1 200")
            assert len(held) == 41 and max(held) <= before + 2 * frontend._max_connections
            assert len(frontend._connections) <= frontend._max_connections
            for one in (asking, *crowd):
                one.close()

    run(test())

"""When descriptors run short, only connections are closed whose close loses nothing.

Guards against two faults: `Frontend._closable` offered, as its last choice, connections that had sent part
of a head, however young; and a single failed `socket` call closed a client, whereas `accept` waits for a
second failure. With requests arriving in pieces and `socket` failing with EMFILE, two or three of 20 clients
were reset in their first request (`short, request 0: ConnectionResetError` in the process test below).
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import itertools
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from sprucenotch.node import transport
from sprucenotch.node.acceptor import ROOM_CHECK_INTERVAL
from sprucenotch.node.config import Address
from sprucenotch.node.frontend import MIN_UNUSED_AGE
from sprucenotch.testbed.syscalls import SHORT, Call, Rule
from tests.failing_calls import mixed_load_failures, needs_compiler, sized_answer_sidecar
from tests.sidecar import Client, Sidecar, always_ok, endpoint, request, run, sidecar
from tests.test_stream import CHUNKED, Peer, post_head


@contextlib.contextmanager
def failing_sockets(count: int) -> Iterator[None]:
    """Let the next `count` calls of socket fail with EMFILE."""
    left, make = [count], transport._connect_socket

    async def connected(family: int, target: Address) -> socket.socket:
        if left[0]:
            left[0] -= 1
            raise OSError(errno.EMFILE, "planted")
        return await make(family, target)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(transport, "_connect_socket", connected)
        yield


HALF = len(request()) // 2


async def client_with_half_request(node: Sidecar) -> Client:
    """Return a client whose first request has been sent and read by half."""
    known = len(node.frontend._connections)
    client = await node.client()
    client.writer.write(request()[:HALF])
    while len(node.frontend._connections) == known or not list(node.frontend._connections)[-1]._reading:
        await asyncio.sleep(0)
    return client


async def completes_request(client: Client) -> bool:
    return (await client.ask(request()[HALF:]))[0] == 200


def test_client_with_a_partial_first_request_is_not_closed_to_free_a_descriptor() -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            client = await client_with_half_request(node)
            node.frontend.free_descriptor()
            await asyncio.sleep(0)
            assert await completes_request(client)

    run(test())


def test_client_with_a_partial_first_request_is_not_closed_at_the_client_limit() -> None:
    """The new connection waits in the kernel's queue; nobody loses a request."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            clients = [await client_with_half_request(node) for _ in range(3)]
            for connection in node.frontend._connections:
                connection._request_began_at += 1000  # they stay young, however slow this machine is
            node.frontend._max_connections = 3
            newcomer = await node.client()
            newcomer.writer.write(request())
            await asyncio.sleep(3 * ROOM_CHECK_INTERVAL)
            assert len(node.frontend._connections) == 3
            for client in clients:
                assert await completes_request(client)
            assert (await newcomer.answer())[0] == 200

    run(test())


def test_client_that_just_connected_is_not_closed_to_free_a_descriptor() -> None:
    """Its request may be about to arrive. One that stays silent for a while is closed."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            client = await node.client()
            while not node.frontend._connections:
                await asyncio.sleep(0)
            [taken] = node.frontend._connections
            node.frontend.free_descriptor()
            assert not taken.closing
            taken._accepted_at -= MIN_UNUSED_AGE
            node.frontend.free_descriptor()
            assert await client.ended()

    run(test())


def test_single_failed_socket_call_closes_no_idle_client() -> None:
    """As with accept, a single failure may be transient."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            node.host.upstream.free_descriptor = node.frontend.free_descriptor
            idle = await node.client()
            assert (await idle.ask(request()))[0] == 200
            served.close_all()
            with failing_sockets(1):
                assert (await (await node.client()).ask(request()))[0] == 200
            assert (await idle.ask(request()))[0] == 200
            served.close_all()
            with failing_sockets(2):
                assert (await (await node.client()).ask(request()))[0] == 200
            assert await idle.ended()

    run(test())


@needs_compiler
def test_no_split_request_is_lost_while_socket_calls_fail(tmp_path: Path) -> None:
    """Every second read returns a single byte, and every third call of socket fails."""

    async def test() -> None:
        for error in (errno.EMFILE, errno.ENFILE):
            folder = tmp_path / errno.errorcode[error]
            folder.mkdir()
            async with sized_answer_sidecar(folder) as node:
                node.control.fail(Rule(Call.READ, SHORT, 2))
                node.control.fail(Rule(Call.SOCKET, error, 3))
                assert await mixed_load_failures(node, idle_may_close=True) == []
                assert node.control.failed(Call.SOCKET) > 0

    run(test())


# Guards against: new clients wait in the queue for seconds, as one is accepted for each turn of a busy loop.
def test_queued_clients_are_accepted_together_while_there_is_room() -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            waiting = [socket.socket() for _ in range(10)]
            for client in waiting:  # without a turn of the loop in between
                client.connect(("127.0.0.1", node.port))
            counts = list[int]()
            while not counts or counts[-1] < len(waiting):
                await asyncio.sleep(0)
                counts.append(len(node.frontend._connections))
            steps = [after - before for before, after in itertools.pairwise([0, *counts]) if after > before]
            assert steps == [len(waiting)]
            for client in waiting:
                client.close()

    run(test())


# Guards against: all of a refused body in tiny chunks is parsed, only to find where it ends.
def test_refused_body_without_a_length_ends_its_connection() -> None:
    peer = Peer()
    peer.host.budget.max_bytes = 0
    peer.host.count_memory_refusal = lambda incoming: None  # type: ignore[attr-defined]
    peer.feed(post_head(CHUNKED) + b"1\r\nx\r\n" * 100)
    assert peer.output.startswith(b"HTTP/1.1 503 ") and b"Connection: close\r\n" in peer.output
    assert peer.connection._discarding and peer.connection.lingering

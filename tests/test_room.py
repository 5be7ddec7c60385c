"""Room for descriptors that run short is made by connections whose close loses nothing.

What happened: `socket` failed with EMFILE while requests came in pieces, and two or three of 20 clients were
reset in their first request. Why: the last choice of `Frontend._spare` took any connection of which a part of
a head had been read, however young; and one failed `socket` sufficed to close a client, where `accept` waits
for a second. What showed it: `short, request 0: ConnectionResetError` in the test of a process below, and a
client with half a head read that is closed as soon as room is asked for.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from sprucenotch.node import transport
from sprucenotch.node.config import Address
from sprucenotch.node.frontend import MIN_UNUSED_AGE
from sprucenotch.rig.syscalls import SHORT, Call, Rule
from tests.failing_calls import failures_of_a_mixed_load, needs_compiler, serving_sizes
from tests.sidecar import Client, Sidecar, always_ok, endpoint, request, run, sidecar


@contextlib.contextmanager
def failing_sockets(count: int) -> Iterator[None]:
    """So many calls to socket fail for want of descriptors, one after the other."""
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


async def half_asked(node: Sidecar) -> Client:
    """A client that has sent half of its first request, which has been read."""
    known = len(node.frontend._connections)
    client = await node.client()
    client.writer.write(request()[:HALF])
    while len(node.frontend._connections) == known or not list(node.frontend._connections)[-1]._reading:
        await asyncio.sleep(0)
    return client


async def gets_its_answer(client: Client) -> bool:
    return (await client.ask(request()[HALF:]))[0] == 200


def test_a_client_in_the_middle_of_its_first_request_makes_no_room() -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            client = await half_asked(node)
            node.frontend.make_room()
            await asyncio.sleep(0)
            assert await gets_its_answer(client)

    run(test())


def test_nor_does_it_where_the_most_clients_are_there_and_another_comes() -> None:
    """The newcomer, of which nothing is read, is closed in its place."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            clients = [await half_asked(node) for _ in range(3)]
            node.frontend._max_connections = 3
            assert await (await node.client()).ended()
            for client in clients:
                assert await gets_its_answer(client)

    run(test())


def test_nor_does_a_client_that_has_just_connected() -> None:
    """Its request is on its way. One that has said nothing for a while makes room."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            client = await node.client()
            while not node.frontend._connections:
                await asyncio.sleep(0)
            [taken] = node.frontend._connections
            node.frontend.make_room()
            assert not taken.closing
            taken._accepted_at -= MIN_UNUSED_AGE
            node.frontend.make_room()
            assert await client.ended()

    run(test())


def test_one_socket_that_cannot_be_made_closes_no_idle_client() -> None:
    """As with accept: one failure may pass by itself."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            node.host.upstream.make_room = node.frontend.make_room
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
def test_no_request_in_pieces_is_lost_where_sockets_cannot_be_made(tmp_path: Path) -> None:
    """One of two reads moves a single byte, and one of three calls to socket fails."""

    async def test() -> None:
        for error in (errno.EMFILE, errno.ENFILE):
            folder = tmp_path / errno.errorcode[error]
            folder.mkdir()
            async with serving_sizes(folder) as node:
                node.control.fail(Rule(Call.READ, SHORT, 2))
                node.control.fail(Rule(Call.SOCKET, error, 3))
                assert await failures_of_a_mixed_load(node, idle_may_close=True) == []
                assert node.control.failed(Call.SOCKET) > 0

    run(test())

"""Room for descriptors that run short is made by connections whose close loses nothing.

What happened: `socket` failed with EMFILE while requests came in pieces, and of 20 clients up to four were
reset in the middle of their first request. Why: the last choice of `Frontend._spare` took any connection of
which a part of a head had been read, however young; and one failed `socket` sufficed to close a client,
where `accept` waits for a second. What showed it: `closes{reason="room"}` in the metrics, and the reset
clients had sent a part of their head by then.
"""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

from sprucenotch.rig.syscalls import SHORT, Call, Rule
from tests.failing_calls import failures_of_a_mixed_load, needs_compiler, serving_sizes
from tests.sidecar import Client, Sidecar, always_ok, endpoint, request, run, sidecar

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
            node.frontend._most = 3
            assert await (await node.client()).ended()
            for client in clients:
                assert await gets_its_answer(client)

    run(test())


@needs_compiler
def test_no_request_in_pieces_is_lost_where_sockets_cannot_be_made(tmp_path: Path) -> None:
    """One of two reads moves a single byte, and one of three calls to socket fails."""

    async def test() -> None:
        async with serving_sizes(tmp_path) as node:
            node.control.fail(Rule(Call.READ, SHORT, 2))
            for error in (errno.EMFILE, errno.ENFILE):
                node.control.fail(Rule(Call.SOCKET, error, 3))
                assert await failures_of_a_mixed_load(node, idle_may_close=True) == []
                assert node.control.failed(Call.SOCKET) > 0

    run(test())

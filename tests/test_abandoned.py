"""An id that comes again after its client has left does not run a second time."""

from __future__ import annotations

import asyncio
import select

import pytest

from sprucenotch import api
from sprucenotch.node.abandoned import MAX_ABANDONED, AbandonedRequests
from tests.sidecar import Client, Seen, Sidecar, endpoint, never, ok, request, run, sidecar, status


def gone(event: api.Event) -> bool:
    return isinstance(event, api.Gone)


async def leave_while_it_runs(node: Sidecar, raw: bytes, arrived: asyncio.Event) -> None:
    client = await node.client()
    client.writer.write(raw)
    await arrived.wait()
    client.writer.transport.abort()


# Guards against: an id runs twice when it comes again after its client has left.
@pytest.mark.parametrize(("cls", "code"), [("post", 502), ("read", 503)])
def test_id_that_comes_again_after_its_client_has_left_is_not_sent_again(cls: str, code: int) -> None:
    async def test() -> None:
        async with endpoint(never) as served, sidecar(served.dial) as node:
            await leave_while_it_runs(node, request(cls), served.arrived)
            # The new connection is read before or after the end of the old one: both orders hold.
            assert (await (await node.client()).ask(request(cls)))[0] == code
            assert len(served.seen) == 1
            assert node.host.telemetry.refusals[api.Reason.MAY_HAVE_RUN] == 1

    run(test())


def test_id_that_comes_again_while_the_end_of_its_client_is_unread_is_not_sent_again() -> None:
    async def test() -> None:
        async with endpoint(never) as served, sidecar(served.dial) as node:
            again = await node.client()
            first = await node.client()
            first.writer.write(request("post"))
            await served.arrived.wait()
            [taken] = (c for c in node.frontend._connections if c._exchanges)
            assert taken._transport is not None
            taken._transport.pause_reading()  # the loop does not see the client's end
            first.writer.transport.abort()
            while not taken._socket_events() & select.POLLRDHUP:
                await asyncio.sleep(0.001)
            assert (await again.ask(request("post")))[0] == 502
            assert len(served.seen) == 1

    run(test())


# Guards against: the same where the request has failed, and its client leaves without having read that.
def test_id_that_comes_again_after_it_failed_is_not_sent_again_as_it_may_have_run() -> None:
    async def test() -> None:
        async def breaks(seen: Seen) -> bytes | None:
            return None

        async with endpoint(breaks) as served, sidecar(served.dial) as node:
            for _ in range(2):
                assert (await (await node.client()).ask(request("post")))[0] == 502
            assert len(served.seen) == 1

    run(test())


def test_id_of_a_request_that_certainly_never_ran_may_come_again() -> None:
    decline = asyncio.Event()

    async def declines_first(seen: Seen) -> bytes:
        if decline.is_set():
            return ok()
        await decline.wait()
        return status(503, b"Srv-Declined: 1")

    async def test() -> None:
        async with endpoint(declines_first) as served, sidecar(served.dial) as node:
            await leave_while_it_runs(node, request("post"), served.arrived)
            await node.event(gone)
            decline.set()
            await node.event(lambda e: isinstance(e, api.Completed))
            assert (await (await node.client()).ask(request("post")))[0] == 200

    run(test())


def test_id_that_was_answered_may_come_again() -> None:
    async def test() -> None:
        async def answer(seen: Seen) -> bytes:
            return ok()

        async with endpoint(answer) as served, sidecar(served.dial) as node:
            client: Client = await node.client()
            for _ in range(2):
                assert (await client.ask(request("post")))[0] == 200
            client.writer.transport.abort()
            assert (await (await node.client()).ask(request("post")))[0] == 200

    run(test())


def test_ids_are_forgotten_after_their_time_and_the_oldest_beyond_the_limit() -> None:
    abandoned = AbandonedRequests()
    abandoned.add(b"short", now=0, until=10)
    abandoned.add(b"long", now=0, until=100)
    assert abandoned.may_run(b"short", 9) and not abandoned.may_run(b"short", 10)
    assert abandoned.may_run(b"long", 99) and not abandoned.may_run(b"other", 0)
    abandoned.add(b"third", now=20, until=30)
    assert len(abandoned) == 2
    abandoned.remove(b"long")
    assert not abandoned.may_run(b"long", 20)
    for number in range(MAX_ABANDONED + 5):
        abandoned.add(b"%d" % number, now=0, until=1000)
    assert len(abandoned) == MAX_ABANDONED
    assert not abandoned.may_run(b"0", 1) and abandoned.may_run(b"%d" % (MAX_ABANDONED + 4), 1)

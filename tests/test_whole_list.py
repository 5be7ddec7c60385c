"""An engine missing from a whole list gets no more requests, even if it still answers."""

from __future__ import annotations

import asyncio

import pytest

from sprucenotch import api
from sprucenotch.api import Outcome
from sprucenotch.node import config
from sprucenotch.node.stream import MAX_BUFFERED_BODY_SIZE
from tests.helpers import MS
from tests.helpers import endpoint as listed
from tests.sidecar import Sidecar, always_ok, endpoint, entry, request, run, sidecar
from tests.test_choice import probing_bench
from tests.test_leaving import completed, late

ENGINE = config.endpoint_id("s-0")


def learn_whole_list(node: Sidecar, seq: int, *dials: str) -> None:
    hosts = {"seq": seq, "whole": True, "hosts": [entry("s-0", dial) for dial in dials]}
    node.host.learn(config.host_list(hosts, node.config.names), api.ListKind.FULL)


@pytest.mark.parametrize("back", [False, True], ids=["gone", "gone and named again"])
@pytest.mark.parametrize("body", [b"", b"x" * (MAX_BUFFERED_BODY_SIZE + 1)], ids=["short", "upload"])
def test_removed_engine_gets_no_request_on_connection_being_opened(body: bytes, back: bool) -> None:
    """If it is listed again it may be another process, so the earlier attempt is not sent."""

    async def test() -> None:
        async with late() as (served, node, connections):
            client = await node.client()
            client.writer.write(request("post" if body else "read", body=body))
            await connections.coming.wait()
            learn_whole_list(node, 2)
            if back:
                learn_whole_list(node, 3, served.dial)
            connections.release.set()
            assert (await node.event(completed)).outcome == Outcome.CONNECT_FAILED
            assert (await client.answer())[0] == 503 and served.seen == []  # there is no other engine
            assert (await client.ask(request()))[0] == (200 if back else 503)
            assert len(served.seen) == back

    run(test())


def test_removed_engine_gets_no_request_after_reuse_delay() -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            outcomes: asyncio.Queue[int] = asyncio.Queue()
            for _ in range(2):
                attempt = node.host.upstream.attempt(
                    ENGINE, request, lambda outcome, answer: outcomes.put_nowait(outcome)
                )
                assert attempt is not None
                attempt.start()
                if not served.seen:
                    assert await outcomes.get() == Outcome.OK
                else:
                    assert attempt._reuse_timer is not None and outcomes.empty()
            learn_whole_list(node, 2)
            assert await outcomes.get() == Outcome.CONNECT_FAILED
            assert (len(served.seen), node.host.upstream.connections) == (1, 0)

    run(test())


def test_removed_engine_gets_no_request_on_idle_connection() -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            client = await node.client()
            assert (await client.ask(request()))[0] == 200
            learn_whole_list(node, 2)
            assert (await client.ask(request()))[0] == 503 and len(served.seen) == 1
            learn_whole_list(node, 3, served.dial)
            assert (await client.ask(request()))[0] == 200
            assert (served.connections, len(served.seen)) == (2, 2)

    run(test())


def test_removed_engine_gets_no_request_after_its_probe_answer() -> None:
    b, asked = probing_bench()
    b.give(api.Probed(asked[0], Outcome.OK, 5 * MS, ()))  # answers of the same loop turn are awaited
    others = [listed(n, zone=n % 2) for n in range(1, 17)]
    b.give_list(*(e for e in others if e.id != asked[0]), kind=api.ListKind.FULL)
    for action in b.give(api.Timer(1 + 1)):
        assert not (isinstance(action, api.Send | api.Probe) and action.endpoint == asked[0])

"""What a whole list does not name is gone, also where it still answers: nothing more is sent there."""

from __future__ import annotations

import asyncio

import pytest

from sprucenotch import api
from sprucenotch.api import Outcome
from sprucenotch.node import config
from sprucenotch.node.stream import WHOLE_MOST
from tests.helpers import MS
from tests.helpers import endpoint as listed
from tests.sidecar import Sidecar, always_ok, endpoint, entry, request, run, sidecar
from tests.test_choice import asking
from tests.test_leaving import completed, late

ENGINE = config.endpoint_id("s-0")


def whole(node: Sidecar, seq: int, *dials: str) -> None:
    told = {"seq": seq, "whole": True, "hosts": [entry("s-0", dial) for dial in dials]}
    node.host.learn(config.host_list(told, node.config.names), api.ListKind.FULL)


@pytest.mark.parametrize("back", [False, True], ids=["gone", "gone and named again"])
@pytest.mark.parametrize("body", [b"", b"x" * (WHOLE_MOST + 1)], ids=["short", "upload"])
def test_while_a_connection_to_it_comes_up(body: bytes, back: bool) -> None:
    """Named again, it may be another process: the attempt that was decided before is not carried out."""

    async def test() -> None:
        async with late() as (served, node, connections):
            client = await node.client()
            client.writer.write(request("post" if body else "read", body=body))
            await connections.coming.wait()
            whole(node, 2)
            if back:
                whole(node, 3, served.dial)
            connections.let.set()
            assert (await node.event(completed)).outcome == Outcome.CONNECT_FAILED
            assert (await client.answer())[0] == 503 and served.seen == []  # there is no other to try
            assert (await client.ask(request()))[0] == (200 if back else 503)
            assert len(served.seen) == back

    run(test())


def test_while_a_kept_connection_to_it_rests() -> None:
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
                    assert attempt._rest is not None and outcomes.empty()
            whole(node, 2)
            assert await outcomes.get() == Outcome.CONNECT_FAILED
            assert (len(served.seen), node.host.upstream.connections) == (1, 0)

    run(test())


def test_with_connections_kept_to_it() -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            client = await node.client()
            assert (await client.ask(request()))[0] == 200
            whole(node, 2)
            assert (await client.ask(request()))[0] == 503 and len(served.seen) == 1
            whole(node, 3, served.dial)
            assert (await client.ask(request()))[0] == 200
            assert (served.connections, len(served.seen)) == (2, 2)

    run(test())


def test_between_the_answer_of_its_probe_and_the_send() -> None:
    b, asked = asking()
    b.give(api.Probed(asked[0], Outcome.OK, 5 * MS, ()))  # what else answers in this turn is waited for
    others = [listed(n, zone=n % 2) for n in range(1, 17)]
    b.list_of(*(e for e in others if e.id != asked[0]), kind=api.ListKind.FULL)
    for action in b.give(api.Timer(1 + 1)):
        assert not (isinstance(action, api.Send | api.Probe) and action.endpoint == asked[0])

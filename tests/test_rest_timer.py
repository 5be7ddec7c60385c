"""Attempts that find every kept connection resting: when they wait, how long, and when they open another."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Coroutine
from unittest.mock import Mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucenotch.node import config, upstream
from sprucenotch.node.connection import Connection
from sprucenotch.node.pool import Pool
from sprucenotch.node.upstream import REST, SURPLUS_IDLE, Upstream
from sprucenotch.policy.state import HOUR
from tests.helpers import MS, SECOND
from tests.sidecar import always_ok, configuration, endpoint, request, run, sidecar

TOLD = config.parse(configuration("127.0.0.1:9"))


@given(st.integers(0, 10**6 * SECOND), st.integers(0, REST))
def test_it_never_comes_while_the_connection_rests(now: int, left: int) -> None:
    """An attempt whose timer came early would find it resting, and open another connection."""
    servers = Upstream(TOLD, Mock(), lambda: now, Mock())
    pool, connection = Pool(TOLD.known.hosts[0]), Connection()
    connection.rests_until = now + left
    pool.idle.append(connection)
    delay = servers.rests(pool)
    # The loop counts from the millisecond that has begun, and rounds the delay to the nearest.
    due = math.floor(now / MS) + round(delay * 1000)
    assert due * MS >= connection.rests_until


class Waits:
    """A pool whose connections rest, and the tasks that are made for another one."""

    def __init__(self) -> None:
        self.now, self.tasks = SECOND, 0
        self.servers = Upstream(TOLD, Mock(create_task=self.task), lambda: self.now, Mock())
        self.pool = Pool(TOLD.known.hosts[0])

    def task(self, opening: Coroutine[None, None, None]) -> Mock:
        opening.close()
        self.tasks += 1
        return Mock()

    def wait(self, after: int) -> int:
        """Another attempt waits; how many connections were opened so far."""
        self.now += after
        self.servers.note_reuse_wait(self.pool)
        return self.tasks


def test_another_connection_is_opened_where_waits_follow_on_each_other_one_at_a_time() -> None:
    waits = Waits()
    assert [waits.wait(0), waits.wait(SURPLUS_IDLE + 1), waits.wait(SURPLUS_IDLE)] == [0, 0, 1]
    assert waits.wait(1) == 1  # the one that is coming up
    waits.pool.spare_task = None
    assert waits.wait(1) == 2


def test_at_the_most_connections_no_other_is_opened() -> None:
    waits = Waits()
    waits.servers._open = TOLD.upstream_most
    assert [waits.wait(0), waits.wait(1)] == [0, 0]


@pytest.mark.parametrize("up", [True, False], ids=["comes up", "does not"])
def test_a_request_waits_for_the_rest_and_the_next_one_has_the_connection_opened_beside(
    up: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first one's wait does not hang on the connection that comes up, or does not."""
    monkeypatch.setattr(upstream, "REST", 50 * MS)

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            servers = node.host.upstream
            connect, coming = servers.connect, asyncio.Event()

            async def late(pool: Pool) -> Connection:
                await coming.wait()
                if not up:
                    raise ConnectionRefusedError
                return await connect(pool)

            client = await node.client()
            assert (await client.ask(request()))[0] == 200
            [pool] = servers._pools.values()
            pool.last_wait_at = node.host.now()  # an earlier one waited
            monkeypatch.setattr(servers, "connect", late)
            assert (await client.ask(request()))[0] == 200
            opening = pool.spare_task
            assert opening is not None and served.connections == 1
            coming.set()
            await asyncio.wait((opening,))
            assert pool.spare_task is None and len(pool.idle) == 1 + up
            pool.idle[0].rests_until = node.host.now() + HOUR
            if up:
                assert (await client.ask(request()))[0] == 200
            assert served.connections == 1 + up

    run(test())

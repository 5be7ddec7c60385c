"""Attempts that find every kept connection resting: when they wait, how long, and when they open another."""

from __future__ import annotations

import math
from unittest.mock import Mock

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs

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


def test_an_attempt_waits_once_and_the_next_one_soon_after_opens_another_connection() -> None:
    now = [SECOND]
    servers = Upstream(TOLD, Mock(), lambda: now[0], Mock())
    pool = Pool(TOLD.known.hosts[0])
    assert not servers.is_rest_awaited(pool)  # there is none to wait for
    pool.idle.append(Connection())
    assert servers.is_rest_awaited(pool)
    now[0] += SURPLUS_IDLE
    assert not servers.is_rest_awaited(pool)
    now[0] += SURPLUS_IDLE + 1
    assert servers.is_rest_awaited(pool)


def test_with_no_room_for_another_connection_every_attempt_waits() -> None:
    told = structs.replace(TOLD, sockets=0)
    servers = Upstream(told, Mock(), lambda: SECOND, Mock())
    servers._open = told.upstream_most
    pool = Pool(TOLD.known.hosts[0])
    pool.idle.append(Connection())
    assert all(servers.is_rest_awaited(pool) for _ in range(3))


def test_requests_that_follow_on_each_other_settle_on_few_connections_and_wait_for_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream, "REST", HOUR)
    monkeypatch.setattr(upstream, "SURPLUS_IDLE", HOUR)

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            client = await node.client()
            assert (await client.ask(request()))[0] == 200
            [pool] = node.host.upstream._pools.values()
            pool.waited_at = node.host.now()  # the first of them has waited
            for _ in range(3):
                assert (await client.ask(request()))[0] == 200
            assert served.connections == len(pool.idle) == 4
            waited_at = pool.waited_at
            for connection in pool.idle:
                connection.rests_until = 0
            for _ in range(4):
                assert (await client.ask(request()))[0] == 200
            assert served.connections == 4 and pool.waited_at == waited_at

    run(test())

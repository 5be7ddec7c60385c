"""Attempts while all idle connections are within their reuse delay: their wait, and spare connections."""

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
from sprucenotch.node.upstream import REUSE_DELAY_NS, SURPLUS_IDLE_TIMEOUT_NS, Upstream
from sprucenotch.policy.state import HOUR
from tests.helpers import MS, SECOND
from tests.sidecar import always_ok, configuration, endpoint, request, run, sidecar

CONFIG = config.parse(configuration("127.0.0.1:9"))


@given(st.integers(0, 10**6 * SECOND), st.integers(0, REUSE_DELAY_NS))
def test_timer_never_fires_within_reuse_delay(now: int, left: int) -> None:
    """With an early timer, an attempt could not reuse the connection yet and would open another one."""
    servers = Upstream(CONFIG, Mock(), lambda: now, Mock())
    pool, connection = Pool(CONFIG.known.hosts[0]), Connection()
    connection.reusable_at = now + left
    pool.idle.append(connection)
    delay = servers.reuse_timer_delay(pool)
    # The loop counts from the millisecond that has begun and rounds the delay to the nearest.
    due = math.floor(now / MS) + round(delay * 1000)
    assert due * MS >= connection.reusable_at


class Waits:
    """A pool with all connections within their reuse delay; counts the tasks that open another one."""

    def __init__(self) -> None:
        self.now, self.tasks = SECOND, 0
        self.servers = Upstream(CONFIG, Mock(create_task=self.task), lambda: self.now, Mock())
        self.pool = Pool(CONFIG.known.hosts[0])

    def task(self, opening: Coroutine[None, None, None]) -> Mock:
        opening.close()
        self.tasks += 1
        return Mock()

    def wait(self, after: int) -> int:
        """Let another attempt wait, `after` ns later; return the number of connections opened so far."""
        self.now += after
        self.servers.note_reuse_wait(self.pool)
        return self.tasks


def test_frequent_waits_open_another_connection_one_at_a_time() -> None:
    waits = Waits()
    assert [waits.wait(0), waits.wait(SURPLUS_IDLE_TIMEOUT_NS + 1), waits.wait(SURPLUS_IDLE_TIMEOUT_NS)] == [
        0,
        0,
        1,
    ]
    assert waits.wait(1) == 1  # one is already being opened
    waits.pool.spare_task = None
    assert waits.wait(1) == 2


def test_no_connection_is_opened_at_the_limit() -> None:
    waits = Waits()
    waits.servers._open = CONFIG.max_upstream_connections
    assert [waits.wait(0), waits.wait(1)] == [0, 0]


@pytest.mark.parametrize("up", [True, False], ids=["comes up", "does not"])
def test_request_waits_for_reuse_delay_and_next_one_uses_spare_connection(
    up: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The wait of the first request does not depend on whether the other connection can be opened."""
    monkeypatch.setattr(upstream, "REUSE_DELAY_NS", 50 * MS)

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
            pool.last_wait_at = node.host.now()  # an earlier attempt waited
            monkeypatch.setattr(servers, "connect", late)
            assert (await client.ask(request()))[0] == 200
            opening = pool.spare_task
            assert opening is not None and served.connections == 1
            coming.set()
            await asyncio.wait((opening,))
            assert pool.spare_task is None and len(pool.idle) == 1 + up
            pool.idle[0].reusable_at = node.host.now() + HOUR
            if up:
                assert (await client.ask(request()))[0] == 200
            assert served.connections == 1 + up

    run(test())

"""The timer of an attempt that waits for a connection to rest, by the arithmetic of the loop's timers."""

from __future__ import annotations

import math
from unittest.mock import Mock

from hypothesis import given
from hypothesis import strategies as st

from sprucenotch.node import config
from sprucenotch.node.connection import Connection
from sprucenotch.node.pool import Pool
from sprucenotch.node.upstream import REST, Upstream
from tests.helpers import MS, SECOND
from tests.sidecar import configuration

TOLD = config.parse(configuration("127.0.0.1:9"))


@given(st.integers(0, 10**6 * SECOND), st.integers(0, REST))
def test_it_never_comes_while_the_connection_rests(now: int, left: int) -> None:
    """An attempt whose timer came early would find it resting, and open another connection."""
    upstream = Upstream(TOLD, Mock(), lambda: now, Mock())
    pool, connection = Pool(TOLD.known.hosts[0]), Connection()
    connection.rests_until = now + left
    pool.idle.append(connection)
    delay = upstream.rests(pool)
    # The loop counts from the millisecond that has begun, and rounds the delay to the nearest.
    due = math.floor(now / MS) + round(delay * 1000)
    assert due * MS >= connection.rests_until

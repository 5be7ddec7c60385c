"""Start times of servers when the clock was stepped before the process read it."""

from __future__ import annotations

import pytest

from sprucenotch import api
from sprucenotch.api import Health, ListKind
from sprucenotch.platform.clock import http_date
from tests.helpers import SECOND, Bench, endpoint, settings

HOUR = 3600 * SECOND


def bench() -> Bench:
    return Bench(settings(), servers=4)


def warmth(b: Bench, number: int) -> float:
    engines = b.balancer.engines
    return engines.warmth(engines.members[number.to_bytes(6, "little")], b.now)


@pytest.mark.parametrize("step", [0, HOUR, -HOUR, 5 * SECOND, -5 * SECOND])
@pytest.mark.parametrize("kind", [ListKind.FULL, ListKind.CACHED])
def test_start_time_with_discovery_clock_makes_new_server_cold(step: int, kind: ListKind) -> None:
    b = bench()
    started = b.now - step - 2 * SECOND  # by the other machines' clock; cold for 8 s
    b.give_list(*(endpoint(n + 1) for n in range(4)), endpoint(9, started=started), kind=kind)
    b.give(api.ClockSkew(step))
    assert 0.3 < warmth(b, 9) < 0.9
    b.now += 8 * SECOND
    assert warmth(b, 9) == 1


def test_skew_without_discovery_clock_is_taken_from_reported_start() -> None:
    for step in (HOUR, -HOUR):
        b = bench()
        b.now += 2 * HOUR
        b.give_list(endpoint(9, started=b.now - step - SECOND), kind=ListKind.DELTA)
        assert warmth(b, 9) < 0.5
        b.now += 8 * SECOND
        assert warmth(b, 9) == 1
        b.give_list(endpoint(10, started=b.now - step - SECOND), kind=ListKind.DELTA)
        assert warmth(b, 10) < 0.5


def test_start_time_in_the_future_warms_up_from_first_listing() -> None:
    b = bench()
    b.give_list(*(endpoint(n + 1) for n in range(4)), endpoint(9, started=b.now + HOUR), kind=ListKind.FULL)
    assert warmth(b, 9) == pytest.approx(0.3)
    b.now += 8 * SECOND
    assert warmth(b, 9) == 1


def test_skew_from_late_listed_server_is_corrected_by_next_start() -> None:
    """A warm server that was long unlisted looks like a skew, and counts as cold until another starts."""
    b = bench()
    b.give_list(endpoint(9, started=b.now - HOUR), kind=ListKind.DELTA)
    assert warmth(b, 9) < 0.5 and warmth(b, 1) == 1
    b.give_list(endpoint(10, started=b.now - SECOND), kind=ListKind.DELTA)
    assert warmth(b, 10) < 0.5 and warmth(b, 9) == 1


def test_plausible_report_delay_overrides_discovery_clock() -> None:
    """A Date that disagrees with plausible start times is ignored."""
    b = bench()
    b.give(api.ClockSkew(HOUR))
    b.give_list(endpoint(9, started=b.now - 20 * SECOND), kind=ListKind.DELTA)
    assert warmth(b, 9) == 1
    b.give_list(endpoint(9, started=b.now - 20 * SECOND, health=Health.DRAINING), kind=ListKind.DELTA)
    assert b.balancer.engines.skew_estimate.skew == 0


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"Sun, 06 Nov 1994 08:49:37 GMT", 784111777 * SECOND),
        (b"Sunday, 06-Nov-94 08:49:37 GMT", None),
        (b"Sun, 06 Nov 1994 08:49:37 CET", None),
        (b"Sun, 36 Nov 1994 08:49:37 GMT", None),
        (b"", None),
        (b"\xff", None),
    ],
)
def test_http_date_accepts_only_preferred_format(text: bytes, expected: int | None) -> None:
    assert http_date(text) == expected

"""The clock of the program, which tests can replace."""

from __future__ import annotations

import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import NamedTuple

PARTS_PER_MILLION = 1_000_000


class Clock:
    """Monotonic time, anchored once to the wall clock.

    This way all sidecars agree on the time of day and on start times. Later steps of the wall clock have no
    effect.
    """

    def __init__(
        self, wall: Callable[[], int] = time.time_ns, monotonic: Callable[[], int] = time.monotonic_ns
    ) -> None:
        self._monotonic = monotonic
        self._anchor = wall() - monotonic()

    def now(self) -> int:
        """Unix time in nanoseconds."""
        return self._monotonic() + self._anchor


def skewed_clock(
    offset: int,
    drift_ppm: float,
    wall: Callable[[], int] = time.time_ns,
    monotonic: Callable[[], int] = time.monotonic_ns,
) -> Clock:
    """A clock that is `offset` nanoseconds ahead and drifts by `drift_ppm`; for tests, by configuration."""
    began = monotonic()

    def drift() -> int:
        return int((monotonic() - began) * drift_ppm / PARTS_PER_MILLION)

    return Clock(lambda: wall() + offset + drift(), lambda: monotonic() + drift())


MONTHS = (b"Jan", b"Feb", b"Mar", b"Apr", b"May", b"Jun", b"Jul", b"Aug", b"Sep", b"Oct", b"Nov", b"Dec")


def http_date(text: bytes) -> int | None:
    """Parse a Date header (the preferred format of RFC 9110) to Unix nanoseconds; None if invalid."""
    try:
        _, day, month, year, clock, zone = text.split()
        hour, minute, second = map(int, clock.split(b":"))
        if zone != b"GMT":
            return None
        date = datetime(int(year), MONTHS.index(month) + 1, int(day), hour, minute, second, tzinfo=UTC)
    except ValueError:
        return None
    return int(date.timestamp()) * 1_000_000_000


class Timestamp(NamedTuple):
    """A point in time whose age another process of this machine can compute, also after a reboot."""

    boot: str  # boot ID of the machine
    at: int  # nanoseconds since the boot, suspend included; independent of the wall clock
    wall: int  # Unix time in nanoseconds


_boot = ""  # boot ID, cached: it does not change during the life of a process


def current_timestamp(clock: Clock) -> Timestamp:
    """The current point in time. Raises OSError if the boot ID cannot be read."""
    global _boot
    if not _boot:
        with open("/proc/sys/kernel/random/boot_id", encoding="ascii") as file:
            _boot = file.read().strip()
    return Timestamp(_boot, time.clock_gettime_ns(time.CLOCK_BOOTTIME), clock.now())

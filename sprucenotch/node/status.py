"""State of the sidecar for operators: the source of telemetry call, status event and gauges."""

from __future__ import annotations

import logging
import os
import resource
import time
from collections.abc import Callable
from typing import Any

from sprucenotch import api
from sprucenotch.node.log import event
from sprucenotch.node.telemetry import Telemetry
from sprucenotch.node.upstream import Upstream
from sprucenotch.policy.balance import Balancer
from sprucenotch.policy.state import Member

log = logging.getLogger("sprucenotch.node.standing")

MS = 1_000_000
SECOND = 1000 * MS
DISCOVERY_SILENCE = 30 * SECOND  # longer than any watch holds: discovery is down or unreachable
# Seconds between status events; admission cuts and queues change within a few seconds.
STATUS_INTERVAL_S = 1.0


def own_memory() -> tuple[int, int]:
    """Return the resident and the unshared memory of this process, in bytes.

    If the kernel's file temporarily cannot be opened, both are the peak resident memory.
    """
    try:
        with open("/proc/self/statm", "rb") as file:
            _, resident, shared, *_ = map(int, file.read().split())
    except OSError:
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
        return peak, peak
    return resident * resource.getpagesize(), (resident - shared) * resource.getpagesize()


def open_descriptors() -> int | None:
    """Return the number of open descriptors of this process; None if it temporarily cannot be read."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return None


class StatusReport:
    """Reports the current state of the balancer, the connections and the process."""

    def __init__(
        self, balancer: Balancer, telemetry: Telemetry, upstream: Upstream, now: Callable[[], int]
    ) -> None:
        self._balancer, self.telemetry, self.upstream, self._now = balancer, telemetry, upstream, now
        # Nanoseconds since discovery confirmed the list; None: never.
        self.list_age: Callable[[], int | None] = lambda: None
        self.lag = 0.0  # seconds by which the last status timer was late

    def figures(self) -> dict[str, Any]:
        """The figures of the telemetry call, under the names that operators use."""
        known, skipped = self.engines()
        return self.telemetry.figures(known, skipped)

    def engines(self) -> tuple[int, int]:
        """Return how many engines are listed, and how many of these currently get no requests."""
        members = [m for m in self._balancer.engines.members.values() if m.health != api.Health.GONE]
        return len(members), sum(map(self._is_skipped, members))

    def _is_skipped(self, member: Member) -> bool:
        """Whether a listed engine gets no requests now: draining, or ejected and not kept in use."""
        if member.health != api.Health.READY:
            return True
        used = self._balancer.engines.subset
        return member.ejected_until > self._now() and not any(member in side for side in used)

    def ready(self) -> str:
        """The readiness message. A process with an outdated list is still ready, and says so."""
        age = self.list_age()
        silent = age is not None and age > DISCOVERY_SILENCE
        return f"ready, discovery has said nothing for {age // SECOND} s" if age and silent else "ready"

    def is_cold(self, endpoint: api.EndpointId) -> bool:
        member = self._balancer.engines.members.get(endpoint)
        return member is not None and self._balancer.engines.warmth(member, self._now()) < 1

    def decisions(self) -> dict[str, float]:
        """State of the balancer: admission cut and its inputs, engines by state, retry budget."""
        b = self._balancer
        ready, used = (sum(map(len, sides)) for sides in (b.engines.ready_by_rank, b.engines.subset))
        cold = sum(self.is_cold(member.id) for side in b.engines.ready_by_rank for member in side)
        return {
            "cut": b.admission.cut, "cut_levels": b.admission.max_level,
            "pressure": b.pressure, "pressure_over": b.overload_threshold, "crossing": b.crossing_share,
            "flying": b.attempts_in_flight, "peak": b.engines.peak_in_flight, "ready": ready, "cold": cold,
            "used": used, "retry_budget": b.budget,
        }  # fmt: skip

    def process(self) -> dict[str, float]:
        """The resources that this process uses."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "cpu_seconds": used.ru_utime + used.ru_stime, "memory_bytes": own_memory()[0],
            "descriptors_most": resource.getrlimit(resource.RLIMIT_NOFILE)[0],
            "uptime_seconds": time.monotonic() - self.telemetry.began,
        }  # fmt: skip

    def status(self, lag: float) -> None:
        """Log the status event if any counter increased: the increases and the current state."""
        self.lag = lag
        if grown := self.telemetry.growth():
            b = self._balancer
            event(
                log, logging.INFO, "status", **dict(sorted(grown.items())),
                ok_ms=round(self.telemetry.mean_ok() / MS, 1), in_progress=self.telemetry.in_progress,
                connections=self.upstream.connections, lag_ms=round(lag * 1000, 1),
                **{name: round(value, 2) for name, value in self.decisions().items()},
                base_ms=[round(k.base / MS) for k in b.class_states],
                mean_ms=[round(k.mean / MS) for k in b.class_states],
            )  # fmt: skip

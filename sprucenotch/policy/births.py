"""Server start times, converted to this process's clock.

Discovery reports start times in Unix time, and this machine's wall clock may have been stepped by an hour or
more before the process read it. Without a correction, a server that has just started would count as warm
after a step forward, and as starting in the future after a step back. The skew is estimated from, in order:

- servers whose start was reported as a change of the list, shortly after it happened: if the smallest delay
  between a start and its report is a plausible reporting delay, the skew is 0;
- the Date of discovery's answers, if they have one;
- that smallest delay, which is negative or too long for a reporting delay.

In addition, a server counts as started no later than it was first listed. Remaining error: without
discovery's clock, a server in the first list of a process whose clock is ahead counts as older than it is.
"""

from __future__ import annotations

from sprucenotch.policy.state import SECOND

MAX_CHANGE_DELAY = 30 * SECOND  # from a start to its report; discovery reports changes within seconds
CLOCK_TOLERANCE = 2 * SECOND  # clocks of healthy machines agree to this; discovery's Date has whole seconds


class SkewEstimate:
    """Estimates the skew of this process's clock in nanoseconds; positive if it is ahead."""

    def __init__(self) -> None:
        self.skew = 0
        self._discovery_skew: int | None = None  # skew by discovery's clock
        self._min_delay: int | None = None  # smallest delay between a start and its report

    def observe_discovery_clock(self, skew: int) -> bool:
        """Record a skew measured by discovery's clock. Return whether the estimate changed."""
        self._discovery_skew = skew if abs(skew) > CLOCK_TOLERANCE else 0
        return self._update_skew()

    def observe_start(self, started: int, now: int) -> bool:
        """Record a start that was reported as a change of the list. Return whether the estimate changed."""
        delay = now - started
        if self._min_delay is None or delay < self._min_delay:
            self._min_delay = delay
        return self._update_skew()

    def _update_skew(self) -> bool:
        before, delay = self.skew, self._min_delay
        if delay is not None and -CLOCK_TOLERANCE <= delay <= MAX_CHANGE_DELAY:
            self.skew = 0
        elif self._discovery_skew is not None:
            self.skew = self._discovery_skew
        else:
            self.skew = delay or 0
        return self.skew != before

    def warm_from(self, started: int, first_seen: int) -> int:
        """Return when the server's warm-up began, by this process's clock; 0: long ago."""
        return min(started + self.skew, first_seen) if started else 0

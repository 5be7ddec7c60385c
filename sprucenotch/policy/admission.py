"""The admission cut: a level over business and user levels, below which requests are refused unsent."""

from __future__ import annotations

from collections.abc import Mapping

from sprucenotch import api
from sprucenotch.policy.state import HOUR, mix

USER_LEVELS = 128  # from the write-up
HISTOGRAM_KEEP = 0.9  # share of the histogram kept from cycle to cycle: sparse traffic needs some seconds
SHED_MOST = 0.9  # never shed all: with no sends there is no evidence


def moved_cut(cut: float, moved: Mapping[int, int]) -> float:
    """Where a cut lies once the business levels have moved so; 0 where no level is left at it or above."""
    levels = sorted(moved)
    at = next((b for b in levels if (b + 1) * USER_LEVELS > cut), None)
    if at is None and levels and (levels[-1] + 1) * USER_LEVELS == cut:
        at = levels[-1]  # all of it is refused
    return 0.0 if at is None or not cut else moved[at] * USER_LEVELS + max(0.0, cut - at * USER_LEVELS)


class Admission:
    """The cut, and what arrived by level, by which it is moved."""

    def __init__(self, settings: api.Settings) -> None:
        self.instance = settings.instance
        self.cut = 0.0
        self.histogram: dict[int, float] = {}
        self.spread: list[float] = []  # arrivals without keys, by business level; shared with peers

    def adopt(self, settings: api.Settings, moved: Mapping[int, int], levels: int) -> None:
        """Have so many business levels; `moved`: where those before lie now, if they are there."""
        self.instance, self.top = settings.instance, levels * USER_LEVELS
        masses = [(*divmod(level, USER_LEVELS), mass) for level, mass in self.histogram.items()]
        self.histogram = {moved[b] * USER_LEVELS + user: mass for b, user, mass in masses if b in moved}
        spread, self.spread = self.spread, [0.0] * levels
        for b, new in moved.items():
            self.spread[new] += spread[b]
        self.cut = moved_cut(self.cut, moved)

    def passes(self, business: int, event: api.Request, now: int) -> bool:
        """Whether a request of that business level is not below the cut; counts it as arrived."""
        level, place = self.level(business, event, now)
        return level + place >= self.cut

    def forget(self) -> None:
        """A cycle is over."""
        self.histogram = {lv: mass * HISTOGRAM_KEEP for lv, mass in self.histogram.items() if mass > 0.02}
        self.spread = [mass * HISTOGRAM_KEEP for mass in self.spread]

    def level(self, business: int, event: api.Request, now: int) -> tuple[int, float]:
        """The request's level (business x 128 + user), and its place within the level for a smooth cut."""
        salt = mix(now // HOUR)
        if event.key:
            level = business * USER_LEVELS + mix(event.key ^ salt) % USER_LEVELS
            self.histogram[level] = self.histogram.get(level, 0.0) + 1
            return level, 0.5
        # Of keyless requests one sidecar sees few user levels: the fleet's mass counts as even over all. A
        # tenant is hashed with the sidecar's number: by itself it would put much traffic on one level.
        self.spread[business] += 1
        place = mix(self.instance ^ mix(event.tenant ^ salt))
        return business * USER_LEVELS + place % USER_LEVELS, (place >> 7) / 2**57

    def segments(self) -> list[tuple[int, int, float]]:
        parts = [(level, 1, mass) for level, mass in self.histogram.items()]
        return sorted(parts + [(b * USER_LEVELS, USER_LEVELS, mass) for b, mass in enumerate(self.spread)])

    def raise_by(self, share: float) -> None:
        """Climb until the share of what passed is shed."""
        parts = self.segments()
        total = sum(mass for _, _, mass in parts)
        passed = sum(mass * min(1.0, max(0.0, (at + width - self.cut) / width)) for at, width, mass in parts)
        target = min(share * passed, passed - (1 - SHED_MOST) * total)
        for at, width, mass in parts:
            low = max(self.cut, at)
            left = mass * (at + width - low) / width
            if left <= 1e-9:
                continue
            if left >= target:
                self.cut = low + max(0.0, target) * width / mass
                return
            target -= left
            self.cut = float(at + width)

    def ease_by(self, share: float) -> None:
        """Descend until the share of what arrived is let in again, at least one level: that of what passed,
        little after a deep cut, would keep the cut up for minutes over servers long idle."""
        parts = self.segments()
        target = share * sum(mass for _, _, mass in parts)
        low = max(0.0, self.cut - 1)
        for at, width, mass in reversed(parts):
            high = min(self.cut, at + width)
            left = mass * (high - at) / width
            if left <= 1e-9:
                continue
            if left >= target:
                self.cut = min(low, high - target * width / mass)
                return
            target -= left
            self.cut = float(at)
        self.cut = 0.0

"""The admission cut: requests whose level (business and user level) is below it are refused unsent."""

from __future__ import annotations

from collections.abc import Mapping

from sprucenotch import api
from sprucenotch.policy.state import HOUR, mix

USER_LEVELS = 128  # per business level, as in the published algorithm
HISTOGRAM_RETENTION = 0.9  # share of the histogram kept each cycle: sparse traffic needs some seconds of it
MAX_SHED_SHARE = 0.9  # of all arrivals: without sends the load cannot be measured


def remap_cut(cut: float, new_levels: Mapping[int, int]) -> float:
    """Map a cut to renumbered business levels (old: new). 0 if no level at or above the cut is left."""
    levels = sorted(new_levels)
    at = next((b for b in levels if (b + 1) * USER_LEVELS > cut), None)
    if at is None and levels and (levels[-1] + 1) * USER_LEVELS == cut:
        at = levels[-1]  # the cut is above the highest level: everything is refused
    return 0.0 if at is None or not cut else new_levels[at] * USER_LEVELS + max(0.0, cut - at * USER_LEVELS)


class Admission:
    """The cut, and the histogram of arrivals by level from which its next position is computed."""

    def __init__(self, settings: api.Settings) -> None:
        self.instance = settings.instance
        self.cut = 0.0
        self.histogram: dict[int, float] = {}
        self.keyless_arrivals: list[
            float
        ] = []  # arrivals without a key, by business level; shared with peers

    def apply_settings(self, settings: api.Settings, new_levels: Mapping[int, int], levels: int) -> None:
        """Apply settings with `levels` business levels; `new_levels` maps each old level to its new one."""
        self.instance, self.max_level = settings.instance, levels * USER_LEVELS
        counts = [(*divmod(level, USER_LEVELS), count) for level, count in self.histogram.items()]
        self.histogram = {
            new_levels[b] * USER_LEVELS + user: count for b, user, count in counts if b in new_levels
        }
        keyless_arrivals, self.keyless_arrivals = self.keyless_arrivals, [0.0] * levels
        for b, new in new_levels.items():
            self.keyless_arrivals[new] += keyless_arrivals[b]
        self.cut = remap_cut(self.cut, new_levels)

    def passes(self, business: int, event: api.Request, now: int) -> bool:
        """Count an arrival and return whether its level is at or above the cut."""
        level, position = self.level(business, event, now)
        return level + position >= self.cut

    def decay(self) -> None:
        """Decay the histogram at the end of a cycle."""
        self.histogram = {
            level: count * HISTOGRAM_RETENTION for level, count in self.histogram.items() if count > 0.02
        }
        self.keyless_arrivals = [count * HISTOGRAM_RETENTION for count in self.keyless_arrivals]

    def level(self, business: int, event: api.Request, now: int) -> tuple[int, float]:
        """Count an arrival; return its level (business x 128 + user) and its position in the level, 0 to 1.

        Call it once for each arrival, as the counts determine where the cut moves. The position lets a cut
        within a level shed a part of that level. `now`, in nanoseconds, gives the hour: with each hour, keys
        and tenants are hashed to other user levels.
        """
        salt = mix(now // HOUR)
        if event.key:
            level = business * USER_LEVELS + mix(event.key ^ salt) % USER_LEVELS
            self.histogram[level] = self.histogram.get(level, 0.0) + 1
            return level, 0.5
        # One sidecar sees few user levels of keyless requests, so they count as equally many at each level.
        # A tenant is hashed with the sidecar's number: hashed alone, it would put much traffic on one level.
        self.keyless_arrivals[business] += 1
        tenant_hash = mix(self.instance ^ mix(event.tenant ^ salt))
        return business * USER_LEVELS + tenant_hash % USER_LEVELS, (tenant_hash >> 7) / 2**57

    def segments(self) -> list[tuple[int, int, float]]:
        """Return the arrivals as (first level, number of levels, count), sorted by level."""
        segments = [(level, 1, count) for level, count in self.histogram.items()]
        return sorted(
            segments
            + [(b * USER_LEVELS, USER_LEVELS, count) for b, count in enumerate(self.keyless_arrivals)]
        )

    def raise_cut(self, share: float) -> None:
        """Raise the cut until it sheds this share of the requests that passed."""
        segments = self.segments()
        total = sum(count for _, _, count in segments)
        passed = sum(
            count * min(1.0, max(0.0, (at + width - self.cut) / width)) for at, width, count in segments
        )
        target = min(share * passed, passed - (1 - MAX_SHED_SHARE) * total)
        for at, width, count in segments:
            low = max(self.cut, at)
            remaining = count * (at + width - low) / width
            if remaining <= 1e-9:
                continue
            if remaining >= target:
                self.cut = low + max(0.0, target) * width / count
                return
            target -= remaining
            self.cut = float(at + width)

    def lower_cut(self, share: float) -> None:
        """Lower the cut until this share of the arrivals passes again, at least by one level.

        A share of the passed requests, few after a deep cut, would hold the cut up for minutes while servers
        idle.
        """
        segments = self.segments()
        target = share * sum(count for _, _, count in segments)
        low = max(0.0, self.cut - 1)
        for at, width, count in reversed(segments):
            high = min(self.cut, at + width)
            remaining = count * (high - at) / width
            if remaining <= 1e-9:
                continue
            if remaining >= target:
                self.cut = min(low, high - target * width / count)
                return
            target -= remaining
            self.cut = float(at)
        self.cut = 0.0

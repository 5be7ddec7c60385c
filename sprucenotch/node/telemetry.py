"""The figures that staff read, counted once, where the thing happens; the status line draws on them too."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any


class Telemetry:
    """Counters of this process, which only grow, and the gauge of what is in progress."""

    def __init__(self) -> None:
        self.passed: Counter[str] = Counter()  # by class: served, refused and failed
        self.dropped: Counter[str] = Counter()
        self.bad_gateway: Counter[str] = Counter()
        self.upstream_tries = 0  # attempts whose last byte went out
        self.loads = self.load_errors = 0  # configuration files taken and turned down
        self.in_progress = 0
        self.events: Counter[str] = Counter()  # what only the status line tells, such as outcomes
        self._told: Counter[str] = Counter()

    def know(self, classes: Iterable[str]) -> None:
        """Show these classes from 0. A class once known keeps its figures."""
        for name in classes:
            for counter in (self.passed, self.dropped, self.bad_gateway):
                counter.setdefault(name, 0)

    def figures(self, known: int, skipped: int) -> dict[str, Any]:
        return {
            "passed": self.passed, "dropped": self.dropped, "bad_gateway": self.bad_gateway,
            "upstream_tries": self.upstream_tries, "in_progress": self.in_progress,
            "known_quote_engines": known, "skipped_quote_engines": skipped,
            "loads": self.loads, "load_errors": self.load_errors,
        }  # fmt: skip

    def growth(self) -> Counter[str]:
        """What has grown since the last call, for the status line."""
        totals = Counter(
            passed=self.passed.total(), dropped=self.dropped.total(), bad_gateway=self.bad_gateway.total(),
            tries=self.upstream_tries, loads=self.loads, load_errors=self.load_errors,
        )  # fmt: skip
        totals.update(self.events)
        grown, self._told = totals - self._told, totals
        return grown

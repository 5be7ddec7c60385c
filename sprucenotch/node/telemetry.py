"""Counters for operators, each incremented in one place. Telemetry call, log and metrics all read them."""

from __future__ import annotations

import time
from bisect import bisect_left
from collections import Counter
from collections.abc import Container, Iterable
from typing import Any

from sprucenotch.api import EndpointId, Outcome, Reason, RequestClass
from sprucenotch.node.rules import CloseReason, Rule

# Bounds of the latency buckets, as multiples of the aim: whether answers are in time, and by which margin.
BUCKETS_IN_AIMS = (1 / 16, 1 / 8, 1 / 4, 1 / 2, 3 / 4, 1, 1.5, 2)
OUTCOMES = tuple(outcome.name.lower() for outcome in Outcome)  # by number, as labels


class Histogram:
    """Latencies of a class in nanoseconds: counts per bucket (upper bounds inclusive) and their sum."""

    def __init__(self, bounds: tuple[int, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)  # the last one is above all bounds
        self.sum = 0

    def observe(self, took: int) -> None:
        self.counts[bisect_left(self.bounds, took)] += 1
        self.sum += took


class Telemetry:
    """The counters of this process, which only increase, and the gauge of requests in progress."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.passed: Counter[str] = Counter()  # by class: served, refused and failed
        self.dropped: Counter[str] = Counter()
        self.bad_gateway: Counter[str] = Counter()
        self.upstream_tries = 0  # attempts whose last byte was sent
        self.loads = self.load_errors = 0  # configuration files applied and rejected
        self.in_progress = 0
        # By rule and by reason; all of them are reported, starting at 0.
        self.violations: Counter[Rule] = Counter(dict.fromkeys(Rule, 0))
        self.client_closes: Counter[CloseReason] = Counter(dict.fromkeys(CloseReason, 0))
        self.refusals: Counter[Reason] = Counter(dict.fromkeys(Reason, 0))
        self.retries: Counter[int] = Counter()  # by the outcome of the attempt before
        self.events: Counter[str] = Counter()  # further counts for log and metrics, such as outcomes
        self.latency: dict[
            str, Histogram
        ] = {}  # of served requests by class, from the whole request to its answer
        # Attempts by outcome: for each listed engine that had any, and in sum for those no longer listed. The
        # size of a list is bounded by the size of discovery's answer, so there is no separate limit here.
        self.by_engine: dict[EndpointId, list[int]] = {}
        self.other_engines = [0] * len(Outcome)
        self._listed: Container[EndpointId] = ()
        self._last_totals: Counter[str] = Counter()
        self._ok_time = self._ok = 0  # since the last call of mean_ok

    def register_classes(self, classes: Iterable[RequestClass]) -> None:
        """Report these classes, starting at 0.

        A class keeps its counts; its latency histogram is reset when the bounds of the buckets change.
        """
        for known in classes:
            for counter in (self.passed, self.dropped, self.bad_gateway):
                counter.setdefault(known.name, 0)
            bounds = tuple(sorted({int(known.aim * share) for share in BUCKETS_IN_AIMS} | {known.limit}))
            if known.name not in self.latency or self.latency[known.name].bounds != bounds:
                self.latency[known.name] = Histogram(bounds)

    def attempt_ended(self, engine: EndpointId, outcome: int, took: int) -> None:
        """Count a completed attempt that took `took` nanoseconds."""
        counts = self.by_engine.get(engine)
        if counts is None and engine in self._listed:
            counts = self.by_engine[engine] = [0] * len(Outcome)
        if counts is None:
            counts = self.other_engines
        counts[outcome] += 1
        if outcome == Outcome.OK:
            self._ok += 1
            self._ok_time += took

    def set_listed_engines(self, listed: Container[EndpointId]) -> None:
        """Count engines separately while `listed` contains them, and all others in sum."""
        self._listed = listed
        for engine in [engine for engine in self.by_engine if engine not in listed]:
            for outcome, count in enumerate(self.by_engine.pop(engine)):
                self.other_engines[outcome] += count

    def mean_ok(self) -> float:
        """Mean duration, in nanoseconds, of the successful attempts since the last call."""
        took, served, self._ok_time, self._ok = self._ok_time, self._ok, 0, 0
        return took / max(1, served)

    def figures(self, known: int, skipped: int) -> dict[str, Any]:
        """The figures of the telemetry call."""
        return {
            "passed": self.passed, "dropped": self.dropped, "bad_gateway": self.bad_gateway,
            "upstream_tries": self.upstream_tries, "in_progress": self.in_progress,
            "known_quote_engines": known, "skipped_quote_engines": skipped,
            "loads": self.loads, "load_errors": self.load_errors,
        }  # fmt: skip

    def growth(self) -> Counter[str]:
        """Return the counter increases since the last call, for the status event."""
        totals = Counter(
            passed=self.passed.total(), dropped=self.dropped.total(), bad_gateway=self.bad_gateway.total(),
            tries=self.upstream_tries, loads=self.loads, load_errors=self.load_errors,
        )  # fmt: skip
        totals.update(self.events)
        grown, self._last_totals = totals - self._last_totals, totals
        return grown

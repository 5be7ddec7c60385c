"""Summarizes a history: outcomes by class, worth, latencies."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]
from msgspec import Struct

from sprucenotch.testbed import client
from sprucenotch.testbed.checker.history import Ended, Event, Sent
from sprucenotch.testbed.load import kind
from sprucenotch.testbed.plan import Class

OUTCOMES = ("served", "late", "refused", "failed")
MAX_LATENCY_US = 3_600_000_000
HISTOGRAM_DIGITS = 3  # significant digits of latencies in the histogram
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class ClassSummary(Struct, frozen=True):
    """The results of a request class."""

    asked: int  # logical requests, without repeats
    outcomes: Mapping[str, int]  # of logical requests, by the end of the last repeat
    requests: int  # repeats included
    # Milliseconds of answered requests, by quantile: from the scheduled time, so that requests held back by
    # the testbed or a sidecar count too (coordinated omission), and from the time of sending.
    latency: Mapping[str, float]
    latency_sent: Mapping[str, float]


class Summary(Struct, frozen=True):
    worth: float  # share of the requested worth that was served within its aim
    classes: Mapping[str, ClassSummary]

    @property
    def outcomes(self) -> dict[str, int]:
        return {name: sum(c.outcomes[name] for c in self.classes.values()) for name in OUTCOMES}


def outcome(one: Class, sent: Sent, ended: Ended | None) -> str:
    """How a request ended from its client's view."""
    if ended is None or ended.how != "whole":
        return "failed"
    return client.RequestResult(kind(one), ended.status, ended.at - sent.at).outcome


def summarize(history: Iterable[Event], classes: Sequence[Class]) -> Summary:
    """Summarize a history for each of the classes."""
    sent, ended = dict[str, Sent](), dict[str, Ended]()
    for event in history:
        if isinstance(event, Sent):
            sent.setdefault(event.id, event)
        elif isinstance(event, Ended):
            ended[event.id] = event
    calls: dict[str, list[Sent]] = defaultdict(list)
    for one in sent.values():
        calls[one.call].append(one)
    worth, all_worth, found = 0.0, 0.0, dict[str, ClassSummary]()
    for cls in classes:
        counts = dict.fromkeys(OUTCOMES, 0)
        due, left = (HdrHistogram(1, MAX_LATENCY_US, HISTOGRAM_DIGITS) for _ in range(2))
        of_class = [tries for tries in calls.values() if tries[0].cls == cls.name]
        for tries in of_class:
            last = max(tries, key=lambda s: s.repeat)
            how = outcome(cls, last, ended.get(last.id))
            counts[how] += 1
            if how in ("served", "late"):
                at = ended[last.id].at
                due.record_value(max(1, int((at - tries[0].due) * 1e6)))
                left.record_value(max(1, int((at - last.at) * 1e6)))
        worth += float(cls.worth) * counts["served"]
        all_worth += float(cls.worth) * len(of_class)
        requests = sum(map(len, of_class))
        found[cls.name] = ClassSummary(len(of_class), counts, requests, _quantiles(due), _quantiles(left))
    return Summary(worth / all_worth if all_worth else math.nan, found)


def _quantiles(histogram: Any) -> dict[str, float]:
    if not histogram.get_total_count():
        return {}
    return {f"p{q:g}": histogram.get_value_at_percentile(q) / 1000 for q in QUANTILES}

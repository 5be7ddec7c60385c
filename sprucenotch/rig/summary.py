"""What a history comes to: outcomes by class, worth, latencies."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]
from msgspec import Struct

from sprucenotch.rig import client
from sprucenotch.rig.load import kind
from sprucenotch.rig.plan import Class
from sprucenotch.rig.truth.history import Ended, Event, Sent

OUTCOMES = ("served", "late", "refused", "failed")
MICROSECONDS_MOST = 3_600_000_000
DIGITS = 3  # of a latency that its histogram keeps
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class ByClass(Struct, frozen=True):
    asked: int
    outcomes: Mapping[str, int]  # of each thing wanted, by how its last request ended
    requests: int  # with repeats
    # Milliseconds of what was served, by quantile: from when the load had it due, so that a rig or a
    # sidecar that holds requests back cannot hide it (coordinated omission), and from when it left.
    latency: Mapping[str, float]
    latency_sent: Mapping[str, float]


class Summary(Struct, frozen=True):
    worth: float  # share of the worth asked for that was served within its aim
    classes: Mapping[str, ByClass]

    @property
    def outcomes(self) -> dict[str, int]:
        return {name: sum(c.outcomes[name] for c in self.classes.values()) for name in OUTCOMES}


def outcome(one: Class, sent: Sent, ended: Ended | None) -> str:
    """How a request ended, as its client sees it."""
    if ended is None or ended.how != "whole":
        return "failed"
    return client.Ended(kind(one), ended.status, ended.at - sent.at).outcome


def summarize(history: Iterable[Event], classes: Sequence[Class]) -> Summary:
    sent, ended = dict[str, Sent](), dict[str, Ended]()
    for event in history:
        if isinstance(event, Sent):
            sent.setdefault(event.id, event)
        elif isinstance(event, Ended):
            ended[event.id] = event
    calls: dict[str, list[Sent]] = defaultdict(list)
    for one in sent.values():
        calls[one.call].append(one)
    worth, all_worth, found = 0.0, 0.0, dict[str, ByClass]()
    for cls in classes:
        counts = dict.fromkeys(OUTCOMES, 0)
        due, left = (HdrHistogram(1, MICROSECONDS_MOST, DIGITS) for _ in range(2))
        mine = [tries for tries in calls.values() if tries[0].cls == cls.name]
        for tries in mine:
            last = max(tries, key=lambda s: s.repeat)
            how = outcome(cls, last, ended.get(last.id))
            counts[how] += 1
            if how in ("served", "late"):
                at = ended[last.id].at
                due.record_value(max(1, int((at - tries[0].due) * 1e6)))
                left.record_value(max(1, int((at - last.at) * 1e6)))
        worth += float(cls.worth) * counts["served"]
        all_worth += float(cls.worth) * len(mine)
        requests = sum(map(len, mine))
        found[cls.name] = ByClass(len(mine), counts, requests, _quantiles(due), _quantiles(left))
    return Summary(worth / all_worth if all_worth else math.nan, found)


def _quantiles(histogram: Any) -> dict[str, float]:
    if not histogram.get_total_count():
        return {}
    return {f"p{q:g}": histogram.get_value_at_percentile(q) / 1000 for q in QUANTILES}

"""A long run under a nemesis: what must not grow, does not."""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Sequence

import msgspec

from sprucenotch.config import units
from sprucenotch.rig.plan import SECOND, Plan
from sprucenotch.rig.play import Second
from sprucenotch.rig.truth.ledger import Finding
from sprucenotch.settings import Problem, SettingsError

LEAST = 20.0  # seconds: below, halves say nothing
CALM = 2.0  # seconds at the end without faults
MEMORY_GROWTH = 0.02  # of the median of one quarter over the one before
GAUGES = {"resident_memory_bytes": "memory", "open_descriptors": "descriptors"}
DESCRIPTORS_MORE = 8  # some connections more are a matter of the moment


def stretch(plan: Plan, lasts: str) -> Plan:
    """The plan for as long as that. Raises SettingsError."""
    length = units.parse(lasts, units.NANOSECONDS)
    if length is None or not LEAST * SECOND <= length <= 3600 * SECOND:
        raise SettingsError(
            [Problem("--for", f"is {lasts!r}, where a time such as 10m, from 20s to 1h, is allowed")]
        )
    if plan.nemesis is None:
        raise SettingsError([Problem("nemesis", "is missing in the plan: a soak draws its faults")])
    nemesis = msgspec.structs.replace(plan.nemesis, end=length - int(CALM * SECOND))
    return plan._replace(length=length / SECOND, nemesis=nemesis)


def quarters(seconds: Sequence[Second], name: str) -> dict[str, tuple[float, float]]:
    """By sidecar, the medians of a gauge in the third and in the last quarter; of those that have both."""
    end = max(second.at for second in seconds)
    series: dict[str, tuple[list[float], list[float]]] = defaultdict(lambda: ([], []))
    for second in seconds:
        if second.at >= end / 2:
            for sidecar, gauges in second.gauges.items():
                if name in gauges:
                    series[sidecar][second.at >= end * 3 / 4].append(gauges[name])
    return {n: (statistics.median(a), statistics.median(b)) for n, (a, b) in series.items() if a and b}


def judge(seconds: Sequence[Second]) -> list[Finding]:
    """What grew in the second half."""
    found = []
    for gauge, what in GAUGES.items():
        for sidecar, (before, after) in quarters(seconds, gauge).items():
            more = DESCRIPTORS_MORE if what == "descriptors" else before * MEMORY_GROWTH
            if after > before + more:
                said = f"{sidecar}: {what} grew from {before:.0f} to {after:.0f} in the last quarter"
                found.append(Finding(f"{what} grow", sidecar, seconds[-1].at, said))
    return found


def said(seconds: Sequence[Second]) -> str:
    """The figures that were judged."""
    lines = []
    for gauge, what in GAUGES.items():
        scale, unit = (1e6, " MB") if what == "memory" else (1.0, "")
        told = ", ".join(
            f"{name} {before / scale:.1f} and {after / scale:.1f}{unit}"
            for name, (before, after) in sorted(quarters(seconds, gauge).items())
        )
        lines.append(f"  {what}, median of the third and of the last quarter: {told}")
    return "\n".join(lines)

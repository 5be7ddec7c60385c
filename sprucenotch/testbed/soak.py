"""Checks that memory and descriptors do not grow in a long run under a nemesis."""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Sequence

import msgspec

from sprucenotch.config import units
from sprucenotch.settings import Problem, SettingsError
from sprucenotch.testbed.checker.ledger import Finding
from sprucenotch.testbed.plan import SECOND, Plan
from sprucenotch.testbed.runner import SecondStats

MIN_LENGTH = 20.0  # seconds: in shorter runs the quarters are not comparable
FAULT_FREE_END = 2.0  # seconds
MEMORY_GROWTH = 0.02  # allowed growth of the median from the third quarter to the last, as a share
GAUGES = {"resident_memory_bytes": "memory", "open_descriptors": "descriptors"}
DESCRIPTOR_GROWTH = 8  # allowed, as the number of open connections varies


def stretch(plan: Plan, lasts: str) -> Plan:
    """Return the plan with that length. Raises SettingsError."""
    length = units.parse(lasts, units.NANOSECONDS)
    if length is None or not MIN_LENGTH * SECOND <= length <= 3600 * SECOND:
        raise SettingsError(
            [Problem("--for", f"is {lasts!r}, where a time such as 10m, from 20s to 1h, is allowed")]
        )
    if plan.nemesis is None:
        raise SettingsError(
            [Problem("nemesis", "is missing in the plan, and a soak needs it to draw faults")]
        )
    nemesis = msgspec.structs.replace(plan.nemesis, end=length - int(FAULT_FREE_END * SECOND))
    return plan._replace(length=length / SECOND, nemesis=nemesis)


def quarters(seconds: Sequence[SecondStats], name: str) -> dict[str, tuple[float, float]]:
    """The medians of a gauge in the third and in the last quarter, for each sidecar that has both."""
    end = max(second.at for second in seconds)
    series: dict[str, tuple[list[float], list[float]]] = defaultdict(lambda: ([], []))
    for second in seconds:
        if second.at >= end / 2:
            for sidecar, gauges in second.gauges.items():
                if name in gauges:
                    series[sidecar][second.at >= end * 3 / 4].append(gauges[name])
    return {n: (statistics.median(a), statistics.median(b)) for n, (a, b) in series.items() if a and b}


def judge(seconds: Sequence[SecondStats]) -> list[Finding]:
    """Return a finding for each gauge that grew from the third quarter to the last."""
    found = []
    for gauge, what in GAUGES.items():
        for sidecar, (before, after) in quarters(seconds, gauge).items():
            allowed_growth = DESCRIPTOR_GROWTH if what == "descriptors" else before * MEMORY_GROWTH
            if after > before + allowed_growth:
                description = f"{sidecar}: {what} grew from {before:.0f} to {after:.0f} in the last quarter"
                found.append(Finding(f"{what} grow", sidecar, seconds[-1].at, description))
    return found


def summary(seconds: Sequence[SecondStats]) -> str:
    """The figures that `judge` compares, as text."""
    lines = []
    for gauge, what in GAUGES.items():
        scale, unit = (1e6, " MB") if what == "memory" else (1.0, "")
        figures = ", ".join(
            f"{name} {before / scale:.1f} and {after / scale:.1f}{unit}"
            for name, (before, after) in sorted(quarters(seconds, gauge).items())
        )
        lines.append(f"  {what}, median of the third and of the last quarter: {figures}")
    return "\n".join(lines)

"""Renders a run as a self-contained HTML page: results, findings with their time lines, plots as SVG.

`seconds` is the list of a run's measurements, one entry for each second. Times in plots and fault intervals
are in seconds since the first request; `draw` is a function that draws measurements on axes.
"""

from __future__ import annotations

import io
from collections import defaultdict
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")
from jinja2 import Environment, PackageLoader, StrictUndefined
from matplotlib import pyplot as plt
from matplotlib.axes import Axes

from sprucenotch.testbed.checker.history import Event, Fault
from sprucenotch.testbed.run_store import Row, Store
from sprucenotch.testbed.runner import SecondStats
from sprucenotch.testbed.summary import OUTCOMES

COLOURS = {"served": "#2b8a3e", "late": "#e8a317", "refused": "#4c78a8", "failed": "#c92a2a"}
WIDTH, HEIGHT = 10.0, 2.6  # inches
MAX_FINDINGS = 50  # shown with their time lines; the others are only counted


class FaultInterval:
    """A fault and the interval in which it was active."""

    def __init__(self, fault: Fault, began: float, end: float) -> None:
        self.do, self.befalls = fault.do, fault.befalls
        self.begin, self.end = fault.at - began, end - began


def fault_intervals(history: Sequence[Event], began: float, end: float) -> list[FaultInterval]:
    """The faults of a history, in seconds since the first request, whose time in the history is `began`."""
    begun: dict[int, Fault] = {}
    found = []
    for event in history:
        if isinstance(event, Fault) and event.on:
            begun[event.number] = event
        elif isinstance(event, Fault) and event.number in begun:
            start = begun.pop(event.number)
            found.append(FaultInterval(start, began, event.at))
    found += [FaultInterval(start, began, end) for start in begun.values()]
    return sorted(found, key=lambda interval: interval.begin)


def plots(seconds: Sequence[SecondStats], faults: Sequence[FaultInterval]) -> dict[str, str]:
    """The plots as SVG, by title."""
    return {
        "Service, as the clients saw it": _plot(seconds, faults, _service),
        "Cuts of the sidecars": _plot(seconds, faults, _gauge("cut", "level below which it refuses")),
        "What the engines hold": _plot(seconds, faults, _engines),
        "Memory of the sidecars": _plot(seconds, faults, _gauge("resident_memory_bytes", "MB", 1e6, False)),
        "Faults": _faults(seconds, faults),
    }


def _plot(seconds: Sequence[SecondStats], faults: Sequence[FaultInterval], draw: Any) -> str:
    figure, axes = plt.subplots(figsize=(WIDTH, HEIGHT), layout="constrained")
    draw(axes, seconds)
    for interval in faults:
        axes.axvspan(interval.begin, interval.end, color="#c92a2a", alpha=0.07, lw=0)
    axes.set_xlim(0, max(second.at for second in seconds))
    axes.set_xlabel("seconds")
    axes.grid(alpha=0.3)
    return _svg(figure)


def _svg(figure: Any) -> str:
    raw = io.StringIO()
    figure.savefig(raw, format="svg", metadata={"Date": None})
    plt.close(figure)
    return raw.getvalue()[raw.getvalue().index("<svg") :]


def _service(axes: Axes, seconds: Sequence[SecondStats]) -> None:
    at, below = [s.at for s in seconds], [0.0] * len(seconds)
    for outcome in OUTCOMES:
        counts = [float(sum(n for (_, how), n in s.ended.items() if how == outcome)) for s in seconds]
        top = [a + b for a, b in zip(below, counts, strict=True)]
        axes.fill_between(at, below, top, step="pre", color=COLOURS[outcome], label=outcome, alpha=0.85)
        below = top
    axes.set_ylabel("requests a second")
    _legend(axes)


def _gauge(name: str, unit: str, scale: float = 1.0, from_zero: bool = True) -> Any:
    def draw(axes: Axes, seconds: Sequence[SecondStats]) -> None:
        series: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for second in seconds:
            for sidecar, gauges in second.gauges.items():
                series[sidecar].append((second.at, gauges.get(name, 0.0) / scale))
        _lines(axes, series)
        axes.set_ylabel(unit)
        if from_zero:
            axes.set_ylim(bottom=0)

    return draw


def _engines(axes: Axes, seconds: Sequence[SecondStats]) -> None:
    series: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for second in seconds:
        for engine, held in second.held.items():
            series[engine].append((second.at, float(held)))
    _lines(axes, series)
    axes.set_ylabel("requests held")
    axes.set_ylim(bottom=0)


def _lines(axes: Axes, series: Mapping[str, Sequence[tuple[float, float]]]) -> None:
    for name, points in sorted(series.items()):
        axes.plot(*zip(*points, strict=True), label=name, lw=1.2, marker="." if len(points) < 3 else "")
    if 0 < len(series) <= 8:
        _legend(axes)


def _legend(axes: Axes) -> None:
    axes.legend(loc="lower left", bbox_to_anchor=(0, 1), ncols=8, fontsize=8, frameon=False)


def _faults(seconds: Sequence[SecondStats], faults: Sequence[FaultInterval]) -> str:
    height = 0.8 + 0.28 * max(1, len(faults))
    figure, axes = plt.subplots(figsize=(WIDTH, height), layout="constrained")
    for row, interval in enumerate(faults):
        axes.barh(
            row, max(interval.end - interval.begin, 0.05), left=interval.begin, color="#c92a2a", alpha=0.6
        )
        axes.text(
            interval.begin, row, f" {interval.do}: {_abbreviate(interval.befalls)}", va="center", fontsize=7
        )
    axes.set_yticks([])
    axes.set_ylim(len(faults) - 0.4, -0.6)
    axes.set_xlim(0, max(second.at for second in seconds))
    axes.set_xlabel("seconds")
    return _svg(figure)


def _abbreviate(names: Sequence[str]) -> str:
    more = f" and {len(names) - 3} more" if len(names) > 3 else ""
    return ", ".join(names[:3]) + more


def render_page(store: Store, row: Row) -> str:
    """The run as HTML."""
    seconds, history = store.seconds(row.id), store.history(row.id)
    faults = fault_intervals(history, row.result.began, row.result.seconds)
    environment = Environment(
        loader=PackageLoader("sprucenotch.testbed"), autoescape=True, undefined=StrictUndefined,
        trim_blocks=True, lstrip_blocks=True,
    )  # fmt: skip
    return environment.get_template("report.html").render(
        row=row, result=row.result, plots=plots(seconds, faults) if seconds else {}, faults=faults,
        outcomes=OUTCOMES, findings=row.result.findings[:MAX_FINDINGS],
        more=max(0, len(row.result.findings) - MAX_FINDINGS), some=_abbreviate,
    )  # fmt: skip


def write(store: Store, row: Row, to: Path) -> None:
    """Write the page to a file. Raises OSError."""
    to.write_text(render_page(store, row))

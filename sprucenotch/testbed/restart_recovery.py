"""Measures how fast service recovers after sidecar restarts, with and without state kept on disk.

There are three cases: one sidecar is replaced; all are replaced, a tenth at a time; and seven in ten are
killed at the same time and restart with the server list of the beginning, after half of the engines were
replaced. Runs with and without state are paired by seed.
"""

from __future__ import annotations

import json
import statistics
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import NamedTuple

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot as plt

from sprucenotch.testbed import plan as plans
from sprucenotch.testbed.checker.history import Ended, Event, Process, Sent
from sprucenotch.testbed.compare import Comparison, interval
from sprucenotch.testbed.plan import Class
from sprucenotch.testbed.summary import outcome

FIRST_RESTART_AT = 4.0  # seconds
JUDGED_AFTER = 10.0  # seconds from then on that are evaluated
WINDOW = 1.0  # seconds over which the service level is averaged
RECOVERED_SHARE = 0.9  # of the service level before
STATES = ("none", "folder")
CASES = {
    "one": '{ do = "restart", on = "sidecar-0", how = "upgrade", at = "4s" }',
    "tenth": '{ do = "restart", on = "sidecar-*", how = "upgrade", at = "4s", stagger = "900ms" }',
    "most": """{ do = "replace", on = "engine-*", share = 0.5, at = "500ms", notice = "500ms" },
    { do = "restart", on = "sidecar-*", share = 0.7, how = "kill", knowing = "first", at = "4s" }""",
}
TITLES = {
    "one": "one of ten replaced",
    "tenth": "all ten replaced, one after the other",
    "most": "seven in ten killed at once, lists stale",
}
PLAN = """
title = "{title}, state {state}"
length = "14s"
settle = "500ms"
fleet = {{ sidecars = 10, engines = 10, discovery = "on_request", state = "{state}" }}
load = {{ share = 0.5 }}
step = [
    {steps}
]
"""
FIGURES = {
    "ready": "time to ready, median of a run, s",
    "slowest": "time to ready, longest of a run, s",
    "returned": "time to nine tenths of the service before, s",
    "lost": "worth lost in the first 10 s, share",
    "lists": "calls to discovery",
    "connections": "connections made",
}


def plan(case: str, state: str) -> str:
    """Return the plan of a case as text."""
    return PLAN.format(title=TITLES[case], state=state, steps=CASES[case])


class Figures(NamedTuple):
    """The figures of one run; the fields are those of `FIGURES`."""

    ready: float
    slowest: float
    returned: float
    lost: float
    lists: float
    connections: float


class _Worth(NamedTuple):
    """The worth of one call, and how much of it was served."""

    at: float  # seconds from the first restart
    asked: float
    served: float


def measure(source: str, history: Sequence[Event], logs: Mapping[str, str], began: float) -> Figures:
    """Compute the figures of a run. `began` is the time of the first request in the history."""
    classes = {c.name: c for c in plans.decode(source.encode()).classes}
    worths = _worths(history, classes, began + FIRST_RESTART_AT)
    ready_times = _ready_times(history)
    before = _share([w for w in worths if -FIRST_RESTART_AT + 1 <= w.at < 0])
    after = [w for w in worths if 0 <= w.at < JUDGED_AFTER]
    lives = [text for name, text in logs.items() if not name.endswith(".0")]
    return Figures(
        statistics.median(ready_times), max(ready_times), _recovery_time(after, RECOVERED_SHARE * before),
        max(0.0, before - _share(after)), _status_sum(lives, "lists_asked"),
        _status_sum(lives, "handshakes"),
    )  # fmt: skip


def _worths(history: Sequence[Event], classes: Mapping[str, Class], origin: float) -> list[_Worth]:
    ended = {e.id: e for e in history if isinstance(e, Ended)}
    found = []
    for sent in (e for e in history if isinstance(e, Sent) and not e.repeat):
        cls = classes[sent.cls]
        served = outcome(cls, sent, ended.get(sent.id)) == "served"
        found.append(_Worth(sent.due - origin, float(cls.worth), float(cls.worth) * served))
    return sorted(found)


def _share(worths: Sequence[_Worth]) -> float:
    return sum(w.served for w in worths) / max(1e-9, sum(w.asked for w in worths))


def _recovery_time(after: Sequence[_Worth], threshold: float) -> float:
    """The end of the last window below that service level, in seconds; 0 if there is none."""
    last = 0.0
    for tenth in range(int((JUDGED_AFTER - WINDOW) * 10) + 1):
        begin = tenth / 10
        inside = [w for w in after if begin <= w.at < begin + WINDOW]
        if inside and _share(inside) < threshold:
            last = begin + WINDOW
    return last


def _ready_times(history: Sequence[Event]) -> list[float]:
    lives = [e for e in history if isinstance(e, Process) and e.life > 0]
    started = {(e.name, e.life): e.at for e in lives if e.what == "started"}
    return [e.at - started[e.name, e.life] for e in lives if e.what == "ready"]


def _status_sum(logs: Sequence[str], name: str) -> float:
    lines = (line for text in logs for line in text.splitlines() if '"status"' in line)
    return float(sum(json.loads(line).get(name, 0) for line in lines))


def compared(by_state: Mapping[str, Mapping[int, Figures]]) -> dict[str, Comparison]:
    """Differences with state minus without, by figure, over the seeds that both have."""
    without_state, with_state = (by_state[state] for state in STATES)
    seeds = sorted(without_state.keys() & with_state.keys())
    return {
        name: interval([getattr(with_state[s], name) - getattr(without_state[s], name) for s in seeds])
        for name in FIGURES
    }


def draw(found: Mapping[str, Mapping[str, Mapping[int, Figures]]], out: Path) -> None:
    """Draw every run as a point, with figures in rows and cases in columns. Raises OSError."""
    rows, columns = len(FIGURES), len(found)
    figure, grid = plt.subplots(rows, columns, figsize=(4 * columns, 2.2 * rows), squeeze=False)
    for column, (case, by_state) in enumerate(found.items()):
        for row, (name, meaning) in enumerate(FIGURES.items()):
            axes = grid[row][column]
            points = [[getattr(run, name) for run in by_state[state].values()] for state in STATES]
            axes.boxplot(points, orientation="horizontal", widths=0.5, showfliers=False)
            for level, values in enumerate(points, 1):
                axes.plot(values, [level] * len(values), ".", color="#4c78a8", alpha=0.5)
            axes.set_yticks((1, 2), ("without", "with state"))
            axes.set_xlim(left=0)
            axes.set_xlabel(meaning, fontsize=8)
            if not row:
                axes.set_title(TITLES[case], fontsize=9)
    figure.tight_layout()
    figure.savefig(out, metadata={"Date": None})
    plt.close(figure)

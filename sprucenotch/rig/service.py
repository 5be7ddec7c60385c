"""How fast service returns when sidecars start anew: runs with and without what the process before left.

Each run is one of three: a sidecar replaced; all, a tenth at a time; seven in ten killed at one moment with
the list of the run's start, after half of the engines were replaced. Everything is paired by seed.
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

from sprucenotch.rig import plan as plans
from sprucenotch.rig.compare import Comparison, interval
from sprucenotch.rig.plan import Class
from sprucenotch.rig.summary import outcome
from sprucenotch.rig.truth.history import Ended, Event, Process, Sent

AT = 4.0  # seconds at which the first sidecar starts anew
AFTER = 10.0  # seconds of service judged from then on
WINDOW = 1.0  # seconds over which service is taken
RETURNED = 0.9  # of the service before
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
    """The text of a case's plan."""
    return PLAN.format(title=TITLES[case], state=state, steps=CASES[case])


class Return(NamedTuple):
    """What one run shows; the fields are those of `FIGURES`."""

    ready: float
    slowest: float
    returned: float
    lost: float
    lists: float
    connections: float


class _Worth(NamedTuple):
    at: float  # seconds from the first restart
    asked: float
    served: float


def measure(source: str, history: Sequence[Event], logs: Mapping[str, str], began: float) -> Return:
    """`began`: the time of the first request in the history."""
    classes = {c.name: c for c in plans.decode(source.encode()).classes}
    worths = _worths(history, classes, began + AT)
    took = _took_ready(history)
    before = _share([w for w in worths if -AT + 1 <= w.at < 0])
    after = [w for w in worths if 0 <= w.at < AFTER]
    lives = [text for name, text in logs.items() if not name.endswith(".0")]
    return Return(
        statistics.median(took), max(took), _returned(after, RETURNED * before),
        max(0.0, before - _share(after)), _counted(lives, "lists_asked"), _counted(lives, "handshakes"),
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


def _returned(after: Sequence[_Worth], least: float) -> float:
    """When the last window ended that was below; 0 where none was."""
    last = 0.0
    for tenth in range(int((AFTER - WINDOW) * 10) + 1):
        begin = tenth / 10
        inside = [w for w in after if begin <= w.at < begin + WINDOW]
        if inside and _share(inside) < least:
            last = begin + WINDOW
    return last


def _took_ready(history: Sequence[Event]) -> list[float]:
    lives = [e for e in history if isinstance(e, Process) and e.life > 0]
    started = {(e.name, e.life): e.at for e in lives if e.what == "started"}
    return [e.at - started[e.name, e.life] for e in lives if e.what == "ready"]


def _counted(logs: Sequence[str], name: str) -> float:
    lines = (line for text in logs for line in text.splitlines() if '"status"' in line)
    return float(sum(json.loads(line).get(name, 0) for line in lines))


def compared(by_state: Mapping[str, Mapping[int, Return]]) -> dict[str, Comparison]:
    """With the state less without, by figure, over the seeds that both have."""
    without, having = (by_state[state] for state in STATES)
    seeds = sorted(without.keys() & having.keys())
    return {
        name: interval([getattr(having[s], name) - getattr(without[s], name) for s in seeds])
        for name in FIGURES
    }


def draw(found: Mapping[str, Mapping[str, Mapping[int, Return]]], out: Path) -> None:
    """Every run as a point: figures in rows, cases in columns. Raises OSError."""
    rows, columns = len(FIGURES), len(found)
    figure, grid = plt.subplots(rows, columns, figsize=(4 * columns, 2.2 * rows), squeeze=False)
    for column, (case, by_state) in enumerate(found.items()):
        for row, (name, meaning) in enumerate(FIGURES.items()):
            axes = grid[row][column]
            points = [[getattr(one, name) for one in by_state[state].values()] for state in STATES]
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

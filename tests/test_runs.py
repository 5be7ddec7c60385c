"""Runs: stored, resumed, compared and interrupted; failures are reported in one line."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path

import msgspec
import pytest
import uvloop

from sprucenotch.cli.rig import SCENARIOS, load
from sprucenotch.testbed import plan, report, soak
from sprucenotch.testbed.compare import compare
from sprucenotch.testbed.process import ProcessError, RunError
from sprucenotch.testbed.revision import ROOT, Program
from sprucenotch.testbed.run_store import Row, Store, StoreError
from sprucenotch.testbed.runner import PlanRun, Result, SecondStats
from sprucenotch.testbed.sidecar import AddressError
from sprucenotch.testbed.summary import Summary
from sprucenotch.testbed.sweep import Job, pending_jobs

SMOKE = """
title = "a little of everything"
length = "3s"
settle = "100ms"
fleet = { sidecars = 2, engines = 4, engines_apart = true, discovery_apart = true, peers = true }
load = { repeat = "after", tenants = [{ name = "acme", share = 1.0 }] }
step = [
    { do = "pause", on = "engine-0", at = "300ms", lasts = "500ms" },
    { do = "cut", source = "sidecar-0", target = "engine-1", at = "500ms", lasts = "500ms" },
    { do = "restart", on = "sidecar-1", how = "kill", knowing = "first", at = "700ms" },
    { do = "replace", on = "engine-2", notice = "200ms", at = "800ms" },
    { do = "datagrams", source = "sidecar-0", target = "sidecar-1", lost = 0.5, at = "0s", lasts = "1s" },
    { do = "delay", source = "client", target = "sidecar-0", by = "5ms", at = "1s", lasts = "500ms" },
    { do = "slow cpu", on = "sidecar-0", cpu = 0.5, at = "1500ms", lasts = "300ms" },
    { do = "discovery", at = "1800ms", lasts = "300ms" },
]
"""


def test_smoke_run_with_most_faults_breaks_no_rule_and_renders_a_report(tmp_path: Path) -> None:
    play = PlanRun(plan.decode(SMOKE.encode()), seed=1)
    result = uvloop.run(play.run())
    assert result.findings == [] and result.summary.outcomes["served"] > 100
    assert {"lost", "overdue", "not made", "telemetry untrue"} <= {r for r, n in result.judged.items() if n}
    with Store(tmp_path / "runs") as store:
        store.add(SMOKE, result, play.seconds, play.environment.history, play.logs)
        [row] = store.rows()
        assert row.result == result and store.history(row.id) == play.environment.history
        assert store.seconds(row.id) == play.seconds and "sidecar-1.1" in store.logs(row.id)
        page = report.render_page(store, row)
    assert page.count("<svg") == 5 and "http-equiv" not in page and "<script" not in page


def result(seed: int, worth: float, revision: str = "r") -> Result:
    return Result(
        title="t", seed=seed, revision=revision, began=0.0, seconds=1.0,
        summary=Summary(worth, {}), findings=[],
        judged={}, excused={}, faults=[], lateness={"median": 0.0, "p99": 0.0, "most": 0.0}, held_back=0,
        interrupted=False,
    )  # fmt: skip


def test_sweep_resumes_with_missing_seeds_and_a_full_store_keeps_its_runs(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("sprucenotch.testbed.revision.name", lambda revision: "r")
    with Store(tmp_path / "runs") as store:
        store.add("a", result(1, 0.5))
        store.add("a", msgspec.structs.replace(result(2, 0.5), interrupted=True))
        store.add("b", result(3, 0.5))
        left = pending_jobs(store, [Job("a", "a", seed) for seed in (1, 2, 3)])
        assert [job.seed for job in left] == [2, 3]
        store._database.execute("PRAGMA max_page_count = 12")
        with pytest.raises(StoreError, match="full"):
            store.add("a", result(4, 0.5), logs={"x": os.urandom(100_000).hex()})
        assert [row.result.seed for row in store.rows()] == [1, 2, 3]
    (tmp_path / "none").mkdir()
    with pytest.raises(StoreError):
        Store(tmp_path / "none")


def test_compare_shows_a_real_difference_and_not_noise() -> None:
    def rows(worths: list[float]) -> dict[int, Row]:
        return {seed: Row(seed, "", "", True, result(seed, worth)) for seed, worth in enumerate(worths)}

    noise = [0.01, -0.02, 0.015, -0.01, 0.005, -0.005, 0.02, -0.015]
    first = rows([0.8 + n for n in noise])
    worse = compare(first, rows([0.7 + n for n in reversed(noise)]))
    same = compare(first, rows([0.8 + n for n in reversed(noise)]))
    assert worse.significant and worse.low <= worse.difference <= worse.high < 0
    assert not same.significant and same.pairs == 8
    with pytest.raises(RunError, match="too few"):
        compare(first, rows([0.8]))


@pytest.mark.parametrize(("grows", "found"), [(0.0, set()), (0.5, {"memory grow"})])
def test_soak_reports_memory_that_grows_in_the_second_half(grows: float, found: set[str]) -> None:
    seconds = []
    for n in range(1, 101):
        memory = 30e6 + grows * 1e5 * max(0, n - 50)
        gauges = {"sidecar-0": {"resident_memory_bytes": memory, "open_descriptors": 20.0 + n % 5}}
        seconds.append(SecondStats(float(n), Counter(), {}, {}, {}, gauges))
    assert {finding.rule for finding in soak.judge(seconds)} == found


@pytest.mark.parametrize(
    ("exit_argument", "error", "message"),
    [
        ("'no such thing'", ProcessError, r"sidecar-0: .* code 1: no such thing"),
        ("3", AddressError, "sidecar-0: "),
    ],
)
def test_run_with_a_sidecar_that_exits_at_start_raises_its_error(
    exit_argument: str, error: type[RunError], message: str
) -> None:
    programs = {"sidecar-0": Program((sys.executable, "-c", f"raise SystemExit({exit_argument})"))}
    with pytest.raises(error, match=message):
        uvloop.run(PlanRun(plan.decode(SMOKE.encode()), 1, programs=programs).run())


def test_interrupted_run_is_stored_and_leaves_no_process(tmp_path: Path) -> None:
    store = tmp_path / "runs"
    arguments = ("rig", "run", "paused-process", "--store", str(store))
    with subprocess.Popen(
        (sys.executable, "-m", "sprucenotch", *arguments), cwd=ROOT, stdout=subprocess.PIPE, text=True
    ) as running:
        assert running.stdout is not None
        running.stdout.readline()  # printed after the first second
        children = Path(f"/proc/{running.pid}/task/{running.pid}/children").read_text().split()
        running.send_signal(signal.SIGINT)
        output = running.stdout.read()
    assert running.returncode == 130 and "interrupted" in output
    assert len(children) >= 4 and not any(Path(f"/proc/{child}").exists() for child in children)
    with Store(store) as reopened:
        [row] = reopened.rows()
    assert row.result.interrupted and not row.counts


def test_shipped_scenarios_all_load() -> None:
    shipped = sorted(SCENARIOS.glob("*.toml"))
    assert len(shipped) >= 10
    assert all(load(path.stem).length > 0 for path in shipped)

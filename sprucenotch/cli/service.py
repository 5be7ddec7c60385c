"""`sprucenotch rig service`: measures how fast service recovers after sidecar restarts."""

from __future__ import annotations

import statistics
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from sprucenotch.cli.output import Exit, fail
from sprucenotch.cli.rig import LAB, Jobs, Seeds, StoreFile, exit_with, parse_seeds, run_missing
from sprucenotch.testbed.process import RunError
from sprucenotch.testbed.run_store import Store
from sprucenotch.testbed.sweep import Job


def service(
    seeds: Seeds = "1..30",
    store: StoreFile = Path("service.sqlite"),
    jobs: Jobs = 2,
    out: Annotated[Path, typer.Option(help="SVG file to write.")] = Path("service.svg"),
) -> None:
    """Measure how fast service recovers after sidecar restarts, with and without state kept on disk."""
    try:
        from sprucenotch.testbed import restart_recovery as returns
    except ImportError as problem:
        fail(Exit.BAD_INPUT, f"{problem.name} is not installed; {LAB}")
    found: dict[str, dict[str, dict[int, returns.Figures]]] = {}
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        wanted: dict[tuple[str, str], list[Job]] = {}
        for case in returns.CASES:
            for state in returns.STATES:
                file, source = Path(folder) / f"{case}-{state}.toml", returns.plan(case, state)
                file.write_text(source)
                wanted[case, state] = [Job(str(file), source, seed) for seed in parse_seeds(seeds)]
        # Ordered by seed, so that the runs that are compared are made at about the same time.
        rows = run_missing(store, [job for turn in zip(*wanted.values(), strict=True) for job in turn], jobs)
    try:
        with Store(store) as kept:
            for (case, state), group in wanted.items():
                group_rows = [row for row in rows if row.plan == group[0].source]
                found.setdefault(case, {})[state] = {
                    row.result.seed: returns.measure(
                        row.plan, kept.history(row.id), kept.logs(row.id), row.result.began
                    )
                    for row in group_rows
                }
        for case, by_state in found.items():
            print(f"{returns.TITLES[case]}:")
            for name, difference in returns.compared(by_state).items():
                means = (
                    statistics.fmean(getattr(r, name) for r in by_state[s].values()) for s in returns.STATES
                )
                both = " and ".join(f"{mean:.3f}" for mean in means)
                print(
                    f"  {returns.FIGURES[name]}: {both} without and with it; {difference.difference:+.3f} "
                    f"({difference.low:+.3f} to {difference.high:+.3f}, {difference.pairs} pairs)"
                )
        returns.draw(found, out)
    except RunError as problem:
        exit_with(problem)
    except OSError as problem:
        fail(Exit.BAD_INPUT, f"{out} cannot be written: {problem.strerror}")
    raise typer.Exit(Exit.NO if any(row.result.findings for row in rows) else Exit.FINE)

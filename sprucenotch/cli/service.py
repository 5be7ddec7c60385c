"""`sprucenotch rig service`: how fast service returns when sidecars start anew."""

from __future__ import annotations

import statistics
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from sprucenotch.cli.output import Exit, fail
from sprucenotch.cli.rig import LAB, Jobs, Seeds, StoreFile, broken, seeds_of, swept
from sprucenotch.rig.process import RigError
from sprucenotch.rig.store import Store
from sprucenotch.rig.sweep import Job


def service(
    seeds: Seeds = "1..30",
    store: StoreFile = Path("service.sqlite"),
    jobs: Jobs = 2,
    out: Annotated[Path, typer.Option(help="Where to draw it, as SVG.")] = Path("service.svg"),
) -> None:
    """Measure how fast service returns when sidecars start anew, with and without what was kept."""
    try:
        from sprucenotch.rig import service as returns
    except ImportError as problem:
        fail(Exit.BAD_INPUT, f"{problem.name} is not there; {LAB}")
    found: dict[str, dict[str, dict[int, returns.Figures]]] = {}
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        wanted: dict[tuple[str, str], list[Job]] = {}
        for case in returns.CASES:
            for state in returns.STATES:
                file, source = Path(folder) / f"{case}-{state}.toml", returns.plan(case, state)
                file.write_text(source)
                wanted[case, state] = [Job(str(file), source, seed) for seed in seeds_of(seeds)]
        # By seed, so that what is compared was played at about the same time.
        rows = swept(store, [job for turn in zip(*wanted.values(), strict=True) for job in turn], jobs)
    try:
        with Store(store) as kept:
            for (case, state), group in wanted.items():
                mine = [row for row in rows if row.plan == group[0].source]
                found.setdefault(case, {})[state] = {
                    row.result.seed: returns.measure(
                        row.plan, kept.history(row.id), kept.logs(row.id), row.result.began
                    )
                    for row in mine
                }
        for case, by_state in found.items():
            print(f"{returns.TITLES[case]}:")
            for name, gap in returns.compared(by_state).items():
                means = (
                    statistics.fmean(getattr(r, name) for r in by_state[s].values()) for s in returns.STATES
                )
                told = " and ".join(f"{mean:.3f}" for mean in means)
                print(
                    f"  {returns.FIGURES[name]}: {told} without and with it; {gap.difference:+.3f} "
                    f"({gap.low:+.3f} to {gap.high:+.3f}, {gap.pairs} pairs)"
                )
        returns.draw(found, out)
    except RigError as problem:
        broken(problem)
    except OSError as problem:
        fail(Exit.BAD_INPUT, f"{out} cannot be written: {problem.strerror}")
    raise typer.Exit(Exit.NO if any(row.result.findings for row in rows) else Exit.FINE)

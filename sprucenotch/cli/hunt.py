"""`sprucenotch rig hunt`: faults that overlap, drawn by seed, and what they break made smaller."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer
import uvloop

from sprucenotch.cli.output import Exit, fail
from sprucenotch.cli.rig import Jobs, Seeds, StoreFile, broken, progress, seeds_of
from sprucenotch.config import units
from sprucenotch.rig.hunt import campaign
from sprucenotch.rig.hunt.campaign import Campaign, Find, Total
from sprucenotch.rig.process import RigError
from sprucenotch.rig.sweep import Failed, Job

MIN_LENGTH, MAX_LENGTH = 8.0, 600.0  # seconds of a run
LINES = 25  # of the time line that a find shows


def hunt(
    seeds: Seeds = "1..20",
    lasts: Annotated[str, typer.Option("--for", help="Of a run, such as 20s.")] = "20s",
    store: StoreFile = Path("hunt.sqlite"),
    folder: Annotated[Path, typer.Option(help="Where the plans of the runs are left.")] = Path("found"),
    jobs: Jobs = 4,
    command: Annotated[
        str, typer.Option(help="That starts a sidecar, in place of this tree's own; for planted faults.")
    ] = "",
    smaller: Annotated[bool, typer.Option(help="Make the first schedule that breaks a rule smaller.")] = True,
    trace: Annotated[
        bool, typer.Option("--trace", help="Have sidecars log each attempt, and match it with the servers.")
    ] = False,
    again: Annotated[int, typer.Option(help="Play a smaller one again so often.", min=1, max=50)] = 5,
) -> None:
    """Play runs with faults that overlap, drawn by seed, and tell what they broke. Runs that are in the store
    are not done again; Ctrl-C keeps what is done. Exit code 1 where something was broken, 4 where nothing was
    but a run of the testbed itself crashed."""
    length = units.parse(lasts, units.NANOSECONDS)
    if length is None or not MIN_LENGTH <= length / 1e9 <= MAX_LENGTH:
        fail(Exit.BAD_INPUT, f"--for is {lasts!r}, where a time from 8s to 600s is allowed")
    wanted = seeds_of(seeds)
    held = Campaign(store, folder, length / 1e9, jobs, command, trace)
    interrupted = False
    failed: list[Failed] = []
    try:
        failed = _play(held, wanted)
    except KeyboardInterrupt:
        interrupted = True
    except RigError as problem:
        broken(problem)
    rows = held.rows(wanted)
    found = campaign.finds(rows, failed)
    for find in found:
        print(told(find, lasts, command, folder))
    crashes = [one for one in failed if one.crashed]
    for crash in crashes:
        print(f"CRASHED, proves nothing: seed {crash.job.seed}: {crash.said}")
        print(f"  its trace and logs: {folder}/failed")
    print(summed(campaign.total(rows, failed), found))
    if interrupted:
        fail(Exit.INTERRUPTED, f"interrupted; what was done is in {store}, and the same command goes on")
    if smaller:
        for find in {find.rule: find for find in reversed(found)}.values():
            _make_smaller(held, find, again, folder)
    raise typer.Exit(Exit.NO if found else Exit.LATE if crashes else Exit.FINE)


def _play(held: Campaign, wanted: list[int]) -> list[Failed]:
    with progress() as bar:
        task = bar.add_task("runs", total=len(wanted))

        def each(job: Job) -> None:
            bar.advance(task)

        return uvloop.run(held.play(wanted, each))


def told(find: Find, lasts: str, command: str, folder: Path) -> str:
    """A find as it is printed: rule, request, time line over all processes, and how to play it again."""
    started = f' --command "{command}"' if command else ""
    lines = [f"BROKEN {find.rule}, seed {find.seed}, {find.times} times: {find.first.said}"]
    lines += [f"    {line}" for line in find.first.time_line[:LINES]]
    lines.append(f"  the schedule: {folder}/hunt-{find.seed}.toml; again: sprucenotch rig hunt "
                 f"--seeds {find.seed} --for {lasts}{started}")  # fmt: skip
    return "\n".join(lines)


def summed(total: Total, found: list[Find]) -> str:
    faults = ", ".join(f"{name} {count}" for name, count in total.faults.most_common())
    lines = [
        f"{total.runs} runs of {total.seconds / 60:.1f} minutes in all, {total.late} more did not count; "
        f"{total.requests} requests; {len(found)} finds",
        *(f"  not played to the end, {reason}: {count}" for reason, count in total.not_played.items()),
        f"  faults: {faults}",
    ]
    for rule, count in total.judged.most_common():
        excused = total.excused[rule]
        lines.append(f"  {rule}: {count} judged, {excused} excused")
    lines += [f"  a hole: {rule} is excused in over a fifth" for rule in total.holes()]
    return "\n".join(lines)


def _make_smaller(held: Campaign, find: Find, again: int, folder: Path) -> None:
    try:
        shrunk = uvloop.run(held.shrink(find.seed, find.rule))
        hits = uvloop.run(held.rate(shrunk.schedule, find.rule, again))
    except KeyboardInterrupt:
        fail(Exit.INTERRUPTED, "interrupted while a schedule was made smaller")
    name = f"smaller-{find.seed}-{find.rule.replace(' ', '-')}"
    path = folder / f"{name}.toml"
    path.write_text(shrunk.schedule.text())
    fleet = shrunk.schedule.fleet
    print(
        f"smaller, of {find.rule}, seed {find.seed}: {len(shrunk.schedule.steps)} faults, "
        f"{fleet['sidecars']} "
        f"sidecars, {shrunk.schedule.length:g} s, after {shrunk.plays} plays; broken in {hits} of {again}: "
        f"sprucenotch rig run {path} --seed {find.seed}"
    )

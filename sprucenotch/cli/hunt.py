"""`sprucenotch rig hunt`: plays random schedules of overlapping faults, minimises those that break a rule."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer
import uvloop

from sprucenotch.cli.output import Exit, fail
from sprucenotch.cli.rig import Jobs, Seeds, StoreFile, exit_with, parse_seeds, progress
from sprucenotch.config import units
from sprucenotch.testbed.hunt import campaign
from sprucenotch.testbed.hunt.campaign import BrokenRule, Campaign, Totals
from sprucenotch.testbed.process import RunError
from sprucenotch.testbed.sweep import Failed, Job

MIN_LENGTH, MAX_LENGTH = 8.0, 600.0  # seconds of a run
MAX_TIME_LINES = 25  # of a time line that are printed


def hunt(
    seeds: Seeds = "1..20",
    lasts: Annotated[str, typer.Option("--for", help="Length of a run, such as 20s.")] = "20s",
    store: StoreFile = Path("hunt.sqlite"),
    folder: Annotated[Path, typer.Option(help="Where to write the plans of the runs.")] = Path("found"),
    jobs: Jobs = 4,
    command: Annotated[
        str, typer.Option(help="Command that starts a sidecar instead of this tree; for planted faults.")
    ] = "",
    smaller: Annotated[bool, typer.Option(help="Minimise the first schedule that breaks each rule.")] = True,
    trace: Annotated[
        bool, typer.Option("--trace", help="Make sidecars log each attempt, and compare with the servers.")
    ] = False,
    again: Annotated[int, typer.Option(help="How often to repeat a minimised schedule.", min=1, max=50)] = 5,
) -> None:
    """Play runs with overlapping faults drawn by seed, and report which rules they broke. Runs that are in
    the store are not repeated; Ctrl-C keeps finished runs. Exit code 1 if a rule was broken, 4 if none was
    but the testbed itself crashed in a run."""
    length = units.parse(lasts, units.NANOSECONDS)
    if length is None or not MIN_LENGTH <= length / 1e9 <= MAX_LENGTH:
        fail(Exit.BAD_INPUT, f"--for is {lasts!r}, but must be a time from 8s to 600s")
    wanted = parse_seeds(seeds)
    hunt_campaign = Campaign(store, folder, length / 1e9, jobs, command, trace)
    interrupted = False
    failed: list[Failed] = []
    try:
        failed = _play(hunt_campaign, wanted)
    except KeyboardInterrupt:
        interrupted = True
    except RunError as problem:
        exit_with(problem)
    rows = hunt_campaign.rows(wanted)
    found = campaign.broken_rules(rows, failed)
    for broken in found:
        print(format_broken_rule(broken, lasts, command, folder))
    crashes = [failure for failure in failed if failure.crashed]
    for crash in crashes:
        print(f"CRASHED, proves nothing: seed {crash.job.seed}: {crash.error}")
        print(f"  its trace and logs: {folder}/failed")
    print(summary(campaign.total(rows, failed), found))
    if interrupted:
        fail(Exit.INTERRUPTED, f"interrupted; finished runs are in {store}, and the same command continues")
    if smaller:
        for broken in {broken.rule: broken for broken in reversed(found)}.values():
            _minimise(hunt_campaign, broken, again, folder)
    raise typer.Exit(Exit.NO if found else Exit.LATE if crashes else Exit.FINE)


def _play(hunt_campaign: Campaign, wanted: list[int]) -> list[Failed]:
    with progress() as bar:
        task = bar.add_task("runs", total=len(wanted))

        def each(job: Job) -> None:
            bar.advance(task)

        return uvloop.run(hunt_campaign.play(wanted, each))


def format_broken_rule(broken: BrokenRule, lasts: str, command: str, folder: Path) -> str:
    """Format a broken rule: request, time line over all processes, and the command that repeats it."""
    started = f' --command "{command}"' if command else ""
    lines = [f"BROKEN {broken.rule}, seed {broken.seed}, {broken.times} times: {broken.first.said}"]
    lines += [f"    {line}" for line in broken.first.time_line[:MAX_TIME_LINES]]
    lines.append(f"  schedule: {folder}/hunt-{broken.seed}.toml; repeat with: sprucenotch rig hunt "
                 f"--seeds {broken.seed} --for {lasts}{started}")  # fmt: skip
    return "\n".join(lines)


def summary(total: Totals, found: list[BrokenRule]) -> str:
    """Format the totals of all runs."""
    faults = ", ".join(f"{name} {count}" for name, count in total.faults.most_common())
    lines = [
        f"{total.runs} runs of {total.seconds / 60:.1f} minutes in all, {total.late} more were invalid; "
        f"{total.requests} requests; {len(found)} finds",
        *(f"  not completed, {reason}: {count}" for reason, count in total.not_played.items()),
        f"  faults: {faults}",
    ]
    for rule, count in total.judged.most_common():
        excused = total.excused[rule]
        lines.append(f"  {rule}: {count} judged, {excused} excused")
    lines += [
        f"  weak check: {rule} is excused in over a fifth of the cases" for rule in total.undertested_rules()
    ]
    return "\n".join(lines)


def _minimise(hunt_campaign: Campaign, broken: BrokenRule, again: int, folder: Path) -> None:
    try:
        shrunk = uvloop.run(hunt_campaign.shrink(broken.seed, broken.rule))
        hits = uvloop.run(hunt_campaign.rate(shrunk.schedule, broken.rule, again))
    except KeyboardInterrupt:
        fail(Exit.INTERRUPTED, "interrupted while a schedule was minimised")
    name = f"smaller-{broken.seed}-{broken.rule.replace(' ', '-')}"
    path = folder / f"{name}.toml"
    path.write_text(shrunk.schedule.text())
    fleet = shrunk.schedule.fleet
    print(
        f"minimised, {broken.rule}, seed {broken.seed}: {len(shrunk.schedule.steps)} faults, "
        f"{fleet['sidecars']} "
        f"sidecars, {shrunk.schedule.length:g} s, after {shrunk.plays} runs; broken in {hits} of {again}: "
        f"sprucenotch rig run {path} --seed {broken.seed}"
    )

"""`sprucenotch rig`: plans with faults played over processes, kept, compared and reported."""

from __future__ import annotations

import asyncio
import shlex
import signal
import sys
from collections import Counter
from importlib import resources
from pathlib import Path
from typing import Annotated, NoReturn, TypeAlias

import msgspec
import typer
import uvloop
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

from sprucenotch.cli.output import AsJson, Exit, columns, fail, say_json
from sprucenotch.rig import plan as plans
from sprucenotch.rig import revision as revisions
from sprucenotch.rig import soak as soaks
from sprucenotch.rig import sweep as sweeps
from sprucenotch.rig.play import Play, Result, Second
from sprucenotch.rig.process import ProcessError, RigError
from sprucenotch.rig.revision import Program, RevisionError
from sprucenotch.rig.sidecar import AddressError
from sprucenotch.rig.store import Row, Store, StoreError
from sprucenotch.rig.summary import OUTCOMES
from sprucenotch.rig.sweep import Job
from sprucenotch.settings import SettingsError

app = typer.Typer(
    no_args_is_help=True, help="Several processes with faults between them, and what they broke."
)
CODES: dict[type[RigError], Exit] = {
    ProcessError: Exit.PROCESS, AddressError: Exit.ADDRESS, StoreError: Exit.STORE,
    RevisionError: Exit.REVISION,
}  # fmt: skip
SCENARIOS = Path(str(resources.files("sprucenotch.rig") / "scenarios"))
LAB = "pip install 'sprucenotch[lab]' brings it"

PlanName: TypeAlias = Annotated[str, typer.Argument(help="A file, or the name of a shipped scenario.")]
Seeds: TypeAlias = Annotated[str, typer.Option(help="Such as 1..50, or 3,7,11.")]
StoreFile: TypeAlias = Annotated[Path, typer.Option("--store", help="Where runs are kept.")]
Jobs: TypeAlias = Annotated[
    int, typer.Option(help="Runs side by side. Each wants two cores or three.", min=1, max=16)
]


def find(name: str) -> Path:
    """A plan by its file or the name that it is shipped under."""
    shipped = SCENARIOS / f"{name}.toml"
    return shipped if shipped.is_file() and not Path(name).is_file() else Path(name)


def load(name: str) -> plans.Plan:
    path = find(name)
    try:
        return plans.load(path)
    except SettingsError as problems:
        for problem in problems.problems:
            print(f"sprucenotch: {name}: {problem}", file=sys.stderr)
        raise typer.Exit(Exit.BAD_INPUT) from None
    except OSError as problem:
        fail(Exit.BAD_INPUT, f"{name} is neither a file nor a shipped scenario: {problem.strerror}")


def seeds_of(text: str) -> list[int]:
    found: list[int] = []
    for part in text.split(","):
        first, dots, last = part.strip().partition("..")
        if not first.isdecimal() or (dots and not last.isdecimal()):
            fail(Exit.BAD_INPUT, f"seeds are {text!r}, where such as 1..50 or 3,7,11 is allowed")
        found += range(int(first), int(last if dots else first) + 1)
    return found


def broken(problem: RigError | OSError) -> NoReturn:
    code = next((code for kind, code in CODES.items() if isinstance(problem, kind)), Exit.BAD_INPUT)
    fail(code, str(problem))


@app.command("plans")
def list_plans() -> None:
    """The shipped scenarios."""
    print(columns([(path.stem, plans.load(path).title) for path in sorted(SCENARIOS.glob("*.toml"))]))


@app.command()
def check(plan: PlanName) -> None:
    """Say whether a plan can be played, else everything that is wrong in it."""
    told = load(plan)
    what = "by seed" if told.nemesis is not None else f"{len(told.steps)} at times"
    fleet = told.fleet
    print(
        f"{told.title}: {told.length:g} s, {fleet.sidecars} sidecars, {fleet.engines} engines, "
        f"{told.rate:.0f} requests a second, faults {what}"
    )


@app.command()
def run(
    plan: PlanName,
    seed: Annotated[int, typer.Option(min=0)] = 1,
    store: Annotated[Path | None, typer.Option(help="Keep the run there.")] = None,
    revision: Annotated[str, typer.Option(help="Of the sidecars; this tree without it.")] = "",
    command: Annotated[
        str, typer.Option(help="That starts a sidecar, in place of this tree's own; for planted faults.")
    ] = "",
    keep: Annotated[
        Path | None, typer.Option(help="Leave the sidecars' files and logs in this folder.")
    ] = None,
    quiet: Annotated[bool, typer.Option("--quiet", help="Only complaints.")] = False,
    as_json: AsJson = False,
) -> None:
    """Play a plan once. Exit code 1 where a promise was broken, 4 where the rig could not keep up."""
    told = load(plan)
    if revision:
        told = told._replace(fleet=msgspec.structs.replace(told.fleet, revision=revision))
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
    silent = quiet or as_json
    programs = started_by(command, told.fleet.sidecars) if command else None
    play = Play(told, seed, (lambda second: None) if silent else _say_second, folder=keep, programs=programs)
    number = 0
    try:
        result = uvloop.run(_played(play))
        if store is not None:
            with Store(store) as kept:
                number = kept.add(told.source, result, play.seconds, play.stage.history, play.logs)
    except (RigError, OSError) as problem:
        broken(problem)
    if as_json:
        say_json({"run": number, **msgspec.to_builtins(result)})
    elif not quiet:
        print(closing(result))
        if store is not None:
            print(f"kept as run {number} in {store}")
    raise typer.Exit(verdict(result))


def started_by(command: str, sidecars: int) -> dict[str, Program]:
    """All sidecars, each started by these words in this folder."""
    program = Program(tuple(shlex.split(command)), Path.cwd())
    return {f"sidecar-{number}": program for number in range(sidecars)}


async def _played(play: Play) -> Result:
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, play.interrupt)
    return await play.run()


def verdict(result: Result) -> Exit:
    if result.interrupted:
        return Exit.INTERRUPTED
    if result.findings:
        return Exit.NO
    return Exit.LATE if result.late else Exit.FINE


def _say_second(second: Second) -> None:
    counts = Counter[str]()
    for (_, how), count in second.ended.items():
        counts[how] += count
    asked = counts.total()
    shares = ", ".join(f"{name} {counts[name] / max(1, asked):.0%}" for name in OUTCOMES)
    print(f"{second.at:4.0f} s  {asked:5d} requests: {shares}", flush=True)


def closing(result: Result) -> str:
    lines = [f"{result.title}: seed {result.seed}, revision {result.revision}"]
    for name, one in result.summary.classes.items():
        shares = ", ".join(f"{how} {one.outcomes[how] / max(1, one.asked):.1%}" for how in OUTCOMES)
        took = f"; p50 {one.latency['p50']:.0f} ms, p99 {one.latency['p99']:.0f} ms" if one.latency else ""
        lines.append(f"  {name}: {one.asked} asked, {shares}{took}")
    judged = ", ".join(
        f"{rule} {count}" + (f" ({result.excused[rule]} excused)" if result.excused.get(rule) else "")
        for rule, count in result.judged.items()
    )
    lines.append(f"  worth {result.summary.worth:.4f}; judged: {judged}")
    for rule, count in Counter(finding.rule for finding in result.findings).items():
        first = next(f for f in result.findings if f.rule == rule)
        lines.append(f"  BROKEN {rule}, {count} times; first at {first.at:.2f} s: {first.said}")
        lines += [f"    {line}" for line in first.time_line[:15]]
    if not result.findings:
        lines.append("  no promise was broken")
    if result.late:
        lines.append(
            f"  does not count: the rig was late, up to {result.lateness['most'] * 1000:.0f} ms, "
            f"{result.held_back} requests held back"
        )
    if result.interrupted:
        lines.append("  does not count: interrupted")
    return "\n".join(lines)


@app.command()
def sweep(
    names: Annotated[list[str], typer.Argument(metavar="PLAN...", help="Files, or names of scenarios.")],
    seeds: Seeds = "1..5",
    store: StoreFile = Path("rig.sqlite"),
    jobs: Jobs = 2,
    as_json: AsJson = False,
) -> None:
    """Play plans over seeds, each in a process of its own. What is in the store already is not done again."""
    wanted = [Job(name, load(name).source, seed) for name in names for seed in seeds_of(seeds)]
    rows = swept(store, wanted, jobs)
    if as_json:
        say_json([{"run": row.id, **msgspec.to_builtins(row.result)} for row in rows])
    else:
        print(table(rows))
    raise typer.Exit(Exit.NO if any(row.result.findings for row in rows) else Exit.FINE)


def swept(path: Path, wanted: list[Job], jobs: int) -> list[Row]:
    """Run what is missing; the last run that counts of each."""
    try:
        with Store(path) as store:
            left = sweeps.open_jobs(store, wanted)
            with progress() as bar:
                task = bar.add_task("runs", total=len(left))
                failed = uvloop.run(sweeps.run(path, left, jobs, lambda job: bar.advance(task)))
            for one in failed:
                print(f"sprucenotch: {one.job.plan}, seed {one.job.seed}: {one.said}", file=sys.stderr)
            if failed:
                raise typer.Exit(failed[0].code)
            return sweeps.rows(store, wanted)
    except KeyboardInterrupt:
        fail(
            Exit.INTERRUPTED,
            f"interrupted; what was done is in {path}, and the same command goes on from there",
        )
    except RigError as problem:
        broken(problem)


def progress() -> Progress:
    """A bar on a terminal, for runs that are counted."""
    from rich.console import Console

    return Progress(
        TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn(),
        disable=not sys.stderr.isatty(), console=Console(stderr=True),
    )  # fmt: skip


def table(rows: list[Row]) -> str:
    """A line a plan and revision."""
    shown: list[tuple[str, ...]] = [("plan", "revision", "runs", "worth", "least", *OUTCOMES, "findings")]
    groups: dict[tuple[str, str], list[Row]] = {}
    for row in rows:
        groups.setdefault((row.result.title, row.result.revision), []).append(row)
    for (title, name), group in groups.items():
        worths = [row.result.summary.worth for row in group]
        counts = Counter[str]()
        for row in group:
            counts.update(row.result.summary.outcomes)
        found = Counter(finding.rule for row in group for finding in row.result.findings)
        shown.append(
            (title, name, str(len(group)), f"{sum(worths) / len(worths):.4f}", f"{min(worths):.4f}",
             *(f"{counts[how] / max(1, counts.total()):.2%}" for how in OUTCOMES),
             ", ".join(f"{rule} {count}" for rule, count in found.items()) or "none")
        )  # fmt: skip
    return columns(shown)


@app.command()
def compare(
    first: Annotated[str, typer.Argument(metavar="REV")],
    second: Annotated[str, typer.Argument(metavar="REV")],
    plan: Annotated[str, typer.Option(help="A file, or the name of a scenario.")] = "all-at-once",
    seeds: Seeds = "1..10",
    store: StoreFile = Path("rig.sqlite"),
    jobs: Jobs = 2,
    as_json: AsJson = False,
) -> None:
    """Play two revisions of the sidecar over the same seeds, in turns, and say whether a difference is
    shown."""
    try:
        from sprucenotch.rig.compare import CONFIDENCE
        from sprucenotch.rig.compare import compare as compared
    except ImportError as problem:
        fail(Exit.BAD_INPUT, f"{problem.name} is not there; {LAB}")
    source = load(plan).source
    turns = [(first, second), (second, first)]
    wanted = [
        Job(plan, source, seed, name) for n, seed in enumerate(seeds_of(seeds)) for name in turns[n % 2]
    ]
    try:
        names = revisions.name(first), revisions.name(second)
        rows = swept(store, wanted, jobs)
        by_name = {n: {r.result.seed: r for r in rows if r.result.revision == n} for n in names}
        found = compared(*(by_name[name] for name in names))
    except RigError as problem:
        broken(problem)
    if as_json:
        say_json({"first": names[0], "second": names[1], **found._asdict(), "shown": found.shown})
        return
    print(table(rows))
    print(
        f"worth of {names[1]} less {names[0]}: {found.difference:+.4f}, {CONFIDENCE:.0%} interval "
        f"{found.low:+.4f} to {found.high:+.4f} over {found.pairs} paired seeds: "
        f"{'a difference is shown' if found.shown else 'no difference is shown'}"
    )


@app.command()
def report(
    store: Annotated[Path, typer.Argument(help="Where runs are kept.")],
    run: Annotated[int, typer.Option(help="Its number; the last one without it.", min=0)] = 0,
    out: Annotated[Path, typer.Option(help="The page to write.")] = Path("report.html"),
) -> None:
    """Write a run as one HTML page."""
    try:
        from sprucenotch.rig import report as reports
    except ImportError as problem:
        fail(Exit.BAD_INPUT, f"{problem.name} is not there; {LAB}")
    if not store.is_file():
        fail(Exit.BAD_INPUT, f"there is no store {store}")
    try:
        with Store(store) as kept:
            rows = [row for row in kept.rows() if run in (0, row.id)]
            if not rows:
                fail(Exit.BAD_INPUT, f"there is no run {run or ''} in {store}")
            reports.write(kept, rows[-1], out)
    except RigError as problem:
        broken(problem)
    except OSError as problem:
        fail(Exit.BAD_INPUT, f"{out} cannot be written: {problem.strerror}")
    print(f"run {rows[-1].id} is in {out}")


@app.command()
def soak(
    plan: Annotated[str, typer.Argument(help="A plan with a nemesis.")] = "soak",
    lasts: Annotated[str, typer.Option("--for", help="Such as 10m.")] = "10m",
    seed: Annotated[int, typer.Option(min=0)] = 1,
    store: Annotated[Path | None, typer.Option(help="Keep the run there.")] = None,
    as_json: AsJson = False,
) -> None:
    """Play a plan's nemesis for long: memory must not grow in the second half, no descriptor leak, nothing
    be lost."""
    try:
        told = soaks.stretch(load(plan), lasts)
    except SettingsError as problem:
        fail(Exit.BAD_INPUT, str(problem))
    play = Play(told, seed, (lambda second: None) if as_json else _say_second)
    try:
        result = uvloop.run(_played(play))
        result = msgspec.structs.replace(result, findings=[*result.findings, *soaks.judge(play.seconds)])
        if store is not None:
            with Store(store) as kept:
                kept.add(told.source, result, play.seconds, play.stage.history, play.logs)
    except (RigError, OSError) as problem:
        broken(problem)
    if as_json:
        say_json(msgspec.to_builtins(result))
    else:
        print(closing(result))
        print(soaks.summary(play.seconds))
    raise typer.Exit(verdict(result))

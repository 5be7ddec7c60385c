"""`sprucenotch rig`: plays plans with faults on real processes, and stores, compares and reports the runs."""

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

from sprucenotch.cli.output import AsJson, Exit, columns, fail, print_json
from sprucenotch.settings import SettingsError
from sprucenotch.testbed import plan as plans
from sprucenotch.testbed import revision as revisions
from sprucenotch.testbed import soak as soaks
from sprucenotch.testbed import sweep as sweeps
from sprucenotch.testbed.process import ProcessError, RunError
from sprucenotch.testbed.revision import Program, RevisionError
from sprucenotch.testbed.run_store import Row, Store, StoreError
from sprucenotch.testbed.runner import PlanRun, Result, SecondStats
from sprucenotch.testbed.sidecar import AddressError
from sprucenotch.testbed.summary import OUTCOMES
from sprucenotch.testbed.sweep import Job

app = typer.Typer(
    no_args_is_help=True, help="Testbed: run several processes with faults and check what breaks."
)
CODES: dict[type[RunError], Exit] = {
    ProcessError: Exit.PROCESS, AddressError: Exit.ADDRESS, StoreError: Exit.STORE,
    RevisionError: Exit.REVISION,
}  # fmt: skip
SCENARIOS = Path(str(resources.files("sprucenotch.testbed") / "scenarios"))
LAB = "install it with pip install 'sprucenotch[lab]'"

PlanName: TypeAlias = Annotated[str, typer.Argument(help="A file, or the name of a shipped scenario.")]
Seeds: TypeAlias = Annotated[str, typer.Option(help="Such as 1..50, or 3,7,11.")]
StoreFile: TypeAlias = Annotated[Path, typer.Option("--store", help="Database of the runs.")]
Jobs: TypeAlias = Annotated[
    int, typer.Option(help="Parallel runs. Each needs two to three cores.", min=1, max=16)
]


def find(name: str) -> Path:
    """Find a plan by file name or by the name of a shipped scenario."""
    shipped = SCENARIOS / f"{name}.toml"
    return shipped if shipped.is_file() and not Path(name).is_file() else Path(name)


def load(name: str) -> plans.Plan:
    """Load a plan. Exits with error lines if it is missing or invalid."""
    path = find(name)
    try:
        return plans.load(path)
    except SettingsError as problems:
        for problem in problems.problems:
            print(f"sprucenotch: {name}: {problem}", file=sys.stderr)
        raise typer.Exit(Exit.BAD_INPUT) from None
    except OSError as problem:
        fail(Exit.BAD_INPUT, f"{name} is neither a file nor a shipped scenario: {problem.strerror}")


def parse_seeds(text: str) -> list[int]:
    """Parse a list of seeds and ranges. Exits with an error line if it is malformed."""
    found: list[int] = []
    for part in text.split(","):
        first, dots, last = part.strip().partition("..")
        if not first.isdecimal() or (dots and not last.isdecimal()):
            fail(Exit.BAD_INPUT, f"seeds are {text!r}, but must have a form such as 1..50 or 3,7,11")
        found += range(int(first), int(last if dots else first) + 1)
    return found


def exit_with(problem: RunError | OSError) -> NoReturn:
    """Exit with the code of that error and its message."""
    code = next((code for kind, code in CODES.items() if isinstance(problem, kind)), Exit.BAD_INPUT)
    fail(code, str(problem))


@app.command("plans")
def list_plans() -> None:
    """List the shipped scenarios."""
    print(columns([(path.stem, plans.load(path).title) for path in sorted(SCENARIOS.glob("*.toml"))]))


@app.command()
def check(plan: PlanName) -> None:
    """Check a plan and list all errors in it."""
    loaded_plan = load(plan)
    faults = "drawn by seed" if loaded_plan.nemesis is not None else f"{len(loaded_plan.steps)} scheduled"
    fleet = loaded_plan.fleet
    print(
        f"{loaded_plan.title}: {loaded_plan.length:g} s, {fleet.sidecars} sidecars, {fleet.engines} engines, "
        f"{loaded_plan.rate:.0f} requests a second, faults {faults}"
    )


@app.command()
def run(
    plan: PlanName,
    seed: Annotated[int, typer.Option(min=0)] = 1,
    store: Annotated[Path | None, typer.Option(help="Store the run in this database.")] = None,
    revision: Annotated[str, typer.Option(help="Revision of the sidecars; default: this tree.")] = "",
    command: Annotated[
        str, typer.Option(help="Command that starts a sidecar instead of this tree; for planted faults.")
    ] = "",
    keep: Annotated[
        Path | None, typer.Option(help="Keep the sidecars' files and logs in this folder.")
    ] = None,
    quiet: Annotated[bool, typer.Option("--quiet", help="Print only errors.")] = False,
    as_json: AsJson = False,
) -> None:
    """Play a plan once. Exit code 1 if a rule was broken, 4 if the testbed was too slow."""
    loaded_plan = load(plan)
    if revision:
        loaded_plan = loaded_plan._replace(
            fleet=msgspec.structs.replace(loaded_plan.fleet, revision=revision)
        )
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
    silent = quiet or as_json
    programs = programs_for(command, loaded_plan.fleet.sidecars) if command else None
    play = PlanRun(
        loaded_plan, seed, (lambda second: None) if silent else _print_second, folder=keep, programs=programs
    )
    number = 0
    try:
        result = uvloop.run(_play(play))
        if store is not None:
            with Store(store) as kept:
                number = kept.add(
                    loaded_plan.source, result, play.seconds, play.environment.history, play.logs
                )
    except (RunError, OSError) as problem:
        exit_with(problem)
    if as_json:
        print_json({"run": number, **msgspec.to_builtins(result)})
    elif not quiet:
        print(report_text(result))
        if store is not None:
            print(f"stored as run {number} in {store}")
    raise typer.Exit(exit_code(result))


def programs_for(command: str, sidecars: int) -> dict[str, Program]:
    """The programs of all sidecars, each started with this command in the current folder."""
    program = Program(tuple(shlex.split(command)), Path.cwd())
    return {f"sidecar-{number}": program for number in range(sidecars)}


async def _play(play: PlanRun) -> Result:
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, play.interrupt)
    return await play.run()


def exit_code(result: Result) -> Exit:
    """The exit code for a result."""
    if result.interrupted:
        return Exit.INTERRUPTED
    if result.findings:
        return Exit.NO
    return Exit.LATE if result.late else Exit.FINE


def _print_second(second: SecondStats) -> None:
    counts = Counter[str]()
    for (_, outcome), count in second.ended.items():
        counts[outcome] += count
    requests = counts.total()
    shares = ", ".join(f"{name} {counts[name] / max(1, requests):.0%}" for name in OUTCOMES)
    print(f"{second.at:4.0f} s  {requests:5d} requests: {shares}", flush=True)


def report_text(result: Result) -> str:
    """Format the result of a run."""
    lines = [f"{result.title}: seed {result.seed}, revision {result.revision}"]
    for name, one in result.summary.classes.items():
        shares = ", ".join(
            f"{outcome} {one.outcomes[outcome] / max(1, one.asked):.1%}" for outcome in OUTCOMES
        )
        latency = f"; p50 {one.latency['p50']:.0f} ms, p99 {one.latency['p99']:.0f} ms" if one.latency else ""
        lines.append(f"  {name}: {one.asked} asked, {shares}{latency}")
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
        lines.append("  no rule was broken")
    if result.late:
        lines.append(
            f"  invalid run: the testbed was late, up to {result.lateness['most'] * 1000:.0f} ms, "
            f"{result.held_back} requests held back"
        )
    if result.interrupted:
        lines.append("  invalid run: interrupted")
    return "\n".join(lines)


@app.command()
def sweep(
    names: Annotated[
        list[str], typer.Argument(metavar="PLAN...", help="Files or names of shipped scenarios.")
    ],
    seeds: Seeds = "1..5",
    store: StoreFile = Path("rig.sqlite"),
    jobs: Jobs = 2,
    as_json: AsJson = False,
) -> None:
    """Play plans over seeds, each in its own process. Runs that are in the store already are not repeated."""
    wanted = [Job(name, load(name).source, seed) for name in names for seed in parse_seeds(seeds)]
    rows = run_missing(store, wanted, jobs)
    if as_json:
        print_json([{"run": row.id, **msgspec.to_builtins(row.result)} for row in rows])
    else:
        print(table(rows))
    raise typer.Exit(Exit.NO if any(row.result.findings for row in rows) else Exit.FINE)


def run_missing(path: Path, wanted: list[Job], jobs: int) -> list[Row]:
    """Run the jobs that are missing in the store, and return the last valid run of each job."""
    try:
        with Store(path) as store:
            left = sweeps.pending_jobs(store, wanted)
            with progress() as bar:
                task = bar.add_task("runs", total=len(left))
                failed = uvloop.run(sweeps.run(path, left, jobs, lambda job: bar.advance(task)))
            for one in failed:
                print(f"sprucenotch: {one.job.plan}, seed {one.job.seed}: {one.error}", file=sys.stderr)
            if failed:
                raise typer.Exit(failed[0].code)
            return sweeps.rows(store, wanted)
    except KeyboardInterrupt:
        fail(
            Exit.INTERRUPTED,
            f"interrupted; finished runs are in {path}, and the same command continues from there",
        )
    except RunError as problem:
        exit_with(problem)


def progress() -> Progress:
    """A progress bar, shown on a terminal only."""
    from rich.console import Console

    return Progress(
        TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn(),
        disable=not sys.stderr.isatty(), console=Console(stderr=True),
    )  # fmt: skip


def table(rows: list[Row]) -> str:
    """Format a table with one line for each plan and revision."""
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
             *(f"{counts[outcome] / max(1, counts.total()):.2%}" for outcome in OUTCOMES),
             ", ".join(f"{rule} {count}" for rule, count in found.items()) or "none")
        )  # fmt: skip
    return columns(shown)


@app.command()
def compare(
    first: Annotated[str, typer.Argument(metavar="REV")],
    second: Annotated[str, typer.Argument(metavar="REV")],
    plan: Annotated[str, typer.Option(help="A file, or the name of a shipped scenario.")] = "all-at-once",
    seeds: Seeds = "1..10",
    store: StoreFile = Path("rig.sqlite"),
    jobs: Jobs = 2,
    as_json: AsJson = False,
) -> None:
    """Play two revisions of the sidecar over the same seeds, alternating, and say whether they differ
    significantly."""
    try:
        from sprucenotch.testbed.compare import CONFIDENCE
        from sprucenotch.testbed.compare import compare as compared
    except ImportError as problem:
        fail(Exit.BAD_INPUT, f"{problem.name} is not installed; {LAB}")
    source = load(plan).source
    turns = [(first, second), (second, first)]
    wanted = [
        Job(plan, source, seed, name) for n, seed in enumerate(parse_seeds(seeds)) for name in turns[n % 2]
    ]
    try:
        names = revisions.name(first), revisions.name(second)
        rows = run_missing(store, wanted, jobs)
        by_name = {n: {r.result.seed: r for r in rows if r.result.revision == n} for n in names}
        found = compared(*(by_name[name] for name in names))
    except RunError as problem:
        exit_with(problem)
    if as_json:
        print_json({"first": names[0], "second": names[1], **found._asdict(), "shown": found.significant})
        return
    print(table(rows))
    print(
        f"worth of {names[1]} minus {names[0]}: {found.difference:+.4f}, {CONFIDENCE:.0%} interval "
        f"{found.low:+.4f} to {found.high:+.4f} over {found.pairs} paired seeds: "
        f"{'significant difference' if found.significant else 'no significant difference'}"
    )


@app.command()
def report(
    store: Annotated[Path, typer.Argument(help="Database of the runs.")],
    run: Annotated[int, typer.Option(help="Number of the run; default: the last one.", min=0)] = 0,
    out: Annotated[Path, typer.Option(help="HTML file to write.")] = Path("report.html"),
) -> None:
    """Write a run as one HTML page."""
    try:
        from sprucenotch.testbed import report as reports
    except ImportError as problem:
        fail(Exit.BAD_INPUT, f"{problem.name} is not installed; {LAB}")
    if not store.is_file():
        fail(Exit.BAD_INPUT, f"there is no store {store}")
    try:
        with Store(store) as kept:
            rows = [row for row in kept.rows() if run in (0, row.id)]
            if not rows:
                fail(Exit.BAD_INPUT, f"there is no run {run or ''} in {store}")
            reports.write(kept, rows[-1], out)
    except RunError as problem:
        exit_with(problem)
    except OSError as problem:
        fail(Exit.BAD_INPUT, f"{out} cannot be written: {problem.strerror}")
    print(f"run {rows[-1].id} is in {out}")


@app.command()
def soak(
    plan: Annotated[str, typer.Argument(help="A plan with a nemesis.")] = "soak",
    lasts: Annotated[str, typer.Option("--for", help="Length of the run, such as 10m.")] = "10m",
    seed: Annotated[int, typer.Option(min=0)] = 1,
    store: Annotated[Path | None, typer.Option(help="Keep the run there.")] = None,
    as_json: AsJson = False,
) -> None:
    """Play a plan's nemesis for a long time, and check that memory and descriptors do not grow and that no
    rule is broken."""
    try:
        loaded_plan = soaks.stretch(load(plan), lasts)
    except SettingsError as problem:
        fail(Exit.BAD_INPUT, str(problem))
    play = PlanRun(loaded_plan, seed, (lambda second: None) if as_json else _print_second)
    try:
        result = uvloop.run(_play(play))
        result = msgspec.structs.replace(result, findings=[*result.findings, *soaks.judge(play.seconds)])
        if store is not None:
            with Store(store) as kept:
                kept.add(loaded_plan.source, result, play.seconds, play.environment.history, play.logs)
    except (RunError, OSError) as problem:
        exit_with(problem)
    if as_json:
        print_json(msgspec.to_builtins(result))
    else:
        print(report_text(result))
        print(soaks.summary(play.seconds))
    raise typer.Exit(exit_code(result))

"""`sprucenotch demo`: runs a small deployment on loopback and shows live figures."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import termios
import tty
from collections import Counter
from collections.abc import Iterator
from typing import Annotated, Any

import typer
import uvloop
from rich.console import Console, Group, RenderableType
from rich.live import Live
from rich.table import Table
from rich.text import Text

from sprucenotch.cli.figures import Reading, read
from sprucenotch.cli.output import AsJson, Exit, fail, print_json
from sprucenotch.testbed.fake_server_proxy import AnyEngine
from sprucenotch.testbed.named_faults import NAMED_FAULTS, FaultSwitches
from sprucenotch.testbed.plan import CLASSES, Fleet, Load, Plan, Step
from sprucenotch.testbed.process import RunError
from sprucenotch.testbed.runner import MAX_LOAD_LAG, PlanRun, SecondStats
from sprucenotch.testbed.summary import OUTCOMES

KEYS = {trouble.key: name for name, trouble in NAMED_FAULTS.items()}
BAR = 7  # width: the most requests that an engine holds, one running and six queued


def demo(
    seconds: Annotated[float, typer.Option("--for", help="Stop after so many seconds.", min=3, max=600)] = 30,
    trouble: Annotated[
        str,
        typer.Option(help=f"In the middle third: {', '.join(NAMED_FAULTS)}. Its key toggles it at any time."),
    ] = "",
    sidecars: Annotated[int, typer.Option(min=1)] = 2,
    engines: Annotated[int, typer.Option(min=3)] = 6,
    load: Annotated[
        float, typer.Option(help="Load, as a share of the engines' capacity.", min=0.05, max=3)
    ] = 0.6,
    seed: Annotated[int, typer.Option(help="Of arrivals and service times.")] = 1,
    as_json: AsJson = False,
) -> None:
    """Run engines, discovery, real sidecars and clients on loopback for a while, and show live figures."""
    if trouble and trouble not in NAMED_FAULTS:
        fail(Exit.BAD_INPUT, f"no such trouble: {trouble!r}; there are {', '.join(NAMED_FAULTS)}")
    steps = (Step(seconds / 3, NAMED_FAULTS[trouble].fault, seconds / 3),) if trouble else ()
    plan = Plan(
        trouble, seconds, 0.0, Fleet(sidecars=sidecars, engines=engines), Load(share=load), CLASSES, steps
    )
    try:
        run = uvloop.run(_play(plan, seed, live=not as_json and sys.stdout.isatty(), quiet=as_json))
    except (RunError, OSError) as problem:
        fail(Exit.BAD_INPUT, str(problem))
    if as_json:
        print_json(_summary(run))
    else:
        print(_report(run))
    if run.interrupted:
        raise typer.Exit(Exit.INTERRUPTED)


async def _play(plan: Plan, seed: int, live: bool, quiet: bool) -> PlanRun:
    pending: set[asyncio.Task[None]] = set()

    def each_second(second: SecondStats) -> None:
        if live:
            task = asyncio.get_running_loop().create_task(refresh(second))
            pending.add(task)
            task.add_done_callback(pending.discard)
        elif not quiet:
            print(_line(run, second), flush=True)

    run = PlanRun(plan, seed, each_second)
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, run.interrupt)
    shown = Live(Text("starting ..."), console=Console(), auto_refresh=False)
    readings: list[Reading | None] = [None] * plan.fleet.sidecars
    switches = FaultSwitches(run.faults)

    async def refresh(second: SecondStats) -> None:
        for number, sidecar in enumerate(run.environment.sidecars.values()):
            with contextlib.suppress(OSError, ValueError):  # keep showing the last reading
                readings[number] = await asyncio.to_thread(read, sidecar.mgmt)
        shown.update(view(run, second, readings, switches.on), refresh=True)

    with contextlib.ExitStack() as screen:
        if live:
            screen.enter_context(shown)
            screen.enter_context(_keys(run, switches))
        await run.run()
        await asyncio.gather(*pending)
    return run


@contextlib.contextmanager
def _keys(run: PlanRun, switches: FaultSwitches) -> Iterator[None]:
    """Let keys switch faults on and off, and q stop the demo."""
    if not sys.stdin.isatty():
        yield
        return
    pending: set[asyncio.Task[None]] = set()
    loop, before = asyncio.get_running_loop(), termios.tcgetattr(sys.stdin)

    def on_key() -> None:
        key = sys.stdin.read(1)
        if key == "q":
            run.stopped.set()
        elif (name := KEYS.get(key)) is not None:
            task = loop.create_task(switches.switch(name, name not in switches.on))
            pending.add(task)
            task.add_done_callback(pending.discard)

    tty.setcbreak(sys.stdin)
    loop.add_reader(sys.stdin, on_key)
    try:
        yield
    finally:
        loop.remove_reader(sys.stdin)
        termios.tcsetattr(sys.stdin, termios.TCSADRAIN, before)


def _shares(ended: Counter[tuple[str, str]], cls: str | None = None) -> tuple[int, dict[str, float]]:
    """The number of requests that ended, and the share of each outcome."""
    counts = Counter[str]()
    for (name, outcome), count in ended.items():
        if cls in (None, name):
            counts[outcome] += count
    total = counts.total()
    return total, {outcome: counts[outcome] / max(1, total) for outcome in OUTCOMES}


def _line(run: PlanRun, second: SecondStats) -> str:
    requests, shares = _shares(second.ended)
    outcomes = ", ".join(f"{outcome} {share:.0%}" for outcome, share in shares.items())
    trouble = f"; trouble: {run.plan.title}" if _planned(run, second) else ""
    return f"{second.at:3.0f} s  {requests:4d} requests: {outcomes}{trouble}"


def _planned(run: PlanRun, second: SecondStats) -> bool:
    """Whether the fault of the --trouble option was active for most of this second."""
    return any(step.at < second.at - 0.5 < step.at + step.lasts for step in run.plan.steps)


def _summary(run: PlanRun) -> dict[str, Any]:
    return {
        "classes": {cls.name: _counts(run, cls.name) for cls in CLASSES}, "load_late_s": round(run.late, 3),
        "held_back": run.load.held_back if run.load is not None else 0, "seed": run.seed,
        "trouble": run.plan.title,
    }  # fmt: skip


def _counts(run: PlanRun, cls: str) -> dict[str, int]:
    return {outcome: run.total[cls, outcome] for outcome in OUTCOMES}


def _report(run: PlanRun) -> str:
    lines = ["in total:"]
    for kind in CLASSES:
        requests, shares = _shares(run.total, kind.name)
        outcomes = ", ".join(f"{outcome} {share:.1%}" for outcome, share in shares.items())
        lines.append(f"  {kind.name}: {requests} requests, {outcomes}")
    if run.late > MAX_LOAD_LAG:
        lines.append(
            f"  this machine was too slow for the load: requests were sent up to {run.late:.2f} s late"
        )
    return "\n".join((*lines, "all processes are stopped"))


def view(
    run: PlanRun, second: SecondStats, readings: list[Reading | None], active: list[str]
) -> RenderableType:
    planned = [run.plan.title] if _planned(run, second) else []
    on = ", ".join(dict.fromkeys((*active, *planned))) or "none"
    keys = "  ".join(f"[{trouble.key}] {name}" for name, trouble in NAMED_FAULTS.items())
    head = Text.assemble(
        ("sprucenotch", "bold"), f"  {second.at:.0f} of {run.plan.length:.0f} s, ",
        f"{run.plan.rate * run.faults.load:.0f} requests a second; trouble: ",
        (on, "green" if on == "none" else "bold red"), f"\n{keys}  [q] quit",
    )  # fmt: skip
    return Group(head, _service(second), _sidecars(second, readings), _engines(run, second))


def _table(title: str, *names: str) -> Table:
    table = Table(title=title, title_justify="left", expand=False)
    for number, name in enumerate(names):
        table.add_column(name, justify="right" if number else "left")
    return table


def _service(second: SecondStats) -> Table:
    table = _table("service in this second, as seen by the clients", "class", "ended", *OUTCOMES)
    for kind in CLASSES:
        requests, shares = _shares(second.ended, kind.name)
        cells = [Text(f"{shares[o]:.0%}", _colour(o, shares[o])) for o in OUTCOMES]
        table.add_row(kind.name, str(requests), *cells)
    return table


def _colour(outcome: str, share: float) -> str:
    good = share > 0.95 if outcome == "served" else share < 0.05
    return "green" if good else "yellow" if outcome in ("served", "refused") else "red"


def _sidecars(second: SecondStats, readings: list[Reading | None]) -> Table:
    table = _table("sidecars", "number", "ready", "cut", "pressure", "used", "in progress", "memory", "CPU")
    for number, reading in enumerate(readings):
        if reading is not None:
            table.add_row(
                str(number), "yes" if reading.ready else "no",
                f"{reading.gauge('cut'):.0f}/{reading.gauge('cut_levels'):.0f}",
                f"{reading.gauge('pressure'):.2f}",
                f"{reading.samples.get(('engines', ('used',)), 0):.0f} engines",
                str(reading.telemetry["in_progress"]),
                f"{reading.gauge('resident_memory_bytes') / 1e6:.0f} MB",
                f"{second.cpu.get(f'sidecar-{number}', 0.0):.1%}",
            )  # fmt: skip
    return table


def _engines(run: PlanRun, second: SecondStats) -> Table:
    table = _table("engines", "engine", "zone", "state", "served", "holds")
    table.columns[-1].justify = "left"
    for engine in run.environment.engines.values():
        state = _state(engine)
        holds = Text("█" * engine.busy, "cyan") + Text("█" * (engine.held - engine.busy), "yellow")
        holds += Text("·" * max(0, BAR - engine.held), "dim")
        table.add_row(
            engine.name,
            engine.zone,
            Text(state, "" if state == "up" else "red"),
            str(second.served.get(engine.name, 0)),
            holds,
        )
    return table


def _state(engine: AnyEngine) -> str:
    if not engine.up:
        return "dead"
    if engine.failing:
        return "failing"
    return "slow" if engine.slower > 1 else "up"

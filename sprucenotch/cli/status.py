"""`sprucenotch status`: shows the state of a running sidecar."""

from __future__ import annotations

import time
from typing import Annotated

import typer
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from sprucenotch.cli.figures import Reading, read
from sprucenotch.cli.output import AsJson, Exit, fail, print_json

OUTCOMES = {"served": "passed", "refused": "dropped", "failed": "bad_gateway"}


def status(
    address: Annotated[
        str, typer.Argument(help="Address of its management listener, such as 127.0.0.1:8081.")
    ],
    watch: Annotated[bool, typer.Option("--watch", help="Refresh once a second until Ctrl-C.")] = False,
    seconds: Annotated[
        float, typer.Option("--for", help="With --watch: stop after so many seconds.", min=1)
    ] = 3600,
    as_json: AsJson = False,
) -> None:
    """Show requests by class, admission cut, engines and process figures. Exit code 1 if it is not ready."""
    if ":" not in address or not address.rpartition(":")[2].isdecimal():
        fail(Exit.BAD_INPUT, f"{address!r} is not an address such as 127.0.0.1:8081")
    reading = _read(address)
    if as_json:
        samples = {"/".join((name, *labels)): value for (name, labels), value in reading.samples.items()}
        print_json({"ready": reading.ready, "telemetry": reading.telemetry, "metrics": samples})
    elif watch:
        _watch(address, reading, time.monotonic() + seconds)
    else:
        Console().print(view(address, None, reading))
    if not reading.ready:
        raise typer.Exit(Exit.NO)


def _read(address: str) -> Reading:
    try:
        return read(address)
    except OSError as problem:
        fail(Exit.ADDRESS, f"no answer from {address}: {problem.strerror or problem}")
    except ValueError as problem:
        fail(Exit.BAD_INPUT, f"{address}: {problem}")


def _watch(address: str, reading: Reading, deadline: float) -> None:
    with Live(view(address, None, reading), auto_refresh=False) as live:
        try:
            while time.monotonic() < deadline:
                time.sleep(1.0)
                before, reading = reading, _read(address)
                live.update(view(address, before, reading), refresh=True)
        except KeyboardInterrupt:
            pass


def view(address: str, before: Reading | None, now: Reading) -> Group:
    """Build the tables: totals since the start, or rates since the reading `before`."""
    ready = Text("ready", "green") if now.ready else Text("not ready", "bold red")
    telemetry = now.telemetry
    head = Text.assemble(
        "sidecar at ", (address, "bold"), ": ", ready,
        f", up {now.gauge('uptime_seconds'):.0f} s, {telemetry['in_progress']} in progress",
    )  # fmt: skip
    return Group(head, _classes(before, now), _state(now))


def _classes(before: Reading | None, now: Reading) -> Table:
    table = Table(
        title="requests since its start" if before is None else "requests a second", title_justify="left"
    )
    for name in ("class", *OUTCOMES, "p50", "p99"):
        table.add_column(name, justify="left" if name == "class" else "right")
    for cls in now.telemetry["passed"]:
        cells = []
        for key in OUTCOMES.values():
            count = now.telemetry[key].get(cls, 0)
            if before is None:
                cells.append(str(count))
            else:
                rate = (count - before.telemetry[key].get(cls, 0)) / (now.at - before.at)
                cells.append(f"{rate:.0f}")
        times = (now.quantile(cls, share) for share in (0.5, 0.99))
        bounds = [
            "-" if t is None else "beyond" if t == float("inf") else f"<= {t * 1000:.0f} ms" for t in times
        ]
        table.add_row(cls, *cells, *bounds)
    return table


def _state(now: Reading) -> Table:
    table = Table(show_header=False, box=None)
    states = ("known", "skipped", "ready", "cold", "used")
    engines = ", ".join(f"{now.samples.get(('engines', (state,)), 0):.0f} {state}" for state in states)
    rows = {
        "cut": f"{now.gauge('cut'):.0f} of {now.gauge('cut_levels'):.0f}",
        "pressure": f"{now.gauge('pressure'):.2f} (the cut rises above {now.gauge('pressure_over'):.2f})",
        "engines": engines,
        "attempts": f"{now.telemetry['upstream_tries']} sent, {now.gauge('flying'):.0f} in flight, "
        f"{now.gauge('retry_budget'):.1f} retries in the budget",
        "process": f"{now.gauge('resident_memory_bytes') / 1e6:.0f} MB, "
        f"{now.gauge('open_descriptors'):.0f} descriptors, {now.gauge('connections'):.0f} connections, "
        f"loop late by {now.gauge('loop_lag_seconds') * 1000:.1f} ms",
        "files": f"{now.telemetry['loads']} loaded, {now.telemetry['load_errors']} rejected",
    }
    for name, value in rows.items():
        table.add_row(name, value)
    return table

"""The `sprucenotch` command. Each subcommand is a thin wrapper around its subsystem."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Annotated

import typer

from sprucenotch import __version__
from sprucenotch.cli import config, rig, store
from sprucenotch.cli.demo import demo
from sprucenotch.cli.hunt import hunt
from sprucenotch.cli.output import Exit, fail
from sprucenotch.cli.pressure import pressure
from sprucenotch.cli.service import service
from sprucenotch.cli.status import status
from sprucenotch.cli.stops import stops
from sprucenotch.cli.transfers import transfers

app = typer.Typer(
    name="sprucenotch", no_args_is_help=True, rich_markup_mode=None, pretty_exceptions_enable=False,
    help="A load balancer that runs as a sidecar beside each client. Exit codes: 0 success, 1 negative "
    "result, 2 bad input, 3 address unusable or no answer, 4 run invalid as the testbed was too slow, "
    "5 a process of a run ended, 6 store unusable, 7 revision unavailable, 130 interrupted.",
)  # fmt: skip
app.add_typer(config.app, name="config")
rig.app.command()(service)
rig.app.command()(hunt)
rig.app.command()(transfers)
rig.app.command()(pressure)
rig.app.command()(stops)
app.add_typer(rig.app, name="rig")
app.add_typer(store.app, name="store")
app.command()(status)
app.command()(demo)


def print_version(wanted: bool) -> None:
    if wanted:
        print(f"sprucenotch {__version__}")
        raise typer.Exit(Exit.FINE)


@app.callback()
def common(
    version: Annotated[
        bool, typer.Option("--version", callback=print_version, is_eager=True, help="Print the version.")
    ] = False,
) -> None:
    pass


@app.command()
def serve(
    file: Annotated[
        Path | None, typer.Argument(help="Configuration file; default: the one that PROXY_CONFIG names.")
    ] = None,
) -> None:
    """Run one sidecar in the foreground until SIGTERM. SIGHUP reloads the file."""
    if file is not None:
        config.load(file)  # report errors before anything starts
        os.environ["PROXY_CONFIG"] = str(file.resolve())
    elif not os.environ.get("PROXY_CONFIG"):
        fail(Exit.BAD_INPUT, "name a configuration file, as an argument or in PROXY_CONFIG")
    # Replace this process, so that the sidecar does not keep modules that only the command line needs.
    os.execv(sys.executable, (sys.executable, "-m", "sprucenotch"))


def main() -> int:
    """Entry point of the console script. Returns the exit code."""
    try:
        return int(app(standalone_mode=False) or Exit.FINE)
    except typer.Abort:
        return int(Exit.INTERRUPTED)
    except Exception as error:
        format_message = getattr(error, "format_message", None)  # usage errors of click
        if format_message is None:
            raise
        print(f"sprucenotch: {format_message()}", file=sys.stderr)
        return int(Exit.BAD_INPUT)

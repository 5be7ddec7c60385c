"""`sprucenotch config`: a configuration file checked, shown, compared, described; nothing is started."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated, Any, TypeAlias

import typer

from sprucenotch.cli.output import AsJson, Exit, columns, fail, say_json
from sprucenotch.config import resolve, schema
from sprucenotch.node.config import Config, ConfigError, parse, read, stand_in

app = typer.Typer(no_args_is_help=True, help="Check, show and compare configuration files (JSON or TOML).")
File: TypeAlias = Annotated[Path, typer.Argument(help="The platform's JSON, or TOML if it is named .toml.")]


def load(path: Path) -> tuple[dict[str, Any], Config]:
    """A file, and what a sidecar makes of it and of the environment. Ends with one line where it cannot."""
    try:
        told = read(str(path))
        whole = dict(told)
        stand_in(whole, os.environ)
        return told, parse(whole)
    except ConfigError as problem:
        fail(Exit.BAD_INPUT, f"{path}: {problem}")


@app.command()
def check(file: File) -> None:
    """Say whether a sidecar would start with this file, and all that is wrong in it if not."""
    _, config = load(file)
    classes = ", ".join(c.name for c in config.settings.classes)
    print(f"{file}: fine; classes {classes}; {len(config.known.hosts)} engines known")


@app.command()
def show(file: File, as_json: AsJson = False) -> None:
    """Show what is in force with this file: every figure, and where it came from."""
    told, _ = load(file)
    rows = list(resolve.rows(told, os.environ))
    if as_json:
        say_json({row.path: {"value": row.value, "source": row.source} for row in rows})
    else:
        print(columns([(row.path, shown(row.value), row.source) for row in rows]))


@app.command()
def diff(old: File, new: File, as_json: AsJson = False) -> None:
    """Show what a SIGHUP with NEW in the place of OLD would change, and whether it would be taken."""
    before, in_force = load(old)
    after, fresh = load(new)
    changes = resolve.changes(before, after, os.environ)
    try:
        fresh.check_complete(in_force)
        refused = ""
    except ConfigError as problem:
        refused = str(problem)
    if as_json:
        say_json({"taken": not refused, "why_not": refused, "changes": [c._asdict() for c in changes]})
    else:
        for change in changes:
            when = "" if change.at_sighup else "  (not before the next start)"
            print(f"{change.path}: {shown(change.old)} -> {shown(change.new)}{when}")
        print(f"SIGHUP would turn it down: {refused}" if refused else "SIGHUP would take it"
              if changes else "no difference")  # fmt: skip
    if refused:
        raise typer.Exit(Exit.NO)


@app.command(name="schema")
def print_schema(
    toml: Annotated[bool, typer.Option("--toml", help="Of the TOML form instead of the platform's.")] = False,
) -> None:
    """Print the JSON Schema of a configuration file."""
    say_json(schema.by_hand() if toml else schema.platform())


def shown(value: Any) -> str:
    match value:
        case None | ():
            return "-"
        case bool():
            return str(value).lower()
        case list() | tuple():
            return ", ".join(map(str, value)) or "-"
    return str(value) if value != "" else "-"

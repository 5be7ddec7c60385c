"""`sprucenotch config`: checks, shows and compares configuration files; nothing is started."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated, Any, TypeAlias

import typer

from sprucenotch.cli.output import AsJson, Exit, columns, fail, print_json
from sprucenotch.config import resolve, schema
from sprucenotch.node.config import Config, ConfigError, apply_environment, parse, read

app = typer.Typer(no_args_is_help=True, help="Check, show and compare configuration files (JSON or TOML).")
File: TypeAlias = Annotated[Path, typer.Argument(help="The platform's JSON, or TOML if it is named .toml.")]


def load(path: Path) -> tuple[dict[str, Any], Config]:
    """Read a file and parse it with the environment, as a sidecar does. Exits if the file is invalid."""
    try:
        raw = read(str(path))
        effective = dict(raw)
        apply_environment(effective, os.environ)
        return raw, parse(effective)
    except ConfigError as error:
        fail(Exit.BAD_INPUT, f"{path}: {error}")


@app.command()
def check(file: File) -> None:
    """Say whether a sidecar would start with this file, and list all errors if not."""
    _, config = load(file)
    classes = ", ".join(c.name for c in config.settings.classes)
    print(f"{file}: valid; classes {classes}; {len(config.known.hosts)} engines known")


@app.command()
def show(file: File, as_json: AsJson = False) -> None:
    """Show the effective configuration with this file: every value and its source."""
    raw, _ = load(file)
    rows = list(resolve.rows(raw, os.environ))
    if as_json:
        print_json({row.path: {"value": row.value, "source": row.source} for row in rows})
    else:
        print(columns([(row.path, formatted(row.value), row.source) for row in rows]))


@app.command()
def diff(old: File, new: File, as_json: AsJson = False) -> None:
    """Show what a reload (SIGHUP) from OLD to NEW would change, and whether it would be accepted."""
    # With two valid files the exit status is Exit.NO if SIGHUP would reject the new one, else 0, whether or
    # not they differ. An accepted file may hold changes that need a restart; the list marks them.
    before, in_force = load(old)
    after, new_config = load(new)
    changes = resolve.changes(before, after, os.environ)
    try:
        new_config.check_complete(in_force)
        refused = ""
    except ConfigError as error:
        refused = str(error)
    if as_json:
        print_json({"taken": not refused, "why_not": refused, "changes": [c._asdict() for c in changes]})
    else:
        for change in changes:
            when = "" if change.at_sighup else "  (not before the next start)"
            print(f"{change.path}: {formatted(change.old)} -> {formatted(change.new)}{when}")
        print(f"SIGHUP would reject it: {refused}" if refused else "SIGHUP would apply it"
              if changes else "no difference")  # fmt: skip
    if refused:
        raise typer.Exit(Exit.NO)


@app.command(name="schema")
def print_schema(
    toml: Annotated[
        bool, typer.Option("--toml", help="Of the TOML format instead of the platform's JSON.")
    ] = False,
) -> None:
    """Print the JSON Schema of a configuration file."""
    print_json(schema.toml_form() if toml else schema.json_form())


def formatted(value: Any) -> str:
    """A value as it is printed in a table."""
    match value:
        case None | ():
            return "-"
        case bool():
            return str(value).lower()
        case list() | tuple():
            return ", ".join(map(str, value)) or "-"
    return str(value) if value != "" else "-"

"""`sprucenotch store`: what a process keeps on disk, looked at and mended while it does not run."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Annotated, Any, TypeAlias

import msgspec
import typer

from sprucenotch.cli.output import AsJson, Exit, columns, fail, say_json
from sprucenotch.seams.disk import RealDisk
from sprucenotch.store.frame import Header
from sprucenotch.store.reading import Found, Owner, Schema, headers, read
from sprucenotch.store.store import StoreLocked, open_store

app = typer.Typer(
    no_args_is_help=True, help="What a process keeps on disk: a folder with a journal and snapshots."
)
Folder: TypeAlias = Annotated[Path, typer.Argument(metavar="DIR")]


def look(folder: Path) -> tuple[RealDisk, Header, Found[Any]]:
    """The folder as its newest file has it: whose it is, and of which schema."""
    disk = RealDisk(folder)
    try:
        known = headers(disk)
    except OSError as problem:
        fail(Exit.STORE, f"{folder} cannot be read: {problem.strerror}")
    if not known:
        fail(Exit.BAD_INPUT, f"{folder} holds no store: no file in it has a header that can be read")
    newest = max(known.values(), key=lambda header: header.generation)
    return disk, newest, read(disk, owner(newest), schema(newest), time.time_ns())


def owner(header: Header) -> Owner:
    return Owner(header.deployment, header.owner)


def schema(header: Header) -> Schema[Any]:
    """Records as they are, whatever they mean."""
    return Schema(header.schema, object, {})


@app.command()
def check(folder: Folder, as_json: AsJson = False) -> None:
    """Say what a start would find. Exit code 1 where it would not take everything."""
    _, header, found = look(folder)
    if as_json:
        say_json(_told(header, found))
    else:
        print(f"{header.owner} of {header.deployment}: {len(found.records)} records, last {found.sequence}")
        for refusal in found.refused:
            print(f"  {refusal}")
        print("all is whole" if not found.refused else "a start takes what is whole and sets the rest aside")
    raise typer.Exit(Exit.NO if found.refused else Exit.FINE)


@app.command()
def show(folder: Folder, as_json: AsJson = False) -> None:
    """Print the records that a start would take, in their order."""
    _, header, found = look(folder)
    records = [msgspec.to_builtins(record) for record in found.records]
    if as_json:
        say_json({**_told(header, found), "records": records})
        return
    last = found.sequence
    first = last - len(records) + 1
    print(columns([(str(first + n), msgspec.json.encode(one).decode()) for n, one in enumerate(records)]))


@app.command()
def repair(folder: Folder, as_json: AsJson = False) -> None:
    """Do what a start does: keep what is whole in files of its own, set the rest aside. Nothing is
    deleted."""
    disk, header, _ = look(folder)
    try:
        opened = open_store(disk, owner(header), schema(header), time.time_ns())
    except StoreLocked:
        fail(Exit.STORE, f"{folder} is in use: a process that runs writes there")
    if opened.problem:
        fail(Exit.STORE, f"{folder} cannot be mended: {opened.problem}")
    opened.store.close()
    if as_json:
        say_json({**_told(header, opened.found), "set_aside": opened.set_aside})
        return
    print(f"{len(opened.found.records)} records are kept")
    for name in opened.set_aside:
        print(f"  set aside: {name}")


def _told(header: Header, found: Found[Any]) -> dict[str, Any]:
    return {
        "owner": header.owner, "deployment": header.deployment, "schema": header.schema,
        "generation": found.generation, "sequence": found.sequence, "records": len(found.records),
        "refused": [refusal._asdict() for refusal in found.refused],
    }  # fmt: skip

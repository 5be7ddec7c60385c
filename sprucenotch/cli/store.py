"""`sprucenotch store`: inspects and repairs the state of a process on disk while it does not run."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Annotated, Any, TypeAlias

import msgspec
import typer

from sprucenotch.cli.output import AsJson, Exit, columns, fail, print_json
from sprucenotch.platform.disk import RealDisk
from sprucenotch.store.frame import Header
from sprucenotch.store.reader import Found, Owner, Schema, headers, read
from sprucenotch.store.store import StoreLocked, open_store

app = typer.Typer(
    no_args_is_help=True,
    help="Inspect and repair the state of a process: a folder with a journal and snapshots.",
)
Folder: TypeAlias = Annotated[Path, typer.Argument(metavar="DIR")]


def open_folder(folder: Path) -> tuple[RealDisk, Header, Found[Any]]:
    """Read a folder with the owner and schema of its newest file. Exits with an error line on failure."""
    disk = RealDisk(folder)
    try:
        known = headers(disk)
    except OSError as problem:
        fail(Exit.STORE, f"{folder} cannot be read: {problem.strerror}")
    if not known:
        fail(Exit.BAD_INPUT, f"{folder} holds no store: no file in it has a valid header")
    newest = max(known.values(), key=lambda header: header.generation)
    return disk, newest, read(disk, owner(newest), schema(newest), time.time_ns())


def owner(header: Header) -> Owner:
    return Owner(header.deployment, header.owner)


def schema(header: Header) -> Schema[Any]:
    """A schema of that version that accepts records of any type."""
    return Schema(header.schema, object, {})


@app.command()
def check(folder: Folder, as_json: AsJson = False) -> None:
    """Say what a start would read. Exit code 1 if it would reject a part."""
    _, header, found = open_folder(folder)
    if as_json:
        print_json(_summary(header, found))
    else:
        print(f"{header.owner} of {header.deployment}: {len(found.records)} records, last {found.sequence}")
        for refusal in found.refused:
            print(f"  {refusal}")
        print("all is whole" if not found.refused else "a start reads what is intact and sets the rest aside")
    raise typer.Exit(Exit.NO if found.refused else Exit.FINE)


@app.command()
def show(folder: Folder, as_json: AsJson = False) -> None:
    """Print the records that a start would read, in order."""
    _, header, found = open_folder(folder)
    records = [msgspec.to_builtins(record) for record in found.records]
    if as_json:
        print_json({**_summary(header, found), "records": records})
        return
    last = found.sequence
    first = last - len(records) + 1
    print(columns([(str(first + n), msgspec.json.encode(entry).decode()) for n, entry in enumerate(records)]))


@app.command()
def repair(folder: Folder, as_json: AsJson = False) -> None:
    """Repair the store as a start does: write intact records to new files and set damaged files aside.
    Nothing is deleted."""
    disk, header, _ = open_folder(folder)
    try:
        opened = open_store(disk, owner(header), schema(header), time.time_ns())
    except StoreLocked:
        fail(Exit.STORE, f"{folder} is in use by a running process")
    if opened.problem:
        fail(Exit.STORE, f"{folder} cannot be repaired: {opened.problem}")
    opened.store.close()
    if as_json:
        print_json({**_summary(header, opened.found), "set_aside": opened.set_aside})
        return
    print(f"{len(opened.found.records)} records kept")
    for name in opened.set_aside:
        print(f"  set aside: {name}")


def _summary(header: Header, found: Found[Any]) -> dict[str, Any]:
    return {
        "owner": header.owner, "deployment": header.deployment, "schema": header.schema,
        "generation": found.generation, "sequence": found.sequence, "records": len(found.records),
        "refused": [refusal._asdict() for refusal in found.refused],
    }  # fmt: skip

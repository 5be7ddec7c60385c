"""What the commands share: how they end, and how they print."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import Annotated, Any, NoReturn, TypeAlias

import msgspec
import typer


class Exit(IntEnum):
    """Exit codes, as `docs/command-line.md` has them."""

    FINE = 0
    NO = 1  # asked and answered: not ready, would be turned down, a rule broken
    BAD_INPUT = 2  # a wrong word, a missing or broken file, a rig that cannot start
    ADDRESS = 3  # in use, refused, or nobody answers there
    LATE = 4  # the rig did not keep up: the run does not count
    PROCESS = 5  # a process of a run ended, or did not get ready
    STORE = 6  # a store cannot be read or written
    REVISION = 7  # of the program: unknown, or not to be had
    INTERRUPTED = 130  # by Ctrl-C or SIGTERM; what was begun is stopped, and what is known is told


AsJson: TypeAlias = Annotated[bool, typer.Option("--json", help="Print JSON, for other programs.")]


def fail(code: Exit, line: str) -> NoReturn:
    """End with one plain line."""
    print(f"sprucenotch: {' '.join(line.split())}", file=sys.stderr)
    raise typer.Exit(code)


def say_json(value: Any) -> None:
    sys.stdout.buffer.write(msgspec.json.format(msgspec.json.encode(value)) + b"\n")
    sys.stdout.buffer.flush()


def columns(rows: list[tuple[str, ...]], gap: str = "  ") -> str:
    """Rows as a table whose columns are as wide as they need."""
    if not rows:
        return ""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    cells = (gap.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)) for row in rows)
    return "\n".join(line.rstrip() for line in cells)

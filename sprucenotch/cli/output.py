"""Exit codes and output helpers shared by the commands."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import Annotated, Any, NoReturn, TypeAlias

import msgspec
import typer


class Exit(IntEnum):
    """Exit codes, as documented in `docs/command-line.md`."""

    FINE = 0
    NO = 1  # negative result: not ready, would be rejected, a rule broken
    BAD_INPUT = 2  # wrong argument, missing or invalid file, a testbed that cannot start
    ADDRESS = 3  # in use, refused, or no answer
    LATE = 4  # the testbed was too slow, so that the run is invalid
    PROCESS = 5  # a process of a run ended or did not become ready
    STORE = 6  # a store cannot be read or written
    REVISION = 7  # of the program: unknown or unavailable
    INTERRUPTED = 130  # by Ctrl-C or SIGTERM; processes are stopped and partial results printed


AsJson: TypeAlias = Annotated[bool, typer.Option("--json", help="Print JSON, for other programs.")]


def fail(code: Exit, line: str) -> NoReturn:
    """Exit with that code and one line on standard error."""
    print(f"sprucenotch: {' '.join(line.split())}", file=sys.stderr)
    raise typer.Exit(code)


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    sys.stdout.buffer.write(msgspec.json.format(msgspec.json.encode(value)) + b"\n")
    sys.stdout.buffer.flush()


def columns(rows: list[tuple[str, ...]], gap: str = "  ") -> str:
    """Format rows as a table with aligned columns."""
    if not rows:
        return ""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    cells = (gap.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)) for row in rows)
    return "\n".join(line.rstrip() for line in cells)

"""What the commands share that play one seed after another and end with the findings."""

from __future__ import annotations

import shlex
from collections.abc import Callable, Coroutine, Mapping, Sequence, Sized
from pathlib import Path
from typing import Annotated, Any, NoReturn, Protocol, TypeVar

import msgspec
import typer
import uvloop

from sprucenotch.cli.output import Exit, fail, print_json
from sprucenotch.cli.rig import exit_with, parse_seeds
from sprucenotch.config import units
from sprucenotch.testbed.process import RunError
from sprucenotch.testbed.revision import Program

MIN_LENGTH, MAX_LENGTH = 2.0, 600.0  # seconds of a play

SidecarCommand = Annotated[
    str,
    typer.Option("--command", help="Command that starts a sidecar instead of this tree; for planted faults."),
]


SiteFiles = Annotated[
    list[Path] | None, typer.Option(help="Site files; default: those of deploy/sites.", exists=True)
]


class Finding(Protocol):
    """What was wrong in a play: the rule, the request and what was seen."""

    @property
    def rule(self) -> str: ...

    @property
    def id(self) -> str: ...

    @property
    def said(self) -> str: ...


class PlayResult(Protocol):
    """The result of a play."""

    @property
    def findings(self) -> Sized: ...


def format_statuses(statuses: Mapping[int, int]) -> str:
    """Format how many answers there were, by status."""
    return ", ".join(f"{status}: {count}" for status, count in sorted(statuses.items()))


def with_findings(line: str, findings: Sequence[Finding], most: int) -> str:
    """Return the line of a play with a line for each of its first findings, `most` of them."""
    shown = [f"  BROKEN {finding.rule}, {finding.id}: {finding.said}" for finding in findings[:most]]
    return "\n".join((line, *shown))


Result = TypeVar("Result", bound=PlayResult)


def parse_length(text: str) -> float:
    """Return the length of a play in seconds; ends the command if it is not one from 2s to 600s."""
    length = units.parse(text, units.NANOSECONDS)
    if length is None or not MIN_LENGTH <= length / 1e9 <= MAX_LENGTH:
        fail(Exit.BAD_INPUT, f"--for is {text!r}, but must be a time from 2s to 600s")
    return length / 1e9


def parse_program(command: str) -> Program | None:
    """Return the program that the command starts; None for this tree."""
    return Program(tuple(shlex.split(command)), Path.cwd()) if command else None


def play_seeds(
    seeds: str,
    play: Callable[[int], Coroutine[Any, Any, Result]],
    show: Callable[[int, Result], str],
    as_json: bool,
) -> NoReturn:
    """Play each seed and print its result as it comes, or all as JSON at the end. Ends the command: with
    Exit.NO if there was a finding."""
    results: list[Result] = []
    for seed in parse_seeds(seeds):
        try:
            results.append(uvloop.run(play(seed)))
        except (RunError, OSError) as problem:
            exit_with(problem)
        except KeyboardInterrupt:
            fail(Exit.INTERRUPTED, "interrupted")
        if not as_json:
            print(show(seed, results[-1]), flush=True)
    if as_json:
        print_json(msgspec.to_builtins(results))
    raise typer.Exit(Exit.NO if any(result.findings for result in results) else Exit.FINE)

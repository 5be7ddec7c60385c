"""`sprucenotch rig transfers`: long bodies in both directions, with slow peers and clients that leave."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Annotated, Any

import typer

from sprucenotch.cli.output import AsJson
from sprucenotch.cli.rig import Seeds
from sprucenotch.cli.seeded_plays import (
    SidecarCommand,
    format_statuses,
    parse_length,
    parse_program,
    play_seeds,
    with_findings,
)
from sprucenotch.testbed.transfers.play import TransferResult, play

MAX_FINDINGS = 10  # that are printed of a play


def transfers(
    seeds: Seeds = "1",
    lasts: Annotated[str, typer.Option("--for", help="Length of a play, such as 20s.")] = "20s",
    clients: Annotated[int, typer.Option(help="Clients, each with one connection.", min=1, max=100)] = 12,
    command: SidecarCommand = "",
    as_json: AsJson = False,
) -> None:
    """Play long transfers through one sidecar, seed after seed. Exit code 1 if a client that stayed got no
    answer, or not a whole one."""
    length, program = parse_length(lasts), parse_program(command)

    def play_seed(seed: int) -> Coroutine[Any, Any, TransferResult]:
        return play(seed, length, clients, program)

    play_seeds(seeds, play_seed, lambda seed, result: format_result(result), as_json)


def format_result(result: TransferResult) -> str:
    """Format the result of a play: a line, and one for each of its first findings."""
    line = (
        f"seed {result.seed}: answers {format_statuses(result.statuses)}; "
        f"{result.left} requests left by their clients; "
        f"{len(result.findings)} findings; the testbed was late by {result.late:.2f} s in all"
    )
    return with_findings(line, result.findings, MAX_FINDINGS)

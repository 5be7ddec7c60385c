"""`sprucenotch rig stops`: planned stops of a sidecar that is delayed, killed as early as the pages allow."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

from sprucenotch.cli.output import AsJson
from sprucenotch.cli.rig import Seeds
from sprucenotch.cli.seeded_plays import (
    SidecarCommand,
    SiteFiles,
    format_statuses,
    parse_program,
    play_seeds,
    with_findings,
)
from sprucenotch.testbed import site as sites
from sprucenotch.testbed.stops import Stop, StopResult, draw, play

MAX_FINDINGS = 5  # that are printed of a play


def stops(
    seeds: Seeds = "1",
    site: SiteFiles = None,
    command: SidecarCommand = "",
    as_json: AsJson = False,
) -> None:
    """Play the drawn stop of each seed. Exit code 1 if a request that was taken has no final answer."""
    program, files = parse_program(command), site or sites.SITES

    def drawn(seed: int) -> Stop:
        return draw(seed, files[seed % len(files)])

    def play_seed(seed: int) -> Coroutine[Any, Any, StopResult]:
        return play(drawn(seed), program)

    play_seeds(seeds, play_seed, lambda seed, result: format_result(drawn(seed), result), as_json)


def format_result(drawn: Stop, result: StopResult) -> str:
    """Format the result of a play: a line, and one for each of its first findings."""
    delays = ", ".join(f"{at:.2f}+{length:.2f}" for at, length in drawn.delays) or "none"
    upgrade = ", upgrade" if drawn.upgrade else ""
    line = (
        f"seed {drawn.seed}: {drawn.site.stem}, deadline {drawn.longest_deadline} s, "
        f"{drawn.hanging:.0%} hang from {drawn.hang_from:.2f} s on, delays {delays}{upgrade}; "
        f"answers {format_statuses(result.statuses)}; {result.unanswered} unanswered; "
        f"{'ended by itself' if result.ended_by_itself else 'killed'}; {len(result.findings)} findings"
    )
    return with_findings(line, result.findings, MAX_FINDINGS)

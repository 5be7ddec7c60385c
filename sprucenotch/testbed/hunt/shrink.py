"""Reduces a schedule that breaks a rule: fewer faults, fewer processes, a shorter run.

Runs of real processes are not deterministic, so each candidate is played a few times, and accepted if any
play breaks the rule again. The caller plays the schedules, in batches so that they can run concurrently.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, TypeAlias

from msgspec import Struct, structs

from sprucenotch.testbed.hunt.draw import Schedule

PLAYS_PER_CANDIDATE = 2
MAX_PLAYS = 60  # in all, to reduce one schedule
MIN_LENGTH = 8.0  # seconds
MIN_TIME_AFTER_FAULTS = 4.0  # seconds after the end of the last fault
MIN_PROCESSES = 4  # of sidecars and of engines

BreaksRule: TypeAlias = Callable[[Sequence[Schedule]], Awaitable[Sequence[bool]]]


class Shrunk(Struct, frozen=True):
    """The smallest schedule found, and the number of plays used."""

    schedule: Schedule
    plays: int


class _Plays:
    def __init__(self, breaks_rule: BreaksRule) -> None:
        self._breaks_rule, self.count = breaks_rule, 0

    async def breaking(self, candidates: Sequence[Schedule]) -> list[int]:
        """The indexes of the candidates that break the rule in any play; none once all plays are used up."""
        batch = [candidate for candidate in candidates for _ in range(PLAYS_PER_CANDIDATE)]
        if not batch or self.count + len(batch) > MAX_PLAYS:
            return []
        self.count += len(batch)
        outcomes = await self._breaks_rule(batch)
        return sorted({index // PLAYS_PER_CANDIDATE for index, broken in enumerate(outcomes) if broken})


async def shrink(schedule: Schedule, breaks_rule: BreaksRule) -> Shrunk:
    """Reduce a schedule. `breaks_rule` plays schedules and returns for each whether it broke the rule."""
    plays = _Plays(breaks_rule)
    while len(schedule.steps) > 1:
        smaller = await _half_of_faults(schedule, plays) or await _fewer_faults(schedule, plays)
        if smaller is None:
            break
        schedule = smaller
    for candidates in (_fewer_processes, _shorter):
        tried = candidates(schedule)
        if await plays.breaking(tried):
            schedule = tried[0]
    return Shrunk(schedule, plays.count)


async def _half_of_faults(schedule: Schedule, plays: _Plays) -> Schedule | None:
    """The schedule with one half of its faults, if that breaks the rule alone."""
    half = len(schedule.steps) // 2
    halves = [
        structs.replace(schedule, steps=schedule.steps[:half]),
        structs.replace(schedule, steps=schedule.steps[half:]),
    ]
    breaking = await plays.breaking(halves)
    return halves[breaking[0]] if breaking else None


async def _fewer_faults(schedule: Schedule, plays: _Plays) -> Schedule | None:
    """The schedule without all faults that can be left out, if that breaks the rule; else without one."""
    needless = await plays.breaking([schedule.without(n) for n in range(len(schedule.steps))])
    if not needless:
        return None
    kept = [step for n, step in enumerate(schedule.steps) if n not in needless]
    together = structs.replace(schedule, steps=kept)
    if kept and await plays.breaking([together]):
        return together
    return schedule.without(needless[0])


def _fewer_processes(schedule: Schedule) -> list[Schedule]:
    """The schedule with half the processes, if it has enough."""
    fleet = dict(schedule.fleet)
    halved: dict[str, Any] = {name: max(MIN_PROCESSES, fleet[name] // 2) for name in ("sidecars", "engines")}
    if all(halved[name] == fleet[name] for name in halved):
        return []
    return [structs.replace(schedule, fleet=fleet | halved)]


def _shorter(schedule: Schedule) -> list[Schedule]:
    """The schedule cut after its last fault, if that is shorter."""
    ends = [_seconds(step["at"]) + _seconds(step.get("lasts", "0ms")) for step in schedule.steps]
    length = max(MIN_LENGTH, max(ends, default=0.0) + MIN_TIME_AFTER_FAULTS)
    return [structs.replace(schedule, length=round(length, 1))] if length < schedule.length else []


def _seconds(text: str) -> float:
    """Convert a time in milliseconds, as schedules have them."""
    return float(text.removesuffix("ms")) / 1000

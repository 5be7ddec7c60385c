"""Many runs of the hunt, each a process of its own that writes to one store; what they found, added up."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

from msgspec import Struct, field, structs

from sprucenotch.rig import sweep
from sprucenotch.rig.hunt.draw import Schedule, schedule
from sprucenotch.rig.hunt.shrink import Shrunk, shrink
from sprucenotch.rig.store import Row, Store
from sprucenotch.rig.sweep import Failed, Job
from sprucenotch.rig.truth.ledger import Finding

DEAD = "ended or did not start"  # the rule that a run breaks which cannot go on
CRASHED = "the testbed crashed"  # no find: the run proves nothing
MAX_EXCUSED = 0.2  # share of what a rule judges; above, the rule has a hole


class Find(NamedTuple):
    """A rule that a run broke."""

    seed: int
    rule: str
    first: Finding
    times: int


class Total(Struct):
    """Of all runs that count."""

    runs: int = 0
    late: int = 0  # do not count: the rig did not keep up
    not_played: Counter[str] = field(default_factory=Counter)  # to their end, by reason
    seconds: float = 0.0
    requests: int = 0
    faults: Counter[str] = field(default_factory=Counter)
    judged: Counter[str] = field(default_factory=Counter)
    excused: Counter[str] = field(default_factory=Counter)

    def add(self, row: Row) -> None:
        result = row.result
        if not row.counts:
            self.late += 1
            return
        self.runs += 1
        self.seconds += result.seconds
        self.requests += sum(one.asked for one in result.summary.classes.values())
        self.faults.update(result.faults)
        self.judged.update(result.judged)
        self.excused.update(result.excused)

    def holes(self) -> list[str]:
        """Rules that were excused too often to have been judged."""
        return [
            rule for rule, count in self.excused.items() if count > MAX_EXCUSED * (count + self.judged[rule])
        ]


class Campaign:
    """Plays schedules of a length, so many side by side, with sidecars started by `command`."""

    def __init__(
        self, store: Path, folder: Path, length: float, jobs: int, command: str = "", trace: bool = False
    ) -> None:
        """`trace`: sidecars log each attempt, and it is matched with what engines took."""
        self._store, self._folder, self._length, self._jobs = store, folder, length, jobs
        self._command, self._trace = command, trace
        self._trials = itertools.count(1)
        folder.mkdir(parents=True, exist_ok=True)

    def job(self, planned: Schedule, name: str) -> Job:
        """What plays it; its plan is left in the folder under that name."""
        if self._trace:
            planned = structs.replace(planned, fleet={**planned.fleet, "log": "debug"})
        path, text = self._folder / f"{name}.toml", planned.text()
        path.write_text(text)
        return Job(str(path), text, planned.seed, command=self._command)

    def jobs(self, seeds: Sequence[int]) -> list[Job]:
        return [self.job(schedule(seed, self._length), f"hunt-{seed}") for seed in seeds]

    async def play(self, seeds: Sequence[int], each: Callable[[Job], None]) -> list[Failed]:
        """Play those that are not in the store yet; those that could not go on to their end are returned.
        Raises KeyboardInterrupt, with what is done kept."""
        with Store(self._store) as store:
            left = sweep.open_jobs(store, self.jobs(seeds))
        return await sweep.run(self._store, left, self._jobs, each, self._folder / "failed")

    def rows(self, seeds: Sequence[int]) -> list[Row]:
        """The last run of each seed, also one that does not count."""
        with Store(self._store) as store:
            last = {}
            for job in self.jobs(seeds):
                for row in store.rows(job.source):
                    last[job.seed] = row
        return list(last.values())

    async def breaks(self, planned: Sequence[Schedule], rule: str) -> list[bool]:
        """Play each once; whether it broke that rule."""
        jobs = [self.job(one, f"trial-{next(self._trials)}") for one in planned]
        store = self._folder / f"trials-{jobs[0].plan.rpartition('-')[2]}.sqlite"
        # Each is a job of its own, also where two are the same schedule.
        failed = await sweep.run(store, jobs, self._jobs, lambda job: None)
        broken = {one.job.plan for one in failed if not one.crashed} if rule == DEAD else set[str]()
        with Store(store) as kept:
            rows = list(kept.rows())
        counts = Counter(row.plan for row in rows if any(f.rule == rule for f in row.result.findings))
        outcomes = []
        for job in jobs:
            hit = job.plan in broken or counts[job.source] > 0
            counts[job.source] -= counts[job.source] > 0
            outcomes.append(hit)
        return outcomes

    async def shrink(self, seed: int, rule: str) -> Shrunk:
        """Make the schedule of that seed smaller while it breaks that rule."""

        async def broken(planned: Sequence[Schedule]) -> Sequence[bool]:
            return await self.breaks(planned, rule)

        return await shrink(schedule(seed, self._length), broken)

    async def rate(self, planned: Schedule, rule: str, times: int) -> int:
        """In how many of so many plays it breaks the rule."""
        return sum(await self.breaks([planned] * times, rule))


def finds(rows: Sequence[Row], failed: Sequence[Failed]) -> list[Find]:
    """What was broken, by seed and rule. A run in which the rig was late proves nothing against a process."""
    found = []
    for row in rows:
        if not row.counts:
            continue
        by_rule: dict[str, list[Finding]] = {}
        for finding in row.result.findings:
            by_rule.setdefault(finding.rule, []).append(finding)
        found += [Find(row.result.seed, rule, all_[0], len(all_)) for rule, all_ in by_rule.items()]
    for one in (one for one in failed if not one.crashed):
        found.append(Find(one.job.seed, DEAD, Finding(DEAD, "", 0.0, one.said), 1))
    return sorted(found, key=lambda find: find.seed)


def total(rows: Sequence[Row], failed: Sequence[Failed] = ()) -> Total:
    added = Total()
    for one in failed:
        added.not_played[CRASHED if one.crashed else DEAD] += 1
    for row in rows:
        added.add(row)
    return added

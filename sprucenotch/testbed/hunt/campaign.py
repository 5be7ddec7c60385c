"""Runs many drawn schedules, each in its own process with a common store, and sums up the results."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

from msgspec import Struct, field, structs

from sprucenotch.testbed import sweep
from sprucenotch.testbed.checker.ledger import Finding
from sprucenotch.testbed.hunt.draw import Schedule, schedule
from sprucenotch.testbed.hunt.shrink import Shrunk, shrink
from sprucenotch.testbed.run_store import Row, Store
from sprucenotch.testbed.sweep import Failed, Job

ENDED_EARLY = "ended or did not start"  # the rule broken by a run that cannot continue
CRASHED = "the testbed crashed"  # breaks no rule, as the program is not at fault
MAX_EXCUSED = 0.2  # share of excused cases above which a rule counts as insufficiently checked


class BrokenRule(NamedTuple):
    """A rule that a run broke."""

    seed: int
    rule: str
    first: Finding
    times: int


class Totals(Struct):
    """Sums over all valid runs."""

    runs: int = 0
    late: int = 0  # not valid: the testbed did not keep up
    not_played: Counter[str] = field(default_factory=Counter)  # runs that did not complete, by reason
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

    def undertested_rules(self) -> list[str]:
        """Rules with too large a share of excused cases."""
        return [
            rule for rule, count in self.excused.items() if count > MAX_EXCUSED * (count + self.judged[rule])
        ]


class Campaign:
    """Plays schedules of a given length, `jobs` at a time, with sidecars started by `command`."""

    def __init__(
        self, store: Path, folder: Path, length: float, jobs: int, command: str = "", trace: bool = False
    ) -> None:
        """`trace`: sidecars log each attempt, and it is matched with what engines took."""
        self._store, self._folder, self._length, self._jobs = store, folder, length, jobs
        self._command, self._trace = command, trace
        self._trials = itertools.count(1)
        folder.mkdir(parents=True, exist_ok=True)

    def job(self, planned: Schedule, name: str) -> Job:
        """The job that plays a schedule; its plan is written to the folder under that name."""
        if self._trace:
            planned = structs.replace(planned, fleet={**planned.fleet, "log": "debug"})
        path, text = self._folder / f"{name}.toml", planned.text()
        path.write_text(text)
        return Job(str(path), text, planned.seed, command=self._command)

    def jobs(self, seeds: Sequence[int]) -> list[Job]:
        return [self.job(schedule(seed, self._length), f"hunt-{seed}") for seed in seeds]

    async def play(self, seeds: Sequence[int], each: Callable[[Job], None]) -> list[Failed]:
        """Play the seeds that are not in the store yet; return the runs that did not complete.

        Raises KeyboardInterrupt; completed runs stay in the store.
        """
        with Store(self._store) as store:
            left = sweep.pending_jobs(store, self.jobs(seeds))
        return await sweep.run(self._store, left, self._jobs, each, self._folder / "failed")

    def rows(self, seeds: Sequence[int]) -> list[Row]:
        """The last run of each seed, valid or not."""
        with Store(self._store) as store:
            last = {}
            for job in self.jobs(seeds):
                for row in store.rows(job.source):
                    last[job.seed] = row
        return list(last.values())

    async def play_and_check(self, planned: Sequence[Schedule], rule: str) -> list[bool]:
        """Play each schedule once; return for each whether it broke the rule."""
        jobs = [self.job(one, f"trial-{next(self._trials)}") for one in planned]
        store = self._folder / f"trials-{jobs[0].plan.rpartition('-')[2]}.sqlite"
        # Equal schedules are played as separate jobs.
        failed = await sweep.run(store, jobs, self._jobs, lambda job: None)
        broken = {one.job.plan for one in failed if not one.crashed} if rule == ENDED_EARLY else set[str]()
        with Store(store) as trials:
            rows = list(trials.rows())
        counts = Counter(row.plan for row in rows if any(f.rule == rule for f in row.result.findings))
        outcomes = []
        for job in jobs:
            rule_broken = job.plan in broken or counts[job.source] > 0
            counts[job.source] -= counts[job.source] > 0
            outcomes.append(rule_broken)
        return outcomes

    async def shrink(self, seed: int, rule: str) -> Shrunk:
        """Reduce the schedule of a seed as long as it still breaks the rule."""

        async def breaks_rule(planned: Sequence[Schedule]) -> Sequence[bool]:
            return await self.play_and_check(planned, rule)

        return await shrink(schedule(seed, self._length), breaks_rule)

    async def rate(self, planned: Schedule, rule: str, times: int) -> int:
        """The number of plays, out of `times`, in which a schedule breaks the rule."""
        return sum(await self.play_and_check([planned] * times, rule))


def broken_rules(rows: Sequence[Row], failed: Sequence[Failed]) -> list[BrokenRule]:
    """Broken rules by seed. Runs in which the testbed did not keep up are left out."""
    found = []
    for row in rows:
        if not row.counts:
            continue
        by_rule: dict[str, list[Finding]] = {}
        for finding in row.result.findings:
            by_rule.setdefault(finding.rule, []).append(finding)
        found += [BrokenRule(row.result.seed, rule, all_[0], len(all_)) for rule, all_ in by_rule.items()]
    for one in (one for one in failed if not one.crashed):
        found.append(BrokenRule(one.job.seed, ENDED_EARLY, Finding(ENDED_EARLY, "", 0.0, one.error), 1))
    return sorted(found, key=lambda broken: broken.seed)


def total(rows: Sequence[Row], failed: Sequence[Failed] = ()) -> Totals:
    """Sum up all runs."""
    added = Totals()
    for one in failed:
        added.not_played[CRASHED if one.crashed else ENDED_EARLY] += 1
    for row in rows:
        added.add(row)
    return added

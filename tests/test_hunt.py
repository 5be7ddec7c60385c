"""The hunt: what it draws, how it makes a schedule smaller, what it adds up, and one short run."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import traceback
from collections import Counter
from collections.abc import Callable, Sequence
from itertools import pairwise

import msgspec
import pytest
import uvloop

from sprucenotch.rig import plan, sweep, syscalls
from sprucenotch.rig.hunt import campaign, shrink
from sprucenotch.rig.hunt.draw import FAMILIES, Schedule, kind, schedule
from sprucenotch.rig.play import Play, Result
from sprucenotch.rig.revision import ROOT
from sprucenotch.rig.store import Row
from sprucenotch.rig.summary import Summary
from sprucenotch.rig.sweep import Failed, Job
from sprucenotch.rig.truth.ledger import Finding
from tests.planted_hunt import FAULTS, TRIGGERS


def steps(planned: Schedule) -> list[str]:
    return [str(step["do"]) for step in planned.steps]


def test_a_schedule_follows_from_its_seed_and_is_a_plan_whose_faults_overlap() -> None:
    for seed in range(150):
        drawn = schedule(seed, 20.0)
        assert drawn == schedule(seed, 20.0)
        told = plan.decode(drawn.text().encode())
        assert told.length == 20.0 and 10 <= told.fleet.sidecars <= 14
        begins = sorted(step.at for step in told.steps)
        assert any(later - earlier < 0.8 for earlier, later in pairwise(begins))


def test_the_seeds_draw_faults_of_every_family() -> None:
    drawn = Counter(
        f"{step['do']} {step.get('call', step.get('how', step.get('trouble', '')))}"
        for seed in range(300)
        for step in schedule(seed, 20.0).steps
    )
    assert len(drawn) > 40 and sum(len(family) for family in FAMILIES.values()) >= 45
    assert all(count >= 3 for count in drawn.values())


def shrunk(breaks: Callable[[Schedule], bool], seed: int = 3) -> shrink.Shrunk:
    async def broken(planned: Sequence[Schedule]) -> list[bool]:
        return [breaks(one) for one in planned]

    return asyncio.run(shrink.shrink(schedule(seed, 20.0), broken))


def test_a_schedule_is_made_smaller_to_the_two_faults_that_it_takes() -> None:
    whole = schedule(3, 20.0)
    wanted = [whole.steps[3], whole.steps[-2]]
    found = shrunk(lambda one: all(step in one.steps for step in wanted))
    assert list(found.schedule.steps) == wanted and found.plays <= shrink.MAX_PLAYS
    assert int(found.schedule.fleet["sidecars"]) < int(whole.fleet["sidecars"])
    assert plan.decode(found.schedule.text().encode()).length <= 20.0


def test_one_that_breaks_only_now_and_then_still_gets_smaller_and_never_without_end() -> None:
    plays = 0

    def every_second(one: Schedule) -> bool:
        nonlocal plays
        plays += 1
        return plays % 2 == 0 and len(one.steps) > 0

    assert len(shrunk(every_second).schedule.steps) < len(schedule(3, 20.0).steps)
    assert shrunk(lambda one: False).schedule.steps == schedule(3, 20.0).steps


def result(seed: int, **changes: object) -> Result:
    base = Result(
        title="t", seed=seed, revision="r", began=0.0, seconds=21.5, summary=Summary(1.0, {}), findings=[],
        judged={"lost": 100}, excused={"lost": 5, "recovery": 2}, faults=["cut", "cut"],
        lateness={"median": 0.0, "p99": 0.0, "most": 0.0}, held_back=0, interrupted=False,
    )  # fmt: skip
    return msgspec.structs.replace(base, **changes)


def test_what_the_runs_found_is_added_up_and_a_rule_that_excuses_too_much_is_named() -> None:
    finding = Finding("lost", "sidecar-1", 2.0, "c1-1 to sidecar-1: nobody knows its end")
    rows = [
        Row(1, "", "", True, result(1)),
        Row(2, "", "", True, result(2, findings=[finding, finding])),
        Row(3, "", "", False, result(3, findings=[finding])),
    ]
    added = campaign.total(rows)
    assert (added.runs, added.late, added.seconds) == (2, 1, 43.0)
    assert added.judged == {"lost": 200} and added.faults == {"cut": 4}
    assert added.holes() == ["recovery"]
    found = campaign.finds(rows, [Failed(Job("p", "s", 4), 5, "sidecar-1 ended with code 1")])
    assert [(find.seed, find.rule, find.times) for find in found] == [
        (2, "lost", 2),
        (4, campaign.ENDED_EARLY, 1),
    ]


def test_a_crash_of_the_testbed_is_no_find_and_counts_by_its_reason() -> None:
    crash = Failed(Job("p", "s", 4), 1, "msgspec.DecodeError: Input data was truncated", crashed=True)
    dead = Failed(Job("p", "s", 5), 5, "sidecar-1 ended with code 1")
    assert [(find.seed, find.rule) for find in campaign.finds([], [crash, dead])] == [
        (5, campaign.ENDED_EARLY)
    ]
    added = campaign.total([], [crash, dead, crash])
    assert added.not_played == {campaign.CRASHED: 2, campaign.ENDED_EARLY: 1}


def test_the_error_of_a_crash_is_named_also_within_a_group_of_errors() -> None:
    def fails() -> None:
        raise ExceptionGroup("of tasks", [msgspec.DecodeError("Input data was truncated")])

    try:
        fails()
    except ExceptionGroup:
        trace = traceback.format_exc()
    assert trace.splitlines()[-1].strip() == "+------------------------------------"
    assert sweep.error_of(trace).endswith("DecodeError: Input data was truncated")
    assert sweep.error_of("sprucenotch: no such plan") == "sprucenotch: no such plan"
    assert sweep.error_of("") == "it said nothing"


def test_the_planted_faults_still_fit_the_program() -> None:
    """Each undoes a mend by a patch; one whose place is gone would plant nothing."""
    words = "from tests.planted_hunt import FAULTS; [plant() for plant, _ in FAULTS.values()]"
    assert len(FAULTS) >= 12 and FAULTS.keys() == TRIGGERS.keys()
    drawn = {kind(step) for seed in range(300) for step in schedule(seed, 20.0).steps}
    assert all(triggers <= drawn for triggers in TRIGGERS.values())
    subprocess.run((sys.executable, "-c", words), cwd=ROOT, check=True)


@pytest.mark.skipif(
    syscalls.compiler() is None, reason="failing system calls need a C compiler, and this machine has none"
)
def test_a_short_hunt_plays_its_faults_and_judges_every_request() -> None:
    """What is asserted hangs on no timing: what was played and judged, and rules that no delay breaks."""
    drawn = schedule(11, 8.0)
    small = msgspec.structs.replace(drawn, fleet={**drawn.fleet, "sidecars": 4, "engines": 6})
    play = Play(plan.decode(small.text().encode()), 11)
    told = uvloop.run(play.run())
    assert Counter(told.faults) == Counter(steps(small))
    asked = sum(one.asked for one in told.summary.classes.values())
    assert asked > 100 and told.judged["lost"] + told.excused.get("lost", 0) >= asked
    unsafe = {"answered twice", "run twice", "broken by its own word"}
    assert not [finding for finding in told.findings if finding.rule in unsafe]

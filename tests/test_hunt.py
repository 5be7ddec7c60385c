"""The hunt: drawn schedules, their reduction, the sums over runs, and one short run."""

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

from sprucenotch.testbed import plan, sweep, syscalls
from sprucenotch.testbed.checker.ledger import Finding
from sprucenotch.testbed.hunt import campaign, shrink
from sprucenotch.testbed.hunt.draw import FAMILIES, Schedule, kind, schedule
from sprucenotch.testbed.revision import ROOT
from sprucenotch.testbed.run_store import Row
from sprucenotch.testbed.runner import PlanRun, Result
from sprucenotch.testbed.summary import Summary
from sprucenotch.testbed.sweep import Failed, Job
from tests.planted_hunt import FAULTS, TRIGGERS


def steps(planned: Schedule) -> list[str]:
    return [str(step["do"]) for step in planned.steps]


def test_schedule_is_determined_by_its_seed_and_decodes_to_a_plan_with_overlapping_faults() -> None:
    for seed in range(150):
        drawn = schedule(seed, 20.0)
        assert drawn == schedule(seed, 20.0)
        decoded = plan.decode(drawn.text().encode())
        assert decoded.length == 20.0 and 10 <= decoded.fleet.sidecars <= 14
        begins = sorted(step.at for step in decoded.steps)
        assert any(later - earlier < 0.8 for earlier, later in pairwise(begins))


def test_schedules_of_many_seeds_contain_faults_of_every_family() -> None:
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


def test_shrink_reduces_a_schedule_to_the_two_faults_that_break_the_rule() -> None:
    whole = schedule(3, 20.0)
    wanted = [whole.steps[3], whole.steps[-2]]
    found = shrunk(lambda one: all(step in one.steps for step in wanted))
    assert list(found.schedule.steps) == wanted and found.plays <= shrink.MAX_PLAYS
    assert int(found.schedule.fleet["sidecars"]) < int(whole.fleet["sidecars"])
    assert plan.decode(found.schedule.text().encode()).length <= 20.0


def test_shrink_reduces_a_schedule_that_breaks_only_sometimes_and_terminates() -> None:
    plays = 0

    def every_second_play(one: Schedule) -> bool:
        nonlocal plays
        plays += 1
        return plays % 2 == 0 and len(one.steps) > 0

    assert len(shrunk(every_second_play).schedule.steps) < len(schedule(3, 20.0).steps)
    assert shrunk(lambda one: False).schedule.steps == schedule(3, 20.0).steps


def result(seed: int, **changes: object) -> Result:
    base = Result(
        title="t", seed=seed, revision="r", began=0.0, seconds=21.5, summary=Summary(1.0, {}), findings=[],
        judged={"lost": 100}, excused={"lost": 5, "recovery": 2}, faults=["cut", "cut"],
        lateness={"median": 0.0, "p99": 0.0, "most": 0.0}, held_back=0, interrupted=False,
    )  # fmt: skip
    return msgspec.structs.replace(base, **changes)


def test_campaign_sums_up_valid_runs_and_reports_rules_excused_too_often() -> None:
    finding = Finding("lost", "sidecar-1", 2.0, "c1-1 to sidecar-1: its end was not recorded")
    rows = [
        Row(1, "", "", True, result(1)),
        Row(2, "", "", True, result(2, findings=[finding, finding])),
        Row(3, "", "", False, result(3, findings=[finding])),
    ]
    added = campaign.total(rows)
    assert (added.runs, added.late, added.seconds) == (2, 1, 43.0)
    assert added.judged == {"lost": 200} and added.faults == {"cut": 4}
    assert added.undertested_rules() == ["recovery"]
    found = campaign.broken_rules(rows, [Failed(Job("p", "s", 4), 5, "sidecar-1 ended with code 1")])
    assert [(broken.seed, broken.rule, broken.times) for broken in found] == [
        (2, "lost", 2),
        (4, campaign.ENDED_EARLY, 1),
    ]


def test_campaign_crash_of_the_testbed_is_counted_but_is_not_a_find() -> None:
    crash = Failed(Job("p", "s", 4), 1, "msgspec.DecodeError: Input data was truncated", crashed=True)
    dead = Failed(Job("p", "s", 5), 5, "sidecar-1 ended with code 1")
    assert [(broken.seed, broken.rule) for broken in campaign.broken_rules([], [crash, dead])] == [
        (5, campaign.ENDED_EARLY)
    ]
    added = campaign.total([], [crash, dead, crash])
    assert added.not_played == {campaign.CRASHED: 2, campaign.ENDED_EARLY: 1}


def test_sweep_error_of_a_crash_is_extracted_from_an_exception_group() -> None:
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


def test_planted_faults_apply_to_the_program_and_schedules_trigger_them() -> None:
    """Each fault is a patch that undoes a fix; it fails to apply if the patched name no longer exists."""
    script = "from tests.planted_hunt import FAULTS; [plant() for plant, _ in FAULTS.values()]"
    assert len(FAULTS) >= 12 and FAULTS.keys() == TRIGGERS.keys()
    drawn = {kind(step) for seed in range(300) for step in schedule(seed, 20.0).steps}
    assert all(triggers <= drawn for triggers in TRIGGERS.values())
    subprocess.run((sys.executable, "-c", script), cwd=ROOT, check=True)


@pytest.mark.skipif(
    syscalls.compiler() is None, reason="failing system calls need a C compiler, and this machine has none"
)
def test_short_hunt_injects_its_faults_and_checks_every_request() -> None:
    """Asserts only what does not depend on timing: the faults, the number of cases, and rules that no delay
    breaks."""
    drawn = schedule(11, 8.0)
    small = msgspec.structs.replace(drawn, fleet={**drawn.fleet, "sidecars": 4, "engines": 6})
    play = PlanRun(plan.decode(small.text().encode()), 11)
    played = uvloop.run(play.run())
    assert Counter(played.faults) == Counter(steps(small))
    asked = sum(one.asked for one in played.summary.classes.values())
    assert asked > 100 and played.judged["lost"] + played.excused.get("lost", 0) >= asked
    unsafe = {"answered twice", "run twice", "broken by its own word"}
    assert not [finding for finding in played.findings if finding.rule in unsafe]

"""Draws a fault schedule by seed: the same plan and seed give the same steps."""

from __future__ import annotations

import random

from sprucenotch.testbed.faults import SELF_ENDING
from sprucenotch.testbed.plan import SECOND, Plan, Step

SELF_ENDING_DURATION = 2.0  # seconds that a fault which ends by itself counts as active


def steps(plan: Plan, seed: int) -> tuple[Step, ...]:
    """The plan's own steps and those that its nemesis draws. Of the latter, at most `at_once` overlap and
    none lasts beyond the end of the nemesis."""
    nemesis = plan.nemesis
    if nemesis is None:
        return plan.steps
    rng = random.Random(f"nemesis {seed}")
    drawn: list[Step] = []
    at, end = nemesis.start / SECOND, nemesis.end / SECOND
    while True:
        at += rng.expovariate(SECOND / nemesis.every)
        fault = rng.choice(plan.nemesis_faults)
        lasts = rng.uniform(nemesis.shortest / SECOND, nemesis.longest / SECOND)
        if at + nemesis.shortest / SECOND >= end:
            break
        ends_itself = isinstance(fault, SELF_ENDING)
        lasts = min(SELF_ENDING_DURATION if ends_itself else lasts, end - at)
        overlapping = [s for s in drawn if s.at + (s.lasts or SELF_ENDING_DURATION) > at]
        if len(overlapping) < nemesis.at_once:
            drawn.append(Step(at, fault, 0.0 if ends_itself else lasts))
    return tuple(sorted((*plan.steps, *drawn), key=lambda step: step.at))

"""Draws a play of the soak: the behaviour of the peers, the limits, the site and the signals, by seed."""

from __future__ import annotations

import random
from collections.abc import Sequence
from pathlib import Path

from sprucenotch.testbed.pressure.lives import Pressure
from sprucenotch.testbed.pressure.peers import Behaviour

LEAST_LIMITS, USUAL_LIMITS = (32, 256), (192, 1024)  # megabytes and descriptors: the ends of the terms
LIMITS = (LEAST_LIMITS, (32, 1024), USUAL_LIMITS)
# Clients of a behaviour; the others are a crowd of hundreds.
FEW = {
    Behaviour.FLOOD: 4, Behaviour.UNSOUND_FLOOD: 8, Behaviour.LEAVERS: 6, Behaviour.REPEATERS: 10,
    Behaviour.UPLOADS: 4,
}  # fmt: skip
CROWD = 400
# Behaviours that were added have seeds of their own, so that an earlier seed keeps its play.
LATER = (Behaviour.CHECK_BODIES, Behaviour.REFUSED_HEADS, Behaviour.UNREAD_TURNS)
EARLIER = tuple(behaviour for behaviour in Behaviour if behaviour not in LATER)
FIRST_LATER_SEED = 80  # of each hundred


def draw(seed: int, length: float, sites: Sequence[Path]) -> Pressure:
    """Draw the play of that seed; consecutive seeds go through behaviours, limits and sites in turn."""
    rng = random.Random(f"soak {seed}")
    behaviours = LATER if seed % 100 >= FIRST_LATER_SEED else EARLIER
    behaviour = behaviours[seed % len(behaviours)]
    memory_mb, descriptors = LIMITS[seed // 2 % len(LIMITS)]
    long_answers = memory_mb > LEAST_LIMITS[0] and rng.random() < 0.3
    stops = 2 if rng.random() < 0.5 else 0
    # Two processes at a time have room at the usual limits only.
    upgrades = 0 if stops or memory_mb < USUAL_LIMITS[0] else 2
    return Pressure(
        behaviour=behaviour, number=FEW.get(behaviour, CROWD), seed=seed, length=length,
        memory_mb=memory_mb, descriptors=descriptors, site=sites[seed % len(sites)],
        long_answers=long_answers, stops=stops, upgrades=upgrades, reloads=rng.choice((0, 2, 5)),
    )  # fmt: skip

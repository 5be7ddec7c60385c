"""Measures how many known faults the hunt detects: they are planted one at a time, each by undoing a fix.

The faults are those of tests/planted_hunt.py. Each is tested with faulty sidecars on the first seeds whose
schedule contains a step that can trigger it. It prints the share of all seeds with such a step, the number
of runs in which a rule that the fault may break was reported, and which rules were broken.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import uvloop

from sprucenotch.testbed.hunt.campaign import Campaign, broken_rules
from sprucenotch.testbed.hunt.draw import kind, schedule
from tests.planted_hunt import FAULTS, TRIGGERS

SEEDS = range(1, 401)


class Found(NamedTuple):
    """The result for one planted fault."""

    drawn: float  # share of all seeds whose schedule can trigger it
    runs: int
    hits: int  # runs that broke one of the rules that the fault may break
    rules: Counter[str]  # number of runs that broke each rule
    seconds: float


def seeds_for(fault: str, length: float) -> list[int]:
    """The seeds whose schedule contains a step that can trigger the fault."""
    return [
        seed for seed in SEEDS if any(kind(step) in TRIGGERS[fault] for step in schedule(seed, length).steps)
    ]


def run_hunt(fault: str, count: int, length: float, jobs: int, folder: Path) -> Found:
    """Run the hunt with that fault on `count` seeds."""
    triggering = seeds_for(fault, length)
    seeds = triggering[:count]
    command = f"{sys.executable} -m tests.planted_hunt {fault}"
    campaign = Campaign(folder / f"{fault}.sqlite", folder / fault, length, jobs, command)
    began = time.monotonic()
    failed = uvloop.run(campaign.play(seeds, lambda job: None))
    found = broken_rules(campaign.rows(seeds), failed)
    rules = Counter(find.rule for find in found)
    hits = len({find.seed for find in found if find.rule in FAULTS[fault][1]})
    return Found(len(triggering) / len(SEEDS), len(seeds), hits, rules, time.monotonic() - began)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("faults", nargs="*", help="default: all")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--for", dest="length", type=float, default=20.0, help="seconds of a run")
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    total = Counter[str]()
    with tempfile.TemporaryDirectory(prefix="hunt-") as folder:
        for fault in options.faults or FAULTS:
            found = run_hunt(fault, options.seeds, options.length, options.jobs, Path(folder))
            total.update(faults=1, found=found.hits > 0, runs=found.runs, seconds=round(found.seconds))
            rules = ", ".join(f"{rule} {count}" for rule, count in found.rules.most_common()) or "nothing"
            print(
                f"{fault}: drawn by {found.drawn:.0%}, found in {found.hits} of {found.runs} runs; {rules}",
                flush=True,
            )
    minutes = total["seconds"] / 60
    print(f"{total['found']} of {total['faults']} found, {total['runs']} runs, {minutes:.1f} minutes")


if __name__ == "__main__":
    main()

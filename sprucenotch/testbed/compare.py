"""Compares two revisions over the same seeds with a bootstrap confidence interval."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np
from scipy import stats  # type: ignore[import-untyped]

from sprucenotch.testbed.process import RunError
from sprucenotch.testbed.run_store import Row

CONFIDENCE = 0.95
RESAMPLES = 10_000


class Comparison(NamedTuple):
    """The mean difference over paired seeds, with its confidence interval."""

    pairs: int
    difference: float  # mean
    low: float
    high: float

    @property
    def significant(self) -> bool:
        """Whether the difference is significant: the interval does not contain 0."""
        return self.low > 0 or self.high < 0


def compare(first: dict[int, Row], second: dict[int, Row]) -> Comparison:
    """The paired differences in worth, second minus first. Raises RunError with fewer than three pairs."""
    seeds = sorted(first.keys() & second.keys())
    if len(seeds) < 3:
        raise RunError(
            f"{len(seeds)} valid paired runs are too few for an interval; at least three are needed"
        )
    return interval([second[s].result.summary.worth - first[s].result.summary.worth for s in seeds])


def interval(paired: Sequence[float]) -> Comparison:
    """The bootstrap interval (BCa) of the mean of paired differences."""
    differences = np.array(paired)
    mean = float(differences.mean())
    if np.ptp(differences) == 0:
        return Comparison(len(paired), mean, mean, mean)
    found = stats.bootstrap(
        (differences,), np.mean, confidence_level=CONFIDENCE, n_resamples=RESAMPLES,
        rng=np.random.default_rng(1),
    )  # fmt: skip
    return Comparison(
        len(paired), mean, float(found.confidence_interval.low), float(found.confidence_interval.high)
    )

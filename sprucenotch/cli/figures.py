"""A sidecar's management listener, read: whether it is ready, its figures, its metrics."""

from __future__ import annotations

import time
from typing import Any, NamedTuple

import msgspec
from prometheus_client.openmetrics.parser import text_string_to_metric_families

from sprucenotch.rig.process import call

Labels = tuple[str, ...]


class Reading(NamedTuple):
    at: float  # the monotonic clock
    ready: bool
    telemetry: dict[str, Any]
    samples: dict[tuple[str, Labels], float]  # by name without its prefix, and the values of its labels

    def gauge(self, name: str) -> float:
        return self.samples.get((name, ()), 0.0)

    def quantile(self, cls: str, share: float) -> float | None:
        """Seconds within which that share of the served requests was answered, by the bucket that holds it;
        None while there are none."""
        bounds = sorted(
            (float(labels[1]), count)
            for (name, labels), count in self.samples.items()
            if name == "request_duration_seconds_bucket" and labels[0] == cls
        )
        total = bounds[-1][1] if bounds else 0
        return next((bound for bound, count in bounds if total and count >= share * total), None)


def read(address: str) -> Reading:
    """Raises OSError where nobody answers, ValueError where it is no sidecar that does."""
    ready, _ = call(address, "/api/ready")
    status, figures = call(address, "/api/telemetry")
    if status != 200:
        raise ValueError(f"no figures there: status {status}")
    try:
        telemetry = msgspec.json.decode(figures, type=dict[str, Any])
    except msgspec.DecodeError:
        raise ValueError("what answers there is no sidecar") from None
    status, metrics = call(address, "/metrics")
    samples = {}
    if status == 200:  # an earlier version has none
        for family in text_string_to_metric_families(metrics.decode()):  # type: ignore[no-untyped-call]
            for sample in family.samples:
                labels = tuple(sample.labels.values())
                samples[sample.name.removeprefix("sprucenotch_"), labels] = sample.value
    return Reading(time.monotonic(), ready == 200, telemetry, samples)

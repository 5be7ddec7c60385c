"""Reads readiness, telemetry and metrics from the management listener of a sidecar."""

from __future__ import annotations

import time
from typing import Any, NamedTuple

import msgspec
from prometheus_client.openmetrics.parser import text_string_to_metric_families

from sprucenotch.testbed.process import http_get

Labels = tuple[str, ...]


class Reading(NamedTuple):
    """What the management listener returned at one time."""

    at: float  # on the monotonic clock
    ready: bool
    telemetry: dict[str, Any]
    samples: dict[tuple[str, Labels], float]  # by name without the prefix, and label values

    def gauge(self, name: str) -> float:
        return self.samples.get((name, ()), 0.0)

    def quantile(self, cls: str, share: float) -> float | None:
        """The upper bound of the histogram bucket that holds this quantile of the latency, in seconds; None
        without requests."""
        bounds = sorted(
            (float(labels[1]), count)
            for (name, labels), count in self.samples.items()
            if name == "request_duration_seconds_bucket" and labels[0] == cls
        )
        total = bounds[-1][1] if bounds else 0
        return next((bound for bound, count in bounds if total and count >= share * total), None)


def read(address: str) -> Reading:
    """Read a sidecar. Raises OSError if it does not answer, ValueError if it is not a sidecar."""
    ready, _ = http_get(address, "/api/ready")
    status, body = http_get(address, "/api/telemetry")
    if status != 200:
        raise ValueError(f"no telemetry there: status {status}")
    try:
        telemetry = msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.DecodeError:
        raise ValueError("the server there is not a sidecar") from None
    status, metrics = http_get(address, "/metrics")
    samples = {}
    if status == 200:  # earlier versions have no metrics
        for family in text_string_to_metric_families(metrics.decode()):  # type: ignore[no-untyped-call]
            for sample in family.samples:
                labels = tuple(sample.labels.values())
                samples[sample.name.removeprefix("sprucenotch_"), labels] = sample.value
    return Reading(time.monotonic(), ready == 200, telemetry, samples)

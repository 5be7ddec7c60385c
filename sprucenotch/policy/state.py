"""State kept for each endpoint, request class and pending request. Times are nanoseconds."""

from __future__ import annotations

from msgspec import Struct

from sprucenotch import api
from sprucenotch.api import Scope

SECOND, HOUR = 1_000_000_000, 3600 * 1_000_000_000
CYCLE_AIMS = 0.5  # cycle length in mean aims: queues build that fast, and a slower cycle misses bursts
SMOOTHING_WEIGHT = 0.25  # weight of a new sample in an endpoint's moving averages


def mix(value: int) -> int:
    """Return a 64-bit hash (splitmix64 finaliser) that is the same in every process."""
    value = (value + 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF
    return value ^ (value >> 31)


class Location(Struct, frozen=True):
    """Zone and cell of an endpoint when a request was sent to it; a later list may move the endpoint."""

    zone: int
    cell: int


NO_LOCATION = Location(-1, -1)


class Member:
    """An endpoint of the list, with its load and health as seen by this sidecar."""

    def __init__(self, entry: api.Endpoint, rank: int, now: int) -> None:
        self.id, self.rank, self.id_hash = entry.id, rank, mix(int.from_bytes(entry.id, "little"))
        self.in_flight = 0
        self.first_seen = now  # when the endpoint was first listed with its current start time
        self.warm_from = 0  # start of its warm-up, by this process's clock; 0: warm
        self.update(entry)
        self.reset()

    def update(self, entry: api.Endpoint) -> None:
        self.zone, self.cell, self.health = entry.zone, entry.cell, entry.health
        self.location = Location(self.zone, self.cell)
        self.share, self.started = max(entry.share, 1e-3), entry.started

    def reset(self) -> None:
        self.relative_latency = 1.0  # its latency relative to the mean of the request classes, smoothed
        self.failure_rate = 0.0  # share of failed attempts, smoothed
        self.last_answer_at = 0  # 0: no answer yet, so the class mean is assumed
        self.consecutive_failures = self.last_failure_at = self.ejections = self.ejected_until = 0


class ClassState:
    """A request class with its learned latencies and its business level."""

    def __init__(self, cls: api.RequestClass) -> None:
        self.cls, self.business_level = cls, 0
        # Mean latency over some seconds, and its slowly rising minimum, the latency without queueing.
        self.mean = self.base = 0.0
        self.latency = [0.0, 0.0]  # sum of latency / aim, and count; shared with peers
        self.longest_try = 0  # the longest deadline of a first try, which marks repeats that come late


class PendingRequest:
    """A request without a final answer yet."""

    def __init__(self, event: api.Request, class_state: ClassState, max_attempts: int, now: int) -> None:
        self.id, self.expires_at, self.arrived_at = event.id, event.expires_at, now
        # As of its arrival: later settings do not apply to it.
        self.class_state, self.cls, self.max_attempts = class_state, class_state.cls, max_attempts
        self.key, self.uploading = event.key, event.uploading
        self.attempts = self.sent_at = self.first_run_at = self.probe_rounds = self.open_probes = 0
        self.member: Member | None = None  # target of the last attempt
        # Of `member` and of `first_run_member`, when the attempt was sent.
        self.location = self.first_run_location = NO_LOCATION
        self.first_run_member: Member | None = None  # target of the first attempt that may have run
        self.recorded_wait = 0.0  # the part of its wait that `zone_stats` already contains
        self.probed: list[Member] = []  # members that were sent a probe for this request
        self.fastest: Member | None = None  # the fastest to answer a probe
        self.fastest_took, self.fastest_is_remote = 2 * HOUR, False


def is_idle(member: Member, now: int) -> bool:
    """Whether this sidecar has no request in flight there and the member is not ejected.

    An ejected member may stay in the subset when too many are ejected; it does not count as idle.
    """
    return not member.in_flight and member.ejected_until <= now


def same_dedup_group(one: Member, other: Member | Location, scope: int) -> bool:
    """Whether two endpoints share a deduplication group: one drops repeats of requests that the other ran."""
    near = one.zone == other.zone and (scope == Scope.ZONE or one.cell == other.cell)
    return scope == Scope.ALL or near

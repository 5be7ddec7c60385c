"""The known endpoints, the subset that this sidecar uses, and the choice of one for a request."""

from __future__ import annotations

import random
from collections.abc import Iterable
from heapq import nsmallest
from math import log

from sprucenotch import api
from sprucenotch.api import Effect, Health, ListKind, Outcome
from sprucenotch.policy.births import SkewEstimate
from sprucenotch.policy.state import (
    CYCLE_AIMS,
    ClassState,
    Member,
    PendingRequest,
    is_idle,
    mix,
    same_dedup_group,
)

ESTIMATE_FADE_AIMS = 50.0  # mean aims until an estimate is half class mean; slow periods last as long
MIN_SUBSET_PRICED, MIN_SUBSET_FREE = 4, 8  # subset size at little traffic if connections cost, or not
SUBSET_PER_IN_FLIGHT = 1.5  # further members per request in flight, over all zones, so that one is idle
PEAK_RETENTION = 0.99  # of the in-flight peak, per cycle: slow, as new connections cost
FAILURES_TO_EJECT = 3  # consecutive failures that eject a member
MIN_EJECTION_AIMS, MAX_EJECTION_AIMS = 4.0, 40.0  # duration of an ejection in mean aims, doubled each time
MAX_EJECTED_SHARE = 0.5  # of a subset: if more members fail, the cause is common to them
MEMBERS_PER_KEY = 2  # that share a warm key: a popular key would overload a single one


class Engines:
    """The endpoints of discovery's list with their learned state, and the subset in use."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.rand, self.choices = rng.random, rng.choices
        self.salt = mix(settings.instance)  # fixed by the instance number, so that a restart keeps the subset
        self.members: dict[bytes, Member] = {}
        self.skew_estimate = SkewEstimate()
        self.ready_by_rank: list[list[Member]] = [[], []]  # ready endpoints by rank: [this zone, other zones]
        self.subset: list[list[Member]] = [[], []]
        # Allowed sends to cold members, and what each answer of a warm one adds to them.
        self.cold_credit, self.credit_per_answer = 0.0, 0.0
        self.refilled_at = 0
        self.peak_in_flight = 0.0  # of the requests in flight, decaying
        self.subset_stale = False  # whether the subset has to be chosen again
        self.apply_settings(settings)

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply settings. Endpoints of a zone that no longer exists are moved to the last zone."""
        self.settings, classes = settings, settings.classes
        self.aim = sum(c.aim for c in classes) / len(classes)
        for member in self.members.values():
            member.zone = min(member.zone, settings.zones - 1)
        self.rank_members()

    def update(self, kind: int, entries: Iterable[api.Endpoint], now: int) -> None:
        """Apply a list or changes of one, by its ListKind. Zones beyond the settings count as the last."""
        named = set()
        for entry in entries:
            named.add(entry.id)
            entry = entry._replace(zone=min(entry.zone, self.settings.zones - 1))
            member = self.members.get(entry.id)
            new = member is None or entry.started != member.started
            if member is None:
                rank = mix(int.from_bytes(entry.id, "little") ^ self.salt)
                self.members[entry.id] = member = Member(entry, rank, now)
            else:
                if new:
                    member.reset()
                    member.first_seen = now
                member.update(entry)
            if (
                new
                and kind == ListKind.DELTA
                and entry.started
                and self.skew_estimate.observe_start(entry.started, now)
            ):
                self.update_warm_up()
            member.warm_from = self.skew_estimate.warm_from(member.started, member.first_seen)
        if kind != ListKind.DELTA:
            for member in self.members.values():
                if member.id not in named:
                    member.health = Health.GONE
        self.members = {k: m for k, m in self.members.items() if m.health != Health.GONE or m.in_flight}
        self.rank_members()

    def update_warm_up(self) -> None:
        """Recompute when each server's warm-up began, after the estimate of the clock skew has changed."""
        for member in self.members.values():
            member.warm_from = self.skew_estimate.warm_from(member.started, member.first_seen)
        self.subset_stale = True

    def rank_members(self) -> None:
        """Rank the ready endpoints by weighted rendezvous hashing.

        Each sidecar ranks by its own hash, so a change of the list changes little of the subset.
        """
        ready = [m for m in self.members.values() if m.health == Health.READY]
        ready.sort(key=lambda m: (-log((m.rank + 1) / 2**64) / m.share, m.id))
        zone = self.settings.zone
        self.ready_by_rank = [[m for m in ready if m.zone == zone], [m for m in ready if m.zone != zone]]
        self.subset_stale = True

    def subset_size(self) -> int:
        """Return the target size of each subset (of this zone, of the other zones), in warm members."""
        priced = self.settings.connection_price + self.settings.handshake_price > 0
        sides = max(1, sum(map(bool, self.ready_by_rank)))
        return (MIN_SUBSET_PRICED if priced else MIN_SUBSET_FREE) + int(
            SUBSET_PER_IN_FLIGHT * self.peak_in_flight / sides
        )

    def choose_subset(self, now: int) -> None:
        """Choose the subset again, and update the credit for sends to cold members."""
        self.subset_stale = False
        cycles = max(0.0, min(1.0, (now - self.refilled_at) / (CYCLE_AIMS * self.aim)))  # since the last call
        self.refilled_at = now
        size = self.subset_size()
        for side in (0, 1):
            subset: list[Member] = []
            ejected, filled, max_ejected = (
                0,
                0.0,
                MAX_EJECTED_SHARE * min(size, len(self.ready_by_rank[side])),
            )
            for member in self.ready_by_rank[side]:
                if filled >= size:
                    break
                if member.ejected_until > now and ejected + 1 <= max_ejected:
                    ejected += 1
                else:
                    subset.append(member)
                    filled += self.warmth(member, now)  # a cold member counts as a part of one
            self.subset[side] = subset
        warmths = [self.warmth(m, now) for subset in self.subset for m in subset]
        warm = sum(warmth >= 1 for warmth in warmths)
        self.credit_per_answer = (sum(warmths) - warm) / max(1, warm)
        if warm == len(warmths):
            self.cold_credit = 0.0  # no savings: a bulk restart would get them all at once
        elif not warm:  # all sidecars together send each one a request per two mean aims
            fair = sum(map(len, self.ready_by_rank)) / self.settings.instances
            self.cold_credit = min(1.0, self.cold_credit + fair * CYCLE_AIMS / 2 * cycles)

    def warmth(self, member: Member, now: int) -> float:
        """Return the minimum share of its full capacity that an endpoint has, by the time since its start."""
        age, minimum, duration = now - member.warm_from, self.settings.cold_from, self.settings.cold_for
        return (
            1.0
            if not member.warm_from or age >= duration
            else minimum + (1 - minimum) * max(age, 0) / duration
        )

    def expected_time(self, member: Member, class_state: ClassState, now: int) -> float:
        """Return the expected time of a request there; a failure counts as the whole aim.

        Old estimates decay to the mean of the class.
        """
        if not member.last_answer_at:
            return class_state.mean
        fade = 1 / (1 + max(0, now - member.last_answer_at) / (ESTIMATE_FADE_AIMS * self.aim))
        return (
            class_state.mean * (1 + (member.relative_latency - 1) * fade)
            + member.failure_rate * fade * class_state.cls.aim
        )

    def candidates(self, side: int, request: PendingRequest, now: int) -> list[Member]:
        """Return the warm members that may get the request: the idle ones, or all if none is idle.

        `side` is 0 for this zone, 1 for others. A warm key has the same few members in every sidecar.
        """
        cls, key = request.cls, request.key if self.settings.warm_keys else 0
        first, scope = request.first_run_member if cls.effect == Effect.KEYED else None, cls.scope
        # A repeat has to stay in the group by the current list as well as by the list of that time.
        location = request.first_run_location
        members = [
            m for m in (self.ready_by_rank if key else self.subset)[side]
            if m is not request.member and m not in request.probed and self.warmth(m, now) >= 1
            and (
                first is None
                or (same_dedup_group(m, first, scope) and same_dedup_group(m, location, scope))
            )
            and (not key or m.ejected_until <= now)
        ]  # fmt: skip
        if key:
            members = nsmallest(MEMBERS_PER_KEY, members, key=lambda m: mix(m.id_hash ^ key))
        return [m for m in members if is_idle(m, now)] or members

    def pick(self, side: int, can_cross: bool, request: PendingRequest, now: int) -> Member | None:
        """Return the fastest idle member, else the less busy of two random ones; None if there is none.

        With `can_cross`, an idle member on the other side goes before a busy one on this side.
        """
        members = self.candidates(side, request, now)
        if can_cross and not (members and is_idle(members[0], now)):
            others = self.candidates(1 - side, request, now)
            members = others if others and is_idle(others[0], now) else members + others
        if not members:
            return None
        state, drawn = (
            request.class_state,
            members if is_idle(members[0], now) else self.choices(members, k=2),
        )
        rand = self.rand  # breaks ties where nothing is known yet
        return min(
            drawn,
            key=lambda m: (m.ejected_until > now, m.in_flight, self.expected_time(m, state, now), rand()),
        )

    def pick_cold(self, can_cross: bool, now: int) -> Member | None:
        """Return a cold endpoint if the credit allows a send to one.

        Each answer of a warm member earns the warmth of the cold ones as credit, so all sidecars together
        send a cold endpoint no more than that part of a server's capacity; a part of the sends would be too
        much when many have restarted. For first attempts only, as further ones come in bursts. Credit is
        earned for the cold members of all zones. If the drawn one is in a zone where the request may not go,
        its credit is dropped; otherwise the others would get it as well, all at once if saved up.
        """
        if self.cold_credit < 1:  # always so while all are warm: skips the search
            return None
        cold = [m for subset in self.subset for m in subset if self.warmth(m, now) < 1]
        if not cold:
            return None
        [member] = self.choices(cold, weights=[self.warmth(m, now) for m in cold])
        self.cold_credit -= not member.in_flight
        allowed = can_cross or member.zone == self.settings.zone
        return member if allowed and not member.in_flight else None

    def record_success(self, member: Member, now: int) -> None:
        """Record an answer: ends a series of failures, and earns credit for cold members."""
        member.consecutive_failures = member.ejections = 0
        self.cold_credit = min(
            1.0, self.cold_credit + self.credit_per_answer * (self.warmth(member, now) >= 1)
        )

    def record_failure(self, member: Member, outcome: int, request: PendingRequest | None, now: int) -> None:
        """Record a failure. Several consecutive ones eject the member for a time."""
        # Requests sent before the last failure are not counted: one long request delays all that follow it.
        if outcome == Outcome.FULL or request is None or request.sent_at < member.last_failure_at:
            return
        member.consecutive_failures, member.last_failure_at = member.consecutive_failures + 1, now
        if member.consecutive_failures >= FAILURES_TO_EJECT and member.ejected_until <= now:
            duration = min(MIN_EJECTION_AIMS * 2 ** min(member.ejections, 8), MAX_EJECTION_AIMS) * self.aim
            member.ejected_until = now + int(duration * (0.75 + self.rand() / 2))
            member.ejections += 1
            self.subset_stale = True

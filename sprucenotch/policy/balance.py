"""The decisions of the load balancer. Their interface (settings, events, actions) is sprucenotch/api.py.

Usual path of a request: the admission cut over (business, user) levels refuses it unsent or admits it; an
admitted request goes to an idle member of a small subset of the endpoints. All times are nanoseconds.
"""

from __future__ import annotations

import random
from struct import Struct, pack, unpack_from

from msgspec import structs

from sprucenotch import api
from sprucenotch.api import Effect, Health, ListKind, Outcome, Reason
from sprucenotch.policy.admission import Admission
from sprucenotch.policy.discovery import CallSchedule
from sprucenotch.policy.engines import PEAK_RETENTION, Engines
from sprucenotch.policy.learned import export, in_range_or, restore
from sprucenotch.policy.retries import reason_against_retry
from sprucenotch.policy.state import CYCLE_AIMS, SECOND, SMOOTHING_WEIGHT, ClassState, Member, PendingRequest

MAX_CYCLE_SENDS = 2000  # a cycle also ends after this many sends, as in the published algorithm
MAX_CYCLE_AIMS = 3.0  # mean aims for which a cycle with too few samples is extended
# Outcomes needed to move the cut. With peers less, as the pooled numbers are a mean over the fleet.
MIN_SAMPLES, MIN_SAMPLES_POOLED = 3.0, 0.5
# Overload is a mean wait above this share of the class slack (aim less service time), plus so many service
# times as a share of the slack: servers with few cores queue that much at ordinary load.
MIN_OVERLOAD_WAIT = 0.1
OVERLOAD_SERVICE_TIMES = 1.5
MAX_SERVICE_SHARE = 0.25  # upper bound of a service time in the slack: at a start in overload it is unknown
# Share of the passed traffic that one rise of the cut sheds; a rise below the minimum is not made.
MIN_CUT_RISE, MAX_CUT_RISE = 0.05, 0.5
DRAIN_SHARE = 0.25  # send this much less than servers finish, per wait of the whole slack, to empty queues
MIN_CUT_DROP, MAX_CUT_DROP = 0.005, 0.1  # share of the arrivals admitted again per cycle without overload
CUT_DROP_RAMP_CYCLES = 8  # cycles without overload since the last rise until a drop may reach its maximum
BASE_LATENCY_GROWTH = 1.0025  # per cycle: the latency without queueing may rise, to forget an old minimum
MAX_BASE_LATENCY, DEFAULT_BASE_LATENCY = 0.5, 0.25  # of the aim: its upper bound, and before any answer
LATENCY_RETENTION = 0.95  # of the samples of the class means, per cycle: covers about 5 s
RETRIES_PER_REQUEST, MAX_RETRY_BUDGET = 0.1, 5.0  # retry budget gained per request, and its upper bound
# Change of the share that crosses zones, per cycle, if the waits differ by the overload threshold.
CROSSING_STEP = 0.025
RETRY_AFTER = SECOND  # advice to a refused client, if clients take any: some cycles
# Of the pooled samples, per cycle: covers about a second; the larger share is for few samples.
MIN_POOL_RETENTION, MAX_POOL_RETENTION = 0.6, 0.85
FULL_POOL_SAMPLES = 8.0  # outcomes in the pool from which the smaller share is kept
PEERS_PER_CYCLE, PEER_CUT_WEIGHT = 1, 0.25  # messages per cycle; weight of a peer's cut: sheds smoothly
MIN_CYCLES_TO_SHARE_CUT = 4  # cycles after which a sidecar's own cut is sent to peers
MESSAGE_HEADER = Struct("<Bf")  # zone and cut (-1: none yet); the pooled values follow as half floats
MAX_SHARED_VALUE = 60_000.0  # about the largest half float: no correct value is larger
WAIT_SUM, WAIT_COUNT, SEND_COUNT, ANSWER_COUNT = range(4)  # indexes into the statistics of a zone
PROBES_PER_ROUND = 2  # members probed in parallel: a second choice brings most of the gain
PROBE_BENEFIT = 0.05  # share of all worth gained by probing: 0.02 to 0.11 during long faults, else nothing
PROBE_TIMEOUT_TICKS = 3  # ticks, beyond the round trip, within which an idle member answers
MAX_STALL = 2.2 * SECOND  # longest stall of a sidecar seen: requests held unsent during one are lost
MAX_PROBE_ROUNDS = 4  # then the request is sent anyway: after a tenth of a second, less than any usual aim
CYCLE_TIMER, DISCOVERY_TIMER = 0, (1 << 64) - 1  # timer tokens: next cycle, next call to discovery


class Balancer:
    """Turns events into actions for one sidecar. Deterministic for a seed; no I/O and no clock."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.rand, self.sample = (rng := random.Random(seed)).random, rng.sample
        self.engines, self.admission = Engines(settings, rng), Admission(settings)
        self.actions: list[api.Action] = []
        self.pending: dict[int, PendingRequest] = {}
        self.handlers = {
            api.Attached: self.on_attached, api.EndpointList: self.on_list, api.Request: self.on_request,
            api.Completed: self.on_completed, api.Gone: self.on_gone, api.Timer: self.on_timer,
            api.StreamStarted: self.on_gone, api.Uploaded: self.on_uploaded,
            api.Shortened: self.on_shortened, api.Probed: self.on_probed,
            api.PeerMessage: self.on_peer, api.Recalled: self.on_recalled,
            api.Retuned: lambda now, event: self.apply_settings(event.settings),
            api.DiscoveryMoved: self.on_discovery_moved, api.ClockSkew: self.on_clock_skew,
        }  # fmt: skip
        self.subscribed = not settings.discovery_on_request
        self.schedule = CallSchedule(int(self.rand() * (1 << 53)))
        self.attempts_in_flight = 0  # attempts in flight
        self.waiting_for_probe: dict[bytes, list[int]] = {}  # ids of requests by probed endpoint
        self.fastest_probe = [0, 0]  # shortest time of a probe: [this zone, other zones]
        self.class_states: list[ClassState] = []
        self.crossing_share = 0.0  # share of requests sent to other zones, where they may go there
        # By the zone of the servers, shared with peers: sum of waits / slack, their count, sends, answers.
        self.zone_stats: list[list[float]] = []
        self.sends = self.cycles = self.calm_cycles = self.cycle_started_at = 0
        self.pressure, self.overload_threshold = (
            0.0,
            MIN_OVERLOAD_WAIT + OVERLOAD_SERVICE_TIMES * MAX_SERVICE_SHARE,
        )
        self.budget = 1.0
        self.apply_settings(settings)
        self.mean_worth = sum(c.worth for c in settings.classes) / len(settings.classes)

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply settings. State of a class is kept by its name; the histogram and the cut are remapped."""
        self.settings, classes, old = settings, settings.classes, {s.cls.name: s for s in self.class_states}
        ranks = {worth: i for i, worth in enumerate(sorted({c.worth for c in classes}))}
        new_levels = {old[c.name].business_level: ranks[c.worth] for c in reversed(classes) if c.name in old}
        self.class_states = [old.get(c.name) or ClassState(c) for c in classes]
        for class_state, cls in zip(self.class_states, classes, strict=True):
            class_state.latency[0] *= class_state.cls.aim / cls.aim
            class_state.base = min(class_state.base, cls.aim * MAX_BASE_LATENCY)
            class_state.cls, class_state.business_level = cls, ranks[cls.worth]
        self.engines.apply_settings(settings)
        self.admission.apply_settings(settings, new_levels, len(ranks))
        self.aim = self.engines.aim
        # With peers, sidecars pool their statistics and so shed early enough without probing, which would
        # then cost more than it gains.
        self.probing = (
            settings.probes and not settings.peers and PROBES_PER_ROUND * settings.probe_price < PROBE_BENEFIT
        )
        self.zone_stats = (self.zone_stats + [[0.0] * 4 for _ in range(settings.zones)])[: settings.zones]

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Process one event and return the resulting actions."""
        handler = self.handlers.get(type(event))
        if handler:
            handler(now, event)  # type: ignore[operator]
        actions, self.actions = self.actions, []
        return actions

    # ---- list and drains ----------------------------------------------------------------------------------

    def on_attached(self, now: int, event: api.Attached) -> None:
        self.cycle_started_at = now
        if not self.subscribed:
            self.actions.append(api.SetTimer(1 + self.schedule.start(now, self.settings), DISCOVERY_TIMER))
        self.actions.append(api.SetTimer(1 + int(self.rand() * CYCLE_AIMS * self.aim), CYCLE_TIMER))

    def on_list(self, now: int, event: api.EndpointList) -> None:
        if event.kind in (ListKind.FAILED, ListKind.SILENT):
            self.on_call_failed(now, event.kind == ListKind.SILENT)
            return
        if event.kind != ListKind.CACHED:
            self.subscribed = True
            self.schedule.succeeded()
        self.engines.update(event.kind, event.endpoints, now)

    def on_call_failed(self, now: int, silent: bool) -> None:
        """Schedule the next call to discovery; `silent` if the last one got no answer in time."""
        self.subscribed = not self.settings.discovery_on_request
        if not self.subscribed:
            pause = self.schedule.call_timed_out() if silent else self.schedule.failed(now, self.settings)
            self.actions.append(api.SetTimer(pause, DISCOVERY_TIMER))

    def on_discovery_moved(self, now: int, event: api.DiscoveryMoved) -> None:
        """Call the new address at once: its changes count as delivered soon after the move."""
        self.subscribed = not self.settings.discovery_on_request
        self.schedule.succeeded()
        self.call_discovery(now)

    def on_clock_skew(self, now: int, event: api.ClockSkew) -> None:
        """Record the skew against discovery's clock, by which start times of servers are given."""
        if self.engines.skew_estimate.observe_discovery_clock(event.skew):
            self.engines.update_warm_up()

    def call_discovery(self, now: int) -> None:
        if not self.subscribed:
            self.schedule.called(now)
            self.actions.append(api.Watch(True))

    def learned(self, now: int) -> api.Learned:
        """Return the learned state for a later process."""
        state = export(now, self.engines, self.class_states, self.admission)
        return structs.replace(state, crossing_share=self.crossing_share, budget=self.budget)

    def on_recalled(self, now: int, event: api.Recalled) -> None:
        """Restore the state of an earlier process. The retry budget is restored too: a restart gains none."""
        learned, age = event
        restore(now, age, learned, self.engines, self.class_states, self.admission)
        self.budget = in_range_or(learned.budget, 0.0, MAX_RETRY_BUDGET, self.budget)
        cycles = age / (CYCLE_AIMS * self.aim)
        self.crossing_share = (
            in_range_or(learned.crossing_share, 0.0, 1.0, 0.0) * (1 - CROSSING_STEP) ** cycles
        )

    # ---- probing idle members -----------------------------------------------------------------------------

    def may_cross(self, cls: api.RequestClass) -> bool:
        """Whether a request may go to another zone: only if it is worth more than the price of crossing."""
        return bool(self.engines.subset[1]) and cls.worth > self.settings.cross_price * self.mean_worth

    def probe_idle_members(self, request: PendingRequest, now: int) -> bool:
        """Probe a few idle members; the fastest to answer gets the request. False if none was probed.

        With many sidecars at a request per second each, nearly all members look idle to each sidecar, and a
        slow one is noticed only after it has delayed a request. Requests whose remaining time is less than
        the longest stall of a sidecar are not held back for probes.
        """
        if self.engines.subset_stale:
            self.engines.choose_subset(now)
        if request.probe_rounds >= MAX_PROBE_ROUNDS or request.expires_at - now < MAX_STALL:
            return False
        cross = self.may_cross(request.cls) and (
            request.probe_rounds > 0 or self.rand() < self.crossing_share
        )
        if not request.probe_rounds and (cold := self.engines.pick_cold(self.may_cross(request.cls), now)):
            self.launch(request, cold, now)
            return True
        for side in (0, 1) if cross and request.probe_rounds else (int(cross),):
            members = self.engines.candidates(side, request, now)
            drawn = self.sample(members, min(2 * PROBES_PER_ROUND, len(members)))
            for member in sorted(
                drawn, key=lambda m: self.engines.expected_time(m, request.class_state, now)
            )[:PROBES_PER_ROUND]:
                if member.id not in self.waiting_for_probe:
                    self.waiting_for_probe[member.id] = []
                    self.actions.append(api.Probe(member.id))
                self.waiting_for_probe[member.id].append(request.id)
                request.probed.append(member)
                request.open_probes += 1
        if not request.probed:
            return False
        request.probe_rounds += 1
        wait = PROBE_TIMEOUT_TICKS * self.settings.tick + self.fastest_probe[cross]
        self.actions.append(api.SetTimer(wait, request.id + 1))
        return True

    def on_probed(self, now: int, event: api.Probed) -> None:
        waiting = self.waiting_for_probe.pop(event.endpoint, ())
        member = self.engines.members.get(event.endpoint)
        if member is None:
            return
        is_remote, ok = member.zone != self.settings.zone, event.outcome == Outcome.OK
        if ok:
            self.fastest_probe[is_remote] = min(self.fastest_probe[is_remote] or event.took, event.took)
        for rid in waiting:
            request = self.pending.get(rid)
            if request is None or request.attempts:
                continue
            request.open_probes -= 1
            if ok and request.fastest is None:  # compare it with other answers of this tick
                self.actions.append(api.SetTimer(1, rid + 1))
            if (
                ok
                and event.took - self.fastest_probe[is_remote]
                < request.fastest_took - self.fastest_probe[request.fastest_is_remote]
            ):
                request.fastest, request.fastest_took, request.fastest_is_remote = (
                    member,
                    event.took,
                    is_remote,
                )
            if not request.open_probes and request.fastest is not None:
                self.send_or_probe_again(request, now)

    def send_or_probe_again(self, request: PendingRequest, now: int) -> None:
        """Send a request for which members were probed, or start another round of probes."""
        if now >= request.expires_at:
            self.finish_without_answer(request, now, Reason.EXPIRED)
        elif request.fastest is not None and request.fastest.health == Health.READY:
            self.launch(request, request.fastest, now)
        elif not self.probe_idle_members(request, now):
            self.send(request, now)

    # ---- endpoint health ----------------------------------------------------------------------------------

    def record_outcome(
        self, member: Member, event: api.Completed, request: PendingRequest | None, now: int
    ) -> None:
        outcome = event.outcome
        if outcome in (Outcome.CANCELLED, Outcome.MOOT, Outcome.LOCAL_FAILURE):
            return
        failed = outcome != Outcome.OK
        member.failure_rate += SMOOTHING_WEIGHT * (failed - member.failure_rate)
        if request is not None:
            self.update_estimates(member, event.took, outcome, request)
        member.last_answer_at = now
        if failed:
            self.engines.record_failure(member, outcome, request, now)
        else:
            self.engines.record_success(member, now)

    def update_estimates(self, member: Member, took: int, outcome: int, request: PendingRequest) -> None:
        """Add an outcome to the class latencies, the endpoint's pace and the wait statistics of the zone."""
        class_state, warmth = request.class_state, self.engines.warmth(member, request.sent_at)
        aim = request.cls.aim
        took = int(took * warmth)  # a cold server is slower without having a queue
        if outcome in (Outcome.TIMEOUT, Outcome.FULL):
            wait = warmth
        elif outcome != Outcome.OK:
            # Failures say nothing about load: they must not shed requests that other servers can serve.
            self.zone_stats[member.zone][SEND_COUNT] -= 1
            if outcome == Outcome.CONNECT_FAILED and member.zone != self.settings.zone:
                # An unreachable zone shows no waits and would otherwise attract more and more traffic.
                self.crossing_share *= 1 - CROSSING_STEP * 4
            return
        else:
            class_state.latency[0] += took / aim
            class_state.latency[1] += 1
            base = min(class_state.base or aim * DEFAULT_BASE_LATENCY, aim * MAX_BASE_LATENCY)
            relative_latency = took / (class_state.mean or took or 1)
            member.relative_latency = (
                member.relative_latency + SMOOTHING_WEIGHT * (relative_latency - member.relative_latency)
                if member.last_answer_at
                else relative_latency
            )
            wait = min(2.0, (took - base) / (aim - base))
        self.record_wait(member, request, wait)
        self.zone_stats[member.zone][ANSWER_COUNT] += outcome == Outcome.OK
        request.recorded_wait = 0.0  # the wait of a further attempt starts at 0

    def record_wait(self, member: Member, request: PendingRequest, wait: float) -> None:
        """Add the not yet recorded part of an attempt's wait to the zone's statistics."""
        stats = self.zone_stats[member.zone]
        stats[WAIT_SUM] += wait - request.recorded_wait
        stats[WAIT_COUNT] += not request.recorded_wait
        request.recorded_wait = wait

    # ---- cycles and the cut -------------------------------------------------------------------------------

    def on_timer(self, now: int, event: api.Timer) -> None:
        if event.token == DISCOVERY_TIMER:
            self.call_discovery(now)
            return
        if event.token != CYCLE_TIMER:
            request = self.pending.get(event.token - 1)
            if request is not None and not request.attempts:
                self.send_or_probe_again(request, now)
            return
        self.actions.append(api.SetTimer(int(CYCLE_AIMS * self.aim), CYCLE_TIMER))
        self.engines.peak_in_flight *= PEAK_RETENTION
        if self.pressure <= self.overload_threshold:  # in overload new connections would add to the load
            self.engines.peak_in_flight = max(self.attempts_in_flight, self.engines.peak_in_flight)
        self.engines.subset_stale = True
        self.run_cycle(now)

    def run_cycle(self, now: int) -> None:
        # Waits in progress count as well: a queue that builds suddenly shows before its first late answer.
        for request in self.pending.values():
            member, aim = request.member, request.cls.aim
            if member and not request.uploading:
                base = min(request.class_state.base or aim * DEFAULT_BASE_LATENCY, aim * MAX_BASE_LATENCY)
                elapsed = (now - request.sent_at) * self.engines.warmth(member, request.sent_at)
                wait = min(1.0, (elapsed - base) / (aim - base))
                if wait > self.overload_threshold and wait > request.recorded_wait:
                    self.record_wait(member, request, wait)
        min_samples = MIN_SAMPLES_POOLED if self.settings.peers else MIN_SAMPLES
        samples = sum(e[WAIT_COUNT] for e in self.zone_stats)
        if self.sends and samples < min_samples and now - self.cycle_started_at < MAX_CYCLE_AIMS * self.aim:
            self.share_with_peers()
            return
        self.adjust_cut_and_crossing(now)
        self.admission.decay()
        for class_state in self.class_states:
            (total, count), aim = class_state.latency, class_state.cls.aim
            if count >= min_samples:
                class_state.mean = mean = total / count * aim
                # A mean of few answers may be too low, and its minimum with it, so some seconds are pooled.
                class_state.base = min(
                    mean,
                    class_state.base * BASE_LATENCY_GROWTH or aim * DEFAULT_BASE_LATENCY,
                    aim * MAX_BASE_LATENCY,
                )
            class_state.latency = [total * LATENCY_RETENTION, count * LATENCY_RETENTION]
        shares = [s.base / (s.cls.aim - s.base) for s in self.class_states if s.base]
        if shares:
            self.overload_threshold = MIN_OVERLOAD_WAIT + OVERLOAD_SERVICE_TIMES * min(
                MAX_SERVICE_SHARE, sum(shares) / len(shares)
            )
        keep = min(MAX_POOL_RETENTION, max(MIN_POOL_RETENTION, 1 - samples / FULL_POOL_SAMPLES))
        self.zone_stats = [[x * keep for x in e] for e in self.zone_stats]
        self.share_with_peers()
        self.sends, self.cycle_started_at = 0, now
        self.cycles += 1

    def zone_load(self, *zones: int) -> tuple[float, float]:
        """Return the mean wait / slack and the answers per send of the servers in these zones."""
        wait_sum, wait_count, sends, answers = (sum(self.zone_stats[z][i] for z in zones) for i in range(4))
        return (wait_sum / wait_count if wait_count > 0.5 else 0.0), (answers / sends if sends > 0.5 else 1.0)

    def adjust_cut_and_crossing(self, now: int) -> None:
        """Adjust the share of requests that crosses zones, and then the cut, at the end of a cycle.

        Waits are shares of the slack (aim less base latency); `now` is in nanoseconds.
        """
        zones, home = range(len(self.zone_stats)), self.settings.zone
        self.pressure, answers_per_send = self.zone_load(*zones)  # over the sends to all zones
        local, remote = (
            self.zone_load(*(z for z in zones if (z == home) == own))[0] for own in (True, False)
        )
        # If other zones have shorter waits, traffic crosses before any is shed, in proportion to the
        # difference, and returns as the waits become equal. Scaled by time, as cycles differ in length.
        if self.engines.ready_by_rank[1]:
            difference = max(
                -0.5, min(2.0, (local - remote - self.settings.cross_price) / self.overload_threshold)
            )
            step = CROSSING_STEP * (now - self.cycle_started_at) / (CYCLE_AIMS * self.aim) * difference
            self.crossing_share = min(1.0, max(0.0, self.crossing_share + step))
        if self.pressure > self.overload_threshold:
            # Overloaded servers still finish requests at their capacity. Send that rate, less a part to drain
            # their queues. Late answers to sends from before the last rise must not raise the cut again, so a
            # rise also reduces the counted sends.
            sustainable = answers_per_send * (1 - DRAIN_SHARE * min(2.0, self.pressure))
            if sustainable < 1 - MIN_CUT_RISE:
                share = min(MAX_CUT_RISE, 1 - sustainable)
                self.admission.raise_cut(share)
                self.calm_cycles = 0
                for stats in self.zone_stats:  # as if the new cut had applied to them
                    stats[SEND_COUNT] *= 1 - share
        elif self.admission.cut > 0:
            # Some overloads sustain themselves until the load is low, so the first steps are small; they grow
            # with the number of cycles without overload since the last rise.
            self.calm_cycles = min(self.calm_cycles + 1, CUT_DROP_RAMP_CYCLES)
            ramp = (
                (1 - max(0.0, self.pressure) / self.overload_threshold)
                * self.calm_cycles
                / CUT_DROP_RAMP_CYCLES
            )
            self.admission.lower_cut(MIN_CUT_DROP + (MAX_CUT_DROP - MIN_CUT_DROP) * ramp)

    def pooled_rows(self) -> list[list[float]]:
        """Return the values shared with peers, in the order of their messages."""
        return [*self.zone_stats, self.admission.keyless_arrivals, *(s.latency for s in self.class_states)]

    def share_with_peers(self) -> None:
        """Send equal parts of the statistics to a few peers, so that all approach the fleet's mean."""
        settings = self.settings
        if not settings.peers or settings.instances < 2:
            return
        for row in self.pooled_rows():
            row[:] = [min(x / (1 + PEERS_PER_CYCLE), MAX_SHARED_VALUE) for x in row]
        values = [x for row in self.pooled_rows() for x in row]
        body = MESSAGE_HEADER.pack(
            settings.zone, self.admission.cut if self.cycles >= MIN_CYCLES_TO_SHARE_CUT else -1.0
        )
        body += pack(f"<{len(values)}e", *values)
        for _ in range(PEERS_PER_CYCLE):
            peer = int(self.rand() * (settings.instances - 1))
            self.actions.append(api.Tell(peer + (peer >= settings.instance), body))

    def on_peer(self, now: int, event: api.PeerMessage) -> None:
        body, rows = event.body, self.pooled_rows()
        count = sum(map(len, rows))
        if len(body) != MESSAGE_HEADER.size + 2 * count:
            return
        zone, cut = MESSAGE_HEADER.unpack_from(body)
        values = iter(unpack_from(f"<{count}e", body, MESSAGE_HEADER.size))
        received = [[next(values) for _ in row] for row in rows]
        zones = len(self.zone_stats)
        valid = all(abs(e[WAIT_SUM]) <= 2.01 * e[WAIT_COUNT] for e in received[:zones])
        if not (valid and -1 <= cut <= self.admission.max_level):
            return  # not a message of this version
        if not all(0 <= x <= MAX_SHARED_VALUE for i, row in enumerate(received) for x in row[i < zones :]):
            return
        for row, received_row in zip(rows, received, strict=True):
            row[:] = [x + y for x, y in zip(row, received_row, strict=True)]
        if zone == self.settings.zone and cut >= 0:  # a restarted sidecar adopts the fleet's cut
            self.admission.cut += (PEER_CUT_WEIGHT if self.cycles >= MIN_CYCLES_TO_SHARE_CUT else 1.0) * (
                cut - self.admission.cut
            )
            self.cycles = max(self.cycles, MIN_CYCLES_TO_SHARE_CUT)

    # ---- attempts and final answers -----------------------------------------------------------------------

    def on_request(self, now: int, event: api.Request) -> None:
        passes = self.admission.passes(self.class_states[event.cls].business_level, event, now)
        request = PendingRequest(event, self.class_states[event.cls], self.settings.max_attempts, now)
        self.mean_worth += 0.01 * (request.cls.worth - self.mean_worth)
        self.pending[event.id] = request
        if not passes:
            self.finish_without_answer(request, now, Reason.ADMISSION)
        elif event.expires_at <= now:
            self.finish_without_answer(request, now, Reason.EXPIRED)
        elif self.is_useless_repeat(event, request.class_state, now):
            self.finish_without_answer(request, now, Reason.USELESS)
        else:
            self.budget = min(MAX_RETRY_BUDGET, self.budget + RETRIES_PER_REQUEST)
            if not self.probing or not self.probe_idle_members(request, now):
                self.send(request, now)

    def on_uploaded(self, now: int, event: api.Uploaded) -> None:
        """The body of a long request is complete: its deadline and its wait there count from now."""
        if (request := self.pending.get(event.id)) is not None:
            request.uploading, request.expires_at = False, event.expires_at
            request.arrived_at = request.sent_at = now

    def on_shortened(self, now: int, event: api.Shortened) -> None:
        """The request has to be answered earlier."""
        if (request := self.pending.get(event.id)) is not None:
            request.expires_at = min(request.expires_at, event.expires_at)

    def is_useless_repeat(self, event: api.Request, class_state: ClassState, now: int) -> bool:
        """Whether this repeat comes too late, by the time until its deadline, for an answer to count."""
        cls, time_left = class_state.cls, event.expires_at - now
        if not event.repeat:
            class_state.longest_try = max(class_state.longest_try, time_left)
            return False
        return not cls.late_worth and time_left < class_state.longest_try and cls.limit - time_left >= cls.aim

    def send(self, request: PendingRequest, now: int) -> None:
        if self.engines.subset_stale:
            self.engines.choose_subset(now)
        can_cross = self.may_cross(request.cls)
        side = int(can_cross and self.rand() < self.crossing_share)
        first = not request.attempts and not request.probe_rounds
        member = self.engines.pick_cold(can_cross, now) if first else None
        member = member or self.engines.pick(side, can_cross, request, now)
        if member is not None:
            self.launch(request, member, now)
        else:
            self.finish_without_answer(request, now, Reason.NO_SERVER)

    def launch(self, request: PendingRequest, member: Member, now: int) -> None:
        request.member, request.location, request.sent_at = member, member.location, now
        request.attempts += 1
        member.in_flight += 1
        self.attempts_in_flight += 1
        self.sends += 1
        self.zone_stats[member.zone][SEND_COUNT] += 1
        repeat = request.first_run_member is not None and request.cls.effect == Effect.KEYED
        before = request.first_run_at + request.cls.window if repeat else 0
        self.actions.append(api.Send(request.id, member.id, self.attempt_timeout(request, now), before))
        if self.sends % MAX_CYCLE_SENDS == 0:
            self.run_cycle(now)

    def attempt_timeout(self, request: PendingRequest, now: int) -> int:
        """Return the timeout of this attempt in nanoseconds; 0: until the client gives up."""
        cls = request.cls
        time_to_aim = request.arrived_at + cls.aim - now
        # Members that answered a probe but are late have a queue of requests held beyond the aim.
        limit_to_aim = not cls.late_worth or (self.probing and self.pressure > self.overload_threshold / 2)
        if limit_to_aim and 0 < time_to_aim < request.expires_at - now:
            return time_to_aim
        return 0

    def on_completed(self, now: int, event: api.Completed) -> None:
        request = self.pending.get(event.id)
        member = self.engines.members.get(event.endpoint)
        if member is not None and member.in_flight:
            member.in_flight -= 1
            self.attempts_in_flight -= 1
            self.record_outcome(member, event, request, now)
        if request is None or event.over:
            self.pending.pop(event.id, None)
            return
        if request.first_run_member is None and event.outcome not in api.NEVER_RAN:
            request.first_run_member, request.first_run_location, request.first_run_at = (
                request.member,
                request.location,
                request.sent_at,
            )
        why = reason_against_retry(
            request, event.outcome, now, self.budget, self.pressure > self.overload_threshold
        )
        if why is not None:
            self.finish_without_answer(request, now, why)
            return
        self.budget -= event.outcome != Outcome.LOCAL_FAILURE
        self.send(request, now)

    def finish_without_answer(self, request: PendingRequest, now: int, why: Reason) -> None:
        """Give the final answer: Refuse if a repeat is harmless, else Fail."""
        del self.pending[request.id]
        cls = request.cls
        if request.first_run_member is None or cls.effect == Effect.SAFE:
            # If no answer can count any more, advise the client to stay away for the rest of its time.
            late = not cls.late_worth and now >= request.arrived_at + cls.aim
            advice = min(cls.limit if late else RETRY_AFTER, self.settings.retry_after_max)
            self.actions.append(api.Refuse(request.id, advice, why))
        else:
            self.actions.append(api.Fail(request.id, why))

    def on_gone(self, now: int, event: api.Gone | api.StreamStarted) -> None:
        """The client left, or a stream started: a stream has no deadline and is never sent again."""
        self.pending.pop(event.id, None)

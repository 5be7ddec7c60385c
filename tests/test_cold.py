"""The load of all processes on one cold server, by a manual clock, against the load at which it fails."""

from __future__ import annotations

import heapq
import random
from collections.abc import Sequence
from math import sqrt

import pytest

from sprucenotch import api
from tests.helpers import MS, SECOND, START, Bench, endpoint, request_class, settings

FALL_MULTIPLE, FALL_WINDOW = 3.0, 3 * SECOND
CAPACITY = 3.0  # requests a second of a warm server; the load here uses all of it
COLD_FROM, COLD_FOR = 0.17, 24 * SECOND
ANSWER = 50 * MS
TICK = 250 * MS  # a cycle of the decisions for an aim of 0.5 s


def max_requests(warmth: float) -> float:
    """Return the number of requests in the window above which a cold server fails."""
    allowed = FALL_MULTIPLE * warmth * CAPACITY * FALL_WINDOW / SECOND
    return allowed + 2 * sqrt(allowed) + 2


class Fleet:
    """Balancers under one clock; each send is answered after a fixed time."""

    def __init__(self, processes: int, **changes: object) -> None:
        self.now = START
        self.random = random.Random(7)
        cold = dict(cold_from=COLD_FROM, cold_for=COLD_FOR, instances=processes)
        self.benches = [
            Bench(settings(request_class(), **(cold | changes | {"instance": i})), 0, seed=i)
            for i in range(processes)
        ]
        self.sends: list[tuple[int, bytes]] = []
        self.due: list[tuple[int, int, int, api.Send | None]] = []
        self.number = 0
        for i in range(processes):
            self.plan(self.random.randrange(TICK), i, None)

    def plan(self, delay: int, process: int, send: api.Send | None) -> None:
        """Schedule an answer to `send`, or the timer of a process if it is None."""
        self.number += 1
        heapq.heappush(self.due, (self.now + delay, self.number, process, send))

    def give_list(self, *entries: api.Endpoint, kind: int = api.ListKind.FULL) -> None:
        for bench in self.benches:
            bench.now = self.now
            bench.give_list(*entries, kind=kind)

    def run_until(self, until: int) -> None:
        while self.due and self.due[0][0] <= until:
            self.now, _, process, send = heapq.heappop(self.due)
            bench = self.benches[process]
            bench.now = self.now
            if send is None:
                bench.give(api.Timer(0))
                self.plan(TICK, process, None)
            else:
                bench.answer(send, took=ANSWER)
        self.now = until

    def load(self, seconds: float, rate: float) -> None:
        """Give requests at random times, `rate` per second in all, each to a random process."""
        end = self.now + int(seconds * SECOND)
        while (at := self.now + int(self.random.expovariate(rate) * SECOND)) < end:
            self.run_until(at)
            process = self.random.randrange(len(self.benches))
            bench = self.benches[process]
            bench.now = at
            if isinstance(send := bench.ask(), api.Send):
                self.sends.append((at, send.endpoint))
                self.plan(ANSWER, process, send)
        self.run_until(end)

    def sent(self, server: int) -> list[int]:
        return [at for at, to in self.sends if to == server.to_bytes(6, "little")]


def within_bound(sent: Sequence[int], started: int) -> bool:
    """Whether each window that ends with a send contains no more than a server of that age can take."""
    for place, end in enumerate(sent):
        in_window = sum(at > end - FALL_WINDOW for at in sent[: place + 1])
        age = max(0, end - FALL_WINDOW - started)  # at the start of the window: the lowest in it
        if in_window > max_requests(COLD_FROM + (1 - COLD_FROM) * min(1.0, age / COLD_FOR)):
            return False
    return True


@pytest.mark.parametrize(("processes", "servers"), [(2, 6), (20, 8), (30, 12), (30, 4), (230, 200)])
def test_cold_server_load_from_all_processes_stays_below_fall_limit(processes: int, servers: int) -> None:
    """The S of P processes that have the server in their subset earn its warmth divided by the number of warm
    members as credit per answer of a warm member, and spend one per send. In a window T they send at most
    `warmth * (answers of a warm server in T) + S`; the S only if all were just below a whole credit."""
    fleet = Fleet(processes)
    fleet.give_list(*(endpoint(n) for n in range(servers)))
    fleet.load(4, servers * CAPACITY)
    started = fleet.now
    fleet.give_list(*(endpoint(n, started=0 if n else started) for n in range(servers)))
    before = len(fleet.sends)
    fleet.load(12, servers * CAPACITY)
    sent = [at for at in fleet.sent(0) if at >= started]
    assert len(fleet.sends) - before > 10 * servers * CAPACITY  # the load was there, and was let pass
    assert within_bound(sent, started), (len(sent), sent[:20])


def test_credit_for_unreachable_cold_servers_is_not_spent_on_another() -> None:
    """Another zone restarted and is cold, no request is worth crossing, and then a local server restarts."""
    fleet = Fleet(30, zones=2, cross_price=5.0)
    first = [endpoint(n) for n in range(6)]
    across = [endpoint(n, zone=1, started=fleet.now) for n in range(6, 12)]
    fleet.give_list(*first, *across)
    fleet.load(12, 6 * CAPACITY)
    started = fleet.now
    fleet.give_list(endpoint(0, started=started), kind=api.ListKind.DELTA)
    fleet.load(6, 6 * CAPACITY)
    sent = [at for at in fleet.sent(0) if at >= started]
    assert not any(fleet.sent(n) for n in range(6, 12))
    assert within_bound(sent, started), [(at - started) // MS for at in sent]


def test_frequent_lists_earn_no_cold_credit() -> None:
    """All servers have restarted. Each list change rebuilds the subset, but the trickle depends on time only:
    `T / (2 mean aims)` per server and window over all processes, plus the rounding of S credits."""
    processes, servers = 4, 8
    fleet = Fleet(processes)
    started = fleet.now
    listed = [endpoint(n, started=started) for n in range(servers)]
    fleet.give_list(*listed)
    for _ in range(120):
        fleet.give_list(listed[0], kind=api.ListKind.DELTA)
        fleet.load(0.05, 8 * servers * CAPACITY)  # refused clients retry
    seconds = 120 * 0.05
    assert 0 < len(fleet.sends) <= servers * seconds + processes
    for n in range(servers):
        assert within_bound(fleet.sent(n), started), (n, len(fleet.sent(n)))


def test_pick_cold_skips_search_while_all_are_warm(monkeypatch: pytest.MonkeyPatch) -> None:
    bench = Bench(settings(), servers=6)
    bench.sent()  # builds the subset
    engines = bench.balancer.engines
    monkeypatch.setattr(engines, "warmth", None)  # any call would raise
    assert engines.pick_cold(True, bench.now) is None

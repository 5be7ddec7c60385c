"""The schedule of calls to discovery: bounds over any failures, and a fleet with one discovery service."""

from __future__ import annotations

import heapq
from collections import deque
from itertools import pairwise
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucenotch import api
from sprucenotch.policy.balance import DISCOVERY_TIMER, Balancer
from sprucenotch.policy.discovery import CHANGE_DEADLINE, CallSchedule, call_budget, response_timeout
from sprucenotch.policy.state import SECOND
from tests.helpers import call_timers

CLASSES = (api.RequestClass("read", SECOND // 2, 2 * SECOND, 1.0),)
MS = SECOND // 1000


def on_request_settings(ask_within: int = 10 * SECOND, drain_grace: int = SECOND // 2) -> api.Settings:
    return api.Settings(CLASSES, discovery_on_request=True, ask_within=ask_within, drain_grace=drain_grace)


ANY_SETTINGS = st.builds(
    on_request_settings, st.integers(2 * SECOND, 60 * SECOND), st.integers(SECOND // 10, 2 * SECOND)
)


def time_to_answer(settings: api.Settings, seed: int, failures: list[int], answer: int, start: int) -> int:
    """Return the time from the start to an up-to-date list, if the calls fail after these times."""
    schedule, now = CallSchedule(seed), start
    now += schedule.start(now, settings)
    for failure in failures:
        schedule.called(now)
        now += failure
        now += schedule.failed(now, settings)
    return now + answer - start


def part(settings: api.Settings, share: float) -> int:
    return int(share * call_budget(settings))


@given(ANY_SETTINGS, st.integers(0, 2**64), st.integers(0, 10**18), st.integers(0, 3), st.data())
def test_schedule_with_refused_calls_leaves_time_for_an_answer(
    settings: api.Settings, seed: int, start: int, count: int, data: st.DataObject
) -> None:
    answer = data.draw(st.integers(0, part(settings, 0.3)))
    assert time_to_answer(settings, seed, [10 * MS] * count, answer, start) <= call_budget(settings)


@given(ANY_SETTINGS, st.integers(0, 2**64), st.integers(0, 10**18), st.data())
def test_schedule_after_slow_failure_leaves_time_for_equally_slow_answer(
    settings: api.Settings, seed: int, start: int, data: st.DataObject
) -> None:
    failure = data.draw(st.integers(0, part(settings, 0.3)))
    assert time_to_answer(settings, seed, [failure], failure, start) <= call_budget(settings)


@given(ANY_SETTINGS, st.integers(0, 2**64), st.lists(st.integers(0, 30 * SECOND), min_size=1, max_size=30))
def test_schedule_after_long_outage_is_in_time_once_discovery_is_reachable(
    settings: api.Settings, seed: int, failures: list[int]
) -> None:
    """Discovery is reachable again just after a call began; it fails, and the next answer is as fast."""
    last = min(failures[-1], part(settings, 0.3))
    schedule, now = CallSchedule(seed), 0
    now += schedule.start(now, settings)
    for failure in [*failures[:-1], last]:
        schedule.called(now)
        back = now
        now += failure
        now += schedule.failed(now, settings)
    assert now + last - back <= call_budget(settings)


@given(ANY_SETTINGS, st.integers(0, 2**64))
def test_schedule_after_silent_call_leaves_nearly_half_of_the_budget(
    settings: api.Settings, seed: int
) -> None:
    pause = CallSchedule(seed).call_timed_out()
    assert response_timeout(settings) + pause + call_budget(settings) // 2 <= call_budget(settings)


@given(ANY_SETTINGS, st.integers(0, 2**64))
def test_schedule_with_refused_calls_keeps_minimum_interval(settings: api.Settings, seed: int) -> None:
    schedule, now, begun = CallSchedule(seed), 0, []
    for _ in range(40):
        schedule.called(now)
        begun.append(now)
        now += schedule.failed(now, settings)
    shortest = min(later - earlier for earlier, later in pairwise(begun[10:]))
    assert shortest >= min(call_budget(settings) // 16, SECOND // 4) - 1


def test_call_budget_is_minimum_of_settings_and_protocol() -> None:
    assert call_budget(on_request_settings(10 * SECOND, 500 * MS)) == CHANGE_DEADLINE + 500 * MS
    assert call_budget(on_request_settings(2 * SECOND, 100 * MS)) == 2100 * MS


@pytest.mark.parametrize("seed", range(20))
def test_balancer_calls_discovery_only_at_start_after_failure_and_at_move(seed: int) -> None:
    settings = on_request_settings()
    balancer, now = Balancer(settings, seed), 1000 * SECOND
    [first] = call_timers(balancer.handle(now, api.Attached()))
    assert first.delay <= 1 + call_budget(settings) // 4
    now += first.delay
    assert balancer.handle(now, api.Timer(DISCOVERY_TIMER)) == [api.Watch(True)]
    [again] = call_timers(balancer.handle(now, api.EndpointList(api.ListKind.FAILED, ())))
    assert balancer.handle(now + again.delay, api.Timer(DISCOVERY_TIMER)) == [api.Watch(True)]
    now += 30 * SECOND
    assert balancer.handle(now, api.EndpointList(api.ListKind.DELTA, ())) == []
    assert balancer.handle(now, api.Timer(DISCOVERY_TIMER)) == []
    [soon] = call_timers(balancer.handle(now, api.EndpointList(api.ListKind.SILENT, ())))
    assert soon.delay <= SECOND // 10
    assert balancer.handle(now, api.DiscoveryMoved()) == [api.Watch(True)]


def test_balancer_with_pushed_lists_never_calls_discovery() -> None:
    balancer = Balancer(api.Settings(CLASSES), 1)
    assert call_timers(balancer.handle(0, api.Attached())) == []
    assert balancer.handle(1, api.EndpointList(api.ListKind.FAILED, ())) == []
    assert balancer.handle(2, api.DiscoveryMoved()) == []


# ---- a fleet and its service


class Call(NamedTuple):
    called_at: int
    process: int


class Due(NamedTuple):
    at: int
    process: int
    timed_out: bool  # whether its call fails then; if not, it makes a call


class Fleet:
    """Processes and one service that handles their calls in order.

    The service also works on calls that have already failed because they waited longer than its timeout.
    """

    def __init__(self, processes: int, call_takes: int, time_out: int, settings: api.Settings) -> None:
        self.call_takes, self.time_out, self.settings = call_takes, time_out, settings
        self.schedules = [CallSchedule(number) for number in range(processes)]
        self.listed_at: dict[int, int] = {}
        self.called_at: list[int] = []  # start times of all calls
        self._due: list[Due] = []
        self._queue: deque[Call] = deque()
        self._free_at = 0

    def play(self, until: int) -> None:
        for number, schedule in enumerate(self.schedules):
            heapq.heappush(self._due, Due(schedule.start(0, self.settings), number, False))
        while self._due and self._due[0].at < until:
            now, number, timed_out = heapq.heappop(self._due)
            self._serve(now)
            if number in self.listed_at:
                continue
            if timed_out:
                pause = self.schedules[number].failed(now, self.settings)
                heapq.heappush(self._due, Due(now + pause, number, False))
            else:
                self._call(now, number)
        self._serve(until)

    def _call(self, now: int, number: int) -> None:
        self.schedules[number].called(now)
        self.called_at.append(now)
        self._queue.append(Call(now, number))
        heapq.heappush(self._due, Due(now + self.time_out, number, True))

    def _serve(self, now: int) -> None:
        while self._queue and (begins := max(self._free_at, self._queue[0].called_at)) <= now:
            call = self._queue.popleft()
            self._free_at = begins + self.call_takes
            if begins - call.called_at <= self.time_out:
                self.listed_at[call.process] = self._free_at


@pytest.mark.parametrize("processes", [230, 11_000])
@pytest.mark.parametrize(("all_take", "time_out"), [(3.0, 2.0), (4.0, 2.0), (4.4, 3.0)])
def test_fleet_starting_at_once_gets_lists_within_budget(
    processes: int, all_take: float, time_out: float
) -> None:
    settings = on_request_settings()
    fleet = Fleet(processes, int(all_take * SECOND / processes), int(time_out * SECOND), settings)
    fleet.play(20 * SECOND)
    assert len(fleet.listed_at) == processes
    assert max(fleet.listed_at.values()) <= call_budget(settings)
    assert len(fleet.called_at) <= 2 * processes


@pytest.mark.parametrize("processes", [230, 11_000])
def test_nearly_overloaded_discovery_recovers_from_fleet_start(processes: int) -> None:
    """All first calls take 5.6 s, with a timeout of 2 s: over half of them fail."""
    fleet = Fleet(processes, int(5.6 * SECOND / processes), 2 * SECOND, on_request_settings())
    fleet.play(60 * SECOND)
    assert len(fleet.listed_at) == processes
    assert len(fleet.called_at) <= 3.5 * processes

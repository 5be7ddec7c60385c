"""When discovery is called: the bound of the schedule over any failures, and a fleet with one service."""

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


def asked(ask_within: int = 10 * SECOND, drain_grace: int = SECOND // 2) -> api.Settings:
    return api.Settings(CLASSES, discovery_on_request=True, ask_within=ask_within, drain_grace=drain_grace)


ANY_SETTINGS = st.builds(asked, st.integers(2 * SECOND, 60 * SECOND), st.integers(SECOND // 10, 2 * SECOND))


def answered_after(settings: api.Settings, seed: int, failures: list[int], answer: int, start: int) -> int:
    """How long after a start at that time the list is up to date, if the calls fail after these times."""
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
def test_calls_refused_at_once_leave_time_for_an_answer(
    settings: api.Settings, seed: int, start: int, count: int, data: st.DataObject
) -> None:
    answer = data.draw(st.integers(0, part(settings, 0.3)))
    assert answered_after(settings, seed, [10 * MS] * count, answer, start) <= call_budget(settings)


@given(ANY_SETTINGS, st.integers(0, 2**64), st.integers(0, 10**18), st.data())
def test_a_call_that_waits_and_fails_leaves_time_for_an_answer_as_slow(
    settings: api.Settings, seed: int, start: int, data: st.DataObject
) -> None:
    failure = data.draw(st.integers(0, part(settings, 0.3)))
    assert answered_after(settings, seed, [failure], failure, start) <= call_budget(settings)


@given(ANY_SETTINGS, st.integers(0, 2**64), st.lists(st.integers(0, 30 * SECOND), min_size=1, max_size=30))
def test_however_long_calls_fail_an_answer_is_in_time_once_discovery_can_be_reached(
    settings: api.Settings, seed: int, failures: list[int]
) -> None:
    """It is back just after a call went out; that one fails all the same, the next is answered as fast."""
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
def test_a_silent_call_is_followed_by_one_that_has_nearly_half_of_the_budget(
    settings: api.Settings, seed: int
) -> None:
    pause = CallSchedule(seed).silent()
    assert response_timeout(settings) + pause + call_budget(settings) // 2 <= call_budget(settings)


@given(ANY_SETTINGS, st.integers(0, 2**64))
def test_calls_refused_at_once_come_no_faster_than_the_schedule_says(
    settings: api.Settings, seed: int
) -> None:
    schedule, now, begun = CallSchedule(seed), 0, []
    for _ in range(40):
        schedule.called(now)
        begun.append(now)
        now += schedule.failed(now, settings)
    shortest = min(later - earlier for earlier, later in pairwise(begun[10:]))
    assert shortest >= min(call_budget(settings) // 16, SECOND // 4) - 1


def test_the_budget_is_that_of_the_settings_where_they_give_less_than_the_protocol() -> None:
    assert call_budget(asked(10 * SECOND, 500 * MS)) == CHANGE_DEADLINE + 500 * MS
    assert call_budget(asked(2 * SECOND, 100 * MS)) == 2100 * MS


@pytest.mark.parametrize("seed", range(20))
def test_the_decisions_call_at_the_start_after_a_failure_and_at_a_move_and_only_then(seed: int) -> None:
    settings = asked()
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


def test_where_lists_are_pushed_the_decisions_never_call() -> None:
    balancer = Balancer(api.Settings(CLASSES), 1)
    assert call_timers(balancer.handle(0, api.Attached())) == []
    assert balancer.handle(1, api.EndpointList(api.ListKind.FAILED, ())) == []
    assert balancer.handle(2, api.DiscoveryMoved()) == []


# ---- a fleet and its service


class Call(NamedTuple):
    begun: int
    process: int


class Due(NamedTuple):
    at: int
    process: int
    timed_out: bool  # its call fails then; else it makes one


class Fleet:
    """Processes and one service that works through their calls in turn, also through those that it let wait
    for longer than its time-out and that failed by then."""

    def __init__(self, processes: int, call_takes: int, time_out: int, settings: api.Settings) -> None:
        self.call_takes, self.time_out, self.settings = call_takes, time_out, settings
        self.schedules = [CallSchedule(number) for number in range(processes)]
        self.told_at: dict[int, int] = {}
        self.begun: list[int] = []  # of all calls
        self._due: list[Due] = []
        self._queue: deque[Call] = deque()
        self._free_at = 0

    def play(self, until: int) -> None:
        for number, schedule in enumerate(self.schedules):
            heapq.heappush(self._due, Due(schedule.start(0, self.settings), number, False))
        while self._due and self._due[0].at < until:
            now, number, timed_out = heapq.heappop(self._due)
            self._serve(now)
            if number in self.told_at:
                continue
            if timed_out:
                pause = self.schedules[number].failed(now, self.settings)
                heapq.heappush(self._due, Due(now + pause, number, False))
            else:
                self._call(now, number)
        self._serve(until)

    def _call(self, now: int, number: int) -> None:
        self.schedules[number].called(now)
        self.begun.append(now)
        self._queue.append(Call(now, number))
        heapq.heappush(self._due, Due(now + self.time_out, number, True))

    def _serve(self, now: int) -> None:
        while self._queue and (begins := max(self._free_at, self._queue[0].begun)) <= now:
            call = self._queue.popleft()
            self._free_at = begins + self.call_takes
            if begins - call.begun <= self.time_out:
                self.told_at[call.process] = self._free_at


@pytest.mark.parametrize("processes", [230, 11_000])
@pytest.mark.parametrize(("all_take", "time_out"), [(3.0, 2.0), (4.0, 2.0), (4.4, 3.0)])
def test_a_fleet_that_starts_at_once_is_told_within_the_budget(
    processes: int, all_take: float, time_out: float
) -> None:
    settings = asked()
    fleet = Fleet(processes, int(all_take * SECOND / processes), int(time_out * SECOND), settings)
    fleet.play(20 * SECOND)
    assert len(fleet.told_at) == processes
    assert max(fleet.told_at.values()) <= call_budget(settings)
    assert len(fleet.begun) <= 2 * processes


@pytest.mark.parametrize("processes", [230, 11_000])
def test_a_service_with_hardly_room_for_a_fleet_is_not_kept_from_recovering(processes: int) -> None:
    """It needs 5.6 s for a call of each, and lets them wait for 2 s: over half of the first ones fail."""
    fleet = Fleet(processes, int(5.6 * SECOND / processes), 2 * SECOND, asked())
    fleet.play(60 * SECOND)
    assert len(fleet.told_at) == processes
    assert len(fleet.begun) <= 3.5 * processes

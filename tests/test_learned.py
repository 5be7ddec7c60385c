"""Export and restoration of learned state: nothing is lost, age decays it, invalid values are ignored."""

from __future__ import annotations

import math
import random

import msgspec
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from sprucenotch import api
from sprucenotch.api import Outcome
from tests.helpers import MS, SECOND, Bench, endpoint, request_class, settings

CLASSES = (request_class(name="cheap", worth=1.0), request_class(name="dear", worth=8.0))
HOUR = 3600 * SECOND


def overloaded_bench(seed: int) -> Bench:
    """Return a balancer after some seconds of overload, failures and a dead server."""
    rng, b = random.Random(seed), Bench(settings(*CLASSES, max_attempts=2, zones=2), servers=8)
    for _ in range(300):
        b.now += rng.randrange(30 * MS)
        event = api.Request(
            rng.getrandbits(60), rng.randrange(2), 0, rng.randrange(50), b.now + SECOND, 0, False
        )
        for action in b.give(event):
            if isinstance(action, api.Send):
                took = rng.randrange(20 * MS, 900 * MS)
                outcome = Outcome.CONNECT_FAILED if action.endpoint[0] == 1 else rng.choice((0, 0, 0, 1, 3))
                b.give(api.Completed(action.id, 0, action.endpoint, outcome, took, outcome == 0, ()))
        if rng.random() < 0.1:
            b.give(api.Timer(0))
    return b


def successor(b: Bench, age: int, learned: api.Learned | None = None) -> Bench:
    new = Bench(b.config, servers=8, seed=7)
    new.now = b.now + age
    exported = msgspec.msgpack.encode(learned or b.balancer.learned(b.now))
    assert new.give(api.Recalled(msgspec.msgpack.decode(exported, type=api.Learned), age)) == []
    return new


@examples(max_examples=25)
@given(st.integers(0, 10_000))
def test_learned_state_survives_export_and_restore(seed: int) -> None:
    b = overloaded_bench(seed)
    exported = b.balancer.learned(b.now)
    assert successor(b, 0).balancer.learned(b.now) == exported


@examples(max_examples=25)
@given(st.integers(0, 100), st.lists(st.integers(0, HOUR), min_size=2, max_size=2).map(sorted))
def test_restored_state_decays_with_age(seed: int, ages: list[int]) -> None:
    b = overloaded_bench(seed)
    sooner, later = (successor(b, age) for age in ages)
    one, other = (new.balancer.learned(new.now) for new in (sooner, later))
    assert (
        one.cut >= other.cut
        and one.peak_in_flight >= other.peak_in_flight
        and one.crossing_share >= other.crossing_share
    )
    assert sum(one.histogram.values()) >= sum(other.histogram.values()) and sum(one.keyless_arrivals) >= sum(
        other.keyless_arrivals
    )
    for a, z in zip(one.engines, other.engines, strict=True):
        assert a.ejected_for >= z.ejected_for and (
            a.last_answer_age < 0 or a.last_answer_age <= z.last_answer_age
        )
    gone = successor(b, HOUR).balancer
    assert gone.admission.cut < 1 and not any(
        m.ejected_until > b.now + HOUR for m in gone.engines.members.values()
    )
    assert gone.budget <= b.balancer.budget  # a restart gains no retries


def test_restored_state_ignores_restarted_servers() -> None:
    b = overloaded_bench(5)
    exported = b.balancer.learned(b.now)
    assert (
        exported.cut > 0
        and any(e.ejected_for for e in exported.engines)
        and any(e.last_answer_age > 0 for e in exported.engines)
    )
    new = Bench(b.config, servers=0)
    new.now = b.now
    new.give_list(*(endpoint(n + 1, started=b.now) for n in range(8)))
    new.give(api.Recalled(exported, 0))
    assert all(not m.last_answer_at and not m.ejected_until for m in new.balancer.engines.members.values())


NUMBERS = st.floats() | st.sampled_from((math.nan, math.inf, -math.inf, -1.0, 1e300))
WHOLE = st.integers(-(2**62), 2**62)
ENGINES = st.builds(
    api.LearnedEngine, st.integers(1, 9).map(lambda n: endpoint(n).id), st.just(0), NUMBERS, NUMBERS,
    WHOLE, WHOLE, WHOLE, WHOLE,
)  # fmt: skip
KINDS = st.builds(
    api.LearnedClass, st.sampled_from(("cheap", "dear", "other")), WHOLE, WHOLE, NUMBERS, NUMBERS,
    st.tuples(NUMBERS, NUMBERS),
)  # fmt: skip
NONSENSE = st.builds(
    api.Learned, st.lists(ENGINES, max_size=4).map(tuple), st.lists(KINDS, max_size=3).map(tuple),
    st.dictionaries(WHOLE, NUMBERS, max_size=3), st.lists(NUMBERS, max_size=3).map(tuple), NUMBERS, NUMBERS,
    NUMBERS, NUMBERS,
)  # fmt: skip


@examples(max_examples=50)
@given(NONSENSE, st.integers(0, HOUR))
def test_invalid_learned_values_leave_state_in_bounds(exported: api.Learned, age: int) -> None:
    b = successor(overloaded_bench(1), age, exported)
    now = b.balancer.learned(b.now)
    assert (
        0 <= now.cut <= b.balancer.admission.max_level
        and 0 <= now.crossing_share <= 1
        and 0 <= now.budget <= 5
    )
    assert 0 <= now.peak_in_flight <= 1e5 and all(
        0 <= x <= 2e9 for x in (*now.histogram.values(), *now.keyless_arrivals)
    )
    assert all(0 <= k.base <= k.aim / 2 and math.isfinite(k.mean + sum(k.latency)) for k in now.classes)
    assert all(
        0 <= e.failure_rate <= 1 and 0 <= e.relative_latency <= 1e3 and e.ejected_for <= 60 * SECOND
        for e in now.engines
    )
    b.now += SECOND
    b.give(api.Timer(0))
    assert isinstance(b.ask(1), api.Send | api.Refuse)

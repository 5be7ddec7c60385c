"""The admission cut: levels, the histogram, and the wait statistics that move it."""

from __future__ import annotations

import pytest

from sprucenotch import api
from sprucenotch.policy import balance
from sprucenotch.policy.admission import MAX_SHED_SHARE, USER_LEVELS
from sprucenotch.policy.state import HOUR, mix
from tests.helpers import MS, SECOND, Bench, endpoint, request_class, settings

LOW, HIGH = request_class(worth=1.0), request_class(worth=5.0)


def bench(**changes: object) -> Bench:
    return Bench(settings(LOW, HIGH, **changes))


def feed(b: Bench, cls: int, count: int, key: int = 0) -> None:
    for i in range(count):
        action = b.ask(cls, key=key and key + i)
        if isinstance(action, api.Send):
            b.answer(action)


def test_mix_matches_published_value() -> None:
    assert mix(1) == 0x910A2DEC89025CC1  # first output of splitmix64 for seed 1, as published


def test_level_orders_by_business_then_user() -> None:
    b = bench()
    level, place = b.balancer.admission.level(0, api.Request(1, 0, 0, 7, 0, 0, False), b.now)
    b.balancer.admission.cut = float(level + 1)  # just above the level of this key: refused
    assert isinstance(b.ask(0, key=7), api.Refuse)
    b.balancer.admission.cut = float(level)
    assert isinstance(b.ask(0, key=7), api.Send)
    b.balancer.admission.cut = float(USER_LEVELS)  # above the low business level: the high one passes
    assert isinstance(b.ask(0, key=7), api.Refuse) and isinstance(b.ask(1, key=7), api.Send)
    assert 0 <= level < USER_LEVELS and place == 0.5


def test_user_level_salt_changes_hourly_and_is_equal_in_all_sidecars() -> None:
    one, other = bench(instance=1, instances=9), bench(instance=2, instances=9)
    ask = [api.Request(1, 0, 0, key, 0, 0, False) for key in range(1, 40)]
    now = [one.balancer.admission.level(0, r, b.now)[0] for b in (one, other) for r in ask]
    assert now[:39] == now[39:]
    assert now[:39] != [one.balancer.admission.level(0, r, one.now + HOUR)[0] for r in ask]


def test_raise_cut_sheds_share_of_keyed_requests() -> None:
    b = bench()
    feed(b, 0, 400, key=1000)
    b.balancer.admission.raise_cut(0.25)
    refused = sum(isinstance(b.ask(0, key=1000 + i), api.Refuse) for i in range(400))
    assert 80 <= refused <= 120


def test_raise_cut_sheds_low_worth_first() -> None:
    b = bench()
    feed(b, 0, 50)
    feed(b, 1, 50)
    b.balancer.admission.raise_cut(0.5)
    assert b.balancer.admission.cut == pytest.approx(USER_LEVELS, abs=1)


def test_raise_cut_never_sheds_everything() -> None:
    b = bench()
    feed(b, 1, 50)
    for _ in range(50):
        b.balancer.admission.raise_cut(0.5)
    assert b.balancer.admission.cut <= 2 * USER_LEVELS - (1 - MAX_SHED_SHARE) * USER_LEVELS + 1


def test_lower_cut_readmits_share_of_arrivals_and_at_least_one_level() -> None:
    """A share of the passed requests instead would hold a deep cut up for minutes."""
    b = bench()
    feed(b, 0, 100)
    b.balancer.admission.cut = 120.0
    b.balancer.admission.lower_cut(0.1)
    assert b.balancer.admission.cut == pytest.approx(120 - 12.8)
    b.balancer.admission.lower_cut(0.0)
    assert b.balancer.admission.cut == pytest.approx(120 - 12.8 - 1)


def test_cycle_without_sends_lowers_cut() -> None:
    b = bench()
    b.balancer.admission.cut = 50.0
    b.tick()
    assert b.balancer.admission.cut < 50


def test_fleet_of_keyless_sidecars_sheds_smoothly() -> None:
    """Without keys a sidecar has one user level; tenants must not put a third of the fleet on one level."""
    for tenants in ((), tuple(api.Tenant(n, 100.0) for n in "abc")):
        passed = []
        for cut in (0, 32, 64, 96, 128):
            count = 0
            for i in range(200):
                b = Bench(settings(instance=i, instances=200, tenants=tenants), servers=2)
                b.balancer.admission.cut = float(cut)
                count += isinstance(b.ask(tenant=i % 3 if tenants else 0), api.Send)
            passed.append(count)
        assert passed[0] == 200 and passed[4] == 0
        assert [abs(passed[i] - 200 * (4 - i) / 4) < 25 for i in range(5)] == [True] * 5, passed


def overloaded(b: Bench, outcome: int, count: int = 30) -> None:
    feed(b, 0, 10)
    b.tick()
    sends = [b.sent() for _ in range(count)]
    for send in sends:
        b.answer(send, outcome, took=400 * MS)
    b.tick()


@pytest.mark.parametrize("aim", [125 * MS, 500 * MS])
def test_cycle_length_scales_with_aim(aim: int) -> None:
    """A queue that builds over one aim is noticed before it is full, for any aim."""
    b = Bench(settings(request_class(aim=aim)))
    [timer] = [a for a in b.tick() if isinstance(a, api.SetTimer)]
    assert aim / 4 <= timer.delay < aim


def test_timeouts_and_full_servers_raise_cut() -> None:
    for outcome in (api.Outcome.TIMEOUT, api.Outcome.FULL):
        b = bench()
        overloaded(b, outcome)
        assert b.balancer.admission.cut > 0, outcome


def test_failing_endpoints_do_not_raise_cut() -> None:
    """With a fifth of the servers dead, failed connects had shed most of what the others could serve."""
    for outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET, api.Outcome.ERROR):
        b = bench(max_attempts=1)
        overloaded(b, outcome)
        assert b.balancer.admission.cut == 0, outcome


def test_single_late_answer_does_not_raise_cut() -> None:
    b = bench()
    feed(b, 0, 20)
    for _ in range(30):
        b.tick()
    b.answer(b.sent(), took=3 * SECOND)
    b.tick()
    assert b.balancer.admission.cut == 0


def test_waits_in_progress_raise_cut() -> None:
    """A queue that builds suddenly must show before its first late answer."""
    b = bench()
    feed(b, 0, 20)
    b.tick()
    for _ in range(20):
        b.sent()
    for _ in range(2):
        b.tick(0.25)
    assert b.balancer.pressure > b.balancer.overload_threshold and b.balancer.admission.cut > 0


def test_start_in_overload_is_not_taken_as_base_latency() -> None:
    b = bench()
    aim = b.config.classes[0].aim
    for _ in range(4):
        for _ in range(10):
            if isinstance(send := b.ask(), api.Send):
                b.answer(send, took=int(0.8 * aim))
        b.tick(0.25)
    assert b.balancer.admission.cut > 0
    assert b.balancer.class_states[0].base < 0.3 * aim < b.balancer.class_states[0].mean


def test_own_zone_missing_in_settings_still_serves() -> None:
    b = bench(zones=1, zone=3)
    feed(b, 0, 20)
    b.tick()
    assert isinstance(b.ask(), api.Send)


def test_waits_in_other_zones_raise_cut() -> None:
    """All local servers have just restarted and are cold: waits in the other zone show the overload."""
    b = bench(zones=2)
    b.balancer.admission.keyless_arrivals[0] = 100.0
    b.balancer.zone_stats = [[0.0, 0.0, 0.0, 0.0], [20.0, 20.0, 20.0, 10.0]]
    b.balancer.adjust_cut_and_crossing(b.now)
    assert b.balancer.pressure > b.balancer.overload_threshold and b.balancer.admission.cut > 0


def test_slow_service_of_cold_servers_is_not_a_wait() -> None:
    """After many restarts service takes longer without queues; that must not shed requests."""
    b = bench(cold_from=0.17, cold_for=24 * SECOND)
    started = b.now
    b.give_list(endpoint(1), *(endpoint(n, started=started) for n in range(2, 14)))
    cold = 0
    for _ in range(8):
        for _ in range(10):
            send = b.sent()
            warmth = b.balancer.engines.warmth(b.balancer.engines.members[send.endpoint], b.now)
            cold += warmth < 1
            b.answer(send, took=int(50 * MS / warmth))
        b.tick(0.25)
    assert cold > 20
    assert abs(b.balancer.pressure) < 0.05 and b.balancer.admission.cut == 0
    assert b.balancer.class_states[0].mean == pytest.approx(50 * MS, rel=0.1)


def test_timeout_at_cold_server_counts_by_warmth() -> None:
    pressures = []
    for age in (1, 24):
        b = bench(cold_from=0.2, cold_for=24 * SECOND)
        b.give_list(*(endpoint(n + 1, started=b.now - age * SECOND) for n in range(6)))
        for _ in range(6):
            b.tick(0.25)
            if isinstance(send := b.ask(), api.Send):
                b.answer(send, api.Outcome.TIMEOUT, took=500 * MS)
        pressures.append(max(e[balance.WAIT_SUM] / e[balance.WAIT_COUNT] for e in b.balancer.zone_stats))
    assert 0 < pressures[0] < pressures[1] / 2


def test_late_answers_while_draining_do_not_raise_cut_again() -> None:
    """While queues drain, answers to old sends are late; each of them had raised the cut further."""
    b = bench()
    b.balancer.zone_stats[0] = [20.0, 20.0, 10.0, 20.0]
    b.balancer.admission.keyless_arrivals[0] = 100.0
    b.balancer.adjust_cut_and_crossing(b.now)
    assert b.balancer.admission.cut == 0
    b.balancer.zone_stats[0] = [20.0, 20.0, 20.0, 10.0]
    b.balancer.adjust_cut_and_crossing(b.now)
    assert b.balancer.admission.cut > 0


def test_peers_share_statistics_and_restarted_sidecar_adopts_cut() -> None:
    old = bench(peers=True, instances=2, instance=0)
    new = bench(peers=True, instances=2, instance=1)
    for _ in range(5):
        old.tick()
    feed(old, 0, 10)
    old.balancer.admission.cut = 77.0
    [tell] = [a for a in old.tick(0.01) if isinstance(a, api.Tell)]
    assert tell.peer == 1 and len(tell.body) <= 256
    new.give(api.PeerMessage(0, tell.body))
    assert new.balancer.admission.cut == pytest.approx(old.balancer.admission.cut)
    assert new.balancer.zone_stats[0][balance.WAIT_COUNT] > 0


@pytest.mark.parametrize("body", [b"", b"x" * 5, b"\xff" * 256, bytes(range(200))])
def test_invalid_peer_messages_are_ignored(body: bytes) -> None:
    b = bench(peers=True, instances=2)
    b.give(api.PeerMessage(1, body))
    size = balance.MESSAGE_HEADER.size + 2 * sum(map(len, b.balancer.pooled_rows()))
    b.give(api.PeerMessage(1, (body * 50)[:size].ljust(size, b"\xff")))
    assert 0 <= b.balancer.admission.cut < 1 and all(abs(x) < 1e6 for x in b.balancer.zone_stats[0])
    assert isinstance(b.ask(), api.Send)


def test_repeat_too_late_to_count_is_refused() -> None:
    """Its answer could not count, and it would take capacity from requests that still can."""
    b = bench()
    b.answer(b.sent(left=1500 * MS))
    # One of two seconds has passed; the aim is half a second.
    late = api.Request(900, 0, 0, 0, b.now + 1000 * MS, 0, True)
    assert isinstance(b.give(late)[0], api.Refuse)
    first = api.Request(901, 0, 0, 0, b.now + 1000 * MS, 0, False)
    assert isinstance(b.give(first)[0], api.Send)


def test_cycle_ends_after_maximum_number_of_sends() -> None:
    b = bench()
    for _ in range(balance.MAX_CYCLE_SENDS - 1):
        b.answer(b.sent())
    assert b.balancer.cycles == 0
    b.answer(b.sent())
    assert b.balancer.cycles == 1

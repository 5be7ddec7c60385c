"""Subset, choice of a member, endpoint health, lists, drains and probes."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from sprucenotch import api
from sprucenotch.policy import engines
from sprucenotch.policy.balance import DISCOVERY_TIMER
from sprucenotch.policy.state import PendingRequest
from tests.helpers import MS, SECOND, START, Bench, call_timers, endpoint, request_class, settings


def test_pick_prefers_idle_members() -> None:
    b = Bench(settings(), servers=20)
    size = len({b.sent().endpoint for _ in range(engines.MIN_SUBSET_FREE)})
    assert size == engines.MIN_SUBSET_FREE


def test_subset_is_small_and_grows_with_requests_in_flight() -> None:
    b = Bench(settings(connection_price=0.05), servers=40)
    for _ in range(50):
        b.answer(b.sent())
    assert len(b.balancer.engines.subset[0]) == engines.MIN_SUBSET_PRICED
    for _ in range(12):
        b.sent()
    b.tick()
    b.sent()
    assert len(b.balancer.engines.subset[0]) > engines.MIN_SUBSET_PRICED + 10


def test_subset_growth_is_shared_by_all_zones() -> None:
    """Growing per zone, it held more members than a sidecar with little traffic can measure."""
    sizes = []
    for zones in (1, 2):
        b = Bench(settings(zones=zones, probes=False), servers=0)
        b.give_list(*(endpoint(n, zone=n % zones) for n in range(1, 81)))
        b.sent()
        least = sum(map(len, b.balancer.engines.subset))
        for _ in range(16):
            b.sent()
        b.tick(0.01)
        b.sent()
        sizes.append(sum(map(len, b.balancer.engines.subset)) - least)
    assert sizes[0] >= 16 and sizes[1] == pytest.approx(sizes[0], abs=1)


def test_list_change_keeps_rest_of_subset() -> None:
    b = Bench(settings(connection_price=0.05), servers=40)
    b.sent()
    before = {m.id for m in b.balancer.engines.subset[0]}
    gone = next(iter(before))
    b.give(api.EndpointList(api.ListKind.DELTA, (endpoint(int.from_bytes(gone, "little"), api.Health.GONE),)))
    b.sent()
    after = {m.id for m in b.balancer.engines.subset[0]}
    assert len(before & after) == len(before) - 1 and gone not in after


def test_fast_failing_member_gets_few_requests() -> None:
    """It is never busy, so choosing idle members first would favour it."""
    b = Bench(settings(), servers=8)
    bad = (1).to_bytes(6, "little")
    drawn = Counter[bytes]()
    for _ in range(400):
        b.now += 20 * MS
        send = b.sent()
        drawn[send.endpoint] += 1
        took = 2 * MS if send.endpoint == bad else 60 * MS
        b.answer(send, api.Outcome.ERROR if send.endpoint == bad else api.Outcome.OK, took)
        if send.endpoint == bad:
            b.give(api.Gone(send.id))
    assert drawn[bad] < 400 / 8 / 3, drawn


def test_slow_member_gets_fewer_requests_and_unknown_members_count_as_mean() -> None:
    b = Bench(settings(), servers=8)
    slow, times = (1).to_bytes(6, "little"), random.Random(1)
    drawn = Counter[bytes]()
    for i in range(600):
        if i % 10 == 0:
            b.tick(0.25)
        send = b.sent()
        drawn[send.endpoint] += 1
        b.answer(send, took=300 * MS if send.endpoint == slow else times.randrange(30, 90) * MS)
    assert drawn[slow] < 600 / 8 / 2 and len(drawn) == 8


def test_pick_finds_fastest_idle_members_among_slow_ones() -> None:
    """Each sidecar has to measure a slow server itself; then it must not choose that server by chance."""
    b = Bench(settings(), servers=8)
    b.balancer.class_states[0].mean = 100.0 * MS
    for member in b.balancer.engines.members.values():
        member.last_answer_at, member.relative_latency = b.now, 0.5 if member.id[0] <= 2 else 2.0
    for _ in range(20):
        sends = [b.sent(), b.sent()]
        assert {send.endpoint[0] for send in sends} == {1, 2}
        for send in sends:
            b.answer(send)


def test_pick_among_unknown_members_is_random() -> None:
    firsts = {Bench(settings(), servers=8, seed=seed).sent().endpoint for seed in range(20)}
    assert len(firsts) > 3


def test_ejection_keeps_half_of_the_subset() -> None:
    """If nearly all members fail, the cause is common to them: shed, but do not eject."""
    b = Bench(settings(max_attempts=1), servers=engines.MIN_SUBSET_FREE)
    for _ in range(300):
        b.now += 5 * MS
        action = b.ask()
        if isinstance(action, api.Send):
            b.answer(action, api.Outcome.CONNECT_FAILED, 3 * MS)
    assert isinstance(b.ask(), api.Send)
    assert len(b.balancer.engines.subset[0]) >= engines.MIN_SUBSET_FREE // 2


def sent_to(b: Bench, member: bytes) -> api.Send:
    send = b.sent()
    assert send.endpoint == member
    return send


@pytest.mark.parametrize("outcome", [api.Outcome.RESET, api.Outcome.CONNECT_FAILED, api.Outcome.ERROR])
def test_failures_between_answers_do_not_eject(outcome: api.Outcome) -> None:
    """A healthy server may break a connection now and then; consecutive failures eject a server."""
    b = Bench(settings(max_attempts=1), servers=4)
    [failing, *_] = b.balancer.engines.members
    failed = 0
    for member in b.balancer.engines.members.values():
        # The others are busy, so that the failing idle one is chosen.
        member.in_flight += member.id != failing
    for _ in range(201):
        bad = failed < 2  # two in a row, then an answer
        failed = (failed + 1) % 3
        b.answer(sent_to(b, failing), outcome if bad else api.Outcome.OK, 3 * MS)
        assert not b.balancer.engines.members[failing].ejected_until
    for _ in range(3):
        b.answer(sent_to(b, failing), outcome, 3 * MS)
    assert b.balancer.engines.members[failing].ejected_until


@pytest.mark.parametrize("aim", [125 * MS, 500 * MS])
def test_ejection_time_scales_with_aim(aim: int) -> None:
    """With an aim four times shorter, an ejection is four times shorter."""
    b = Bench(settings(request_class(aim=aim), max_attempts=1), servers=4)
    for _ in range(40):
        b.answer(b.sent(), api.Outcome.CONNECT_FAILED, MS)
    out = [m.ejected_until - b.now for m in b.balancer.engines.members.values() if m.ejected_until]
    assert out and all(2 * aim < left < 10 * aim for left in out)


def test_ejection_time_of_dead_endpoint_is_bounded() -> None:
    """The ejection time doubles up to a maximum: a thousand doublings would overflow."""
    b = Bench(settings(max_attempts=1), servers=2)
    dead = next(iter(b.balancer.engines.members.values()))
    for _ in range(1500):
        b.now = max(b.now, dead.ejected_until) + 1
        b.tick(0)
        arrival = api.Request(0, 0, 0, 0, b.now + SECOND, 0, False)
        request = PendingRequest(arrival, b.balancer.class_states[0], 1, b.now)
        request.sent_at = b.now
        b.balancer.record_outcome(
            dead, api.Completed(0, 0, dead.id, api.Outcome.RESET, 1, False, ()), request, b.now
        )
    assert dead.ejections > 1100
    assert b.now < dead.ejected_until <= b.now + int(1.25 * engines.MAX_EJECTION_AIMS * b.balancer.aim)


def test_simultaneous_failures_count_as_one() -> None:
    """One long request delays all behind it: the server is slow for a moment, not broken."""
    b = Bench(settings(max_attempts=1), servers=4)
    members = b.balancer.engines.members.values()
    for failed in range(engines.FAILURES_TO_EJECT):
        assert not any(m.ejected_until for m in members), failed
        sends = [b.sent() for _ in range(40)]
        b.now += 500 * MS
        for send in sends:
            b.answer(send, api.Outcome.TIMEOUT, 500 * MS)
    assert all(m.ejected_until for m in members)  # each round was sent after the previous one had failed


def test_full_servers_are_not_ejected() -> None:
    b = Bench(settings(max_attempts=1), servers=4)
    for i in range(200):
        b.now += 5 * MS
        b.answer(b.sent(), api.Outcome.FULL if i % 50 else api.Outcome.TIMEOUT, 3 * MS)
    assert not any(m.ejected_until for m in b.balancer.engines.members.values())


@pytest.mark.parametrize("servers", [1, 3, 4, 7])
def test_ejection_keeps_half_of_few_endpoints(servers: int) -> None:
    """With fewer endpoints than the subset size, half of them stay in use."""
    b = Bench(settings(max_attempts=1), servers=servers)
    for _ in range(300):
        b.now += 5 * MS
        b.answer(b.sent(), api.Outcome.CONNECT_FAILED, 3 * MS)
    b.sent()
    assert len(b.balancer.engines.subset[0]) == servers - servers // 2


def test_draining_or_gone_endpoint_gets_no_new_requests() -> None:
    b = Bench(settings(), servers=2)
    one, two = (n.to_bytes(6, "little") for n in (1, 2))
    b.give(api.EndpointList(api.ListKind.DELTA, (endpoint(1, api.Health.DRAINING),)))
    assert {b.sent().endpoint for _ in range(20)} == {two}
    b.give_list(endpoint(1), kind=api.ListKind.FULL)  # two is missing from a complete list: gone
    assert {b.sent().endpoint for _ in range(20)} == {one}
    b.give_list(kind=api.ListKind.FULL)
    assert isinstance(b.ask(), api.Refuse)


def answered(b: Bench) -> bytes:
    """Give a request and answer it at once if it is sent. Return the endpoint, or b"" if refused."""
    action = b.ask()
    if not isinstance(action, api.Send):
        return b""
    b.answer(action)
    return action.endpoint


def test_cold_endpoint_gets_its_warmth_share_of_warm_answers() -> None:
    """Many independent sidecars together must not overload an endpoint that has just started."""
    sent = Counter[bool]()
    for seed in range(100):
        b = Bench(settings(instance=seed, instances=100), servers=0, seed=seed)
        b.give_list(*(endpoint(n, started=START - SECOND if n == 1 else 0) for n in range(1, 9)))
        for _ in range(40):
            sent[answered(b) == (1).to_bytes(6, "little")] += 1
    fair, warmth = 4000 / 8, 0.3 + 0.7 / 8
    assert 0 < sent[True] <= fair * warmth * 1.3


def test_cold_zone_earns_credit_from_warm_zone() -> None:
    """A zone that restarted as a whole has no warm members of its own, and had stayed idle until warm."""
    b = Bench(settings(zones=2, zone=1), servers=0)
    b.give_list(*(endpoint(n, zone=n // 5, started=START - SECOND if n < 5 else 0) for n in range(1, 9)))
    sent = Counter(answered(b)[0] < 5 for _ in range(200))
    fair, warmth = 200 / 8, 0.3 + 0.7 / 8
    assert 2 * fair * warmth < sent[True] <= 200 * warmth


def test_cold_members_without_warm_ones_get_a_trickle() -> None:
    odd = Bench(settings(), servers=0)
    odd.give_list(endpoint(1, started=START + 9 * SECOND))  # a start in the future: just started
    assert not answered(odd)  # nothing at once, as all sidecars would send
    sent = 0
    for _ in range(12):
        sent += bool(odd.tick(0.25) and answered(odd))
    assert sent == 3  # one request per second and server, over all sidecars


def test_cold_credit_is_not_saved_before_bulk_restart() -> None:
    """The saved credit of all sidecars, spent at once, had overloaded servers that had just restarted."""
    b = Bench(settings(), servers=8)
    for _ in range(100):
        answered(b)
    b.give_list(*(endpoint(n, started=b.now if n < 5 else 0) for n in range(1, 9)))
    assert answered(b)[0] >= 5


def test_unanswered_sends_earn_no_cold_credit() -> None:
    """Credit per send, during a retry storm, had given cold servers four times their capacity."""
    b = Bench(settings(request_class(late_worth=0.5), max_attempts=1), servers=0)
    b.give_list(*(endpoint(n, started=START - SECOND if n == 1 else 0) for n in range(1, 9)))
    for _ in range(400):
        if isinstance(send := b.ask(), api.Send):
            assert send.endpoint[0] != 1
            b.answer(send, api.Outcome.FULL, MS)


def test_endpoint_restart_resets_its_health() -> None:
    b = Bench(settings(), servers=1)
    member = next(iter(b.balancer.engines.members.values()))
    b.answer(b.sent(), api.Outcome.ERROR)
    assert member.failure_rate > 0
    b.give(api.EndpointList(api.ListKind.DELTA, (endpoint(1, started=b.now),)))
    assert member.failure_rate == 0 and not member.last_answer_at


def test_requests_stay_local_and_cross_only_with_enough_worth() -> None:
    cheap, dear = request_class(worth=1.0), request_class(worth=9.0)
    b = Bench(settings(cheap, dear, zones=2, cross_price=0.4), servers=0)
    b.give_list(*(endpoint(n, zone=n % 2) for n in range(1, 17)))
    assert all(b.sent(1).endpoint[0] % 2 == 0 for _ in range(8))
    b.balancer.crossing_share = 1.0
    assert all(b.sent(1).endpoint[0] % 2 == 1 for _ in range(8))
    assert all(b.sent(0).endpoint[0] % 2 == 0 for _ in range(8))  # not worth the price of crossing


def until_call(actions: list[api.Action]) -> int:
    """Return the delay of the only timer for a call to discovery."""
    [timer] = call_timers(actions)
    return timer.delay


def test_discovery_is_called_in_time_and_again_after_failure() -> None:
    b = Bench(settings(discovery_on_request=True, ask_within=10 * SECOND))
    probed: list[int] = []
    pause = until_call(b.attached)
    for _ in range(40):
        b.now += pause
        assert b.give(api.Timer(DISCOVERY_TIMER)) == [api.Watch(True)]
        probed.append(b.now)
        pause = until_call(b.give(api.EndpointList(api.ListKind.FAILED, ())))
    gaps = [later - earlier for earlier, later in zip([START, *probed], probed, strict=False)]
    assert max(gaps) < 10 * SECOND
    b.give(api.EndpointList(api.ListKind.DELTA, ()))
    assert b.give(api.Timer(DISCOVERY_TIMER)) == []
    assert not any(isinstance(a, api.Watch) for _ in range(60) for a in b.tick(0.25))


def test_first_discovery_calls_are_spread() -> None:
    pauses = {until_call(Bench(settings(discovery_on_request=True), seed=n).attached) for n in range(20)}
    assert len(pauses) > 5 and max(pauses) - min(pauses) > SECOND


def test_endpoint_in_unknown_zone_is_used() -> None:
    b = Bench(settings(), servers=0)
    b.give_list(endpoint(1, zone=9))
    b.answer(b.sent())


def test_subset_does_not_grow_in_overload() -> None:
    """Requests accumulate in overload, and each new connection would add to the servers' load."""
    b = Bench(settings(connection_price=0.05), servers=40)
    b.answer(b.sent())
    b.balancer.pressure = 2.0
    for _ in range(20):
        b.ask()
    b.tick()
    b.balancer.engines.choose_subset(b.now)
    assert len(b.balancer.engines.subset[0]) == engines.MIN_SUBSET_PRICED


def test_cold_majority_gets_at_most_its_warmth_share() -> None:
    """After a bulk restart most of a subset is cold; a random choice had overloaded one six times."""
    sent = Counter[int]()
    for seed in range(100):
        b = Bench(settings(instance=seed, instances=100, fall_multiple=2.5), servers=0, seed=seed)
        b.give_list(*(endpoint(n, started=START - SECOND if n <= 6 else 0) for n in range(1, 9)))
        for _ in range(12):
            sent[int.from_bytes(answered(b), "little")] += 1
    fair = 1200 * (0.3 + 0.7 / 8) / 2  # sends to cold ones are earned by the warm ones' answers
    assert all(0 < sent[n] < fair for n in range(1, 7)), sent
    assert sent[0] == 0  # nothing was refused


def test_cold_endpoint_gets_no_retries() -> None:
    b = Bench(settings(request_class(late_worth=0.5)), servers=0)
    b.give_list(endpoint(1), *(endpoint(n, started=START - 4 * SECOND) for n in range(2, 9)))
    for _ in range(40):
        if isinstance(send := b.ask(), api.Send) and send.endpoint[0] == 1:
            again = b.answer(send, api.Outcome.ERROR, 5 * MS)
            assert not any(isinstance(a, api.Send) for a in again)


PROBING = dict(probes=True, zones=2)


def probes(actions: list[api.Action]) -> list[bytes]:
    return [a.endpoint for a in actions if isinstance(a, api.Probe)]


def probing_bench(left: int = 3 * SECOND, **changes: object) -> tuple[Bench, list[bytes]]:
    """Return a sidecar that has just received request 1, and the members that it probed."""
    b = Bench(settings(request_class(late_worth=0.5), **(PROBING | changes)), servers=0)
    b.give_list(*(endpoint(n, zone=n % 2) for n in range(1, 17)))
    return b, probes(b.give(api.Request(1, 0, 0, 0, b.now + left, 0, False)))


def test_fastest_probed_member_gets_the_request() -> None:
    """With little traffic, own requests in flight do not show a busy server: it looks as idle as others."""
    b, probed = probing_bench()
    assert len(probed) == 2 and all(e[0] % 2 == 0 for e in probed)
    b.now += 5 * MS
    assert not any(isinstance(a, api.Send) for a in b.give(api.Probed(probed[0], api.Outcome.OK, 9 * MS, ())))
    [send] = b.give(api.Probed(probed[1], api.Outcome.OK, 2 * MS, ()))
    assert isinstance(send, api.Send) and send.endpoint == probed[1]


def test_silent_members_get_nothing_and_others_are_probed() -> None:
    b, probed = probing_bench()
    b.now += 20 * MS
    more = probes(b.give(api.Timer(2)))
    assert more and not set(more) & set(probed)
    assert {e[0] % 2 for e in more} == {0, 1}  # also in the other zone, as no local member is idle
    b.now += 5 * MS
    b.give(api.Probed(more[0], api.Outcome.OK, 3 * MS, ()))
    [send] = b.give(api.Timer(2))
    assert isinstance(send, api.Send) and send.endpoint == more[0]


def test_probing_ends_with_send_or_final_answer() -> None:
    b, _ = probing_bench()
    for _ in range(8):
        b.now += 30 * MS
        if sends := [a for a in b.give(api.Timer(2)) if isinstance(a, api.Send)]:
            break
    assert sends and b.now - START <= 250 * MS
    late, _ = probing_bench()
    late.now += 4 * SECOND  # after a stall: the deadline has passed
    [final] = late.give(api.Timer(2))
    assert isinstance(final, api.Refuse)


def test_request_with_little_time_is_not_held_for_probes() -> None:
    """During a stall of two seconds a sidecar had held two requests unsent past their deadlines."""
    b, probed = probing_bench(left=2 * SECOND)
    assert not probed and isinstance(b.actions[0], api.Send)


def test_member_draining_during_probe_gets_nothing() -> None:
    b, probed = probing_bench()
    b.give(api.EndpointList(api.ListKind.DELTA, tuple(
        endpoint(e[0], api.Health.DRAINING, zone=e[0] % 2) for e in probed
    )))  # fmt: skip
    actions = [a for e in probed for a in b.give(api.Probed(e, api.Outcome.OK, 2 * MS, ()))]
    actions += b.give(api.Timer(2))
    assert not any(isinstance(a, api.Send) and a.endpoint in probed for a in actions)


def test_no_probes_with_peers_or_without_permission() -> None:
    for changes in ({"peers": True}, {"probes": False}):
        assert probing_bench(**changes)[1] == []


def test_crossing_follows_difference_of_waits() -> None:
    """With ten requests per server in one zone and one in the other, half the fleet had been overloaded."""
    b, _ = probing_bench(cross_price=0.1)
    b.balancer.zone_stats = [[6.0, 10.0, 10.0, 10.0], [0.0, 10.0, 10.0, 10.0]]
    b.balancer.adjust_cut_and_crossing(b.now + SECOND)
    risen = b.balancer.crossing_share
    assert 0 < risen < 0.5
    b.balancer.zone_stats = [[1.0, 10.0, 10.0, 10.0], [3.0, 10.0, 10.0, 10.0]]
    b.balancer.adjust_cut_and_crossing(b.now + SECOND)
    assert b.balancer.crossing_share < risen


def test_idle_remote_endpoint_is_preferred_to_busy_local_one() -> None:
    """Six local and two remote endpoints: one request each, then the less busy of both zones."""
    b = Bench(settings(zones=2, zone=0), servers=0)
    b.give_list(*(endpoint(n, zone=int(n > 6)) for n in range(1, 9)))
    sends = [b.sent() for _ in range(8)]
    assert [s.endpoint[0] > 6 for s in sends] == [False] * 6 + [True] * 2
    assert len({s.endpoint for s in sends}) == 8
    b.answer(sends[0])
    assert b.sent().endpoint == sends[0].endpoint  # an idle local endpoint: nothing crosses
    assert {b.sent().endpoint[0] > 6 for _ in range(20)} == {False, True}


def test_idle_remote_endpoint_is_not_used_above_its_price() -> None:
    b = Bench(settings(zones=2, zone=0, cross_price=2.0), servers=0)
    b.give_list(*(endpoint(n, zone=int(n > 3)) for n in range(1, 7)))
    assert {b.sent().endpoint[0] > 3 for _ in range(12)} == {False}


def test_warm_key_has_same_few_members_in_all_sidecars() -> None:
    """A server does less work for a key it served before; with separate subsets each server got all keys."""
    met: dict[int, set[bytes]] = {7: set(), 8: set(), 9: set()}
    for seed in range(12):
        b = Bench(settings(warm_keys=True, instance=seed, instances=12), servers=40, seed=seed)
        for key, members in met.items():
            send = b.sent(key=key)
            members.add(send.endpoint)
            b.answer(send)
    assert all(len(members) <= engines.MEMBERS_PER_KEY for members in met.values())
    assert len(set.union(*met.values())) > engines.MEMBERS_PER_KEY


def test_started_stream_is_no_longer_pending() -> None:
    """A stream has no deadline: it counts as no wait, and is not retried when it breaks."""
    b = Bench(settings(request_class(late_worth=0.5)), servers=8)
    send = b.sent()
    assert b.give(api.StreamStarted(send.id)) == []
    b.now += 30 * SECOND
    b.tick()
    assert b.balancer.admission.cut == 0 and not b.balancer.pending
    assert b.give(api.Completed(send.id, 0, send.endpoint, api.Outcome.RESET, 30 * SECOND, True, ())) == []
    assert b.balancer.attempts_in_flight == 0


def test_zone_with_all_endpoints_ejected_is_avoided() -> None:
    b = Bench(settings(max_attempts=1, zones=2, zone=0), servers=0)
    b.give_list(*(endpoint(n, zone=int(n > 3)) for n in range(1, 8)))
    home = {endpoint(n).id for n in range(1, 4)}
    for _ in range(60):
        send = b.sent()
        b.answer(send, api.Outcome.CONNECT_FAILED if send.endpoint in home else api.Outcome.OK, 200 * MS)
    for _ in range(20):
        send = b.sent()
        assert send.endpoint not in home
        b.answer(send, took=200 * MS)
    b.now += int(2 * engines.MIN_EJECTION_AIMS * b.balancer.aim)
    b.tick(0.25)
    assert b.sent().endpoint in home  # their ejection is over


def test_ejected_member_kept_in_subset_is_not_idle() -> None:
    """Four of six refuse connections: three are ejected, and the fourth is never busy."""
    b = Bench(settings(max_attempts=1), servers=6)
    dead = {endpoint(n).id for n in range(1, 5)}
    held: list[api.Send] = []
    for _ in range(100):
        send = b.sent()
        if send.endpoint in dead:
            b.answer(send, api.Outcome.CONNECT_FAILED, MS)
        else:
            held.append(send)  # while the healthy ones are busy, the dead ones are chosen
        while len(held) > 2:
            b.answer(held.pop())
    for send in held:
        b.answer(send)
    assert len({m.id for m in b.balancer.engines.subset[0]} & dead) == 1
    for _ in range(2):
        b.sent()  # both healthy ones are busy
    failed = 0
    for _ in range(40):
        send = b.sent()
        if send.endpoint in dead:
            failed += 1
            b.answer(send, api.Outcome.CONNECT_FAILED, MS)
    assert failed <= 10


def test_failed_connects_reduce_crossing() -> None:
    """An unreachable zone shows no waits: by the difference of waits alone it would get ever more traffic."""
    b = Bench(settings(zones=2), servers=0)
    b.give_list(*(endpoint(n, zone=n % 2) for n in range(1, 17)))
    b.balancer.crossing_share = 1.0
    for _ in range(10):
        if isinstance(send := b.ask(), api.Send) and send.endpoint[0] % 2:
            b.answer(send, api.Outcome.CONNECT_FAILED, MS)
            b.give(api.Gone(send.id))
    assert b.balancer.crossing_share < 0.6


def test_request_being_uploaded_counts_no_wait_until_complete() -> None:
    b = Bench(settings(request_class(late_worth=0.0), max_attempts=1))
    [sent] = b.give(api.Request(1, 0, 0, 0, b.now + 2 * SECOND, 0, False, True))
    assert isinstance(sent, api.Send)
    for _ in range(6):
        b.tick()
    assert b.balancer.pressure <= 0 and b.balancer.admission.cut == 0
    b.give(api.Uploaded(1, b.now + 2 * SECOND))
    for _ in range(3):
        b.tick()
    assert b.balancer.pressure > 0  # now it waits
    [final] = b.give(api.Completed(1, 0, sent.endpoint, api.Outcome.TIMEOUT, SECOND, False, ()))
    assert isinstance(final, api.Refuse)


def test_expensive_probes_are_not_used() -> None:
    assert probing_bench(probe_price=0.01)[1] and not probing_bench(probe_price=0.08)[1]

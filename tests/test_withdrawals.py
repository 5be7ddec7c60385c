"""Lists older than the current one must not restore servers that were withdrawn since."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucenotch import api
from sprucenotch.api import Health
from sprucenotch.node import config, withdrawals
from sprucenotch.node.config import Host, HostList
from sprucenotch.node.withdrawals import RETENTION, Withdrawals
from sprucenotch.policy.state import SECOND
from tests.sidecar import (
    SETTINGS,
    Script,
    Seen,
    always_ok,
    endpoint,
    entry,
    never,
    ok,
    request,
    run,
    sidecar,
)
from tests.test_watch import ASKED, wait_for_calls


def host(number: int, health: int, started: int = 0) -> Host:
    server = api.Endpoint(bytes([number]), 0, 0, 0, health, 1.0, started)
    return Host(server, ("127.0.0.1", 9), f"s-{number}")


def hosts(*numbers: int) -> tuple[Host, ...]:
    return tuple(host(number, Health.READY) for number in numbers)


class CurrentList:
    """The current list, updated through Withdrawals as in the program."""

    def __init__(self, known: HostList, now: int = 0) -> None:
        self.servers = {listed.name: listed.endpoint for listed in known.hosts}
        self.withdrawals = Withdrawals(known, now)

    def take(self, update: HostList, now: int = 0) -> None:
        applied = self.withdrawals.reconcile(update, now)
        if applied.whole:
            self.servers = {}
        for listed in applied.hosts:
            if listed.endpoint.health == Health.GONE:
                self.servers.pop(listed.name, None)
            else:
                self.servers[listed.name] = listed.endpoint

    def ready(self) -> set[str]:
        return {name for name, server in self.servers.items() if server.health == Health.READY}


class Change(NamedTuple):
    number: int
    health: int
    restarted: bool


class History:
    """The history of one service: the list at each version, and the changes between versions."""

    def __init__(self, changes: list[Change]) -> None:
        self.changes: list[Host] = []
        self.lists: list[dict[str, Host]] = [{}]
        starts: dict[int, int] = {}
        for clock, change in enumerate(changes, 1):
            gone = f"s-{change.number}" not in self.lists[-1]
            if change.restarted or gone:
                starts[change.number] = clock
            changed = host(change.number, change.health, starts[change.number])
            listed = dict(self.lists[-1])
            listed.pop(changed.name, None)
            if change.health != Health.GONE:
                listed[changed.name] = changed
            self.changes.append(changed)
            self.lists.append(listed)

    def whole(self, version: int) -> HostList:
        return HostList(version, True, tuple(self.lists[version].values()))

    def between(self, known: int, version: int) -> HostList:
        return HostList(version, False, tuple(self.changes[known:version]))


CHANGES = st.builds(
    Change, st.integers(0, 3), st.sampled_from([Health.READY, Health.DRAINING, Health.GONE]), st.booleans()
)


@given(st.lists(CHANGES, min_size=1, max_size=30), st.data())
def test_lagging_replica_restores_no_withdrawn_server_until_it_catches_up(
    changes: list[Change], data: st.DataObject
) -> None:
    history = History(changes)
    newest = data.draw(st.integers(0, len(changes)))
    current = CurrentList(history.whole(newest))
    version = data.draw(st.integers(0, newest))
    current.take(data.draw(st.sampled_from([history.whole(version), HostList(version, False, ())])))
    known = history.lists[newest]
    while version < len(changes):
        if version < newest:
            for name in current.ready():
                restarted = name not in known or current.servers[name].started > known[name].endpoint.started
                assert restarted or known[name].endpoint.health == Health.READY
        after = data.draw(st.integers(version + 1, len(changes)))
        whole = data.draw(st.booleans())
        current.take(history.whole(after) if whole else history.between(version, after))
        version = after
        if version >= newest:
            assert current.servers == {
                name: listed.endpoint for name, listed in history.lists[version].items()
            }


def test_older_whole_list_restores_withdrawn_server_only_after_restart() -> None:
    current = CurrentList(HostList(8, True, hosts(1, 2, 3)))
    current.take(HostList(9, False, (host(1, Health.DRAINING), host(2, Health.GONE))))
    current.take(HostList(5, True, hosts(1, 2, 3, 4)))
    assert current.ready() == {"s-3", "s-4"} and current.servers["s-1"].health == Health.DRAINING
    current.take(HostList(6, False, (host(1, Health.READY, SECOND), host(2, Health.READY, SECOND))))
    assert current.ready() == {"s-1", "s-2", "s-3", "s-4"}


def test_service_with_restarted_versions_holds_servers_back_for_retention_at_most() -> None:
    current = CurrentList(HostList(8, True, hosts(1, 2)))
    current.take(HostList(9, True, hosts(1)))
    current.take(HostList(1, True, hosts(1, 2)))
    assert not current.withdrawals.whole_list_due(RETENTION)
    assert current.withdrawals.whole_list_due(RETENTION + 1)
    current.take(HostList(2, False, ()), RETENTION + 1)
    assert current.withdrawals.whole_list_due(RETENTION + 1)  # as only a whole list contains it
    current.take(HostList(2, True, hosts(1, 2)), RETENTION + 1)
    assert current.ready() == {"s-1", "s-2"}
    assert not current.withdrawals.whole_list_due(10 * RETENTION)


def test_memory_is_bounded_by_list_and_recent_withdrawals() -> None:
    withdrawals = Withdrawals(HostList(0, True, ()), 0)
    for clock in range(1000):
        number = clock % 200
        withdrawals.reconcile(HostList(2 * clock + 1, False, hosts(number)), clock * SECOND)
        withdrawals.reconcile(HostList(2 * clock + 2, False, (host(number, Health.GONE),)), clock * SECOND)
    assert len(withdrawals._recent) <= RETENTION // SECOND + 1
    assert not withdrawals._listed


def answer(seq: int, whole: bool, *entries: dict[str, object]) -> bytes:
    return ok(json.dumps({"seq": seq, "whole": whole, "hosts": entries}).encode())


def answers_in_turn(answers: list[bytes]) -> Script:
    """A service that sends these answers in turn, then none."""
    remaining = iter(answers)

    async def script(seen: Seen) -> bytes:
        return next(remaining, b"") or await never(seen)

    return script


OLDER: dict[str, Callable[[str], list[bytes]]] = {
    "whole": lambda dial: [answer(2, True, entry("s-0", dial))],
    "empty, then the change again": lambda dial: [answer(1, False), answer(2, False, entry("s-0", dial))],
}


@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
@pytest.mark.parametrize("older", OLDER)
def test_draining_server_gets_no_requests_after_move_to_lagging_discovery(older: str, pushed: bool) -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served:
            before = [answer(9, False, entry("s-0", served.dial, "draining"))]
            after = OLDER[older](served.dial)
            settings = SETTINGS if pushed else ASKED
            async with (
                endpoint(answers_in_turn(before)) as old,
                endpoint(answers_in_turn(after)) as new,
                sidecar(served.dial, discovery=old.dial, settings=settings) as node,
            ):
                node.discovery.watch(True)
                await wait_for_calls(old, 2)  # the first answer has been applied
                node.discovery.change_address(config.address(new.dial))
                await wait_for_calls(new, len(after) + 1)
                client = await node.client()
                assert (await client.ask(request()))[0] == 503 and served.seen == []

    run(test())


@pytest.mark.parametrize("marked", [False, True], ids=["not marked as whole", "marked"])
@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
def test_whole_list_is_requested_and_applied_after_retention(
    pushed: bool, marked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Discovery has restarted its versions; a removed server is back with its old start time."""

    async def test() -> None:
        async with endpoint(always_ok) as served:
            back = entry("s-0", served.dial)
            answers = answers_in_turn(
                [answer(9, True), answer(1, False, back), answer(1, False), answer(1, marked, back)]
            )

            async def script(seen: Seen) -> bytes | None:
                if len(service.seen) == 3:  # the withdrawn server is held back by now
                    monkeypatch.setattr(withdrawals, "RETENTION", -1)
                return await answers(seen)

            async with (
                endpoint(script) as service,
                sidecar(served.dial, discovery=service.dial, settings=SETTINGS if pushed else ASKED) as node,
            ):
                node.discovery.watch(True)
                _, second, third, fourth, fifth, *_ = await wait_for_calls(service, 5)
                assert "from=9" in second and "from=1" in third and fourth == ""
                assert "from=1" in fifth  # requested only once
                client = await node.client()
                assert (await client.ask(request()))[0] == 200

    run(test())

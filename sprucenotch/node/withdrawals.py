"""Servers that drain or were removed, and older lists that must not bring them back.

At one discovery service the version of the list only rises. After a move, discovery may be a replica that is
behind, or a service that counts anew: both answer with a lower version than that of the list in hand, and
nothing tells them apart. Their lists are taken, but a server that the newer list had drained or removed stays
so until

- it has been started again, or
- a list comes whose version is that of the newest list so far, or higher: the replica has caught up, or
- RETENTION has passed since the withdrawal: the service counts anew, and a whole list is due.

Memory: the start of each listed server, and an entry for each that was withdrawn within RETENTION.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from msgspec import structs

from sprucenotch.api import EndpointId, Health
from sprucenotch.node.config import SECOND, Host, HostList

RETENTION = 60 * SECOND  # replicas are behind by seconds; a server kept out wrongly is back after this


class Withdrawal(NamedTuple):
    """Why a server is to get nothing new."""

    started: int  # clock of the start that was withdrawn, in nanoseconds; 0: long ago
    removed: bool  # from the list; else it drains
    at: int  # clock at which the list that told it was taken


class Withdrawals:
    """Follows the lists in the order in which they are taken. Does no I/O and has no clock."""

    def __init__(self, known: HostList, now: int) -> None:
        self._listed: dict[EndpointId, int] = {}  # start of each server in the list in hand
        self._recent: dict[EndpointId, Withdrawal] = {}  # the oldest first
        self._held: dict[EndpointId, Withdrawal] = {}  # withdrawn by a newer list than the one in hand
        self._version = self._newest = known.seq
        self._follow(known, now)

    def reconcile(self, told: HostList, now: int) -> HostList:
        """The list as it is to be taken: no server comes back that a newer list had withdrawn."""
        if told.seq < self._version:
            self._forget(now)
            self._held.update(self._recent)
        self._version = told.seq
        if told.seq >= self._newest:
            self._newest = told.seq
            self._held.clear()
        elif told.whole:
            self._held = {server: held for server, held in self._held.items() if held.at >= now - RETENTION}
        if self._held:
            told = structs.replace(told, hosts=tuple(self._without_returns(told)))
        self._follow(told, now)
        return told

    def whole_list_due(self, now: int) -> bool:
        """Whether a server was held back for RETENTION: only a whole list can bring it back."""
        return any(held.at < now - RETENTION for held in self._held.values())

    def _without_returns(self, told: HostList) -> Iterator[Host]:
        for host in told.hosts:
            endpoint = host.endpoint
            held = self._held.get(endpoint.id)
            if held is None or endpoint.started > held.started:
                self._held.pop(endpoint.id, None)
                yield host
            elif endpoint.health == Health.GONE:
                yield host
            elif not held.removed:
                yield structs.replace(host, endpoint=endpoint._replace(health=Health.DRAINING))

    def _follow(self, told: HostList, now: int) -> None:
        """Note which servers are listed now, and which were withdrawn."""
        before = self._listed if told.whole else {}
        if told.whole:
            self._listed = {}
        for host in told.hosts:
            endpoint = host.endpoint
            started = max(endpoint.started, self._listed.get(endpoint.id, 0))
            if endpoint.health == Health.GONE:
                self._listed.pop(endpoint.id, None)
            else:
                self._listed[endpoint.id] = endpoint.started
            if endpoint.health == Health.READY:
                self._recent.pop(endpoint.id, None)
            else:
                self._withdraw(endpoint.id, Withdrawal(started, endpoint.health == Health.GONE, now))
        for server, started in before.items():
            if server not in self._listed:
                self._withdraw(server, Withdrawal(started, True, now))

    def _withdraw(self, server: EndpointId, withdrawal: Withdrawal) -> None:
        self._recent.pop(server, None)
        self._recent[server] = withdrawal
        self._forget(withdrawal.at)

    def _forget(self, now: int) -> None:
        """Drop withdrawals of over RETENTION ago."""
        while self._recent:
            server = next(iter(self._recent))
            if self._recent[server].at >= now - RETENTION:
                return
            del self._recent[server]

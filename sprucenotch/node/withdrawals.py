"""Keeps draining and removed servers from being restored by an older list.

Within one discovery service the version of the list only increases. After a change of address, discovery may
be a replica that lags behind, or a service that has restarted its versions: both answer with a lower version
than that of the current list, and they cannot be told apart. Their lists are applied, but a server that the
newer list had marked as draining or removed (withdrawn) stays withdrawn until

- it has been restarted, or
- a list arrives whose version is at least that of the newest list so far: the replica has caught up, or
- RETENTION has passed since the withdrawal: the service has restarted its versions, and a whole list is
  fetched.

Memory: the start time of each listed server, and an entry for each server withdrawn within RETENTION.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from msgspec import structs

from sprucenotch.api import EndpointId, Health
from sprucenotch.node.config import SECOND, Host, HostList

RETENTION = 60 * SECOND  # replicas lag by seconds; bounds how long a server can be excluded wrongly


class Withdrawal(NamedTuple):
    """Why a server gets no new requests."""

    started: int  # start time of the withdrawn server process, in nanoseconds; 0: long ago
    removed: bool  # whether it was removed from the list; otherwise it is draining
    at: int  # time at which the list with the withdrawal was applied, in nanoseconds


class Withdrawals:
    """Tracks withdrawals over the lists in the order in which they are applied. No I/O, no clock."""

    def __init__(self, known: HostList, now: int) -> None:
        self._listed: dict[EndpointId, int] = {}  # start time of each server in the current list
        self._recent: dict[EndpointId, Withdrawal] = {}  # oldest first
        self._held_back: dict[EndpointId, Withdrawal] = {}  # withdrawn by a newer list than the current one
        self._version = self._newest = known.seq
        self._record_list(known, now)

    def reconcile(self, host_list: HostList, now: int) -> HostList:
        """Return the list to apply, without the servers that a newer list had withdrawn."""
        if host_list.seq < self._version:
            self._expire(now)
            self._held_back.update(self._recent)
        self._version = host_list.seq
        if host_list.seq >= self._newest:
            self._newest = host_list.seq
            self._held_back.clear()
        elif host_list.whole:
            self._held_back = {
                server: held for server, held in self._held_back.items() if held.at >= now - RETENTION
            }
        if self._held_back:
            host_list = structs.replace(host_list, hosts=tuple(self._suppress_returns(host_list)))
        self._record_list(host_list, now)
        return host_list

    def whole_list_due(self, now: int) -> bool:
        """Whether a server has been held back for RETENTION: only a whole list can restore it."""
        return any(held.at < now - RETENTION for held in self._held_back.values())

    def _suppress_returns(self, update: HostList) -> Iterator[Host]:
        for host in update.hosts:
            endpoint = host.endpoint
            held = self._held_back.get(endpoint.id)
            if held is None or endpoint.started > held.started:
                self._held_back.pop(endpoint.id, None)
                yield host
            elif endpoint.health == Health.GONE:
                yield host
            elif not held.removed:
                yield structs.replace(host, endpoint=endpoint._replace(health=Health.DRAINING))

    def _record_list(self, update: HostList, now: int) -> None:
        """Record which servers are listed now and which were withdrawn."""
        before = self._listed if update.whole else {}
        if update.whole:
            self._listed = {}
        for host in update.hosts:
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
        self._expire(withdrawal.at)

    def _expire(self, now: int) -> None:
        """Drop withdrawals older than RETENTION."""
        while self._recent:
            server = next(iter(self._recent))
            if self._recent[server].at >= now - RETENTION:
                return
            del self._recent[server]

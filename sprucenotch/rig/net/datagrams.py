"""Datagrams between sidecars: lost, doubled, late and out of order, as the links have it.

A sidecar knows its peers by the address that a message comes from, so each directed link has a socket of its
own: what `a` sends to the one that stands for `b` leaves from the one that stands for `a` at `b`.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from typing import cast

from sprucenotch.rig.net.link import Link

HOST = "127.0.0.1"


class _Socket(asyncio.DatagramProtocol):
    """Stands for `peer` towards `owner`."""

    def __init__(self, relays: PeerRelays, owner: str, peer: str) -> None:
        self._relays, self._owner, self._peer = relays, owner, peer
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if addr == self._relays.address[self._owner]:
            self._relays.carry(self._owner, self._peer, data)

    def error_received(self, exc: Exception) -> None:
        """A peer that is down: its messages are lost, as they are without a relay."""


class PeerRelays:
    """All pairs of some sidecars, and for each an address that reaches all others."""

    def __init__(self, address: Mapping[str, tuple[str, int]], links: Mapping[str, Link], seed: int) -> None:
        self.address = dict(address)  # where each sidecar listens for its peers
        self._links = links
        self._rng = random.Random(seed)
        self._sockets: dict[tuple[str, str], _Socket] = {}
        self.carried = self.dropped = 0

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for owner in self.address:
            for peer in (*self.address, "*"):
                if peer != owner:
                    _, sock = await loop.create_datagram_endpoint(
                        lambda owner=owner, peer=peer: _Socket(self, owner, peer),  # type: ignore[misc]
                        local_addr=(HOST, 0),
                    )
                    self._sockets[owner, peer] = sock

    def dial(self, owner: str, peer: str) -> str:
        """Where `owner` sends what is meant for `peer`, or for all of them (`*`)."""
        if peer == owner:  # a sidecar has its own place in the list of peers
            return "{}:{}".format(*self.address[owner])
        transport = self._sockets[owner, peer].transport
        assert transport is not None
        return "{}:{}".format(*transport.get_extra_info("sockname"))

    def carry(self, owner: str, peer: str, data: bytes) -> None:
        """One datagram on its way, to one or to all, each by the conditions of its link."""
        loop = asyncio.get_running_loop()
        for to in [name for name in self.address if name != owner] if peer == "*" else [peer]:
            way = self._links[f"{owner}>{to}"].there
            if way.cut or self._rng.random() < way.loss:
                self.dropped += 1
                continue
            for _ in range(2 if self._rng.random() < way.duplicate else 1):
                after = way.delay + way.jitter * self._rng.random()
                if self._rng.random() < way.reorder:
                    after += max(way.jitter, 0.001)
                if after:
                    loop.call_later(after, self._deliver, owner, to, data)
                else:
                    self._deliver(owner, to, data)

    def _deliver(self, owner: str, to: str, data: bytes) -> None:
        sock = self._sockets[to, owner].transport
        if sock is not None and not sock.is_closing():
            self.carried += 1
            sock.sendto(data, self.address[to])

    def close(self) -> None:
        for sock in self._sockets.values():
            if sock.transport is not None:
                sock.transport.close()

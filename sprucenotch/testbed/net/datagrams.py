"""Relays for the datagrams between sidecars, with loss, duplication, delay and reordering by link.

A sidecar identifies its peers by the source address of a message, so each directed link has its own socket:
a message that `a` sends to the socket (a, b) is delivered to `b` from the socket (b, a).
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from typing import cast

from sprucenotch.testbed.net.link import Link

HOST = "127.0.0.1"


class _Socket(asyncio.DatagramProtocol):
    """The address of `peer` as seen by `owner`."""

    def __init__(self, relays: PeerRelays, owner: str, peer: str) -> None:
        self._relays, self._owner, self._peer = relays, owner, peer
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if addr == self._relays.address[self._owner]:
            self._relays.forward(self._owner, self._peer, data)

    def error_received(self, exc: Exception) -> None:
        """The peer is down: its messages are lost, as without a relay."""


class PeerRelays:
    """Sockets for all pairs of sidecars, and for each sidecar a broadcast address."""

    def __init__(self, address: Mapping[str, tuple[str, int]], links: Mapping[str, Link], seed: int) -> None:
        self.address = dict(address)  # at which each sidecar listens for its peers
        self._links = links
        self._rng = random.Random(seed)
        self._sockets: dict[tuple[str, str], _Socket] = {}
        self.forwarded = self.dropped = 0

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
        """The address at which `owner` reaches `peer`, or all peers (`*`)."""
        if peer == owner:  # the list of peers contains the sidecar itself
            return "{}:{}".format(*self.address[owner])
        transport = self._sockets[owner, peer].transport
        assert transport is not None
        return "{}:{}".format(*transport.get_extra_info("sockname"))

    def forward(self, owner: str, peer: str, data: bytes) -> None:
        """Send one datagram to a peer, or a copy to each, under the conditions of the link."""
        loop = asyncio.get_running_loop()
        for to in [name for name in self.address if name != owner] if peer == "*" else [peer]:
            conditions = self._links[f"{owner}>{to}"].there
            if conditions.cut or self._rng.random() < conditions.loss:
                self.dropped += 1
                continue
            for _ in range(2 if self._rng.random() < conditions.duplicate else 1):
                delay = conditions.delay + conditions.jitter * self._rng.random()
                if self._rng.random() < conditions.reorder:
                    delay += max(conditions.jitter, 0.001)
                if delay:
                    loop.call_later(delay, self._deliver, owner, to, data)
                else:
                    self._deliver(owner, to, data)

    def _deliver(self, owner: str, to: str, data: bytes) -> None:
        sock = self._sockets[to, owner].transport
        if sock is not None and not sock.is_closing():
            self.forwarded += 1
            sock.sendto(data, self.address[to])

    def close(self) -> None:
        for sock in self._sockets.values():
            if sock.transport is not None:
                sock.transport.close()

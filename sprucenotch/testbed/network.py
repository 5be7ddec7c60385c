"""The network of a run: its links, the relays that implement them, and the addresses to connect to."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from sprucenotch.node.config import address
from sprucenotch.testbed.faults import OnLinks
from sprucenotch.testbed.net.datagrams import PeerRelays
from sprucenotch.testbed.net.link import Link
from sprucenotch.testbed.net.relay import Relay
from sprucenotch.testbed.plan import Plan, matching_links
from sprucenotch.testbed.process import free_address


class Network:
    """Only links that a fault of the plan can affect have a relay; other processes connect directly."""

    def __init__(self, plan: Plan, rng: random.Random) -> None:
        self._rng = rng
        self.links: dict[tuple[str, str], Link] = {}
        self.relays: dict[tuple[str, str], Relay] = {}
        self.peers: PeerRelays | None = None
        for fault in plan.faults:
            if isinstance(fault, OnLinks):
                for source, target in matching_links(fault, plan.fleet):
                    self.links.setdefault((source, target), Link(source, target))

    def open_relay(self, source: str, target: str, dial: Callable[[], str]) -> str | None:
        """Open a relay for that link, if it has faults, and return the address to connect to, else None. The
        relay connects to what `dial` returns at that time. An earlier relay of the link is closed."""
        if (source, target) not in self.links:
            return None
        if (old := self.relays.get((source, target))) is not None:
            old.close()
        link = self.links[source, target]
        relay = self.relays[source, target] = Relay(
            link, lambda: address(dial()), self._rng.getrandbits(32)
        )  # fmt: skip
        relay.open()
        return relay.dial

    def dial(self, source: str, target: str, direct: str) -> str:
        """The address at which the source reaches the target: that of the relay, else `direct`."""
        relay = self.relays.get((source, target))
        return direct if relay is None else relay.dial

    def set_reachable(self, target: str, on: bool) -> None:
        """Accept or refuse connections to a process, depending on whether it runs."""
        for (_, destination), relay in self.relays.items():
            if destination == target:
                if on:
                    relay.open()
                else:
                    relay.refuse()

    async def connect_peers(self, sidecars: Sequence[str]) -> dict[str, str]:
        """Create the datagram links between all sidecars and return the address at which each listens."""
        listen_addresses = {name: free_address() for name in sidecars}
        for source in sidecars:
            for target in sidecars:
                if source != target:
                    self.links.setdefault((source, target), Link(source, target))
        by_name = {f"{s}>{t}": link for (s, t), link in self.links.items()}
        addresses = {name: address(dial) for name, dial in listen_addresses.items()}
        self.peers = PeerRelays(addresses, by_name, self._rng.getrandbits(32))
        await self.peers.open()
        return listen_addresses

    def close(self) -> None:
        for relay in self.relays.values():
            relay.close()
        if self.peers is not None:
            self.peers.close()

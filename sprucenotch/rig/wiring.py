"""The links of a stage: which there are, what carries each, and who is reached where."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from sprucenotch.node.config import address
from sprucenotch.rig.faults import OnLinks
from sprucenotch.rig.net.datagrams import PeerRelays
from sprucenotch.rig.net.link import Link
from sprucenotch.rig.net.relay import Relay
from sprucenotch.rig.plan import Plan, links
from sprucenotch.rig.process import free_address


class Wiring:
    """Only links that a fault of the plan can hit have a relay; elsewhere processes meet directly."""

    def __init__(self, plan: Plan, rng: random.Random) -> None:
        self._rng = rng
        self.links: dict[tuple[str, str], Link] = {}
        self.relays: dict[tuple[str, str], Relay] = {}
        self.peers: PeerRelays | None = None
        for fault in plan.faults:
            if isinstance(fault, OnLinks):
                for source, target in links(fault, plan.fleet):
                    self.links.setdefault((source, target), Link(source, target))

    def join(self, source: str, target: str, dial: Callable[[], str]) -> str | None:
        """Carry that link, if there is one, to wherever `dial` says at the time; where the source connects. A
        relay that carried it before is closed."""
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

    def dial(self, source: str, target: str, straight: str) -> str:
        """Where the source reaches the target: by the link's relay, else straight."""
        relay = self.relays.get((source, target))
        return straight if relay is None else relay.dial

    def reachable(self, target: str, on: bool) -> None:
        """Whether a process is there: connections to a dead one are refused."""
        for (_, known), relay in self.relays.items():
            if known == target:
                if on:
                    relay.open()
                else:
                    relay.refuse()

    async def join_peers(self, sidecars: Sequence[str]) -> dict[str, str]:
        """Links between all of them, for datagrams; where each listens."""
        listens = {name: free_address() for name in sidecars}
        for source in sidecars:
            for target in sidecars:
                if source != target:
                    self.links.setdefault((source, target), Link(source, target))
        by_name = {f"{s}>{t}": link for (s, t), link in self.links.items()}
        addresses = {name: address(dial) for name, dial in listens.items()}
        self.peers = PeerRelays(addresses, by_name, self._rng.getrandbits(32))
        await self.peers.open()
        return listens

    def close(self) -> None:
        for relay in self.relays.values():
            relay.close()
        if self.peers is not None:
            self.peers.close()

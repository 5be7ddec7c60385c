"""A small deployment on loopback: engines, their discovery, and what its sidecars are told."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from typing import Any

from sprucenotch.rig.client import Kind
from sprucenotch.rig.discovery import Discovery, Entry
from sprucenotch.rig.engine import Engine, Work

SECOND = 1_000_000_000
MEMORY_MB = 64


class Fleet:
    """Engines in zones by turns, all listed. Everything random follows from `seed`."""

    def __init__(
        self,
        kinds: Mapping[Kind, Work],
        engines: int,
        slots: int = 2,
        queue: int = 8,
        zones: Sequence[str] = ("north", "south"),
        seed: int = 1,
    ) -> None:
        self.kinds, self.zones = tuple(kinds), tuple(zones)
        self.rng = random.Random(seed)
        work = {kind.name.encode(): work for kind, work in kinds.items()}
        self.engines = [
            Engine(f"engine-{n}", zones[n % len(zones)], work, slots, queue, self.rng.getrandbits(32))
            for n in range(engines)
        ]
        self.discovery = Discovery()

    async def start(self) -> None:
        await self.discovery.server.start()
        for engine in self.engines:
            await engine.start()
            self.tell(engine)

    def tell(self, engine: Engine, health: str = "up") -> None:
        entry = Entry(
            host=engine.name, dial=engine.server.dial, site=engine.zone, block=0, health=health, share=1.0,
            born_ms=0,
        )  # fmt: skip
        self.discovery.tell(entry)

    def stop(self) -> None:
        for engine in self.engines:
            engine.die()
        self.discovery.server.stop()

    def configuration(self, number: int, sidecars: int, listen: str, mgmt: str) -> dict[str, Any]:
        """What the sidecar of that number is told, in the platform's form."""
        return {
            "name": f"sidecar-{number}", "listen": listen, "mgmt": mgmt,
            "seed": f"{self.rng.getrandbits(64):x}",
            "discovery": self.discovery.server.dial, "known": self.discovery.whole(),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
            "settings": {
                "Azs": list(self.zones), "Zone": number % len(self.zones), "Kinds": [],
                "NInstances": sidecars, "Position": number, "Discovery": "pushed",
                "Categories": [self._category(kind) for kind in self.kinds],
                "Limits": {"MaxAttempts": 3, "Cancel": True, "Probes": True, "RetryAfter": True,
                           "MaxRetryAfterNs": SECOND, "ConnectTimeoutNs": SECOND // 5,
                           "ConnIdleNs": 10 * SECOND},
                "Deductions": {"Waste": 0.15, "Probe": 0.01},
                "Rules": {"ColdFrom": 0.5, "ColdNs": 5 * SECOND, "FallMultiple": 3.0},
            },
        }  # fmt: skip

    def _category(self, kind: Kind) -> dict[str, Any]:
        return {
            "Name": kind.name, "AimNs": int(kind.aim * SECOND), "HardLimitNs": int(kind.deadline * SECOND),
            "Importance": kind.worth, "LateWorth": 0.0, "Effect": "dedup" if kind.keyed else "retryable",
            "KeyScope": "all", "WindowNs": 5 * SECOND if kind.keyed else 0,
        }  # fmt: skip

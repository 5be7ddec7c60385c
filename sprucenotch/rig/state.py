"""What the sidecars of a run keep for their next processes: where, and what a power cut leaves of it."""

from __future__ import annotations

import random
from collections import Counter
from pathlib import Path
from typing import Any

from sprucenotch.rig.faults import Restart
from sprucenotch.rig.plan import Plan
from sprucenotch.rig.volume import replay


class States:
    """Operations are recorded only where the plan can cut power."""

    def __init__(self, plan: Plan, seed: int, folder: Path) -> None:
        self._how, self._seed, self._folder = plan.fleet.state, seed, folder
        self._recorded = any(isinstance(fault, Restart) and fault.how == "power" for fault in plan.faults)
        self._bases: dict[str, dict[str, bytes]] = {}  # what a power cut left, by sidecar
        self._cuts = Counter[str]()

    def folder(self, name: str) -> Path:
        return self._folder / f"{name}.state"

    def _record(self, name: str) -> Path:
        return self._folder / f"{name}.operations"  # a name that syscalls.c knows

    def told(self, name: str, predecessor: str) -> dict[str, Any]:
        """What a sidecar's configuration has of it. `predecessor`: the management address of its process
        that runs, if one does."""
        if self._how == "none":
            return {}
        if self._how == "call":
            return (
                {"state": {"deployment": "rig", "predecessor": predecessor}} if predecessor else {"state": {}}
            )
        told: dict[str, Any] = {"state": {"deployment": "rig", "dir": str(self.folder(name))}}
        if self._recorded:
            told["disk"] = {"record": str(self._record(name))}
        return told

    def cut_power(self, name: str) -> None:
        """What is not durable of a sidecar's folder is lost, as its process has ended. Raises OSError."""
        folder, record = self.folder(name), self._record(name)
        if not record.exists():
            return
        self._cuts[name] += 1
        volume = replay(record.read_bytes(), self._bases.get(name, {}))
        volume.crash(random.Random(f"{self._seed} {name} {self._cuts[name]}").getrandbits(32))
        for path in folder.iterdir():
            path.unlink()
        volume.write_to(folder)
        self._bases[name] = {path.name: path.read_bytes() for path in folder.iterdir()}
        record.unlink()

"""The state folders of the sidecars of a run, and the effect of a power cut on them."""

from __future__ import annotations

import random
from collections import Counter
from pathlib import Path
from typing import Any

from sprucenotch.testbed.faults import Restart
from sprucenotch.testbed.plan import Plan
from sprucenotch.testbed.simulated_disk import replay


class StateFolders:
    """Disk operations are recorded only if a fault of the plan is a power cut."""

    def __init__(self, plan: Plan, seed: int, folder: Path) -> None:
        self._mode, self._seed, self._folder = plan.fleet.state, seed, folder
        self._recorded = any(isinstance(fault, Restart) and fault.how == "power" for fault in plan.faults)
        self._bases: dict[str, dict[str, bytes]] = {}  # files that the last power cut left, by sidecar
        self._power_cuts = Counter[str]()

    def folder(self, name: str) -> Path:
        return self._folder / f"{name}.state"

    def _record(self, name: str) -> Path:
        return self._folder / f"{name}.operations"  # syscalls.c exempts files with this suffix

    def configuration(self, name: str, predecessor: str) -> dict[str, Any]:
        """The part of a sidecar's configuration about its state. `predecessor`: the management address of its
        running process, or empty."""
        if self._mode == "none":
            return {}
        if self._mode == "call":
            return (
                {"state": {"deployment": "rig", "predecessor": predecessor}} if predecessor else {"state": {}}
            )
        configuration: dict[str, Any] = {"state": {"deployment": "rig", "dir": str(self.folder(name))}}
        if self._recorded:
            configuration["disk"] = {"record": str(self._record(name))}
        return configuration

    def cut_power(self, name: str) -> None:
        """Replace a stopped sidecar's files by what a power cut may have left of them. Raises OSError."""
        folder, record = self.folder(name), self._record(name)
        if not record.exists():
            return
        self._power_cuts[name] += 1
        disk = replay(record.read_bytes(), self._bases.get(name, {}))
        disk.crash(random.Random(f"{self._seed} {name} {self._power_cuts[name]}").getrandbits(32))
        for path in folder.iterdir():
            path.unlink()
        disk.write_to(folder)
        self._bases[name] = {path.name: path.read_bytes() for path in folder.iterdir()}
        record.unlink()

"""Named faults that are switched on and off by hand, as in the demo. Several may be active at a time."""

from __future__ import annotations

from typing import NamedTuple

from sprucenotch.testbed.faults import Engines, Fault, Surge
from sprucenotch.testbed.injection import FaultInjector


class NamedFault(NamedTuple):
    """A fault with a name and a key."""

    name: str
    key: str  # keyboard key that toggles it
    description: str
    fault: Fault


THIRD = 1 / 3  # of the engines
NAMED_FAULTS = {
    named.name: named
    for named in (
        NamedFault("slow", "s", "a third of the engines six times slower",
                Engines(on="engine-*", share=THIRD, trouble="slow")),
        NamedFault("dead", "d", "a third of the engines dead, without notice to discovery",
                Engines(on="engine-*", share=THIRD, trouble="dead")),
        NamedFault("errors", "e", "a third of the engines answer 500",
                Engines(on="engine-*", share=THIRD, trouble="failing")),
        NamedFault("surge", "u", "three times the load", Surge(times=3)),
    )
}  # fmt: skip


class FaultSwitches:
    """Switches named faults on and off."""

    def __init__(self, faults: FaultInjector) -> None:
        self._faults = faults
        self._active: dict[str, int] = {}

    @property
    def on(self) -> list[str]:
        return sorted(self._active)

    async def switch(self, name: str, on: bool) -> None:
        if on == (name in self._active):
            return
        if on:
            self._active[name] = await self._faults.begin(NAMED_FAULTS[name].fault)
        else:
            await self._faults.heal(self._active.pop(name))

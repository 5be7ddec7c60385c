"""Troubles with names, for those who turn them on and off by hand. Each is a fault, alone or with others."""

from __future__ import annotations

from typing import NamedTuple

from sprucenotch.rig.actions import Faults
from sprucenotch.rig.faults import Engines, Fault, Surge


class Trouble(NamedTuple):
    name: str
    key: str  # that turns it on and off where keys are read
    meaning: str
    fault: Fault


THIRD = 1 / 3  # of the engines
TROUBLES = {
    trouble.name: trouble
    for trouble in (
        Trouble("slow", "s", "a third of the engines six times slower",
                Engines(on="engine-*", share=THIRD, trouble="slow")),
        Trouble("dead", "d", "a third of the engines dead, without a word to discovery",
                Engines(on="engine-*", share=THIRD, trouble="dead")),
        Trouble("errors", "e", "a third of the engines answer 500",
                Engines(on="engine-*", share=THIRD, trouble="failing")),
        Trouble("surge", "u", "three times the load", Surge(times=3)),
    )
}  # fmt: skip


class Troubles:
    """Which are on."""

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._numbers: dict[str, int] = {}

    @property
    def on(self) -> list[str]:
        return sorted(self._numbers)

    async def turn(self, name: str, on: bool) -> None:
        if on == (name in self._numbers):
            return
        if on:
            self._numbers[name] = await self._faults.begin(TROUBLES[name].fault)
        else:
            await self._faults.heal(self._numbers.pop(name))

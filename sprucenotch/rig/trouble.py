"""Troubles of a day: each is turned on and off, alone or with others."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from sprucenotch.rig.engine import Engine
from sprucenotch.rig.fleet import Fleet

SLOWER = 6.0  # times as long as usual
SURGE = 3.0  # times the usual load


class Trouble(NamedTuple):
    name: str
    key: str  # that turns it on and off where keys are read
    meaning: str
    part: float = 0.0  # of the engines, that it befalls
    befall: Callable[[Engine, bool], None] | None = None
    load: float = 1.0


def slow(engine: Engine, on: bool) -> None:
    engine.slower = SLOWER if on else 1.0


def err(engine: Engine, on: bool) -> None:
    engine.failing = on


TROUBLES = {
    trouble.name: trouble
    for trouble in (
        Trouble("slow", "s", "a third of the engines six times slower", 1 / 3, slow),
        Trouble("dead", "d", "a third of the engines dead, without a word to discovery", 1 / 3),
        Trouble("errors", "e", "a third of the engines answer 500", 1 / 3, err),
        Trouble("surge", "u", "three times the load", load=SURGE),
    )
}


class Troubles:
    """Which are on. Each befalls its own part of the engines, counted from its place in the list."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.on: set[str] = set()

    @property
    def load(self) -> float:
        """By how much the usual load is multiplied."""
        product = 1.0
        for name in self.on:
            product *= TROUBLES[name].load
        return product

    async def turn(self, name: str, on: bool) -> None:
        if on == (name in self.on):
            return
        (self.on.add if on else self.on.discard)(name)
        trouble = TROUBLES[name]
        for engine in self._part(trouble):
            if trouble.befall is not None:
                trouble.befall(engine, on)
            elif on:
                engine.die()
            else:
                await engine.start()

    def _part(self, trouble: Trouble) -> Iterator[Engine]:
        engines = self._fleet.engines
        first = list(TROUBLES).index(trouble.name)
        for n in range(int(len(engines) * trouble.part)):
            yield engines[(first + n * len(TROUBLES)) % len(engines)]

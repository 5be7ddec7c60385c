"""What a link does to what passes over it. Faults overlap freely; each is healed by its own number."""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal, NamedTuple, TypeAlias

from msgspec import Struct

Direction: TypeAlias = Literal["there", "back"]


class LinkFault(Struct, frozen=True):
    """One fault. `there` is the way of whoever connects, `back` that of the answers."""

    way: Literal["both", "there", "back"] = "both"
    cut: bool = False  # nothing passes and nothing is heard of it; new connections never come up
    half_open: bool = False  # new connections are accepted and stay silent
    delay: float = 0.0  # seconds
    jitter: float = 0.0  # seconds, drawn evenly on top
    rate: float = 0.0  # bytes a second; 0 for no bound
    reset_after: int | None = None  # bytes that a connection passes until both ends see a reset
    loss: float = 0.0  # share of the datagrams, as the two below
    duplicate: float = 0.0
    reorder: float = 0.0  # held for as long as `jitter` more, so that later ones overtake


class Way(NamedTuple):
    """All faults of one direction together."""

    cut: bool = False
    delay: float = 0.0
    jitter: float = 0.0
    rate: float = 0.0
    reset_after: int | None = None
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0

    @property
    def clear(self) -> bool:
        return self == CLEAR


CLEAR = Way()


def together(faults: list[LinkFault]) -> Way:
    """Cuts add up, delays too; of bounds the tightest holds, of shares the greatest."""
    if not faults:
        return CLEAR
    limits = [f.reset_after for f in faults if f.reset_after is not None]
    return Way(
        cut=any(f.cut for f in faults),
        delay=sum(f.delay for f in faults),
        jitter=sum(f.jitter for f in faults),
        rate=min((f.rate for f in faults if f.rate), default=0.0),
        reset_after=min(limits, default=None),
        loss=max(f.loss for f in faults),
        duplicate=max(f.duplicate for f in faults),
        reorder=max(f.reorder for f in faults),
    )


class Link:
    """The way from one process to another. Whoever carries it hears of each change."""

    def __init__(self, source: str, target: str) -> None:
        self.source, self.target = source, target
        self.there = self.back = CLEAR
        self.half_open = False
        self._faults: dict[int, LinkFault] = {}
        self.changed: Callable[[], None] = lambda: None

    @property
    def name(self) -> str:
        return f"{self.source}>{self.target}"

    @property
    def cut(self) -> bool:
        """Whether no connection comes up: that needs both ways."""
        return self.there.cut or self.back.cut

    def way(self, direction: Direction) -> Way:
        return self.there if direction == "there" else self.back

    def harm(self, number: int, fault: LinkFault) -> None:
        self._faults[number] = fault
        self._settle()

    def heal(self, number: int) -> None:
        """Take that fault back; the others stay. One that is not there is healed already."""
        if self._faults.pop(number, None) is not None:
            self._settle()

    def _settle(self) -> None:
        faults = list(self._faults.values())
        self.there = together([f for f in faults if f.way != "back"])
        self.back = together([f for f in faults if f.way != "there"])
        self.half_open = any(f.half_open for f in faults)
        self.changed()

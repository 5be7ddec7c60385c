"""Network links with faults. Faults may overlap; each is added and removed by its number."""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal, NamedTuple, TypeAlias

from msgspec import Struct

Direction: TypeAlias = Literal["there", "back"]


class LinkFault(Struct, frozen=True):
    """One fault. `there` is the direction from the side that connects, `back` the opposite one."""

    way: Literal["both", "there", "back"] = "both"
    cut: bool = False  # nothing passes, and connection attempts get no reply
    half_open: bool = False  # new connections are accepted but never forwarded
    delay: float = 0.0  # seconds
    jitter: float = 0.0  # seconds: the upper end of a uniform extra delay
    rate: float = 0.0  # bytes a second; 0 for no limit
    reset_after: int | None = None  # bytes that a connection passes before it is reset
    loss: float = 0.0  # share of the datagrams; so are the two below
    duplicate: float = 0.0
    reorder: float = 0.0  # delayed by `jitter` more, so that later ones overtake


class Conditions(NamedTuple):
    """The combined faults of one direction."""

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
        return self == NO_FAULT


NO_FAULT = Conditions()


def combine(faults: list[LinkFault]) -> Conditions:
    """Delays add up; of limits the lowest applies, of shares the highest."""
    if not faults:
        return NO_FAULT
    limits = [f.reset_after for f in faults if f.reset_after is not None]
    return Conditions(
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
    """A connection path from one process to another. `changed` is called after each change of its faults."""

    def __init__(self, source: str, target: str) -> None:
        self.source, self.target = source, target
        self.there = self.back = NO_FAULT
        self.half_open = False
        self._faults: dict[int, LinkFault] = {}
        self.changed: Callable[[], None] = lambda: None

    @property
    def name(self) -> str:
        return f"{self.source}>{self.target}"

    @property
    def cut(self) -> bool:
        """Whether no connection can be established, which needs both directions."""
        return self.there.cut or self.back.cut

    def conditions(self, direction: Direction) -> Conditions:
        return self.there if direction == "there" else self.back

    def add_fault(self, number: int, fault: LinkFault) -> None:
        """Add a fault, or replace the one of that number."""
        self._faults[number] = fault
        self._update()

    def remove_fault(self, number: int) -> None:
        """Remove the fault of that number, if it is still active; others stay."""
        if self._faults.pop(number, None) is not None:
            self._update()

    def _update(self) -> None:
        faults = list(self._faults.values())
        self.there = combine([f for f in faults if f.way != "back"])
        self.back = combine([f for f in faults if f.way != "there"])
        self.half_open = any(f.half_open for f in faults)
        self.changed()

"""What happened in a run, as each side saw it. All times are seconds of one machine's monotonic clock, from
the start of the run; a history is in their order."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Literal, TypeAlias

from msgspec import Struct


class Happening(Struct, frozen=True, kw_only=True, tag=True):
    at: float


class Sent(Happening, frozen=True, kw_only=True):
    """A client wrote the last byte of a request."""

    id: str
    call: str  # what the client wanted; its repeats share it
    cls: str
    key: str = ""
    owner: str = ""
    sidecar: str
    life: int = 0  # which process of that name listened when the connection came up
    due: float  # when the load had it
    deadline: float  # seconds after `at`
    fresh: bool = True  # on a connection that carried nothing before
    repeat: int = 0


class Ended(Happening, frozen=True, kw_only=True):
    """A client knows how its request ended."""

    id: str
    status: int  # 0 without a whole answer
    body: str = ""
    # whole: an answer; broke: the connection ended before it; refused: it never came up; silent: given up
    how: Literal["whole", "broke", "refused", "silent"] = "whole"


class Surplus(Happening, frozen=True, kw_only=True):
    """Bytes came on a connection whose request was answered already."""

    sidecar: str
    id: str  # of the request before
    data: str


Step: TypeAlias = Literal["taken", "begun", "done", "error", "declined", "lost"]


class Ran(Happening, frozen=True, kw_only=True):
    """A request came whole to an engine (`taken`), and what became of it. `lost`: the engine died with it."""

    engine: str
    life: int
    id: str
    key: str = ""
    step: Step
    deadline: float = 0.0  # seconds that the sidecar says it waits, as it was taken


class Wrote(Happening, frozen=True, kw_only=True):
    """A sidecar tells in its log that the last byte of an attempt has gone out. `at`: the start of its
    process, as the clock of its log may step."""

    sidecar: str
    life: int
    id: str
    attempt: int  # from 1 on


class Left(Happening, frozen=True, kw_only=True):
    """A client closed its connection before its answer."""

    sidecar: str
    life: int
    id: str
    cls: str


class Stuck(Happening, frozen=True, kw_only=True):
    """A client stopped in the middle of a request and stayed, until its connection ended or it gave up."""

    sidecar: str
    began: float
    ended: bool  # by an answer or a close


class Said(Happening, frozen=True, kw_only=True):
    """A process told in its log of a rule that it broke, or of a fault in itself."""

    sidecar: str
    life: int
    what: Literal["rule broken", "fault"]
    text: str


class Listed(Happening, frozen=True, kw_only=True):
    """Discovery knows of a change since that version."""

    engine: str
    health: str
    version: int


class Told(Happening, frozen=True, kw_only=True):
    """Discovery wrote the list, or its changes, up to that version."""

    sidecar: str
    version: int


class Process(Happening, frozen=True, kw_only=True):
    name: str
    what: Literal["started", "ready", "told to end", "killed", "ended", "lost power"]
    life: int
    code: int = 0
    version: int = 0  # of the list that a start was given


class Recalled(Happening, frozen=True, kw_only=True):
    """What a start of a sidecar went on from, by its log."""

    sidecar: str
    life: int
    version: int  # of the list; -1: none
    list_age: float  # seconds
    learned: bool
    refused: tuple[str, ...] = ()


class Fault(Happening, frozen=True, kw_only=True):
    """A fault begins or is healed. Processes by name, links as "a>b"."""

    number: int
    do: str
    befalls: tuple[str, ...]
    hits: tuple[str, ...]  # of these, or besides: whose doings prove nothing meanwhile
    on: bool


class Figures(Happening, frozen=True, kw_only=True):
    """What a sidecar said of itself at the end, with nothing in progress."""

    sidecar: str
    life: int
    told: Mapping[str, Any]


class Lag(Happening, frozen=True, kw_only=True):
    """The rig itself came late by so many seconds: what it saw around then proves nothing."""

    late: float


Event: TypeAlias = (
    Sent | Ended | Surplus | Ran | Wrote | Left | Stuck | Said | Listed | Told | Process | Recalled | Fault
    | Figures | Lag
)  # fmt: skip


def line(event: Event) -> str:
    """An event for a reader's time line."""
    fields = {f: getattr(event, f) for f in event.__struct_fields__ if f != "at"}
    told = " ".join(f"{name}={_short(value)}" for name, value in fields.items() if value not in ("", None))
    return f"{event.at:9.4f}  {type(event).__name__.lower():8} {told}"


def _short(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4f}"
    if isinstance(value, tuple):
        return ",".join(map(str, value[:4])) + (f",+{len(value) - 4}" if len(value) > 4 else "")
    return str(value)

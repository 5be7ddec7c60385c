"""The events of a run, as each side recorded them.

All times are seconds of the machine's monotonic clock since the start of the run; a history is sorted by
time.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Literal, TypeAlias

from msgspec import Struct


class TimedEvent(Struct, frozen=True, kw_only=True, tag=True):
    """Base of all events."""

    at: float


class Sent(TimedEvent, frozen=True, kw_only=True):
    """A client wrote the last byte of a request."""

    id: str
    call: str  # the logical request; its repeats have the same
    cls: str
    key: str = ""
    owner: str = ""
    sidecar: str
    life: int = 0  # number of the process of that name that listened when the connection was made
    due: float  # when the load generator scheduled it
    deadline: float  # seconds after `at`
    fresh: bool = True  # on a connection without earlier requests
    repeat: int = 0


class Ended(TimedEvent, frozen=True, kw_only=True):
    """The request of a client ended, with or without an answer."""

    id: str
    status: int  # 0 without a complete answer
    body: str = ""
    # whole: a complete answer; broke: the connection ended before it; refused: it was never established;
    # silent: the client gave up waiting
    how: Literal["whole", "broke", "refused", "silent"] = "whole"


class Surplus(TimedEvent, frozen=True, kw_only=True):
    """Bytes arrived on a connection whose request had already been answered."""

    sidecar: str
    id: str  # of the last request on the connection
    data: str


Step: TypeAlias = Literal["taken", "begun", "done", "error", "declined", "lost"]


class Ran(TimedEvent, frozen=True, kw_only=True):
    """A step of a request in an engine.

    `taken`: it arrived completely; `lost`: the engine died while it had the request.
    """

    engine: str
    life: int
    id: str
    key: str = ""
    step: Step
    deadline: float = 0.0  # seconds, as the sidecar sent it with the request


class Wrote(TimedEvent, frozen=True, kw_only=True):
    """A sidecar logged that it sent the last byte of an attempt.

    `at` is the start of the process, as the wall clock of the log may step.
    """

    sidecar: str
    life: int
    id: str
    attempt: int  # from 1 on


class Left(TimedEvent, frozen=True, kw_only=True):
    """A client closed its connection without reading the answer, which may have arrived already."""

    sidecar: str
    life: int
    id: str
    cls: str


class Stuck(TimedEvent, frozen=True, kw_only=True):
    """A client stopped writing within a request and waited until the connection ended or it gave up."""

    sidecar: str
    began: float
    ended: bool  # by an answer or a close


class Said(TimedEvent, frozen=True, kw_only=True):
    """A process logged that it broke a rule of its own, or an internal fault."""

    sidecar: str
    life: int
    what: Literal["rule broken", "fault"]
    text: str


class Listed(TimedEvent, frozen=True, kw_only=True):
    """Discovery has an engine in this state from that version on."""

    engine: str
    health: str
    version: int


class Told(TimedEvent, frozen=True, kw_only=True):
    """Discovery wrote the list, or its changes, to a sidecar up to that version."""

    sidecar: str
    version: int


class Process(TimedEvent, frozen=True, kw_only=True):
    """A change in the life of a process."""

    name: str
    what: Literal["started", "ready", "told to end", "killed", "ended", "lost power"]
    life: int
    code: int = 0
    version: int = 0  # of the list that the process started with


class Recalled(TimedEvent, frozen=True, kw_only=True):
    """The state that a sidecar restored at its start, according to its log."""

    sidecar: str
    life: int
    version: int  # of the list; -1: none
    list_age: float  # seconds
    learned: bool
    refused: tuple[str, ...] = ()


class Fault(TimedEvent, frozen=True, kw_only=True):
    """A fault begins (`on`) or is healed; both events have its number. Links are given as "a>b"."""

    number: int
    do: str
    befalls: tuple[str, ...]  # processes and links that it affects
    hits: tuple[str, ...]  # processes and links on which findings are excused while it lasts
    on: bool


class Figures(TimedEvent, frozen=True, kw_only=True):
    """The telemetry of a sidecar at the end of the run, with no request in progress."""

    sidecar: str
    life: int
    told: Mapping[str, Any]


class Lag(TimedEvent, frozen=True, kw_only=True):
    """The testbed itself lagged by `late` seconds, so observations around that time are not evidence."""

    late: float


Event: TypeAlias = (
    Sent | Ended | Surplus | Ran | Wrote | Left | Stuck | Said | Listed | Told | Process | Recalled | Fault
    | Figures | Lag
)  # fmt: skip


def line(event: Event) -> str:
    """Format an event for a time line."""
    fields = {f: getattr(event, f) for f in event.__struct_fields__ if f != "at"}
    text = " ".join(f"{name}={_short(value)}" for name, value in fields.items() if value not in ("", None))
    return f"{event.at:9.4f}  {type(event).__name__.lower():8} {text}"


def _short(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4f}"
    if isinstance(value, tuple):
        return ",".join(map(str, value[:4])) + (f",+{len(value) - 4}" if len(value) > 4 else "")
    return str(value)

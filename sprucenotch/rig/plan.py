"""What a run does: processes, traffic, and faults at times or drawn by seed. TOML, with units.

Everything wrong in a file is told at once, a line each, as of a configuration file. The numbers of sidecars
and engines have no bound here: whether the machine holds them is judged where they are built (`capacity.py`).
"""

from __future__ import annotations

import fnmatch
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple, TypeAlias

import msgspec
from msgspec import Meta, Struct

from sprucenotch import settings
from sprucenotch.config import toml
from sprucenotch.rig.faults import KINDS, SELF_ENDING, Fault, OnLinks, OnProcesses, Pattern
from sprucenotch.settings import Problem, SettingsError, Share, Span, Time

SECOND = 1_000_000_000
LENGTH_MOST = 3600 * SECOND
REQUESTS_MOST = 500_000  # of a run: its history is held in memory

Count: TypeAlias = Annotated[int, Meta(ge=1, description="a whole number of at least 1")]


class Class(Struct, frozen=True, kw_only=True):
    """A class of requests, with what it takes of an engine's slot."""

    name: Annotated[str, Meta(min_length=1, description="a name")]
    share: Annotated[float, Meta(gt=0, description="a share above 0")] = 1  # of the arrivals
    work: Time = 40_000_000
    spread: Share = 0.5  # coefficient of variation of the work
    deadline: Time = 2 * SECOND
    aim: Time = 400_000_000
    worth: Share = 1
    effect: Annotated[
        Literal["retryable", "dedup", "fragile"], Meta(description="retryable, dedup or fragile")
    ] = "retryable"
    window: Time = 5 * SECOND  # of a dedup class


CLASSES = (
    Class(name="price-check", share=0.75),
    Class(name="place-order", share=0.25, work=60_000_000, deadline=3 * SECOND, aim=600_000_000, worth=8,
          effect="dedup"),
)  # fmt: skip


class Fleet(Struct, frozen=True, kw_only=True):
    sidecars: Count = 2
    engines: Count = 6
    zones: Annotated[tuple[str, ...], Meta(min_length=1, description="a list of names")] = ("north", "south")
    slots: Count = 1
    queue: Annotated[int, Meta(ge=0, description="a whole number of at least 0")] = 6
    discovery: Annotated[Literal["pushed", "on_request"], Meta(description="pushed or on_request")] = "pushed"
    memory: Annotated[Count, Meta(extra={"unit": "MB"})] = 64
    attempts: Count = 3
    connect_timeout: Time = SECOND // 5
    cold_share: Annotated[float, Meta(gt=0, le=1, description="a share above 0, at most 1")] = 0.5
    cold_for: Time = 5 * SECOND
    state: Annotated[Literal["none", "folder", "call"], Meta(description="none, folder or call")] = (
        "none"  # what a sidecar leaves to its next process, by a folder or by a call from that one
    )
    peers: bool = False  # sidecars may send each other datagrams
    revision: str = ""  # of the program; empty for this tree
    engines_apart: bool = False  # each a process of its own; always so where a fault of a process hits one
    discovery_apart: bool = False
    # debug: each attempt that a sidecar sends is in its log, and matched with what engines took
    log: Annotated[Literal["info", "debug"], Meta(description="info or debug")] = "info"


class Tenant(Struct, frozen=True, kw_only=True):
    name: Annotated[str, Meta(min_length=1, description="a name")]
    share: Annotated[float, Meta(gt=0, description="a share above 0")]


class Load(Struct, frozen=True, kw_only=True):
    """An open load: arrivals wait for nobody's answer."""

    share: Annotated[float, Meta(gt=0, le=10, description="a number above 0")] = (
        0.6  # of the fleet's capacity
    )
    skew: Share = 0  # sidecar n gets a part in proportion to (n + 1) ** -skew
    tenants: tuple[Tenant, ...] = ()
    repeat: Annotated[Literal["never", "at once", "after"], Meta(description="never, at once or after")] = (
        "never"  # after: what Retry-After says, or `wait` without it
    )
    repeats: Annotated[int, Meta(ge=1, le=5, description="1 to 5")] = 2
    wait: Span = 200_000_000
    # of the answers after which a client closes its connection, and comes on a new one
    churn: Annotated[float, Meta(ge=0, le=1, description="a share from 0 to 1")] = 0


class Step(NamedTuple):
    at: float  # seconds
    fault: Fault
    lasts: float = 0.0  # seconds; 0 for a fault that ends by itself


class Nemesis(Struct, frozen=True, kw_only=True):
    """Draws faults by seed between `start` and `end`, by when all are healed."""

    start: Time
    end: Time
    every: Time  # mean time between two
    shortest: Time = SECOND // 2
    longest: Time = 3 * SECOND
    at_once: Annotated[int, Meta(ge=1, le=20, description="1 to 20")] = 2  # the most that overlap
    fault: Annotated[
        tuple[dict[str, Any], ...], Meta(min_length=1, description="a list of at least one fault")
    ] = ()


class _Shape(Struct, frozen=True, kw_only=True):
    """The file, but for its faults, whose kinds differ."""

    title: Annotated[str, Meta(min_length=1, description="a title")]
    length: Annotated[
        int, Meta(ge=1, le=LENGTH_MOST), Meta(description="a time up to 1h", extra={"unit": "ns"})
    ]
    settle: Span = 2 * SECOND  # healed and without new requests
    fleet: Fleet = Fleet()
    load: Load = Load()
    classes: Annotated[tuple[Class, ...], Meta(min_length=1, description="a list of at least one class")] = (
        CLASSES
    )


class Plan(NamedTuple):
    title: str
    length: float  # seconds, as all that follows here
    settle: float
    fleet: Fleet
    load: Load
    classes: tuple[Class, ...]
    steps: tuple[Step, ...] = ()
    nemesis: Nemesis | None = None
    drawn_from: tuple[Fault, ...] = ()  # what the nemesis has
    source: str = ""  # the file's text

    @property
    def faults(self) -> tuple[Fault, ...]:
        """All that it can bring."""
        return (*(step.fault for step in self.steps), *self.drawn_from)

    @property
    def rate(self) -> float:
        """Requests a second that come without a surge."""
        total = sum(c.share for c in self.classes)
        work = sum(c.share / total * c.work / SECOND for c in self.classes)
        return self.load.share * self.fleet.engines * self.fleet.slots / work


def load(path: Path) -> Plan:
    """Read a plan. Raises SettingsError with everything that is wrong in it, OSError where it is not
    there."""
    return decode(path.read_bytes())


def decode(raw: bytes) -> Plan:
    """Raises SettingsError."""
    top = toml.parse(raw)
    found: list[Problem] = []
    steps_raw, nemesis_raw = top.pop("step", []), top.pop("nemesis", None)
    told = toml.translate(top, _Shape, "", found)
    steps = [_step(step, f"step[{n}]", found) for n, step in enumerate(_tables(steps_raw, "step", found))]
    nemesis, drawn_from = _nemesis(nemesis_raw, found) if nemesis_raw is not None else (None, ())
    if found:
        raise SettingsError(found)
    shape = settings.typed(told, _Shape, "")
    plan = Plan(
        shape.title, shape.length / SECOND, shape.settle / SECOND, shape.fleet, shape.load, shape.classes,
        tuple(sorted((s for s in steps if s is not None), key=lambda step: step.at)), nemesis, drawn_from,
        raw.decode(),
    )  # fmt: skip
    if problems := list(_impossible(plan)):
        raise SettingsError(problems)
    return plan


def _tables(raw: Any, path: str, found: list[Problem]) -> list[dict[str, Any]]:
    if isinstance(raw, list) and all(isinstance(entry, dict) for entry in raw):
        return raw
    found.append(Problem(path, "is no list of tables, such as [[step]]"))
    return []


class _Timing(Struct, frozen=True, kw_only=True):
    at: Span
    lasts: Time = SECOND


def _step(raw: dict[str, Any], path: str, found: list[Problem]) -> Step | None:
    before = len(found)
    kind = _kind(raw, path, found)
    timing_raw = {name: raw[name] for name in ("at", "lasts") if name in raw}
    timing = toml.translate(timing_raw, _Timing, path, found)
    fault = _fault({n: v for n, v in raw.items() if n not in ("at", "lasts")}, kind, path, found)
    if kind is not None and len(found) == before:
        ends_itself = kind in SELF_ENDING
        if ends_itself == ("lasts" in timing):
            wanted = "ends by itself: leave it out" if ends_itself else "is missing, where a time is needed"
            found.append(Problem(f"{path}.lasts", wanted))
    if fault is None or len(found) > before:
        return None
    return Step(timing["at"] / SECOND, fault, timing.get("lasts", 0) / SECOND)


def _kind(raw: dict[str, Any], path: str, found: list[Problem]) -> type[Fault] | None:
    kind = KINDS.get(raw.get("do", ""))
    if kind is None:
        found.append(
            Problem(f"{path}.do", f"is {raw.get('do')!r}, where one of {', '.join(KINDS)} is needed")
        )
    return kind


def _fault(raw: dict[str, Any], kind: type[Fault] | None, path: str, found: list[Problem]) -> Fault | None:
    if kind is None:
        return None
    before = len(found)
    told = toml.translate({n: v for n, v in raw.items() if n != "do"}, kind, path, found)
    if len(found) > before:
        return None
    try:
        return msgspec.convert({"do": raw["do"], **told}, kind)
    except msgspec.ValidationError as problem:
        found.append(Problem(path, str(problem)))
        return None


def _nemesis(raw: Any, found: list[Problem]) -> tuple[Nemesis | None, tuple[Fault, ...]]:
    if not isinstance(raw, dict):
        found.append(Problem("nemesis", "is no table"))
        return None, ()
    faults = [
        _fault(one, _kind(one, f"nemesis.fault[{n}]", found), f"nemesis.fault[{n}]", found)
        for n, one in enumerate(_tables(raw.get("fault", []), "nemesis.fault", found))
    ]
    before = len(found)
    told = toml.translate({k: v for k, v in raw.items() if k != "fault"}, Nemesis, "nemesis", found)
    if not faults:
        found.append(Problem("nemesis.fault", "is missing, where at least one fault is needed"))
    if len(found) > before:
        return None, ()
    return settings.typed(told, Nemesis, "nemesis"), tuple(f for f in faults if f is not None)


def names(fleet: Fleet) -> dict[str, str]:
    """All processes that faults can hit, each with its zone, if it has one."""
    zones = fleet.zones
    return {
        **{f"sidecar-{n}": zones[n % len(zones)] for n in range(fleet.sidecars)},
        **{f"engine-{n}": zones[n % len(zones)] for n in range(fleet.engines)},
        "discovery": "", "client": "",
    }  # fmt: skip


def chosen(pattern: Pattern, fleet: Fleet) -> tuple[str, ...]:
    """The processes that a pattern names, in order."""
    name, _, zone = pattern.partition("@")
    return tuple(
        known
        for known, where in names(fleet).items()
        if fnmatch.fnmatchcase(known, name) and zone in ("", where)
    )


def links(fault: OnLinks, fleet: Fleet) -> tuple[tuple[str, str], ...]:
    """The links that a fault names, of those that there are."""
    targets = chosen(fault.target, fleet)
    return tuple(
        (source, target)
        for source in chosen(fault.source, fleet)
        for target in targets
        if _joined(source, target)
    )


def _joined(source: str, target: str) -> bool:
    kinds = (source.partition("-")[0], target.partition("-")[0])
    if kinds == ("sidecar", "sidecar"):
        return source != target
    return kinds in (("client", "sidecar"), ("sidecar", "engine"), ("sidecar", "discovery"))


def _impossible(plan: Plan) -> list[Problem]:
    """What each part allows and the whole does not."""
    found = []
    if plan.rate * plan.length > REQUESTS_MOST:
        found.append(
            Problem("load", f"makes {plan.rate * plan.length:.0f} requests, at most {REQUESTS_MOST} are kept")
        )
    if len({c.name for c in plan.classes}) < len(plan.classes):
        found.append(Problem("classes", "has a name twice"))
    for n, step in enumerate(plan.steps):
        if step.at + step.lasts > plan.length:
            found.append(Problem(f"step[{n}]", f"goes on beyond the length of {plan.length:g} s"))
    if (nemesis := plan.nemesis) is not None:
        if not nemesis.start < nemesis.end <= plan.length * SECOND:
            found.append(Problem("nemesis.end", "is not between its start and the plan's length"))
        if nemesis.shortest > nemesis.longest:
            found.append(Problem("nemesis.shortest", "is longer than the longest"))
    for fault in plan.faults:
        found += _aimless(fault, plan.fleet)
    return found


def _aimless(fault: Fault, fleet: Fleet) -> list[Problem]:
    do = str(fault.__struct_config__.tag)
    if isinstance(fault, OnLinks):
        pairs = links(fault, fleet)
        between = f"{fault.source} to {fault.target}"
        if not pairs:
            return [Problem(do, f"names no link: there is none from {between}")]
        if not fleet.peers and any(t.startswith("sidecar") and s != "client" for s, t in pairs):
            return [Problem(do, f"names a link from {between}, where fleet.peers is false")]
    elif isinstance(fault, OnProcesses):
        allowed = ALLOWED.get(do, ("sidecar", "engine", "discovery"))
        hit = chosen(fault.on, fleet)
        if not hit:
            return [Problem(do, f"names no process: {fault.on!r} matches none")]
        if wrong := [name for name in hit if name.partition("-")[0] not in allowed]:
            return [Problem(do, f"cannot hit {wrong[0]}, only {' or '.join(allowed)}")]
    return []


ALLOWED = {
    "restart": ("sidecar", "engine", "discovery"), "wrong clock": ("sidecar",), "retune": ("sidecar",),
    "engines": ("engine",), "replace": ("engine",), "system calls": ("sidecar",),
    "clock step": ("sidecar",), "reload": ("sidecar",), "clients": ("sidecar",),
}  # fmt: skip

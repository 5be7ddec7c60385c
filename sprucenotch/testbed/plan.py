"""The plan of a run: processes, load, and faults at fixed times or drawn by seed. TOML, with units.

All errors of a file are reported together, one per line, as for a configuration file. The numbers of sidecars
and engines are not limited here; `capacity.py` checks whether the machine can run them.
"""

from __future__ import annotations

import fnmatch
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple, TypeAlias

import msgspec
from msgspec import Meta, Struct

from sprucenotch import settings
from sprucenotch.config import toml
from sprucenotch.settings import Duration, Problem, SettingsError, Share, Time
from sprucenotch.testbed.faults import KINDS, SELF_ENDING, Fault, OnLinks, OnProcesses, Pattern

SECOND = 1_000_000_000
MAX_LENGTH = 3600 * SECOND
MAX_REQUESTS = 500_000  # per run, as its history is kept in memory

Count: TypeAlias = Annotated[int, Meta(ge=1, description="a whole number of at least 1")]


class Class(Struct, frozen=True, kw_only=True):
    """A request class: its share of the load, its service time and its guarantees."""

    name: Annotated[str, Meta(min_length=1, description="a name")]
    share: Annotated[float, Meta(gt=0, description="a share above 0")] = 1  # of the arrivals
    work: Time = 40_000_000
    spread: Share = 0.5  # coefficient of variation of `work`
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
    """The processes of a run and their settings."""

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
        "none"  # how a sidecar passes state to its successor: a folder, or a call from the successor
    )
    peers: bool = False  # sidecars may send each other datagrams
    revision: str = ""  # of the program; empty for the working tree
    engines_apart: bool = False  # each in its own process; implied by faults that act on engine processes
    discovery_apart: bool = False
    # debug: sidecars log each attempt, and it is matched with what engines received
    log: Annotated[Literal["info", "debug"], Meta(description="info or debug")] = "info"


class Tenant(Struct, frozen=True, kw_only=True):
    """An owner of requests, with its share of the load."""

    name: Annotated[str, Meta(min_length=1, description="a name")]
    share: Annotated[float, Meta(gt=0, description="a share above 0")]


class Load(Struct, frozen=True, kw_only=True):
    """An open-loop load: arrivals do not depend on answers."""

    share: Annotated[float, Meta(gt=0, le=10, description="a number above 0")] = (
        0.6  # of the fleet's capacity
    )
    skew: Share = 0  # sidecar n gets a share in proportion to (n + 1) ** -skew
    tenants: tuple[Tenant, ...] = ()
    repeat: Annotated[Literal["never", "at once", "after"], Meta(description="never, at once or after")] = (
        "never"  # after: after Retry-After, or `wait` without it
    )
    repeats: Annotated[int, Meta(ge=1, le=5, description="1 to 5")] = 2
    wait: Duration = 200_000_000
    # share of answers after which a client closes its connection and opens a new one
    churn: Annotated[float, Meta(ge=0, le=1, description="a share from 0 to 1")] = 0


class Step(NamedTuple):
    """A fault and its time in a run."""

    at: float  # seconds
    fault: Fault
    lasts: float = 0.0  # seconds; 0 for a fault that ends by itself


class Nemesis(Struct, frozen=True, kw_only=True):
    """Draws faults by seed from `start` on; all are healed by `end`."""

    start: Time
    end: Time
    every: Time  # mean time between two faults
    shortest: Time = SECOND // 2
    longest: Time = 3 * SECOND
    at_once: Annotated[int, Meta(ge=1, le=20, description="1 to 20")] = 2  # maximum that overlap
    fault: Annotated[
        tuple[dict[str, Any], ...], Meta(min_length=1, description="a list of at least one fault")
    ] = ()


class _PlanFile(Struct, frozen=True, kw_only=True):
    """A plan file without its faults, which are decoded by kind."""

    title: Annotated[str, Meta(min_length=1, description="a title")]
    length: Annotated[
        int, Meta(ge=1, le=MAX_LENGTH), Meta(description="a time up to 1h", extra={"unit": "ns"})
    ]
    settle: Duration = 2 * SECOND  # time without faults and new requests
    fleet: Fleet = Fleet()
    load: Load = Load()
    classes: Annotated[tuple[Class, ...], Meta(min_length=1, description="a list of at least one class")] = (
        CLASSES
    )


class Plan(NamedTuple):
    """A checked plan."""

    title: str
    length: float  # seconds
    settle: float  # seconds
    fleet: Fleet
    load: Load
    classes: tuple[Class, ...]
    steps: tuple[Step, ...] = ()
    nemesis: Nemesis | None = None
    nemesis_faults: tuple[Fault, ...] = ()  # that the nemesis draws from
    source: str = ""  # the file's text

    @property
    def faults(self) -> tuple[Fault, ...]:
        """All faults that can occur in a run."""
        return (*(step.fault for step in self.steps), *self.nemesis_faults)

    @property
    def rate(self) -> float:
        """Arrivals a second without a surge."""
        total = sum(c.share for c in self.classes)
        work = sum(c.share / total * c.work / SECOND for c in self.classes)
        return self.load.share * self.fleet.engines * self.fleet.slots / work


def load(path: Path) -> Plan:
    """Read a plan. Raises SettingsError with all its errors, OSError if it cannot be read."""
    return decode(path.read_bytes())


def decode(raw: bytes) -> Plan:
    """Parse and check a plan. Raises SettingsError with all its errors."""
    top = toml.parse(raw)
    found: list[Problem] = []
    steps_raw, nemesis_raw = top.pop("step", []), top.pop("nemesis", None)
    values = toml.translate(top, _PlanFile, "", found)
    steps = [_step(step, f"step[{n}]", found) for n, step in enumerate(_tables(steps_raw, "step", found))]
    nemesis, nemesis_faults = _nemesis(nemesis_raw, found) if nemesis_raw is not None else (None, ())
    if found:
        raise SettingsError(found)
    plan_file = settings.convert(values, _PlanFile, "")
    plan = Plan(
        plan_file.title, plan_file.length / SECOND, plan_file.settle / SECOND, plan_file.fleet,
        plan_file.load, plan_file.classes,
        tuple(sorted((s for s in steps if s is not None), key=lambda step: step.at)), nemesis, nemesis_faults,
        raw.decode(),
    )  # fmt: skip
    if problems := list(_inconsistencies(plan)):
        raise SettingsError(problems)
    return plan


def _tables(raw: Any, path: str, found: list[Problem]) -> list[dict[str, Any]]:
    if isinstance(raw, list) and all(isinstance(entry, dict) for entry in raw):
        return raw
    found.append(Problem(path, "is not a list of tables, such as [[step]]"))
    return []


class _Timing(Struct, frozen=True, kw_only=True):
    at: Duration
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
            wanted = (
                "is not allowed: this fault ends by itself"
                if ends_itself
                else "is missing: a duration is required"
            )
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
    values = toml.translate({n: v for n, v in raw.items() if n != "do"}, kind, path, found)
    if len(found) > before:
        return None
    try:
        return msgspec.convert({"do": raw["do"], **values}, kind)
    except msgspec.ValidationError as problem:
        found.append(Problem(path, str(problem)))
        return None


def _nemesis(raw: Any, found: list[Problem]) -> tuple[Nemesis | None, tuple[Fault, ...]]:
    if not isinstance(raw, dict):
        found.append(Problem("nemesis", "is not a table"))
        return None, ()
    faults = [
        _fault(one, _kind(one, f"nemesis.fault[{n}]", found), f"nemesis.fault[{n}]", found)
        for n, one in enumerate(_tables(raw.get("fault", []), "nemesis.fault", found))
    ]
    before = len(found)
    values = toml.translate({k: v for k, v in raw.items() if k != "fault"}, Nemesis, "nemesis", found)
    if not faults:
        found.append(Problem("nemesis.fault", "is missing, where at least one fault is needed"))
    if len(found) > before:
        return None, ()
    return settings.convert(values, Nemesis, "nemesis"), tuple(f for f in faults if f is not None)


def process_zones(fleet: Fleet) -> dict[str, str]:
    """The names of all processes that faults can target, each with its zone or an empty string."""
    zones = fleet.zones
    return {
        **{f"sidecar-{n}": zones[n % len(zones)] for n in range(fleet.sidecars)},
        **{f"engine-{n}": zones[n % len(zones)] for n in range(fleet.engines)},
        "discovery": "", "client": "",
    }  # fmt: skip


def matching_processes(pattern: Pattern, fleet: Fleet) -> tuple[str, ...]:
    """The names of the processes that match a pattern, in order."""
    name, _, zone = pattern.partition("@")
    return tuple(
        known
        for known, where in process_zones(fleet).items()
        if fnmatch.fnmatchcase(known, name) and zone in ("", where)
    )


def matching_links(fault: OnLinks, fleet: Fleet) -> tuple[tuple[str, str], ...]:
    """The existing links that match a fault, as pairs of source and target."""
    targets = matching_processes(fault.target, fleet)
    return tuple(
        (source, target)
        for source in matching_processes(fault.source, fleet)
        for target in targets
        if _link_exists(source, target)
    )


def _link_exists(source: str, target: str) -> bool:
    kinds = (source.partition("-")[0], target.partition("-")[0])
    if kinds == ("sidecar", "sidecar"):
        return source != target
    return kinds in (("client", "sidecar"), ("sidecar", "engine"), ("sidecar", "discovery"))


def _inconsistencies(plan: Plan) -> list[Problem]:
    """Errors that concern several parts of a plan."""
    found = []
    if plan.rate * plan.length > MAX_REQUESTS:
        found.append(
            Problem(
                "load",
                f"makes {plan.rate * plan.length:.0f} requests, more than the maximum of {MAX_REQUESTS}",
            )
        )
    if len({c.name for c in plan.classes}) < len(plan.classes):
        found.append(Problem("classes", "has a duplicate name"))
    for n, step in enumerate(plan.steps):
        if step.at + step.lasts > plan.length:
            found.append(Problem(f"step[{n}]", f"ends after the plan's length of {plan.length:g} s"))
    if (nemesis := plan.nemesis) is not None:
        if not nemesis.start < nemesis.end <= plan.length * SECOND:
            found.append(Problem("nemesis.end", "is not between its start and the plan's length"))
        if nemesis.shortest > nemesis.longest:
            found.append(Problem("nemesis.shortest", "is longer than nemesis.longest"))
    for fault in plan.faults:
        found += _target_errors(fault, plan.fleet)
    return found


def _target_errors(fault: Fault, fleet: Fleet) -> list[Problem]:
    do = str(fault.__struct_config__.tag)
    if isinstance(fault, OnLinks):
        pairs = matching_links(fault, fleet)
        between = f"{fault.source} to {fault.target}"
        if not pairs:
            return [Problem(do, f"matches no link from {between}")]
        if not fleet.peers and any(t.startswith("sidecar") and s != "client" for s, t in pairs):
            return [Problem(do, f"matches a link from {between}, but fleet.peers is false")]
    elif isinstance(fault, OnProcesses):
        allowed = ALLOWED_TARGETS.get(do, ("sidecar", "engine", "discovery"))
        hit = matching_processes(fault.on, fleet)
        if not hit:
            return [Problem(do, f"matches no process: {fault.on!r}")]
        if wrong := [name for name in hit if name.partition("-")[0] not in allowed]:
            return [Problem(do, f"cannot target {wrong[0]}, only {' or '.join(allowed)}")]
    return []


ALLOWED_TARGETS = {
    "restart": ("sidecar", "engine", "discovery"), "wrong clock": ("sidecar",), "retune": ("sidecar",),
    "engines": ("engine",), "replace": ("engine",), "system calls": ("sidecar",),
    "clock step": ("sidecar",), "reload": ("sidecar",), "clients": ("sidecar",),
}  # fmt: skip

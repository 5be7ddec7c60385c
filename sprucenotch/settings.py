"""The settings of a deployment as frozen typed values, decoded in one place for the node and the simulator.

The types mirror the platform's JSON under its own names (`AimNs` is the field `aim_ns`; times are
nanoseconds). Unknown keys are ignored, as the platform may add some; missing keys get the defaults given
here. The JSON Schema and the TOML form are generated from these types (`sprucenotch.config`). Source: the
section "Settings" of the wire protocol's page.
"""

from __future__ import annotations

from collections.abc import Iterator
from types import UnionType
from typing import Annotated, Any, Literal, NamedTuple, TypeAlias, TypeVar, get_args, get_origin

import msgspec
from msgspec import Meta, Struct

from sprucenotch import api

MAX_FLOAT = 1.7976931348623157e308  # the largest finite float: TOML has infinity, JSON does not
# A number may be an integer or a float, and keeps its type; so a Count need not be an integer. The durations
# below are in nanoseconds; `Time` is at least 1 ns.
Share: TypeAlias = Annotated[
    Annotated[int, Meta(ge=0)] | Annotated[float, Meta(ge=0, le=MAX_FLOAT)],
    Meta(description="a number of at least 0"),
]
Count: TypeAlias = Annotated[
    Annotated[int, Meta(ge=1)] | Annotated[float, Meta(ge=1, le=MAX_FLOAT)],
    Meta(description="a number of at least 1"),
]
Duration: TypeAlias = Annotated[Share, Meta(extra={"unit": "ns"})]  # a duration, 0 allowed
Time: TypeAlias = Annotated[Count, Meta(extra={"unit": "ns"})]
# Converted by Python's truth rules, as earlier versions did: any value but 0 and empty ones is true.
Flag: TypeAlias = Annotated[Any, Meta(description="true or false", extra_json_schema={"type": "boolean"})]
Text: TypeAlias = Annotated[Any, Meta(description="a text", extra_json_schema={"type": "string"})]
Texts: TypeAlias = Annotated[tuple[Text, ...] | None, Meta(description="a list of texts")]
UncheckedDuration: TypeAlias = Annotated[
    Any, Meta(description="a number of at least 0", extra={"unit": "ns"},
              extra_json_schema={"type": "number", "minimum": 0})
]  # fmt: skip

T = TypeVar("T", bound=Struct)


class Part(Struct, frozen=True, rename="pascal"):
    """A group of settings, with keys as on the wire (AimNs for aim_ns)."""


class Category(Part, frozen=True):
    """A class of requests."""

    aim_ns: Time
    hard_limit_ns: Time
    effect: Annotated[
        Literal["retryable", "dedup", "fragile"], Meta(description="retryable, dedup or fragile")
    ]
    name: Text = ""
    importance: Share = 0
    late_worth: Share = 0
    key_scope: Annotated[Literal["all", "zone", "cell"], Meta(description="all, zone or cell")] = "all"
    window_ns: Duration = 0
    aim_stretch: Share = 0


class Org(Part, frozen=True):
    """A tenant."""

    name: Text = ""
    quota_per_s: Share = 0


class Limits(Part, frozen=True):
    """What a sidecar of this deployment may do, and its limits."""

    max_attempts: Count = 1
    cancel: Flag = False
    parallel_tries: Flag = False
    peers: Flag = False
    probes: Flag = False
    retry_after: Flag = False
    # Checked only where they are used: advice to clients, real connections.
    max_retry_after_ns: UncheckedDuration = 0
    connect_timeout_ns: UncheckedDuration = 250_000_000
    conn_idle_ns: UncheckedDuration = 15_000_000_000


class Deductions(Part, frozen=True):
    """Prices that are deducted from the worth of the service."""

    cross_zone: Share = 0
    handshake: Share = 0
    connection: Share = 0
    probe: Share = 0
    waste: Share = 0


class Rules(Part, frozen=True):
    """Rules of the platform on drains, cold starts and calls to discovery."""

    ask_within_ns: Duration = 10_000_000_000
    drain_grace_ns: Time = 500_000_000
    cold_from: Share = 1
    cold_ns: Duration = 0
    fall_multiple: Share = 2


class Stats(Part, frozen=True):
    """How engines report their load."""

    fields: Texts = ()
    via: Text = ""


class Extra(Part, frozen=True):
    """Further properties of the engines."""

    warm_keys: Flag = False


class Settings(Part, frozen=True):
    """The platform's settings object."""

    categories: Annotated[
        tuple[Category, ...], Meta(min_length=1, description="a list of at least one class")
    ]
    limits: Limits = Limits()
    rules: Rules = Rules()
    deductions: Deductions = Deductions()
    stats: Stats = Stats()
    extra: Extra = Extra()
    orgs: Annotated[tuple[Org, ...] | None, Meta(description="a list of tenants")] = ()
    position: Share = 0
    n_instances: Count = 1
    zone: Share = 0
    azs: Texts = ()
    kinds: Annotated[
        Any, Meta(description="a list of texts",
                  extra_json_schema={"type": "array", "items": {"type": "string"}})
    ] = ()  # fmt: skip
    over_share_worth: Share = 1
    discovery: Text = ""
    worth_by: Text = ""
    tick_ns: Time = 5_000_000

    def decisions(self) -> api.Settings:
        """Convert to the settings of the decision module."""
        limits, prices, rules = self.limits, self.deductions, self.rules
        reports = () if self.stats.via == "off" else tuple(map(str, self.stats.fields or ()))
        return api.Settings(
            classes=tuple(map(_request_class, self.categories)),
            instance=int(self.position),
            instances=int(self.n_instances),
            zone=int(self.zone),
            zones=max(1, len(self.azs or ())),
            tenants=tuple(api.Tenant(str(org.name), org.quota_per_s) for org in self.orgs or ()),
            over_share_worth=self.over_share_worth,
            discovery_on_request=self.discovery == "on_request",
            ask_within=int(rules.ask_within_ns),
            drain_grace=int(rules.drain_grace_ns),
            cold_from=rules.cold_from,
            cold_for=int(rules.cold_ns),
            fall_multiple=rules.fall_multiple,
            max_attempts=int(limits.max_attempts),
            can_cancel=bool(limits.cancel),
            parallel_tries=bool(limits.parallel_tries),
            peers=bool(limits.peers),
            probes=bool(limits.probes),
            retry_after_max=int(limits.max_retry_after_ns) if limits.retry_after else 0,
            report_fields=reports,
            cross_price=prices.cross_zone,
            handshake_price=prices.handshake,
            connection_price=prices.connection,
            probe_price=prices.probe,
            waste_price=prices.waste,
            worth_by_work=self.worth_by == "work",
            warm_keys=bool(self.extra.warm_keys),
            tick=int(self.tick_ns),
        )


PORT = "0*(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[0-9]{1,4})"
Address: TypeAlias = Annotated[
    Annotated[str, Meta(pattern=f"^.+:{PORT}$")], Meta(description="an address such as 127.0.0.1:8080")
]
LenientCount: TypeAlias = Annotated[  # an invalid value counts as none
    Any, Meta(description="a whole number of at least 1", extra_json_schema={"type": "integer", "minimum": 1})
]
AnyObject: TypeAlias = Annotated[Any, Meta(description="an object", extra_json_schema={"type": "object"})]


class Host(Struct, frozen=True):
    """Resources that a sidecar may use of its machine."""

    cores: Annotated[Any, Meta(description="a number", extra_json_schema={"type": "number"})] = None
    memory_mb: Annotated[LenientCount, Meta(extra={"unit": "MB"})] = None
    sockets: LenientCount = None


class Log(Struct, frozen=True):
    """Level and format of the log."""

    level: Annotated[
        Literal["debug", "info", "warning", "error"], Meta(description="debug, info, warning or error")
    ] = "info"
    form: Annotated[
        Literal["auto", "json", "text"], Meta(description="json, text or auto, which is text on a terminal")
    ] = "auto"
    access_per_s: Share = 0  # maximum number of requests logged per second; the others are counted


class WrongClock(Struct, frozen=True):
    """A wrong clock of the machine, for tests only."""

    offset_ns: Annotated[int, Meta(description="a whole number")] = 0
    drift_ppm: Annotated[
        Annotated[float, Meta(ge=-100_000, le=100_000)], Meta(description="a number from -100000 to 100000")
    ] = 0


class State(Struct, frozen=True):
    """State kept for the next process. Absent: nothing is stored, read or offered."""

    dir: Text = ""  # a folder for this sidecar only; empty: nothing on disk
    deployment: Text = ""  # files of other deployments are ignored
    mode: Annotated[Literal["none", "interval", "always"], Meta(description="none, interval or always")] = (
        "interval"
    )
    sync_ns: Time = 1_000_000_000  # time between syncs if the mode is interval
    oldest_ns: Time = 600_000_000_000  # maximum age of state; older state is ignored
    predecessor: Address | None = None  # management address of the previous process


class TestDisk(Struct, frozen=True):
    """A recording of all disk operations, for tests only."""

    record: Text = ""


class File(Struct, frozen=True):
    """A configuration file. Source: the deployment's page, "What a sidecar is told"."""

    listen: Address
    discovery: Address
    seed: Annotated[str | int | float | bool, Meta(description="hexadecimal digits")]
    settings: Settings
    name: Text = ""
    mgmt: Address | None = None
    limits: Host = Host()
    log: Log = Log()
    known: AnyObject | None = None
    peer_listen: Address | None = None
    peers: Annotated[tuple[Address, ...] | None, Meta(description="a list of addresses")] = ()
    peers_all: Address | None = None
    clock: WrongClock | None = None
    disk: TestDisk | None = None
    state: State | None = None


_EFFECTS = {"retryable": api.Effect.SAFE, "dedup": api.Effect.KEYED, "fragile": api.Effect.UNSAFE}
_SCOPES = {"all": api.Scope.ALL, "zone": api.Scope.ZONE, "cell": api.Scope.CELL}


def _request_class(category: Category) -> api.RequestClass:
    return api.RequestClass(
        name=str(category.name),
        aim=int(category.aim_ns),
        limit=int(category.hard_limit_ns),
        worth=category.importance,
        late_worth=category.late_worth,
        effect=_EFFECTS[category.effect],
        scope=_SCOPES[category.key_scope],
        window=int(category.window_ns),
        aim_stretch=category.aim_stretch,
    )


class Problem(NamedTuple):
    """An invalid value, by its path."""

    path: str
    message: str  # "is 0, where a number of at least 1 is allowed"

    def __str__(self) -> str:
        return f"{self.path} {self.message}"


class SettingsError(Exception):
    """Invalid settings. The text is one line with all problems."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("; ".join(map(str, problems)))
        self.problems = problems


def decode(raw: bytes) -> Settings:
    """Decode settings from the platform's JSON. Raises SettingsError with all problems."""
    try:
        return read(msgspec.json.decode(raw))
    except (msgspec.DecodeError, RecursionError) as problem:
        raise SettingsError([Problem("settings", f"are not JSON: {problem}")]) from None


def read(raw: Any) -> Settings:
    """Convert settings that are already decoded from JSON. Raises SettingsError with all problems."""
    settings = convert(raw, Settings, "settings")
    if settings.limits.retry_after:
        check_limit(settings.limits, "max_retry_after_ns", Duration)
    return settings


def check_limit(limits: Limits, field: str, type_: Any) -> int:
    """Check a limit that `Limits` leaves unchecked. Return it in nanoseconds, or raise SettingsError."""
    value = getattr(limits, field)
    [name] = (
        known_field.encode_name for known_field in msgspec.structs.fields(limits) if known_field.name == field
    )
    if (found := find_problem(value, type_, f"settings.Limits.{name}")) is not None:
        raise SettingsError([found])
    return int(value)


def convert(raw: Any, type_: type[T], path: str) -> T:
    """Convert a decoded object to a type. Raises SettingsError with all problems."""
    try:
        return msgspec.convert(raw, type_)
    except msgspec.ValidationError:
        raise SettingsError(list(problems(raw, type_, path))) from None


def problems(raw: Any, type_: Any, path: str) -> Iterator[Problem]:
    """Yield a Problem for each value in a decoded object that its type does not allow."""
    inner = struct_type(type_)
    if isinstance(raw, dict) and inner is not None:
        for field in msgspec.structs.fields(inner):
            child_path = f"{path}.{field.encode_name}" if path else field.encode_name
            if field.encode_name in raw:
                yield from problems(raw[field.encode_name], field.type, child_path)
            elif field.required:
                yield Problem(child_path, f"is missing, where {describe_allowed(field.type)} is needed")
    elif isinstance(raw, list) and raw and (entry := entry_struct_type(type_)) is not None:
        for number, value in enumerate(raw):
            yield from problems(value, entry, f"{path}[{number}]")
    elif (found := find_problem(raw, type_, path)) is not None:
        yield found


def find_problem(raw: Any, type_: Any, path: str) -> Problem | None:
    """Return the Problem of a single value, or None if its type allows it."""
    try:
        msgspec.convert(raw, type_)
    except msgspec.ValidationError:
        return Problem(path, f"is {_short_repr(raw)}, where {describe_allowed(type_)} is allowed")
    return None


def _short_repr(raw: Any) -> str:
    text = repr(raw)
    return text if len(text) <= 60 else f"{text[:57]}..."


def strip_annotations(type_: Any) -> Any:
    """Return the type without its annotations."""
    return strip_annotations(get_args(type_)[0]) if get_origin(type_) is Annotated else type_


def struct_type(type_: Any) -> type[Struct] | None:
    """Return the Struct type if the type is one, or an optional one; else None."""
    inner = strip_annotations(type_)
    choices = get_args(inner) if get_origin(inner) is UnionType else (inner,)
    return next((c for c in choices if isinstance(c, type) and issubclass(c, Struct)), None)


def entry_struct_type(type_: Any) -> type[Struct] | None:
    """Return the Struct type of the entries of a tuple of Structs (in JSON: a list of objects), also if the
    tuple is optional; None for every other type."""
    inner = strip_annotations(type_)
    for choice in (inner, *get_args(inner)):
        if get_origin(choice) is tuple:
            return struct_type(get_args(choice)[0])
    return None


def describe_allowed(type_: Any) -> str:
    """Describe the values that a type allows, for messages."""
    descriptions = [meta.description for meta in getattr(type_, "__metadata__", ()) if meta.description]
    if descriptions:
        return str(descriptions[-1])
    choices = [describe_allowed(choice) for choice in get_args(type_) if choice is not type(None)]
    return choices[0] if choices else "an object"

"""The settings of a deployment as frozen typed values: one reading for the node, the adapter and the model.

The types mirror the platform's JSON under its own names (`AimNs` is the field `aim_ns`; times are
nanoseconds). Unknown keys are passed over, as the platform adds some; what is left out has the default that
stands here. The JSON Schema and the TOML form follow from these types (`sprucenotch.config`). Source: the
wire's page, "Settings".
"""

from __future__ import annotations

from collections.abc import Iterator
from types import UnionType
from typing import Annotated, Any, Literal, NamedTuple, TypeAlias, TypeVar, get_args, get_origin

import msgspec
from msgspec import Meta, Struct

from sprucenotch import api

MOST = 1.7976931348623157e308  # the largest finite float: JSON knows no infinity, but TOML does
# A figure may come as a whole or as a decimal number, and stays what it is.
Share: TypeAlias = Annotated[
    Annotated[int, Meta(ge=0)] | Annotated[float, Meta(ge=0, le=MOST)],
    Meta(description="a number of at least 0"),
]
Count: TypeAlias = Annotated[
    Annotated[int, Meta(ge=1)] | Annotated[float, Meta(ge=1, le=MOST)],
    Meta(description="a number of at least 1"),
]
Span: TypeAlias = Annotated[Share, Meta(extra={"unit": "ns"})]  # a time that may be none
Time: TypeAlias = Annotated[Count, Meta(extra={"unit": "ns"})]
# Taken for what Python takes it for, as it always was: any value that is not empty or 0 says yes.
Flag: TypeAlias = Annotated[Any, Meta(description="true or false", extra_json_schema={"type": "boolean"})]
Text: TypeAlias = Annotated[Any, Meta(description="a text", extra_json_schema={"type": "string"})]
Texts: TypeAlias = Annotated[tuple[Text, ...] | None, Meta(description="a list of texts")]
Unjudged: TypeAlias = Annotated[
    Any, Meta(description="a number of at least 0", extra={"unit": "ns"},
              extra_json_schema={"type": "number", "minimum": 0})
]  # fmt: skip

T = TypeVar("T", bound=Struct)


class Part(Struct, frozen=True, rename="pascal"):
    """A group of settings, named as on the wire."""


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
    window_ns: Span = 0
    aim_stretch: Share = 0


class Org(Part, frozen=True):
    """A tenant."""

    name: Text = ""
    quota_per_s: Share = 0


class Limits(Part, frozen=True):
    """What the deployment allows."""

    max_attempts: Count = 1
    cancel: Flag = False
    parallel_tries: Flag = False
    peers: Flag = False
    probes: Flag = False
    retry_after: Flag = False
    # Judged only by whoever goes by them: clients told when to come back, real connections.
    max_retry_after_ns: Unjudged = 0
    connect_timeout_ns: Unjudged = 250_000_000
    conn_idle_ns: Unjudged = 15_000_000_000


class Deductions(Part, frozen=True):
    """What the service is charged for."""

    cross_zone: Share = 0
    handshake: Share = 0
    connection: Share = 0
    probe: Share = 0
    waste: Share = 0


class Rules(Part, frozen=True):
    ask_within_ns: Span = 10_000_000_000
    drain_grace_ns: Time = 500_000_000
    cold_from: Share = 1
    cold_ns: Span = 0
    fall_multiple: Share = 2


class Stats(Part, frozen=True):
    """How engines report their load."""

    fields: Texts = ()
    via: Text = ""


class Extra(Part, frozen=True):
    warm_keys: Flag = False


class Settings(Part, frozen=True):
    """The object that the platform calls the settings, whole."""

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
        """What the decision module is given of them."""
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
Amount: TypeAlias = Annotated[  # one that makes no sense is as good as none
    Any, Meta(description="a whole number of at least 1", extra_json_schema={"type": "integer", "minimum": 1})
]
Free: TypeAlias = Annotated[Any, Meta(description="an object", extra_json_schema={"type": "object"})]


class Host(Struct, frozen=True):
    """What the machine of a sidecar gives it."""

    cores: Annotated[Any, Meta(description="a number", extra_json_schema={"type": "number"})] = None
    memory_mb: Annotated[Amount, Meta(extra={"unit": "MB"})] = None
    sockets: Amount = None


class Log(Struct, frozen=True):
    """What the log tells, and how."""

    level: Annotated[
        Literal["debug", "info", "warning", "error"], Meta(description="debug, info, warning or error")
    ] = "info"
    form: Annotated[
        Literal["auto", "json", "text"], Meta(description="json, text or auto, which is text on a terminal")
    ] = "auto"
    access_per_s: Share = 0  # requests told of, a second at most; the others are counted


class WrongClock(Struct, frozen=True):
    """The clock of a machine that is wrong, for tests. Absent in service."""

    offset_ns: Annotated[int, Meta(description="a whole number")] = 0
    drift_ppm: Annotated[
        Annotated[float, Meta(ge=-100_000, le=100_000)], Meta(description="a number from -100000 to 100000")
    ] = 0


class State(Struct, frozen=True):
    """What a process keeps for the one after it. Absent: nothing is kept, read or offered."""

    dir: Text = ""  # a folder of this sidecar's own; empty: nothing on disk
    deployment: Text = ""  # files of another are not taken
    mode: Annotated[Literal["none", "interval", "always"], Meta(description="none, interval or always")] = (
        "interval"
    )
    sync_ns: Time = 1_000_000_000  # where the mode is interval
    oldest_ns: Time = 600_000_000_000  # what is older is not taken
    predecessor: Address | None = None  # management address of the process before, asked where it is there


class TestDisk(Struct, frozen=True):
    """A disk whose operations are recorded, for tests. Absent in service."""

    record: Text = ""


class File(Struct, frozen=True):
    """A configuration file, whole. Source: the deployment's page, "What a sidecar is told"."""

    listen: Address
    discovery: Address
    seed: Annotated[str | int | float | bool, Meta(description="hexadecimal digits")]
    settings: Settings
    name: Text = ""
    mgmt: Address | None = None
    limits: Host = Host()
    log: Log = Log()
    known: Free | None = None
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
    """Something that cannot be taken."""

    path: str
    said: str  # "is 0, where a number of at least 1 is allowed"

    def __str__(self) -> str:
        return f"{self.path} {self.said}"


class SettingsError(Exception):
    """Settings that cannot be taken. Its text is one line with all that is wrong in them."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("; ".join(map(str, problems)))
        self.problems = problems


def decode(raw: bytes) -> Settings:
    """The settings in the platform's JSON. Raises SettingsError with every problem in them."""
    try:
        return read(msgspec.json.decode(raw))
    except (msgspec.DecodeError, RecursionError) as problem:
        raise SettingsError([Problem("settings", f"are not JSON: {problem}")]) from None


def read(raw: Any) -> Settings:
    """The same, of what is decoded already."""
    settings = typed(raw, Settings, "settings")
    if settings.limits.retry_after:
        judge(settings.limits, "max_retry_after_ns", Span)
    return settings


def judge(limits: Limits, field: str, kind: Any) -> int:
    """A limit that was left unjudged, in nanoseconds. Raises SettingsError where it makes no sense."""
    value = getattr(limits, field)
    [name] = (known.encode_name for known in msgspec.structs.fields(limits) if known.name == field)
    if (found := fault(value, kind, f"settings.Limits.{name}")) is not None:
        raise SettingsError([found])
    return int(value)


def typed(raw: Any, kind: type[T], path: str) -> T:
    """A decoded object as a value of that type. Raises SettingsError with every problem in it."""
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError:
        raise SettingsError(list(problems(raw, kind, path))) from None


def problems(raw: Any, kind: Any, path: str) -> Iterator[Problem]:
    """Everything in a decoded object that its type does not allow, by path."""
    inner = part_type(kind)
    if isinstance(raw, dict) and inner is not None:
        for field in msgspec.structs.fields(inner):
            below = f"{path}.{field.encode_name}" if path else field.encode_name
            if field.encode_name in raw:
                yield from problems(raw[field.encode_name], field.type, below)
            elif field.required:
                yield Problem(below, f"is missing, where {allowed(field.type)} is needed")
    elif isinstance(raw, list) and raw and (entry := entry_type(kind)) is not None:
        for number, value in enumerate(raw):
            yield from problems(value, entry, f"{path}[{number}]")
    elif (found := fault(raw, kind, path)) is not None:
        yield found


def fault(raw: Any, kind: Any, path: str) -> Problem | None:
    """What is wrong with a single value, if anything."""
    try:
        msgspec.convert(raw, kind)
    except msgspec.ValidationError:
        return Problem(path, f"is {_shown(raw)}, where {allowed(kind)} is allowed")
    return None


def _shown(raw: Any) -> str:
    text = repr(raw)
    return text if len(text) <= 60 else f"{text[:57]}..."


def bare(kind: Any) -> Any:
    """A type without what is said about it."""
    return bare(get_args(kind)[0]) if get_origin(kind) is Annotated else kind


def part_type(kind: Any) -> type[Struct] | None:
    """The type of an object, if it is one, or one that may be left out."""
    inner = bare(kind)
    choices = get_args(inner) if get_origin(inner) is UnionType else (inner,)
    return next((c for c in choices if isinstance(c, type) and issubclass(c, Struct)), None)


def entry_type(kind: Any) -> type[Struct] | None:
    """The type of a list's entries, if they are objects."""
    inner = bare(kind)
    for choice in (inner, *get_args(inner)):
        if get_origin(choice) is tuple:
            return part_type(get_args(choice)[0])
    return None


def allowed(kind: Any) -> str:
    """What a type takes, in words."""
    said = [meta.description for meta in getattr(kind, "__metadata__", ()) if meta.description]
    if said:
        return str(said[-1])
    choices = [allowed(choice) for choice in get_args(kind) if choice is not type(None)]
    return choices[0] if choices else "an object"

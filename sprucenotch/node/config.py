"""What a sidecar is told at its start: PROXY_CONFIG, checked and turned into plain values."""

from __future__ import annotations

import importlib.util
import math
import resource
from collections.abc import Mapping
from hashlib import blake2b
from typing import Any, TypeAlias

import msgspec
from msgspec import Struct

from sprucenotch import api, settings
from sprucenotch.seams.system_errors import FILE_PASSING
from sprucenotch.settings import Log, State, TestDisk, WrongClock

Address: TypeAlias = tuple[str, int]

SECOND = 1_000_000_000
SOCKETS_UNTOLD = 1024  # descriptors where the file tells none: the most of a deployment's page on scored days
MEMORY_LEAST = 32  # megabytes: the least that a deployment gives
# What the program holds for itself: the standard streams (3), the loop (10) and its readiness of sockets
# (1), the listeners and the peers' socket (3); calls to discovery: the watch, discovery.MAX_OVERDUE left
# open, two that close (7); the state's lock and journal, and their replacement (5); and for a moment a file
# that is read, and one more client and caller than the most, until the close of another takes effect (3).
# That makes 32.
OWN_SOCKETS = 32
BODIES_LEAST = 1_000_000  # below this nothing long passes at all
# Keys of the settings that a deployment may leave out at any time.
MAY_BE_ABSENT = frozenset(("AimStretch", "PassesDeadline", "WarmKeys"))
_HEALTHS = {"up": api.Health.READY, "draining": api.Health.DRAINING, "removed": api.Health.GONE}


class ConfigError(Exception):
    """The configuration is missing or makes no sense."""


class ConfigUnreadable(ConfigError):
    """The file cannot be opened or read at the moment: it says nothing of what is in it."""


class Host(Struct, frozen=True):
    """An entry of a list of endpoints."""

    endpoint: api.Endpoint
    dial: Address
    name: str


class HostList(Struct, frozen=True):
    seq: int
    whole: bool
    hosts: tuple[Host, ...]


class Names(Struct, frozen=True):
    """Positions in the settings, by name."""

    zones: Mapping[str, int]
    kinds: Mapping[str, int]


class Config(Struct, frozen=True):
    name: str
    listen: Address
    discovery: Address
    mgmt: Address | None  # where operators call
    seed: int
    sockets: int
    memory: int  # bytes
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    settings: api.Settings
    names: Names
    reports: bool  # endpoints tell their load
    connect_timeout: int
    idle_limit: int  # endpoints close connections that stood idle this long
    known: HostList
    log: Log
    clock: WrongClock | None  # for tests: none in service
    disk: TestDisk | None  # the same
    state: State | None  # what is kept for the next process
    told: Mapping[str, Any]  # the file itself

    def check_complete(self, before: Config) -> None:
        """Raise ConfigError where this file lacks a key that the one in force has: it is cut short, or its
        writer slipped. What is left out would else be taken for its default."""
        missing = next((key for key in before.told if key not in self.told), None)
        missing = missing or lacking(before.told["settings"], self.told["settings"], "settings.")
        if missing is not None:
            raise ConfigError(f"{missing} is missing")

    # How the descriptors are shared out. A successor lives beside this process for a time, within the same
    # limit: the clients' third serves both of them, as clients hold no more, and each gets half of the rest.

    @property
    def clients_most(self) -> int:
        return max(1, self.sockets // 3)

    def bodies_most(self, own: int) -> int:
        """The memory for bodies, beside what the program itself holds, in half of the limit. A quarter is
        left for what comes with them, such as the ledger and heads."""
        return max(BODIES_LEAST, (self.memory // 2 - own) * 3 // 4)

    @property
    def callers_most(self) -> int:
        return max(4, self.sockets // 32)

    @property
    def upstream_most(self) -> int:
        half = (self.sockets - self.clients_most) // 2
        return max(1, half - self.callers_most - OWN_SOCKETS)


def load(environ: Mapping[str, str]) -> Config:
    """Read the configuration that the environment names. Raises ConfigError with one plain line,
    ConfigUnreadable where the next try may succeed."""
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        top = read(path)
    except ConfigError as problem:
        raise type(problem)(f"PROXY_CONFIG {path}: {problem}") from None
    stand_in(top, environ)
    return parse(top)


def read(path: str) -> dict[str, Any]:
    """A file in the platform's form; one named .toml is turned into it. Raises ConfigError, ConfigUnreadable
    where the next try may succeed."""
    try:
        with open(path, "rb") as file:
            raw = file.read()
    except OSError as problem:
        kind = ConfigUnreadable if problem.errno in FILE_PASSING else ConfigError
        raise kind(f"cannot be read: {problem.strerror}") from None
    if path.endswith(".toml"):
        from sprucenotch.config import toml  # what is told in JSON does without it

        try:
            return toml.decode(raw)
        except settings.SettingsError as problem:
            raise ConfigError(f"{problem}") from None
    try:
        top = msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError) as problem:
        raise ConfigError(f"not JSON: {problem}") from None
    if not isinstance(top, dict):
        raise ConfigError("not an object")
    return top


def stand_in(top: dict[str, Any], environ: Mapping[str, str]) -> None:
    """The single variables stand in for what the file leaves out."""
    for key in ("name", "listen", "discovery", "mgmt"):
        if (told := environ.get(f"PROXY_{key.upper()}")) is not None:
            top.setdefault(key, told)


def parse(top: dict[str, Any]) -> Config:
    """A file in the platform's form, decoded. Raises ConfigError that names all that is wrong in it."""
    # Limits that make no sense are as good as none: the least holds. Peers may be none in any way.
    limits = top.get("limits")
    read = top | {"limits": limits if isinstance(limits, dict) else {}}
    read |= {key: top.get(key) or None for key in ("peer_listen", "peers", "peers_all")}
    try:
        told = settings.typed(read, settings.File, "")
        decisions = settings.read(top["settings"]).decisions()
        connect_timeout = settings.judge(told.settings.limits, "connect_timeout_ns", settings.Time)
        idle_limit = settings.judge(told.settings.limits, "conn_idle_ns", settings.Time)
        names = Names(_positions(told.settings.azs), _positions(told.settings.kinds))
        known = host_list(told.known or {"seq": 0, "whole": True, "hosts": []}, names)
    except settings.SettingsError as problem:
        raise ConfigError(str(problem)) from None
    except ValueError as problem:
        raise ConfigError(f"known: {problem}") from None
    if told.state is not None and importlib.util.find_spec("xxhash") is None:
        raise ConfigError("state needs the package xxhash, which requirements-cli.txt names")
    class_names = [c.name for c in decisions.classes]
    if "" in class_names or len(set(class_names)) < len(class_names):
        raise ConfigError(f"settings: the class names are {class_names}, each has to be there once")
    return Config(
        name=str(told.name or ""),
        listen=address(told.listen),
        discovery=address(told.discovery),
        mgmt=address(told.mgmt) if told.mgmt is not None else None,
        seed=_seed(told.seed),
        sockets=_sockets(told.limits.sockets),
        memory=(_amount(told.limits.memory_mb) or MEMORY_LEAST) * 1_000_000,
        peer_listen=address(told.peer_listen) if told.peer_listen else None,
        peers=tuple(map(address, told.peers or ())),
        peers_all=address(told.peers_all) if told.peers_all else None,
        settings=decisions,
        names=names,
        reports=bool(decisions.report_fields),
        connect_timeout=connect_timeout,
        idle_limit=idle_limit,
        known=known,
        log=told.log,
        clock=told.clock,
        disk=told.disk,
        state=told.state,
        told=top,
    )


def lacking(before: Any, now: Any, path: str) -> str | None:
    """The first key that was there and is not; in a list of objects, each has those of the first before."""
    if isinstance(before, dict) and isinstance(now, dict):
        for key, value in before.items():
            if key in MAY_BE_ABSENT:
                continue
            if key not in now:
                return f"{path}{key}"
            if (missing := lacking(value, now[key], f"{path}{key}.")) is not None:
                return missing
    if isinstance(before, list) and before and isinstance(now, list):
        missed = (lacking(before[0], entry, f"{path[:-1]}[{i}].") for i, entry in enumerate(now))
        return next((missing for missing in missed if missing is not None), None)
    return None


def host_list(raw: Any, names: Names) -> HostList:
    """A list in discovery's form. Raises ValueError where it is malformed."""
    if not isinstance(raw, dict) or not isinstance(raw.get("hosts"), list):
        raise ValueError("not a list of hosts")
    seq = raw.get("seq")
    if isinstance(seq, bool) or not isinstance(seq, int):
        raise ValueError(f"seq is {seq!r}")
    return HostList(seq, raw.get("whole") is True, tuple(_host(entry, names) for entry in raw["hosts"]))


def _host(entry: Any, names: Names) -> Host:
    if not isinstance(entry, dict):
        raise ValueError("an entry is not an object")
    host, health = entry.get("host"), entry.get("health", "up")
    if not isinstance(host, str) or not isinstance(health, str) or health not in _HEALTHS:
        raise ValueError(f"an entry makes no sense: host {host!r}, health {health!r}")
    try:
        endpoint = api.Endpoint(
            id=endpoint_id(host),
            zone=names.zones.get(entry.get("site", ""), 0),
            kind=names.kinds.get(entry.get("class", ""), 0),
            cell=int(entry.get("block", 0)),
            health=_HEALTHS[health],
            share=_finite(entry.get("share", 1.0)),
            started=int(entry.get("born_ms", 0)) * 1_000_000,
        )
        return Host(endpoint, address(msgspec.convert(entry.get("dial"), settings.Address)), host)
    except (TypeError, ValueError, OverflowError) as problem:
        raise ValueError(f"host {host!r}: {problem}") from None


def _finite(value: Any) -> float:
    if not math.isfinite(number := float(value)):  # JSON as Python reads it knows NaN and Infinity
        raise ValueError(f"{value} is no share")
    return number


def endpoint_id(host: str) -> api.EndpointId:
    # The decisions hash an id's first 64 bits: a name of more bytes would lose its last, telling ones.
    return blake2b(host.encode(), digest_size=8).digest()


def _positions(names: Any) -> dict[str, int]:
    return {str(name): i for i, name in enumerate(names)} if isinstance(names, list | tuple) else {}


def address(text: str) -> Address:
    """An address that was found to be one."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def _seed(text: str | int | float) -> int:
    try:
        return int(text, 16) if isinstance(text, str) else int(text)
    except ValueError:
        raise ConfigError(f"seed is {text!r}, where hexadecimal digits are allowed") from None


def _amount(told: Any) -> int | None:
    return told if isinstance(told, int) and told > 0 else None


def _sockets(told: Any) -> int:
    """What the deployment allows, within what the kernel grants: no more, so that a list of clients or
    servers is bounded by these two alone."""
    most = _amount(told) or SOCKETS_UNTOLD
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY:
        most = min(most, soft)
    return most

"""The configuration of a sidecar: the file named by PROXY_CONFIG, validated and converted to plain values."""

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
from sprucenotch.platform.system_errors import TRANSIENT_FILE_ERRORS
from sprucenotch.settings import Log, State, TestDisk, WrongClock

Address: TypeAlias = tuple[str, int]

SECOND = 1_000_000_000
DEFAULT_MAX_SOCKETS = 1024  # descriptors if the file sets no limit: the maximum given by the deployment
MIN_SOCKETS = 256  # descriptors; every deployment provides at least this
CLIENT_MEMORY = 8 * 1024  # bytes of a client connection, with a usual head
MIN_MEMORY_MB = 32  # megabytes; every deployment provides at least this
# Descriptors for the program's own use: standard streams (3), event loop (10) and its poller (1), listeners
# and the peers' socket (3); calls to discovery: the watch, discovery.MAX_OVERDUE left open, two closing (7);
# lock and journal of the state, and their replacement (5); temporarily a file being read, and one client and
# one management connection above their limit until the close of another takes effect (3). In all 32.
OWN_DESCRIPTORS = 32
MIN_BODY_BYTES = 1_000_000  # below this no long body could be passed on
# Keys of the settings that may be absent from a file even if the previous one had them.
OPTIONAL_KEYS = frozenset(("AimStretch", "PassesDeadline", "WarmKeys"))
_HEALTHS = {"up": api.Health.READY, "draining": api.Health.DRAINING, "removed": api.Health.GONE}


class ConfigError(Exception):
    """The configuration is missing or invalid."""


class ConfigUnreadable(ConfigError):
    """The file temporarily cannot be opened or read; nothing is known about its contents."""


class Host(Struct, frozen=True):
    """An entry of a host list."""

    endpoint: api.Endpoint
    dial: Address
    name: str


class HostList(Struct, frozen=True):
    """A list of endpoints from discovery, or (`whole` false) the changes to one. `seq` is its version."""

    seq: int
    whole: bool
    hosts: tuple[Host, ...]


class Names(Struct, frozen=True):
    """Zones and kinds by name, as their positions in the settings."""

    zones: Mapping[str, int]
    kinds: Mapping[str, int]


class Config(Struct, frozen=True):
    """A validated configuration. Durations are in nanoseconds."""

    name: str
    listen: Address
    discovery: Address
    mgmt: Address | None  # the management listener
    seed: int
    sockets: int
    memory: int  # bytes
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    settings: api.Settings
    names: Names
    reports: bool  # whether endpoints report their load
    connect_timeout: int
    idle_limit: int  # after which endpoints close idle connections
    known: HostList
    log: Log
    clock: WrongClock | None  # for tests; None in production
    disk: TestDisk | None  # for tests; None in production
    state: State | None  # the state kept for the next process
    decoded: Mapping[str, Any]  # the decoded file

    def check_complete(self, before: Config) -> None:
        """Raise ConfigError if this file lacks a key that the configuration in force has.

        Such a file is truncated or wrong; otherwise the missing key would silently get its default.
        """
        missing = next((key for key in before.decoded if key not in self.decoded), None)
        missing = missing or missing_key(before.decoded["settings"], self.decoded["settings"], "settings.")
        if missing is not None:
            raise ConfigError(f"{missing} is missing")

    # Descriptor budget. During a hand-over a successor runs beside this process within the same limit.
    # Clients hold no more connections than before, so their third serves both processes; each gets half of
    # the rest.

    @property
    def max_clients(self) -> int:
        return max(1, self.sockets // 3)

    def max_clients_within_memory(self, own: int) -> int:
        """Client connections for which a quarter of the memory beside the program itself (`own`, resident
        bytes) has room; at least the third of the fewest descriptors that a deployment provides."""
        share = (self.memory - own) // 4 // CLIENT_MEMORY
        return min(self.max_clients, max(MIN_SOCKETS // 3, share))

    def max_body_bytes(self, own: int) -> int:
        """Bytes of memory for bodies: what the program itself (`own`) leaves of half the limit, less a
        quarter reserved for data kept with them, such as the ledger and request heads."""
        return max(MIN_BODY_BYTES, (self.memory // 2 - own) * 3 // 4)

    @property
    def max_management_connections(self) -> int:
        return max(4, self.sockets // 32)

    @property
    def max_upstream_connections(self) -> int:
        half = (self.sockets - self.max_clients) // 2
        return max(1, half - self.max_management_connections - OWN_DESCRIPTORS)


def load(environ: Mapping[str, str]) -> Config:
    """Load the configuration named by the environment.

    Raises ConfigError with a one-line message, ConfigUnreadable if a retry may succeed.
    """
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        top = read(path)
    except ConfigError as problem:
        raise type(problem)(f"PROXY_CONFIG {path}: {problem}") from None
    apply_environment(top, environ)
    return parse(top)


def read(path: str) -> dict[str, Any]:
    """Read a file in the platform's JSON form, or convert a .toml file to it.

    Raises ConfigError, ConfigUnreadable if a retry may succeed.
    """
    try:
        with open(path, "rb") as file:
            raw = file.read()
    except OSError as problem:
        kind = ConfigUnreadable if problem.errno in TRANSIENT_FILE_ERRORS else ConfigError
        raise kind(f"cannot be read: {problem.strerror}") from None
    if path.endswith(".toml"):
        from sprucenotch.config import toml  # not needed for JSON

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


def apply_environment(top: dict[str, Any], environ: Mapping[str, str]) -> None:
    """Set name, listen, discovery and mgmt from their PROXY_<KEY> variables, if the file leaves them out.

    No other key is read from the environment.
    """
    for key in ("name", "listen", "discovery", "mgmt"):
        if (value := environ.get(f"PROXY_{key.upper()}")) is not None:
            top.setdefault(key, value)


def parse(top: dict[str, Any]) -> Config:
    """Convert a decoded file in the platform's form. Raises ConfigError that lists every problem found."""
    # Invalid limits are treated as absent, so the minimum applies. Any empty value means no peers.
    limits = top.get("limits")
    read = top | {"limits": limits if isinstance(limits, dict) else {}}
    read |= {key: top.get(key) or None for key in ("peer_listen", "peers", "peers_all")}
    try:
        file = settings.convert(read, settings.File, "")
        decisions = settings.read(top["settings"]).decisions()
        connect_timeout = settings.check_limit(file.settings.limits, "connect_timeout_ns", settings.Time)
        idle_limit = settings.check_limit(file.settings.limits, "conn_idle_ns", settings.Time)
        names = Names(_positions(file.settings.azs), _positions(file.settings.kinds))
        known = host_list(file.known or {"seq": 0, "whole": True, "hosts": []}, names)
    except settings.SettingsError as problem:
        raise ConfigError(str(problem)) from None
    except ValueError as problem:
        raise ConfigError(f"known: {problem}") from None
    if file.state is not None and importlib.util.find_spec("xxhash") is None:
        raise ConfigError("state needs the package xxhash, which requirements-cli.txt names")
    class_names = [c.name for c in decisions.classes]
    if "" in class_names or len(set(class_names)) < len(class_names):
        raise ConfigError(f"settings: class names must be unique and not empty, got {class_names}")
    return Config(
        name=str(file.name or ""),
        listen=address(file.listen),
        discovery=address(file.discovery),
        mgmt=address(file.mgmt) if file.mgmt is not None else None,
        seed=_parse_seed(file.seed),
        sockets=_max_sockets(file.limits.sockets),
        memory=(_positive_int(file.limits.memory_mb) or MIN_MEMORY_MB) * 1_000_000,
        peer_listen=address(file.peer_listen) if file.peer_listen else None,
        peers=tuple(map(address, file.peers or ())),
        peers_all=address(file.peers_all) if file.peers_all else None,
        settings=decisions,
        names=names,
        reports=bool(decisions.report_fields),
        connect_timeout=connect_timeout,
        idle_limit=idle_limit,
        known=known,
        log=file.log,
        clock=file.clock,
        disk=file.disk,
        state=file.state,
        decoded=top,
    )


def missing_key(before: Any, now: Any, path: str) -> str | None:
    """Return the path of the first key of `before` that `now` lacks, or None.

    Each object in a list must have the keys of the first object of the list before.
    """
    if isinstance(before, dict) and isinstance(now, dict):
        for key, value in before.items():
            if key in OPTIONAL_KEYS:
                continue
            if key not in now:
                return f"{path}{key}"
            if (missing := missing_key(value, now[key], f"{path}{key}.")) is not None:
                return missing
    if isinstance(before, list) and before and isinstance(now, list):
        missed = (missing_key(before[0], entry, f"{path[:-1]}[{i}].") for i, entry in enumerate(now))
        return next((missing for missing in missed if missing is not None), None)
    return None


def host_list(raw: Any, names: Names) -> HostList:
    """Convert a decoded host list from discovery. Raises ValueError if it is malformed."""
    if not isinstance(raw, dict) or not isinstance(raw.get("hosts"), list):
        raise ValueError("not a list of hosts")
    seq = raw.get("seq")
    if isinstance(seq, bool) or not isinstance(seq, int):
        raise ValueError(f"seq is {seq!r}")
    return HostList(seq, raw.get("whole") is True, tuple(_parse_host(entry, names) for entry in raw["hosts"]))


def _parse_host(entry: Any, names: Names) -> Host:
    if not isinstance(entry, dict):
        raise ValueError("an entry is not an object")
    host, health = entry.get("host"), entry.get("health", "up")
    if not isinstance(host, str) or not isinstance(health, str) or health not in _HEALTHS:
        raise ValueError(f"invalid entry: host {host!r}, health {health!r}")
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
    if not math.isfinite(number := float(value)):  # Python's JSON decoders accept NaN and Infinity
        raise ValueError(f"share must be finite, got {value}")
    return number


def endpoint_id(host: str) -> api.EndpointId:
    # The balancer hashes the first 64 bits of an id, so a longer name would lose its distinguishing last
    # bytes.
    return blake2b(host.encode(), digest_size=8).digest()


def _positions(names: Any) -> dict[str, int]:
    return {str(name): i for i, name in enumerate(names)} if isinstance(names, list | tuple) else {}


def address(text: str) -> Address:
    """Split an already validated address into host and port."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def _parse_seed(text: str | int | float) -> int:
    try:
        return int(text, 16) if isinstance(text, str) else int(text)
    except ValueError:
        raise ConfigError(f"seed must be hexadecimal digits, got {text!r}") from None


def _positive_int(value: Any) -> int | None:
    return value if isinstance(value, int) and value > 0 else None


def _max_sockets(configured: Any) -> int:
    """The configured descriptor limit, capped by that of the kernel; bounds client and server connections."""
    limit = _positive_int(configured) or DEFAULT_MAX_SOCKETS
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY:
        limit = min(limit, soft)
    return limit

"""A simulated discovery service: the list of engines, as a full list or as a long-polled watch on changes."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import TypedDict
from urllib.parse import parse_qs

import msgspec

from sprucenotch.testbed.checker.history import Listed, Told
from sprucenotch.testbed.http import Request, Respond, Server, response

MAX_HOLD = 60.0  # seconds that a watch may wait
MAX_CHANGES = 1000  # kept; a watch from an older version gets the full list


class Entry(TypedDict):
    """An engine, in the format of the discovery service."""

    host: str
    dial: str
    site: str
    block: int
    health: str  # up, draining or removed
    share: float
    born_ms: int


class Discovery:
    """One service with a listener for each sidecar, since the addresses of engines may differ by sidecar."""

    def __init__(
        self, on_event: Callable[[Listed | Told], None] = lambda event: None, origin: float = 0.0
    ) -> None:
        self._base: dict[str, Entry] = {}  # the list at the version `_base_version`
        self._changes: list[Entry] = []  # change number n made version n + 1
        self._changed_at: list[float] = []  # when change n was made
        self._base_version = 0  # the version before the oldest kept change
        self._replica: int | None = None  # the version of the stale replica that answers, if any
        self._changed = asyncio.Event()
        self._watches: set[asyncio.Task[None]] = set()
        self._on_event, self._origin = on_event, origin
        self._delay = 0.0  # seconds by which answers are delayed
        self._dials: dict[str, dict[str, str]] = {}  # by sidecar: engines that it reaches elsewhere
        self.server = Server(lambda request, respond: self._handle("", request, respond))
        self._listeners: dict[str, Server] = {"": self.server}
        self.up = False

    @property
    def version(self) -> int:
        return self._base_version + len(self._changes)

    @property
    def shown(self) -> int:
        """The version that calls are answered with."""
        return self.version if self._replica is None else max(self._replica, self._base_version)

    def _now(self) -> float:
        return time.monotonic() - self._origin

    async def start(self) -> None:
        if self.up:
            return
        for listener in self._listeners.values():
            await listener.start()
        self.up = True

    async def stop(self) -> None:
        """Stop serving: watches end and calls are refused; the list is kept."""
        self.up = False
        for task in self._watches:
            task.cancel()
        for listener in self._listeners.values():
            listener.stop()

    async def add_listener(self, sidecar: str) -> str:
        """Open a listener for that sidecar and return its address."""
        listener = Server(lambda request, respond: self._handle(sidecar, request, respond))
        await listener.start()
        self._listeners[sidecar] = listener
        return listener.dial

    async def dials(self, sidecar: str, dials: dict[str, str]) -> None:
        """Set the addresses at which that sidecar reaches engines through relays."""
        self._dials.setdefault(sidecar, {}).update(dials)

    async def late(self, seconds: float) -> None:
        """Delay answers by so many seconds from now on, as an overloaded service does."""
        self._delay = seconds

    async def behind(self, seconds: float) -> None:
        """Fail over to a replica whose list is so many seconds old; with 0 the replica has caught up.

        The failover closes all connections, and with them the watches.
        """
        if not seconds:
            self._replica = None
            self._wake_watches()
            return
        cutoff = self._now() - seconds
        self._replica = self._base_version + sum(at <= cutoff for at in self._changed_at)
        await self.stop()
        await self.start()

    async def publish(self, entry: Entry) -> None:
        """Add or update an entry; with health `removed`, delete it."""
        self._changes.append(entry)
        self._changed_at.append(self._now())
        if len(self._changes) > MAX_CHANGES:
            self._base_version += 1
            _apply(self._base, self._changes.pop(0))
            del self._changed_at[0]
        self._on_event(
            Listed(at=self._now(), engine=entry["host"], health=entry["health"], version=self.version)
        )
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def whole(self, sidecar: str = "") -> dict[str, object]:
        return self._list(sidecar, True, self._hosts())

    def _hosts(self) -> list[Entry]:
        """The entries at the version that is shown."""
        hosts = dict(self._base)
        for entry in self._changes[: self.shown - self._base_version]:
            _apply(hosts, entry)
        return list(hosts.values())

    def _list(self, sidecar: str, whole: bool, hosts: list[Entry]) -> dict[str, object]:
        dials = self._dials.get(sidecar, {})
        shown = [Entry(**entry | {"dial": dials.get(entry["host"], entry["dial"])}) for entry in hosts]
        return {"seq": self.shown, "whole": whole, "hosts": shown}

    def _since(self, sidecar: str, version: int) -> dict[str, object]:
        if not self._base_version <= version <= self.shown:
            return self._list(sidecar, True, self._hosts())
        return self._list(
            sidecar, False, self._changes[version - self._base_version : self.shown - self._base_version]
        )

    def _handle(self, sidecar: str, request: Request, respond: Respond) -> None:
        parameters = {
            key: values[-1] for key, values in parse_qs(request.query.decode("ascii", "replace")).items()
        }
        if request.path != b"/discovery/hosts" or not all(value.isdecimal() for value in parameters.values()):
            respond(response(404 if request.path != b"/discovery/hosts" else 400))
            return
        hold = min(int(parameters.get("hold_ms", 0)) / 1000, MAX_HOLD) if "from" in parameters else 0.0
        version = int(parameters["from"]) if "from" in parameters else -1
        task = asyncio.get_running_loop().create_task(self._watch(sidecar, version, hold, respond))
        self._watches.add(task)
        task.add_done_callback(self._watches.discard)

    async def _watch(self, sidecar: str, version: int, hold: float, respond: Respond) -> None:
        if version == self.shown:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), hold)
        if self._delay:
            await asyncio.sleep(self._delay)
        update = self._since(sidecar, version)
        if respond(response(200, msgspec.json.encode(update))) is not False:
            self._on_event(Told(at=self._now(), sidecar=sidecar, version=self.shown))


def _apply(hosts: dict[str, Entry], change: Entry) -> None:
    if change["health"] == "removed":
        hosts.pop(change["host"], None)
    else:
        hosts[change["host"]] = change

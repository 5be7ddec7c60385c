"""The list of engines, whole or as a watch on changes, as the platform's discovery gives it."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import TypedDict
from urllib.parse import parse_qs

import msgspec

from sprucenotch.rig.http import Answer, Call, Server, response
from sprucenotch.rig.truth.history import Listed, Told

HOLD_MOST = 60.0  # seconds that a watch may wait
CHANGES_KEPT = 1000  # a watch from further back gets the whole list


class Entry(TypedDict):
    """An engine in discovery's form."""

    host: str
    dial: str
    site: str
    block: int
    health: str  # up, draining or removed
    share: float
    born_ms: int


class Discovery:
    """One service, with a listener for each sidecar that has dials of its own for the engines."""

    def __init__(
        self, witness: Callable[[Listed | Told], None] = lambda event: None, origin: float = 0.0
    ) -> None:
        self._oldest: dict[str, Entry] = {}  # the list at the version `_first`
        self._changes: list[Entry] = []  # change number n made version n + 1
        self._changed_at: list[float] = []  # and when
        self._first = 0  # the version before the first change kept
        self._replica: int | None = None  # the version of a replica that answers in its place
        self._changed = asyncio.Event()
        self._holding: set[asyncio.Task[None]] = set()
        self._witness, self._origin = witness, origin
        self._late = 0.0  # seconds that an answer waits
        self._dials: dict[str, dict[str, str]] = {}  # by sidecar, where these differ from the engine's own
        self.server = Server(lambda call, answer: self._called("", call, answer))
        self._faces: dict[str, Server] = {"": self.server}
        self.up = False

    @property
    def version(self) -> int:
        return self._first + len(self._changes)

    @property
    def shown(self) -> int:
        """The version by which calls are answered."""
        return self.version if self._replica is None else max(self._replica, self._first)

    def _now(self) -> float:
        return time.monotonic() - self._origin

    async def start(self) -> None:
        if self.up:
            return
        for face in self._faces.values():
            await face.start()
        self.up = True

    async def die(self) -> None:
        """Watches end, calls are refused; what it knows stays."""
        self.up = False
        for task in self._holding:
            task.cancel()
        for face in self._faces.values():
            face.stop()

    async def face(self, sidecar: str) -> str:
        """A listener of that sidecar's own; its address."""
        face = Server(lambda call, answer: self._called(sidecar, call, answer))
        await face.start()
        self._faces[sidecar] = face
        return face.dial

    async def dials(self, sidecar: str, dials: dict[str, str]) -> None:
        """Where that sidecar reaches engines, for those that it reaches over a link."""
        self._dials.setdefault(sidecar, {}).update(dials)

    async def late(self, seconds: float) -> None:
        """Answers wait so long from now on, as those of a service with too much to do."""
        self._late = seconds

    async def behind(self, seconds: float) -> None:
        """Fail over to a replica that stands where the service stood so long ago; with 0 it has caught up.

        Watches end at the failover, as its connections do.
        """
        if not seconds:
            self._replica = None
            self._wake_watches()
            return
        before = self._now() - seconds
        self._replica = self._first + sum(at <= before for at in self._changed_at)
        await self.die()
        await self.start()

    async def tell(self, entry: Entry) -> None:
        """A new entry, or one that changed; `removed` takes it off the list."""
        self._changes.append(entry)
        self._changed_at.append(self._now())
        if len(self._changes) > CHANGES_KEPT:
            self._first += 1
            _apply(self._oldest, self._changes.pop(0))
            del self._changed_at[0]
        self._witness(
            Listed(at=self._now(), engine=entry["host"], health=entry["health"], version=self.version)
        )
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def whole(self, sidecar: str = "") -> dict[str, object]:
        return self._list(sidecar, True, self._hosts())

    def _hosts(self) -> list[Entry]:
        """The entries of the version shown."""
        hosts = dict(self._oldest)
        for entry in self._changes[: self.shown - self._first]:
            _apply(hosts, entry)
        return list(hosts.values())

    def _list(self, sidecar: str, whole: bool, hosts: list[Entry]) -> dict[str, object]:
        dials = self._dials.get(sidecar, {})
        shown = [Entry(**entry | {"dial": dials.get(entry["host"], entry["dial"])}) for entry in hosts]
        return {"seq": self.shown, "whole": whole, "hosts": shown}

    def _since(self, sidecar: str, version: int) -> dict[str, object]:
        if not self._first <= version <= self.shown:
            return self._list(sidecar, True, self._hosts())
        return self._list(sidecar, False, self._changes[version - self._first : self.shown - self._first])

    def _called(self, sidecar: str, call: Call, answer: Answer) -> None:
        asked = {key: values[-1] for key, values in parse_qs(call.query.decode("ascii", "replace")).items()}
        if call.path != b"/discovery/hosts" or not all(value.isdecimal() for value in asked.values()):
            answer(response(404 if call.path != b"/discovery/hosts" else 400))
            return
        hold = min(int(asked.get("hold_ms", 0)) / 1000, HOLD_MOST) if "from" in asked else 0.0
        version = int(asked["from"]) if "from" in asked else -1
        task = asyncio.get_running_loop().create_task(self._watch(sidecar, version, hold, answer))
        self._holding.add(task)
        task.add_done_callback(self._holding.discard)

    async def _watch(self, sidecar: str, version: int, hold: float, answer: Answer) -> None:
        if version == self.shown:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), hold)
        if self._late:
            await asyncio.sleep(self._late)
        told = self._since(sidecar, version)
        if answer(response(200, msgspec.json.encode(told))) is not False:
            self._witness(Told(at=self._now(), sidecar=sidecar, version=self.shown))


def _apply(hosts: dict[str, Entry], change: Entry) -> None:
    if change["health"] == "removed":
        hosts.pop(change["host"], None)
    else:
        hosts[change["host"]] = change

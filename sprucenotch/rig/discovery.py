"""The list of engines, whole or as a watch on changes, as the platform's discovery gives it."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TypedDict
from urllib.parse import parse_qs

import msgspec

from sprucenotch.rig.http import Answer, Call, Server, response

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
    def __init__(self) -> None:
        self._hosts: dict[str, Entry] = {}
        self._changes: list[Entry] = []  # change number n made version n + 1
        self._first = 0  # the version before the first change kept
        self._changed = asyncio.Event()
        self._holding: set[asyncio.Task[None]] = set()
        self.server = Server(self._called)

    @property
    def version(self) -> int:
        return self._first + len(self._changes)

    def tell(self, entry: Entry) -> None:
        """A new entry, or one that changed; `removed` takes it off the list."""
        if entry["health"] == "removed":
            self._hosts.pop(entry["host"], None)
        else:
            self._hosts[entry["host"]] = entry
        self._changes.append(entry)
        if len(self._changes) > CHANGES_KEPT:
            self._first += 1
            del self._changes[0]
        self._changed.set()
        self._changed = asyncio.Event()

    def whole(self) -> dict[str, object]:
        return {"seq": self.version, "whole": True, "hosts": list(self._hosts.values())}

    def _since(self, version: int) -> dict[str, object]:
        if not self._first <= version <= self.version:
            return self.whole()
        return {"seq": self.version, "whole": False, "hosts": self._changes[version - self._first :]}

    def _called(self, call: Call, answer: Answer) -> None:
        asked = {key: values[-1] for key, values in parse_qs(call.query.decode("ascii", "replace")).items()}
        if call.path != b"/discovery/hosts" or not all(value.isdecimal() for value in asked.values()):
            answer(response(404 if call.path != b"/discovery/hosts" else 400))
        elif "from" not in asked:
            answer(response(200, msgspec.json.encode(self.whole())))
        else:
            hold = min(int(asked.get("hold_ms", 0)) / 1000, HOLD_MOST)
            task = asyncio.get_running_loop().create_task(self._watch(int(asked["from"]), hold, answer))
            self._holding.add(task)
            task.add_done_callback(self._holding.discard)

    async def _watch(self, version: int, hold: float, answer: Answer) -> None:
        if version == self.version:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), hold)
        answer(response(200, msgspec.json.encode(self._since(version))))

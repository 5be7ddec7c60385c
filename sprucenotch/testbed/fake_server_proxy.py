"""Proxies for engines and discovery in separate processes, with the same methods as the in-process ones."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections.abc import Callable
from typing import Any

import msgspec

from sprucenotch.testbed.checker.history import Event, Ran
from sprucenotch.testbed.discovery import Entry
from sprucenotch.testbed.engine import Engine
from sprucenotch.testbed.fake_server import MAX_LINE, Command, EngineSpec, Reply
from sprucenotch.testbed.process import ChildProcess, ProcessError

REPLY_TIMEOUT = 10.0  # seconds: a paused process replies when it is resumed


class RemoteProcess:
    """A fake server process and the commands to it. Its events go to `on_event`."""

    def __init__(self, name: str, first: str, on_event: Callable[[Any], None]) -> None:
        self.name, self._first, self._on_event = name, first, on_event
        self.child: ChildProcess | None = None
        self._last_number = 0
        self._replies: dict[int, asyncio.Future[Any]] = {}
        self._reader: asyncio.Task[None] | None = None

    async def spawn(self, first: str) -> None:
        self._first = first
        command = (sys.executable, "-m", "sprucenotch.testbed.fake_server", first)
        # Every sidecar holds connections to it, and discovery has a listener for each sidecar.
        self.child = ChildProcess(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, descriptors=None)
        stream = asyncio.StreamReader(limit=MAX_LINE)
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(stream), self.child.process.stdout)
        self._reader = loop.create_task(self._read(stream))

    async def _read(self, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            if line.startswith(b'{"type"'):
                self._on_event(msgspec.json.decode(line, type=Event))
            elif line.endswith(b"\n"):  # otherwise it was killed while it wrote
                reply = msgspec.json.decode(line, type=Reply)
                waiting = self._replies.pop(reply.number, None)
                if waiting is not None and not waiting.done():
                    if reply.problem:
                        waiting.set_exception(ProcessError(f"{self.name}: {reply.problem}"))
                    else:
                        waiting.set_result(reply.value)
        for waiting in self._replies.values():
            if not waiting.done():
                waiting.set_exception(ProcessError(f"{self.name} ended"))
        self._replies.clear()

    async def call(self, do: str, **args: Any) -> Any:
        """Execute a command and return its result. Raises ProcessError if the process has ended or hangs."""
        if self.child is None or not self.child.alive or self.child.process.stdin is None:
            raise ProcessError(f"{self.name} is not running")
        self._last_number += 1
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._replies[self._last_number] = reply
        try:
            self.child.process.stdin.write(msgspec.json.encode(Command(self._last_number, do, args)) + b"\n")
            self.child.process.stdin.flush()
            return await asyncio.wait_for(reply, REPLY_TIMEOUT)
        except BrokenPipeError:
            raise ProcessError(f"{self.name} ended") from None
        except TimeoutError:
            raise ProcessError(f"{self.name} did not answer within {REPLY_TIMEOUT:.0f} s") from None

    async def kill(self) -> None:
        if self.child is not None:
            self.child.kill()
            if self.child.process.stdin is not None:
                self.child.process.stdin.close()
            if self._reader is not None:
                await self._reader  # read what it had written before it was killed
            self.child = None


class RemoteEngine:
    """An `Engine` in a separate process; `stop` kills that process."""

    def __init__(self, spec: EngineSpec, on_event: Callable[[Ran], None]) -> None:
        self.name, self.zone, self.dial, self.life = spec.name, spec.zone, "", 0
        self._spec, self._on_event = spec, on_event
        self.remote = RemoteProcess(spec.name, "", self._observe)
        self._in_progress: set[str] = set()
        self.up = self.draining = self.failing = self.silent = False
        self.twice = self.nonsense = self.endless = False
        self.slower = 1.0
        self.served = self.declined = 0

    def _observe(self, ran: Ran) -> None:
        if ran.step == "begun":
            self._in_progress.add(ran.id)
        elif ran.step != "taken":
            self._in_progress.discard(ran.id)
        self.served += ran.step == "done"
        self.declined += ran.step == "declined"
        self._on_event(ran)

    @property
    def busy(self) -> int:
        return len(self._in_progress)

    @property
    def held(self) -> int:
        return len(self._in_progress)

    async def start(self, cold: bool = False) -> None:
        if self.up:
            return
        spec = msgspec.structs.replace(
            self._spec, dial=self.dial, life=self.life, seed=self._spec.seed + self.life
        )
        await self.remote.spawn("engine " + msgspec.json.encode(spec).decode())
        self.dial = await self.remote.call("start", cold=cold)
        self.up, self.draining = True, False

    async def stop(self) -> None:
        if self.up:
            self.up = False
            await self.remote.kill()
            self.life += 1
            self._in_progress.clear()

    async def tune(self, **changes: Any) -> None:
        for name, value in changes.items():
            if value is not None:
                setattr(self, name, value)
        if self.up:
            await self.remote.call("tune", **changes)


class RemoteDiscovery:
    """A `Discovery` in a separate process."""

    def __init__(self, on_event: Callable[[Event], None], origin: float) -> None:
        self.remote = RemoteProcess("discovery", "", on_event)
        self._origin = origin
        self.up = False

    async def start(self) -> None:
        if self.remote.child is None:
            await self.remote.spawn(f"discovery {self._origin!r}")
        if not self.up:
            await self.remote.call("start")
            self.up = True

    async def stop(self) -> None:
        """Stop serving; the process and its list stay."""
        if self.up:
            self.up = False
            await self.remote.call("stop")

    async def add_listener(self, sidecar: str) -> str:
        return str(await self.remote.call("add_listener", sidecar=sidecar))

    async def dials(self, sidecar: str, dials: dict[str, str]) -> None:
        await self.remote.call("dials", sidecar=sidecar, dials=dials)

    async def late(self, seconds: float) -> None:
        await self.remote.call("late", seconds=seconds)

    async def behind(self, seconds: float) -> None:
        await self.remote.call("behind", seconds=seconds)

    async def publish(self, entry: Entry) -> None:
        await self.remote.call("publish", entry=entry)

    async def whole(self, sidecar: str = "") -> dict[str, object]:
        whole: dict[str, object] = await self.remote.call("whole", sidecar=sidecar)
        return whole


AnyEngine = Engine | RemoteEngine

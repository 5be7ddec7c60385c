"""A sidecar of a run: a sequence of processes (restarts and upgrades) under one name and address."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any, Literal

from sprucenotch.testbed.checker.history import Event, Process
from sprucenotch.testbed.process import ProcessError, RunError, SidecarProcess
from sprucenotch.testbed.revision import Program

ADDRESS_IN_USE = 3  # exit code of a sidecar that cannot listen
KILL_AFTER = 0.7  # seconds from the longest deadline (at least 3 s) to SIGKILL


class AddressError(RunError):
    """A port reserved for a sidecar is in use."""


class ReservedPort:
    """A free port on 127.0.0.1, reserved by a socket that is bound but never listens.

    With SO_REUSEPORT the sidecar can listen on it; programs that do not set that option cannot bind it.
    """

    def __init__(self) -> None:
        self._held = socket.socket()
        self._held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._held.bind(("127.0.0.1", 0))
        self.dial = f"127.0.0.1:{self._held.getsockname()[1]}"

    def close(self) -> None:
        self._held.close()


# Builds the configuration of a sidecar for a start, given which server list it begins with.
Configure = Callable[["Sidecar", str], Awaitable[Mapping[str, Any]]]


class Sidecar:
    """`configure` builds the configuration of each start; `set_reachable` is called when it starts or stops
    accepting clients; `start_lock` is held while a process of the run is started."""

    def __init__(
        self,
        name: str,
        folder: Path,
        configure: Configure,
        now: Callable[[], float],
        on_event: Callable[[Event], None],
        set_reachable: Callable[[bool], None],
        longest_deadline: float,
        start_lock: asyncio.Lock,
    ) -> None:
        self.name, self._folder, self._configure = name, folder, configure
        self._now, self._on_event, self._set_reachable, self._start_lock = (
            now, on_event, set_reachable, start_lock,
        )  # fmt: skip
        self._kill_timeout = max(3.0, longest_deadline) + KILL_AFTER
        self._listen, self._mgmt = (
            ReservedPort(),
            (ReservedPort(), ReservedPort()),
        )  # a successor has its own mgmt
        self.program = Program()
        self.environment: Mapping[str, str] = {}  # added to that of the testbed
        self.lives: list[SidecarProcess] = []
        self._down = True  # intentionally stopped, so that the end of the process is expected

    @property
    def life(self) -> int:
        return len(self.lives) - 1

    @property
    def listen(self) -> str:
        return self._listen.dial

    @property
    def mgmt(self) -> str:
        return self._mgmt[max(0, self.life) % 2].dial

    @property
    def next_mgmt(self) -> str:
        return self._mgmt[len(self.lives) % 2].dial

    @property
    def process(self) -> SidecarProcess:
        return self.lives[-1]

    @property
    def alive(self) -> bool:
        return bool(self.lives) and self.process.alive

    def _record(self, what: str, life: int, code: int = 0, version: int = 0) -> None:
        self._on_event(
            Process(at=self._now(), name=self.name, what=what, life=life, code=code, version=version)  # type: ignore[arg-type]
        )

    async def start(self, initial_list: str = "last") -> None:
        """Start a process and wait until it is ready. Raises ProcessError or AddressError."""
        configuration = await self._configure(self, initial_list)
        known = configuration.get("known") or {}
        async with self._start_lock:  # each start blocks the loop for about 8 ms; let the load run in between
            process = SidecarProcess(
                configuration, self.program.command, self.program.cwd, self._folder,
                f"{self.name}.{len(self.lives)}", self.environment,
            )  # fmt: skip
            await asyncio.sleep(0)
        self.lives.append(process)
        self._down = False
        life = self.life
        self._record("started", life, version=int(known.get("seq", 0)))
        try:
            await process.ready()
        except ProcessError as error:
            if process.process.poll() == ADDRESS_IN_USE:
                raise AddressError(f"{self.name}: {process.log_tail()}") from None
            raise ProcessError(f"{self.name}: {error}") from None
        self._record("ready", life)
        self._set_reachable(True)

    def kill(self) -> None:
        if self.alive:
            self._record("killed", self.life)
            self._down = True
            self._set_reachable(False)
            self.process.kill()

    def lost_power(self) -> None:
        """Record a power cut: all data that the last process had not synced is lost."""
        self._record("lost power", self.life)

    async def term(self) -> None:
        """Stop it with SIGTERM, and with SIGKILL after the timeout."""
        if self.alive:
            self._down = True
            await self._retire(self.process, self.life, make_unreachable=True)

    async def upgrade(self, initial_list: str = "last") -> None:
        """Start a successor alongside; once it is ready, stop the old process."""
        old, life = self.process, self.life
        await self.start(initial_list)
        await self._retire(old, life, make_unreachable=False)

    async def _retire(self, process: SidecarProcess, life: int, make_unreachable: bool) -> None:
        self._record("told to end", life)
        process.signal(signal.SIGTERM)
        try:
            code = await process.wait(self._kill_timeout)
        except TimeoutError:
            process.kill()
            code = -int(signal.SIGKILL)
        if make_unreachable:
            self._set_reachable(False)
        self._record("ended", life, code)

    def check(self) -> None:
        """Raises ProcessError if its process ended unexpectedly."""
        if not self._down and (code := self.process.process.poll()) is not None:
            raise ProcessError(f"{self.name} ended with code {code}: {self.process.log_tail()}")

    def close(self) -> None:
        for process in self.lives:
            with contextlib.suppress(ProcessLookupError):
                process.end_slowdown()
                process.kill()
        for held in (self._listen, *self._mgmt):
            held.close()


How = Literal["kill", "term", "upgrade", "power"]


async def restart(
    sidecar: Sidecar, how: How, down: float, initial_list: str, lose: Callable[[], None] = lambda: None
) -> None:
    """Stop a sidecar in the given way and start it again. `lose` applies a power cut to its disk."""
    if how == "upgrade":
        await sidecar.upgrade(initial_list)
        return
    if how == "term":
        await sidecar.term()
    else:
        sidecar.kill()
    if how == "power":
        lose()
        sidecar.lost_power()
    await asyncio.sleep(down)
    await sidecar.start(initial_list)

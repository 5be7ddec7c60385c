"""The sidecar of a play: its processes one after another, the signals that they get, and their memory."""

from __future__ import annotations

import asyncio
import random
import re
import signal
import tempfile
import time
from pathlib import Path
from types import TracebackType
from typing import Any

from msgspec import Struct

from sprucenotch.testbed import site as sites
from sprucenotch.testbed.pressure.client import Finding
from sprucenotch.testbed.pressure.peers import Behaviour
from sprucenotch.testbed.pressure.request import request_classes
from sprucenotch.testbed.process import ProcessError, SidecarProcess, free_address, http_get
from sprucenotch.testbed.revision import Program
from sprucenotch.testbed.sidecar import KILL_AFTER

MEGABYTE = 1_000_000
MAX_DEADLINE = 3.0  # seconds: SIGKILL counts a longer deadline as this
RELEASE_TIMEOUT = 6.0  # seconds after the last client: the longest deadline, and a pause of as much
FIRST_SIGNAL = 1.0  # seconds after the start of a play


class Pressure(Struct, frozen=True, kw_only=True):
    """What a play does, and the limits of its sidecar."""

    behaviour: Behaviour
    number: int  # of misbehaving clients
    seed: int
    length: float = 6.0  # seconds
    memory_mb: int = 192
    descriptors: int = 1024
    long_answers: bool = False  # the well-behaved clients ask for long answers from slow servers
    site: Path = sites.SITES[0]
    log_level: str = "info"
    stops: int = 0  # SIGTERM so often, SIGKILL as early as the pages allow, and a start
    upgrades: int = 0  # so often another process is started, and then the first one is stopped
    reloads: int = 0  # SIGHUP so often


def kill_timeout(longest_deadline: float) -> float:
    """Seconds from SIGTERM to the earliest SIGKILL."""
    return min(MAX_DEADLINE, longest_deadline) + KILL_AFTER


def peak_memory(pid: int) -> int:
    """The highest resident memory of a process so far, in bytes; 0 once it has ended."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    return 0


def reserved_bytes(mgmt: str) -> float:
    """The bytes that a sidecar has reserved for requests, by its metrics."""
    _, body = http_get(mgmt, "/metrics")
    [value] = re.findall(rb"^\S*body_memory_bytes (\S+)$", body, re.MULTILINE)
    return float(value)


class Lives:
    """A context manager that starts the first process and ends the last. `findings` are what its processes
    did wrong, `killed_at` the times of SIGKILL on the monotonic clock."""

    def __init__(self, configuration: dict[str, Any], program: Program, pressure: Pressure) -> None:
        self._configuration, self._program, self._pressure = configuration, program, pressure
        deadlines = [cls.deadline for cls in request_classes(configuration["settings"])]
        self._kill_timeout = kill_timeout(max(deadlines))
        self._stopping = False
        self._folders: list[tempfile.TemporaryDirectory[str]] = []  # the last one is that of the process
        self._processes: list[SidecarProcess] = []  # all that were started
        self.peak = 0
        self.findings: list[Finding] = []
        self.killed_at: list[float] = []

    async def __aenter__(self) -> Lives:
        self._new_folder()
        self._process = await self._start(self._configuration)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for process in self._processes:
            process.end()
        for folder in self._folders:
            folder.cleanup()

    def _new_folder(self) -> None:
        self._folders.append(tempfile.TemporaryDirectory(prefix="sidecar-"))

    async def _start(self, configuration: dict[str, Any]) -> SidecarProcess:
        """Start a process in the last folder, and wait until it is ready."""
        folder, label = Path(self._folders[-1].name), f"process-{len(self._processes)}"
        process = SidecarProcess(configuration, self._program.command, self._program.cwd, folder, label)
        self._processes.append(process)
        await process.ready()
        return process

    def measure(self) -> None:
        """Note the memory of the processes, and whether the one that serves has ended by itself."""
        if self._stopping:
            return
        if not self._process.alive:
            self.findings.append(Finding("ended", "", self._process.log_tail()))
            self._stopping = True
            return
        limit = self._pressure.memory_mb * MEGABYTE
        peaks = sum(peak_memory(process.pid) for process in self._processes if process.alive)
        before, self.peak = self.peak, max(self.peak, peaks)
        if before <= limit < self.peak:
            said = f"over {self._pressure.memory_mb} MB"
            self.findings.append(Finding("memory", "", said))

    async def send_signals(self, rng: random.Random) -> None:
        """Send the signals of the play: reloads in a row, then restarts, then upgrades."""
        await asyncio.sleep(FIRST_SIGNAL)
        for _ in range(self._pressure.reloads):
            self._process.signal(signal.SIGHUP)
            await asyncio.sleep(rng.random() * 0.2)
        for _ in range(self._pressure.stops):
            await self._restart()
            await asyncio.sleep(rng.random())
        for _ in range(self._pressure.upgrades):
            await self._upgrade()
            await asyncio.sleep(rng.random())

    async def _restart(self) -> None:
        """Stop the process as a planned restart does, and start another one at its address."""
        self._stopping = True
        await self._stop(self._process)
        self._new_folder()
        try:
            self._process = await self._start(self._configuration)
        except ProcessError as problem:
            self.findings.append(Finding("not started", "", str(problem)))
            return
        self._stopping = False

    async def _upgrade(self) -> None:
        """Start another process beside the one that serves, and stop that once the new one is ready."""
        old = self._process
        try:
            self._process = await self._start({**self._configuration, "mgmt": free_address()})
        except ProcessError as problem:
            self.findings.append(Finding("not started", "", str(problem)))
            return
        await self._stop(old)

    async def _stop(self, process: SidecarProcess) -> None:
        """Send SIGTERM, and SIGKILL as early as the pages allow."""
        process.signal(signal.SIGTERM)
        try:
            await process.wait(self._kill_timeout)
        except TimeoutError:
            self.killed_at.append(time.monotonic())
            process.kill()

    async def end(self) -> list[Finding]:
        """Stop the last process: with no client left, it must end by itself before it would be killed."""
        if self._stopping:
            return []
        unreleased = await self._unreleased()
        self._process.signal(signal.SIGTERM)
        try:
            code = await self._process.wait(self._kill_timeout)
        except TimeoutError:
            self._process.kill()
            return [Finding("not ended", "", "it did not end before it would have been killed")]
        return unreleased if code == 0 else [Finding("not ended", "", f"it ended with code {code}")]

    async def _unreleased(self) -> list[Finding]:
        """With no client left, all memory that was reserved for requests has to be released."""
        give_up_at = time.monotonic() + RELEASE_TIMEOUT
        while held := await asyncio.to_thread(reserved_bytes, self._process.mgmt):
            if time.monotonic() > give_up_at:
                return [Finding("not released", "", f"{held:.0f} bytes are reserved with no client left")]
            await asyncio.sleep(0.1)
        return []

    def log(self) -> str:
        """The logs of all processes."""
        return "".join(process.log_file.read_text(errors="replace") for process in self._processes)

"""The sidecar of a play: its processes one after another, the signals that they get, and their memory."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from pathlib import Path
from types import TracebackType
from typing import Any

from msgspec import Struct

from sprucenotch.testbed import site as sites
from sprucenotch.testbed.pressure.client import Finding
from sprucenotch.testbed.pressure.peers import Behaviour
from sprucenotch.testbed.pressure.request import request_classes
from sprucenotch.testbed.process import ProcessError, SidecarProcess
from sprucenotch.testbed.revision import Program
from sprucenotch.testbed.sidecar import KILL_AFTER

MEGABYTE = 1_000_000
MAX_DEADLINE = 3.0  # seconds: SIGKILL counts a longer deadline as this
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
    reloads: int = 0  # SIGHUP so often


def peak_memory(pid: int) -> int:
    """The highest resident memory of a process so far, in bytes; 0 once it has ended."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    return 0


class Lives:
    """A context manager that starts the first process and ends the last. `findings` are what its processes
    did wrong, `stopped_at` the times of SIGTERM on the monotonic clock."""

    def __init__(self, configuration: dict[str, Any], program: Program, pressure: Pressure) -> None:
        self._configuration, self._program, self._pressure = configuration, program, pressure
        deadlines = [cls.deadline for cls in request_classes(configuration["settings"])]
        self._kill_timeout = min(MAX_DEADLINE, max(deadlines)) + KILL_AFTER
        self._stopping = False
        self._ended: list[str] = []  # logs of earlier processes
        self.peak = 0
        self.findings: list[Finding] = []
        self.stopped_at: list[float] = []

    async def __aenter__(self) -> Lives:
        await self._start()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._process.end()

    async def _start(self) -> None:
        self._process = SidecarProcess(self._configuration, self._program.command, self._program.cwd)
        await self._process.ready()

    def measure(self) -> None:
        """Note the memory of the process, and whether it has ended by itself."""
        if self._stopping:
            return
        if not self._process.alive:
            self.findings.append(Finding("ended", "", self._process.log_tail()))
            self._stopping = True
            return
        limit = self._pressure.memory_mb * MEGABYTE
        before, self.peak = self.peak, max(self.peak, peak_memory(self._process.pid))
        if before <= limit < self.peak:
            said = f"over {self._pressure.memory_mb} MB"
            self.findings.append(Finding("memory", "", said))

    async def send_signals(self, rng: random.Random) -> None:
        """Send the signals of the play: reloads in a row, then stops, each followed by a start."""
        await asyncio.sleep(FIRST_SIGNAL)
        for _ in range(self._pressure.reloads):
            self._process.signal(signal.SIGHUP)
            await asyncio.sleep(rng.random() * 0.2)
        for _ in range(self._pressure.stops):
            await self._replace()
            await asyncio.sleep(rng.random())

    async def _replace(self) -> None:
        """Stop the process as a planned restart does, and start another one at its address."""
        self._stopping = True
        self.stopped_at.append(time.monotonic())
        self._process.signal(signal.SIGTERM)
        try:
            await self._process.wait(self._kill_timeout)
        except TimeoutError:
            self._process.kill()
        self._ended.append(self._read_log())
        self._process.end()
        try:
            await self._start()
        except ProcessError as problem:
            self.findings.append(Finding("not started", "", str(problem)))
            return
        self._stopping = False

    async def end(self) -> list[Finding]:
        """Stop the last process: with no client left, it must end by itself before it would be killed."""
        if self._stopping:
            return []
        self._process.signal(signal.SIGTERM)
        try:
            code = await self._process.wait(self._kill_timeout)
        except TimeoutError:
            self._process.kill()
            return [Finding("not ended", "", "it did not end before it would have been killed")]
        return [] if code == 0 else [Finding("not ended", "", f"it ended with code {code}")]

    def _read_log(self) -> str:
        return self._process.log_file.read_text(errors="replace")

    def log(self) -> str:
        """The logs of all processes."""
        return "".join((*self._ended, self._read_log()))

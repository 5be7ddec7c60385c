"""Child processes of a run: started, monitored, paused, slowed down, and stopped."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from pathlib import Path
from typing import IO, Any

import msgspec

READY_TIMEOUT = 15.0  # seconds: a start takes under one, and without discovery three more
TERM_TIMEOUT = 8.0  # seconds from SIGTERM to SIGKILL
LOG_TAIL_LINES = 5  # of its log in an error message


PORTS = range(20_000, 32_000)  # below those that Linux gives to connections
_random = random.SystemRandom()  # processes that draw at the same time get different ports

SLICE = 0.02  # seconds: a slowed process runs for a share of each
MAX_DESCRIPTORS = 1024  # of a sidecar, as in a deployment
MAX_ADDRESS_SPACE = 2_000_000_000  # bytes, so that a faulty process cannot exhaust the machine's memory


class RunError(Exception):
    """The testbed cannot continue; the message gives the reason in one line."""


class ProcessError(RunError):
    """A process of the run ended unexpectedly or did not become ready."""


def _draw_port() -> int:
    return _random.choice(PORTS)


def free_address(draw: Callable[[], int] = _draw_port) -> str:
    """Return a loopback address whose port is free at the moment.

    The kernel gives none of these ports to a connection, which could hold it before the address is used.
    """
    while True:
        port = draw()
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"


def http_get(address: str, path: str, timeout: float = 1.0) -> tuple[int, bytes]:
    """Send a GET to a management listener; return status and body. Raises OSError if it does not answer."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout) as peer:
        peer.sendall(f"GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode())
        raw = b""
        while piece := peer.recv(65536):
            raw += piece
    head, _, body = raw.partition(b"\r\n\r\n")
    words = head.split(b" ", 2)
    if len(words) < 3 or not words[1].isdigit():
        raise ConnectionError("no HTTP answer")
    return int(words[1]), body


PR_SET_PDEATHSIG = 1  # from linux/prctl.h
_libc = ctypes.CDLL(None)


def end_with_parent(descriptors: int | None) -> None:
    """Have the kernel kill this process when the testbed ends, and limit its memory and its descriptors (to
    the hard limit if None)."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)  # a stopped process does not act on SIGTERM
    resource.setrlimit(resource.RLIMIT_AS, (MAX_ADDRESS_SPACE, MAX_ADDRESS_SPACE))
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    # A child would inherit the limit of the testbed, which raised it to the hard limit.
    resource.setrlimit(
        resource.RLIMIT_NOFILE,
        (hard_limit if descriptors is None else min(descriptors, hard_limit), hard_limit),
    )


def raise_descriptor_limit() -> None:
    """Raise the testbed's own descriptor limit to the hard limit: a relay needs four for each connection."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))


class ChildProcess:
    """A child process of the testbed."""

    def __init__(
        self,
        command: Sequence[str],
        environment: Mapping[str, str] | None = None,
        cwd: Path | None = None,
        stdin: int = subprocess.DEVNULL,
        stdout: IO[bytes] | int = subprocess.DEVNULL,
        stderr: IO[bytes] | int = subprocess.DEVNULL,
        descriptors: int | None = MAX_DESCRIPTORS,
    ) -> None:
        self.process = subprocess.Popen(
            command, cwd=cwd, env=environment, stdin=stdin, stdout=stdout, stderr=stderr,
            preexec_fn=partial(end_with_parent, descriptors),
        )  # fmt: skip
        self._slowdown: asyncio.Task[None] | None = None
        self._pauses = 0  # number of overlapping pauses

    @property
    def stopped(self) -> bool:
        return self._pauses > 0

    @property
    def pid(self) -> int:
        return self.process.pid

    @property
    def alive(self) -> bool:
        return self.process.poll() is None

    async def wait(self, timeout: float | None = None) -> int:
        """Wait until it ends and return its exit code. Raises TimeoutError."""
        if self.process.poll() is None:
            loop, ended = asyncio.get_running_loop(), asyncio.Event()
            descriptor = os.pidfd_open(self.process.pid)  # readable once it has ended
            try:
                loop.add_reader(descriptor, ended.set)
                await asyncio.wait_for(ended.wait(), timeout)
            finally:
                loop.remove_reader(descriptor)
                os.close(descriptor)
        return self.process.wait()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process, if it still runs."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def pause(self) -> None:
        self._pauses += 1
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        self._pauses -= 1
        if not self.stopped:
            self.signal(signal.SIGCONT)

    def slow(self, share: float) -> None:
        """Let it run only for that share of each time slice, until `end_slowdown`."""
        self.end_slowdown()
        self._slowdown = asyncio.get_running_loop().create_task(self._slow(share))

    def end_slowdown(self) -> None:
        if self._slowdown is not None:
            self._slowdown.cancel()
            self._slowdown = None
            if not self.stopped:
                self.signal(signal.SIGCONT)

    async def _slow(self, share: float) -> None:
        while self.alive:
            self.signal(signal.SIGSTOP)
            await asyncio.sleep(SLICE * (1 - share))
            if not self.stopped:
                self.signal(signal.SIGCONT)
            await asyncio.sleep(SLICE * share)

    def cpu(self) -> int:
        """CPU time of its threads in nanoseconds. Raises OSError once it has ended."""
        tasks = Path(f"/proc/{self.pid}/task")
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks.iterdir())

    def memory(self) -> tuple[int, int]:
        """Resident memory in bytes: total, and not shared with other processes."""
        _, resident, shared, *_ = map(int, Path(f"/proc/{self.pid}/statm").read_text().split())
        page_size = os.sysconf("SC_PAGE_SIZE")
        return resident * page_size, (resident - shared) * page_size

    def end(self) -> None:
        """Stop it with SIGTERM (after SIGCONT, as a stopped process cannot act on it), then with SIGKILL."""
        self.end_slowdown()
        if not self.alive:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(TERM_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def kill(self) -> None:
        if self._slowdown is not None:
            self._slowdown.cancel()
        self.process.kill()
        self.process.wait()


class SidecarProcess(ChildProcess):
    """Runs `command` in `cwd`, with PROXY_CONFIG naming a configuration file that is written first. Use it as
    a context manager. Without a `folder` it uses a temporary one; it is the process's $TMPDIR too."""

    def __init__(
        self,
        configuration: Mapping[str, Any],
        command: Sequence[str] = (sys.executable, "-m", "sprucenotch"),
        cwd: Path | None = None,
        folder: Path | None = None,
        label: str = "sidecar",
        variables: Mapping[str, str] | None = None,  # additional environment variables
    ) -> None:
        self._temporary = tempfile.TemporaryDirectory(prefix="sidecar-") if folder is None else None
        directory = Path(self._temporary.name) if self._temporary is not None else Path(folder or "")
        self.file, self.log_file = directory / f"{label}.json", directory / f"{label}.log"
        self.listen, self.mgmt = str(configuration["listen"]), str(configuration["mgmt"])
        self.configure(configuration)
        environment = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
        environment |= {"TMPDIR": str(directory), "PROXY_CONFIG": str(self.file)}
        with self.log_file.open("wb") as log:
            super().__init__(command, {**environment, **(variables or {})}, cwd, stdout=log, stderr=log)

    def configure(self, configuration: Mapping[str, Any]) -> None:
        self.file.write_bytes(msgspec.json.encode(configuration))

    def __enter__(self) -> SidecarProcess:
        return self

    def __exit__(self, *_: object) -> None:
        self.end()

    async def ready(self) -> None:
        """Wait until it is ready. Raises ProcessError with the last lines of its log if it ends or takes too
        long."""
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline:
            if (code := self.process.poll()) is not None:
                raise ProcessError(f"the sidecar ended with code {code}: {self.log_tail()}")
            try:
                status, _ = await asyncio.to_thread(http_get, self.mgmt, "/api/ready")
            except OSError:
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise ProcessError(f"the sidecar was not ready within {READY_TIMEOUT:.0f} s: {self.log_tail()}")

    def log_tail(self) -> str:
        """The last lines of its log, in one line."""
        lines = self.log_file.read_text(errors="replace").splitlines()[-LOG_TAIL_LINES:]
        return " / ".join(lines) or "its log is empty"

    def end(self) -> None:
        super().end()
        if self._temporary is not None:
            self._temporary.cleanup()

"""A real sidecar as a process: started with a configuration, watched until it is ready, always ended."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

READY_WITHIN = 15.0  # seconds: a start takes under one, and with no discovery three more
END_WITHIN = 8.0  # after SIGTERM, before SIGKILL
TAIL = 5  # lines of its log that a failure tells


class RigError(Exception):
    """The rig cannot go on; the text says why in one line."""


def free_address() -> str:
    """An address on loopback that is free at the moment."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def call(address: str, path: str, timeout: float = 1.0) -> tuple[int, bytes]:
    """One GET to a management listener: the status and the body. Raises OSError if it is not there."""
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


PR_SET_PDEATHSIG = 1  # as Linux numbers it
_libc = ctypes.CDLL(None)


def end_with_parent() -> None:
    """Have the kernel end this process when the rig is gone, however that ended."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGTERM)


class SidecarProcess:
    """`command` runs in `cwd` with PROXY_CONFIG naming a file of its own. Use it as a context manager."""

    def __init__(
        self,
        told: Mapping[str, Any],
        command: Sequence[str] = (sys.executable, "-m", "sprucenotch"),
        cwd: Path | None = None,
    ) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="sidecar-")
        folder = Path(self._folder.name)
        self.file, self.log_file = folder / "config.json", folder / "log"
        self.listen = str(told["listen"])
        self.mgmt = str(told["mgmt"])
        self.configure(told)
        environment = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
        with self.log_file.open("wb") as log:
            self.process = subprocess.Popen(
                command, cwd=cwd, env=environment | {"PROXY_CONFIG": str(self.file)},
                stdin=subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=end_with_parent,
            )  # fmt: skip

    def configure(self, told: Mapping[str, Any]) -> None:
        self.file.write_bytes(msgspec.json.encode(told))

    def __enter__(self) -> SidecarProcess:
        return self

    def __exit__(self, *_: object) -> None:
        self.end()

    async def ready(self) -> None:
        """Wait until it serves. Raises RigError with what its log last said if it ends, or takes too long."""
        until = time.monotonic() + READY_WITHIN
        while time.monotonic() < until:
            if (code := self.process.poll()) is not None:
                raise RigError(f"the sidecar ended with code {code}: {self.said()}")
            try:
                status, _ = await asyncio.to_thread(call, self.mgmt, "/api/ready")
            except OSError:
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise RigError(f"the sidecar was not ready within {READY_WITHIN:.0f} s: {self.said()}")

    def said(self) -> str:
        lines = self.log_file.read_text(errors="replace").splitlines()[-TAIL:]
        return " / ".join(lines) or "its log is empty"

    def cpu(self) -> int:
        """Nanoseconds of processor time that its threads have used."""
        tasks = Path(f"/proc/{self.process.pid}/task")
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks.iterdir())

    def memory(self) -> tuple[int, int]:
        """Bytes resident now: all, and what no other process shares."""
        _, resident, shared, *_ = map(int, Path(f"/proc/{self.process.pid}/statm").read_text().split())
        page = os.sysconf("SC_PAGE_SIZE")
        return resident * page, (resident - shared) * page

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(END_WITHIN)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self._folder.cleanup()

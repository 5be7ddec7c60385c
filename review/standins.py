"""Stand-ins for the platform, discovery, quote engines and clients, and the start of real sidecars.

All of them run in the process of a case's play, on loopback addresses and the real clock. They use the
standard library alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
MS = 1_000_000
SECOND = 1_000_000_000
READY_TIMEOUT = 15.0  # seconds until a sidecar has to answer GET /up with 200


class CannotRun(Exception):
    """The case could not be played; nothing is said about the rule."""


class Record:
    """The record of a play: what was sent, answered and run, a line each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def line(self, who: str, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._began:9.3f} {who}: {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


class Request(NamedTuple):
    """A request as a stand-in read it."""

    method: str
    target: str
    headers: dict[str, str]  # names in lower case
    body: bytes

    @property
    def id(self) -> str:
        return self.headers.get("req-id", "")


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks, without trailers."""
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request; None at the end of the input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def answer(status: int, body: bytes = b"", *lines: str) -> bytes:
    """Build a whole answer with a length."""
    phrase = {200: "OK", 400: "Bad Request", 404: "Not Found", 503: "Service Unavailable"}[status]
    head = "\r\n".join((f"HTTP/1.1 {status} {phrase}", *lines, f"Content-Length: {len(body)}", "", ""))
    return head.encode() + body


class Server:
    """A loopback HTTP server; subclasses answer the requests."""

    def __init__(self) -> None:
        self.dial = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.dial = f"{host}:{port}"

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (request := await read_request(reader)) is not None:
                await self.serve(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def serve(self, request: Request, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class Discovery(Server):
    """A discovery service whose list does not change: answers at once, or holds a watch for its time."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 41
        self.hosts: list[dict[str, Any]] = []

    def list(self, engines: dict[str, str]) -> None:
        """List engines, by name with their addresses, that have run for long."""
        self.hosts = [
            {"host": name, "dial": dial, "site": "nantun", "class": "fast-1c", "block": 0, "health": "up",
             "share": 1.0, "born_ms": 0}
            for name, dial in engines.items()
        ]  # fmt: skip

    def whole(self) -> dict[str, Any]:
        return {"seq": self.version, "whole": True, "hosts": self.hosts}

    async def serve(self, request: Request, writer: asyncio.StreamWriter) -> None:
        _, _, query = request.target.partition("?")
        asked = dict(part.split("=", 1) for part in query.split("&") if part)
        if asked.get("from") != str(self.version):
            update = self.whole()
        else:
            await asyncio.sleep(min(60.0, int(asked.get("hold_ms", "0")) / 1000))
            update = {"seq": self.version, "whole": False, "hosts": []}
        writer.write(answer(200, json.dumps(update).encode()))
        await writer.drain()


Work = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class Engine(Server):
    """A quote engine that runs each request with `work`, which writes the answer."""

    def __init__(self, name: str, record: Record, work: Work) -> None:
        super().__init__()
        self.name, self._record, self._work = name, record, work

    async def serve(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.target == "/alive":
            writer.write(answer(200))
        elif not request.id:
            writer.write(answer(404))
        else:
            connection = writer.get_extra_info("peername")[1]
            self._record.line(self.name, f"runs {request.id} (connection {connection})")
            await self._work(request, writer)
        await writer.drain()


def category(
    name: str, effect: str, aim_ms: int, deadline_ms: int, worth: float, **more: Any
) -> dict[str, Any]:
    """Return a class of requests in the platform's form."""
    return {
        "Name": name, "Effect": effect, "AimNs": aim_ms * MS, "HardLimitNs": deadline_ms * MS,
        "Importance": worth, "LateWorth": 0.0, "KeyScope": "all", "WindowNs": 6 * SECOND, "Stream": False,
    } | more  # fmt: skip


# The classes, limits and rules of the example in the page of the simulator's wire.
CATEGORIES = (
    category("price-check", "retryable", 400, 2000, 1.0),
    category("full-quote", "retryable", 400, 1000, 5.0),
    category("reserve-slot", "dedup", 500, 1200, 5.0, KeyScope="zone"),
    category("place-order", "dedup", 600, 3000, 8.0, KeyScope="cell", WindowNs=15 * SECOND),
)


def settings(categories: tuple[dict[str, Any], ...] = CATEGORIES) -> dict[str, Any]:
    """Return the settings of a small deployment."""
    return {
        "Azs": ["nantun", "wuri"], "Zone": 0, "Kinds": ["fast-1c", "std-1c"], "NInstances": 1, "Position": 0,
        "Discovery": "on_request", "Categories": list(categories), "Orgs": [],
        "Limits": {"Cancel": True, "ConnIdleNs": 10 * SECOND, "ConnectTimeoutNs": 200 * MS, "MaxAttempts": 4,
                   "MaxOpen": 21674, "MaxRetryAfterNs": 1500 * MS, "ParallelTries": True, "Peers": False,
                   "Probes": True, "RetryAfter": True, "StreamsPerConn": 1},
        "Deductions": {"CrossZone": 0.014, "Probe": 0.01, "Waste": 0.15},
        "Rules": {"AnswerSlackNs": 20 * MS, "AskWithinNs": 10 * SECOND, "ColdFrom": 0.17,
                  "ColdNs": 24 * SECOND, "DrainGraceNs": 500 * MS, "FallMultiple": 3.0, "FallNs": 3 * SECOND},
        "Stats": {"Fields": [], "Via": "off"}, "TickNs": 5 * MS, "WorthBy": "request", "OverShareWorth": 1.0,
        "Extra": {"WarmKeys": False},
    }  # fmt: skip


def free_address() -> str:
    """Return a loopback address whose port is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class Sidecar:
    """A real sidecar, started by `run` of the deploy file in a process group of its own."""

    def __init__(self, record: Record, discovery: Discovery, config: dict[str, Any]) -> None:
        self._record = record
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.listen = free_address()
        self._config = {
            "name": "n1", "listen": self.listen, "discovery": discovery.dial, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 512}, "known": discovery.whole(),
            "settings": config,
        }  # fmt: skip
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> tuple[str, int]:
        host, _, port = self.listen.rpartition(":")
        return host, int(port)

    async def start(self) -> None:
        """Start the process and wait until it is up. Raises CannotRun if it does not come up."""
        folder = Path(self._folder.name)
        path = folder / "config.json"
        path.write_text(json.dumps(self._config))
        temporary = folder / "tmp"
        temporary.mkdir(exist_ok=True)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = dict(os.environ, PROXY_CONFIG=str(path), TMPDIR=str(temporary))
        self._process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=(folder / "log").open("wb"), stderr=subprocess.STDOUT, start_new_session=True,
        )  # fmt: skip
        give_up_at = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < give_up_at:
            if self._process.poll() is not None:
                break
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                head = await reader.readuntil(b"\r\n")
                writer.close()
                if b" 200 " in head:
                    self._record.line("sidecar", "up")
                    return
            await asyncio.sleep(0.1)
        raise CannotRun("the sidecar did not come up: " + (folder / "log").read_text()[-500:])

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    async def stop(self) -> None:
        """End the process, by SIGTERM and after 4 s by SIGKILL, and remove its folder."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGTERM)
            for _ in range(40):
                await asyncio.sleep(0.1)
                if self._process.poll() is not None:
                    break
            else:
                self._process.kill()
                self._process.wait()
        if self._process is not None:
            self._record.line("sidecar", f"ended with {self._process.returncode}")
        self._folder.cleanup()


def request_bytes(kind: str, id: str, deadline: float, key: str = "", body: bytes = b"") -> bytes:
    """Build a client's request: POST with a key, or GET without one."""
    lines = [
        f"{'POST' if key else 'GET'} /api HTTP/1.1", "Host: backend.local", f"Req-Id: {id}",
        f"Req-Kind: {kind}", f"Req-Deadline: {deadline:.3f}",
    ]  # fmt: skip
    if key:
        lines += [f"Idempotency-Key: {key}", f"Content-Length: {len(body)}"]
    return "\r\n".join((*lines, "", "")).encode() + body


def run_play(folder: Path, play: Callable[[Record, bool], Awaitable[bool]], limit: float) -> int:
    """Run a play for at most `limit` seconds. Return the exit code: 0 if the rule held, 1 if it was broken,
    2 if the case could not run. `play` gets the record and whether there is the disruption."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line("play", f"begins, disruption: {'yes' if trouble else 'no'}")

    async def limited() -> bool:
        async with asyncio.timeout(limit):
            return await play(record, trouble)

    try:
        held = asyncio.run(limited())
    except (CannotRun, OSError, TimeoutError) as problem:
        record.line("play", f"could not run: {type(problem).__name__} {problem}")
        return 2
    else:
        record.line("play", "the rule held" if held else "THE RULE WAS BROKEN")
        return 0 if held else 1
    finally:
        record.close()

"""Stand-ins for the cases 6 to 10: discovery, quote engines, clients, and the sidecar's process.

Everything listens on 127.0.0.1 on free ports. The stand-ins follow the protocol's page: discovery answers
whole lists and watches, an engine begins a request once its last byte has come, a client sends one request
at a time.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MS = 1_000_000
SECOND = 1_000 * MS
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
START = time.monotonic()


def now() -> float:
    """Seconds since the script began."""
    return time.monotonic() - START


class CouldNotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        self._file.write(f"{now():9.4f} {text}\n")
        self._file.flush()


def category(name: str, effect: str = "retryable", **changes: Any) -> dict[str, Any]:
    """A class of requests as in the settings' page."""
    given = {
        "Name": name, "Effect": effect, "AimNs": 400 * MS, "HardLimitNs": 2 * SECOND, "Importance": 1.0,
        "KeyScope": "all", "LateWorth": 0.0, "Stream": False, "WindowNs": 5 * SECOND,
    }  # fmt: skip
    return given | changes


def settings(*categories: dict[str, Any], **changes: Any) -> dict[str, Any]:
    """The settings of a small deployment: the example of the settings' page, with these classes."""
    given: dict[str, Any] = {
        "Azs": ["nantun", "wuri"], "Categories": list(categories), "Clients": {"MarksRetry": False},
        "Deductions": {"CrossZone": 0.014, "LateFail": 0.072, "Probe": 0.01, "Waste": 0.15},
        "Discovery": "on_request", "Extra": {"WarmKeys": False}, "Family": "mesh",
        "Kinds": ["fast-1c", "std-1c"],
        "Limits": {
            "Cancel": True, "ConnIdleNs": 10 * SECOND, "ConnectTimeoutNs": 200 * MS, "MaxAttempts": 4,
            "MaxRetryAfterNs": 1500 * MS, "ParallelTries": False, "Peers": False, "Probes": False,
            "RetryAfter": True, "StreamsPerConn": 1,
        },
        "NInstances": 2, "Orgs": [{"Name": "xitun", "Portion": 1.0, "QuotaPerS": 100.0}],
        "OverShareWorth": 0.2, "Position": 1,
        "Rules": {
            "AnswerSlackNs": 20 * MS, "AskWithinNs": 10 * SECOND, "ColdFrom": 0.17, "ColdNs": 24 * SECOND,
            "DrainGraceNs": 500 * MS, "FallMultiple": 3.0, "FallNs": 3 * SECOND,
        },
        "Stats": {"Fields": [], "Via": "off"}, "TickNs": 5 * MS, "WeightSource": "off",
        "WorthBy": "request", "Zone": 0,
    }  # fmt: skip
    return given | changes


class Discovery:
    """The list of quote engines, with watches. `slowness` is how long each answer waits, in seconds."""

    def __init__(self, record: Record, name: str = "discovery") -> None:
        self.record, self.name = record, name
        self.seq = 41
        self.hosts: dict[str, dict[str, Any]] = {}
        self.slowness = 0.0
        self.port = 0
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, engine: Engine, **changes: Any) -> None:
        """List an engine, or change its entry, as a new version of the list."""
        entry = {
            "host": engine.name, "dial": f"127.0.0.1:{engine.port}", "site": engine.site, "class": "fast-1c",
            "block": engine.block, "health": "up", "share": 1.0, "born_ms": 0,
        } | changes  # fmt: skip
        self.hosts[engine.name] = entry
        self.seq += 1
        self._changes.append((self.seq, entry))
        self._changed.set()
        self._changed = asyncio.Event()
        self.record(f"{self.name}: version {self.seq}: {engine.name} is {entry['health']}")

    def whole(self) -> dict[str, Any]:
        listed = [entry for entry in self.hosts.values() if entry["health"] != "removed"]
        return {"seq": self.seq, "whole": True, "hosts": listed}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ")[1]
                self.record(f"{self.name}: call {target}")
                answer = await self._answer(target)
                if self.slowness:
                    await asyncio.sleep(self.slowness)
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                self.record(f"{self.name}: wrote version {answer['seq']}, {len(answer['hosts'])} entries")
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, target: str) -> dict[str, Any]:
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        if "from" not in query:
            return self.whole()
        since, hold = int(query["from"]), int(query.get("hold_ms", "0")) / 1000
        if since == self.seq and hold:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), hold)
        last = {entry["host"]: entry for seq, entry in self._changes if seq > since}
        return {"seq": self.seq, "whole": False, "hosts": list(last.values())}

    async def stop_listening(self, close_after: float) -> None:
        """Take no new connections, and close the open ones after so many seconds."""
        assert self._server is not None
        self._server.close()
        await asyncio.sleep(close_after)
        for writer in list(self._writers):
            writer.transport.abort()


class Call:
    """A request that has come whole to an engine."""

    def __init__(self, head: bytes, body: bytes, writer: asyncio.StreamWriter, number: int) -> None:
        self.head, self.body, self.writer, self.connection = head, body, writer, number
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target = lines[0].split(" ")[:2]
        fields = (line.partition(":") for line in lines[1:] if line)
        self.fields = {name.strip().lower(): value.strip() for name, _, value in fields}
        self.id = self.fields.get("req-id", "")

    def answer(self, body: bytes, status: str = "200 OK", extra: str = "") -> None:
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
        self.writer.write(head.encode() + body)


async def serve_at_once(call: Call) -> None:
    """Serve a request with a body that names its id."""
    call.answer(b"quote for " + call.id.encode())


class Engine:
    """A quote engine; `act` answers a request once its last byte has come."""

    def __init__(self, record: Record, name: str, site: str = "nantun", block: int = 3) -> None:
        self.record, self.name, self.site, self.block = record, name, site, block
        self.act: Callable[[Call], Awaitable[None]] = serve_at_once
        self.port = self.connections = 0
        self.calls: list[tuple[float, Call]] = []

    async def listen(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                call = Call(head, b"", writer, number)
                if "content-length" in call.fields:
                    call.body = await reader.readexactly(int(call.fields["content-length"]))
                if call.target in ("/alive", "/metrics/load"):
                    call.answer(b"")
                    continue
                self.calls.append((now(), call))
                self.record(f"{self.name}: runs {call.method} {call.id}, connection {number}")
                await self.act(call)
                await writer.drain()
        writer.close()


class Sidecar:
    """The sidecar's process, started by `run` of the deploy file."""

    def __init__(self, record: Record, config: dict[str, Any], folder: Path, name: str = "n1") -> None:
        self.record, self.config, self.folder, self.name = record, config, folder, name
        self.path = folder / f"{name}.json"
        self.process: subprocess.Popen[bytes] | None = None
        self.port = int(config["listen"].rpartition(":")[2])

    def configure(self, **changes: Any) -> None:
        """Write the configuration file, with these changes, in one step."""
        self.config |= changes
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(self.config), encoding="utf-8")
        fresh.replace(self.path)

    def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        tmp = self.folder / "tmp"
        tmp.mkdir(exist_ok=True)
        environ = os.environ | {"PROXY_CONFIG": str(self.path), "TMPDIR": str(tmp)}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record(f"sidecar: started, process {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record(f"sidecar: {number.name}")
        self.process.send_signal(number)

    async def ready(self, within: float = 30.0) -> None:
        """Wait until GET /up is answered with 200."""
        until = now() + within
        while now() < until:
            with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
                status, _ = await ask(self.port, b"GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n", 1.0)
                if status == 200:
                    self.record("sidecar: ready")
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRun("the sidecar is not ready")

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None


def free_port() -> int:
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def configuration(discovery: Discovery, wanted: dict[str, Any], **changes: Any) -> dict[str, Any]:
    return {
        "name": "n1", "listen": f"127.0.0.1:{free_port()}", "discovery": f"127.0.0.1:{discovery.port}",
        "seed": secrets.token_hex(8), "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024},
        "known": discovery.whole(), "settings": wanted,
    } | changes  # fmt: skip


def new_id() -> str:
    return secrets.token_hex(8)


def request(
    kind: str, rid: str, deadline: float = 1.5, key: str = "", body: bytes = b"", safe: bool = True
) -> bytes:
    """The bytes of a request as on the protocol's page."""
    lines = [
        f"{'GET' if safe else 'POST'} /api HTTP/1.1", "Host: backend.local", f"Req-Id: {rid}",
        f"Req-Kind: {kind}", "Req-Owner: xitun", f"Req-Deadline: {deadline:.3f}",
    ]  # fmt: skip
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if not safe:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (b"" if safe else body)


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Read an answer: its status and body. Raises EOFError if the connection ends without a whole answer."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            if status >= 200:
                break
        fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        if "chunked" in fields.get("transfer-encoding", ""):
            body = b""
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
            return status, body
        if "content-length" in fields:
            return status, await reader.readexactly(int(fields["content-length"]))
        return status, await reader.read()
    except asyncio.IncompleteReadError as problem:
        raise EOFError(f"ended after {len(problem.partial)} bytes") from None


async def ask(port: int, raw: bytes, within: float) -> tuple[int, bytes]:
    """Send a request on a connection of its own and return status and body of its answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(raw)
        return await asyncio.wait_for(read_answer(reader), within)
    finally:
        writer.transport.abort()


class Client:
    """A client's connection: one request at a time, kept, opened anew if the sidecar has closed it."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(self, raw: bytes, within: float) -> tuple[int, bytes]:
        if self._streams is None or self._streams[0].at_eof():
            self._streams = await asyncio.open_connection("127.0.0.1", self._port)
        reader, writer = self._streams
        try:
            writer.write(raw)
            return await asyncio.wait_for(read_answer(reader), within)
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


def play(
    case: Callable[[Record, Path, list[Sidecar]], Awaitable[int]], script: str, limit: float = 100.0
) -> None:
    """Play a case, end its processes, and exit with its result."""
    record = Record(Path(script).resolve().parent)
    record(f"trouble: {'yes' if TROUBLE else 'no'}")
    started: list[Sidecar] = []
    result = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = asyncio.run(asyncio.wait_for(case(record, Path(folder), started), limit))
        except (CouldNotRun, OSError, TimeoutError) as problem:
            record(f"could not run: {type(problem).__name__} {problem}")
        finally:
            for sidecar in started:
                sidecar.end()
            for log in sorted(Path(folder).glob("*.log")):
                record(f"log {log.name}, last lines:\n" + log.read_text(errors="replace")[-3000:])
    record(f"result: {result} ({('held', 'broken', 'could not run')[result]})")
    with contextlib.suppress(OSError):
        print(f"result {result}: {('held', 'broken', 'could not run')[result]}", flush=True)
    os._exit(result)

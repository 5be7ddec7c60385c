"""Clients that misbehave, hundreds at once: each repeats its behaviour until the play ends."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from sprucenotch.node.config import address
from sprucenotch.testbed.pressure.client import MAX_LATE, Finding, send
from sprucenotch.testbed.pressure.request import AnswerForm, RequestWriter
from sprucenotch.testbed.transfers.server import read_head

STAY = 4.0  # seconds that a client stays on its connection, waiting for an answer or a close
MAX_IMPROPER = 3.0  # seconds from connecting within which an improper client must get an error or a close
LEAVE_SLACK = 0.1  # seconds after a client's close in which an attempt may still begin
PIPELINED = 60  # requests that a leaving client sends at once
FLOOD_PIECE = 16 * 1024  # bytes
REPEAT_WORK = 0.3  # seconds that a server works on a request whose client leaves and comes again

Streams: TypeAlias = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Behaviour(StrEnum):
    """What the misbehaving clients of a play do."""

    NONE = "none"
    MANY_FIELDS = "many-fields"  # heads of thousands of short fields, some never completed
    LONG_FIELD = "long-field"  # a header that does not end
    SLOW_HEADS = "slow-heads"  # a head written in small pieces over two seconds
    HALF_BODIES = "half-bodies"  # a large request that stops half way
    TINY_CHUNKS = "tiny-chunks"  # a body in chunks of a byte
    SLOW_READERS = "slow-readers"  # long answers that are read slowly
    IDLE = "idle"  # connections that send nothing
    FLOOD = "flood"  # small requests at full speed, under ever new names
    UNSOUND_FLOOD = "unsound-flood"  # input that is no HTTP, on ever new connections at full speed
    LEAVERS = "leavers"  # many requests at once, nothing read, then the client closes
    REPEATERS = "repeaters"  # an id that comes again after its client has left
    CHECK_BODIES = "check-bodies"  # GET /up with a long head in pieces, or with a body of megabytes
    REFUSED_HEADS = "refused-heads"  # a long head that is turned down, then a body or trailer without an end
    UNREAD_TURNS = "unread-turns"  # answers that wait for their turn or are not read, with long requests
    UPLOADS = "uploads"  # large requests, written at once, to servers that read slowly or stop


class Left(NamedTuple):
    """A client that closed its connection: its requests, and the time on the monotonic clock."""

    ids: tuple[str, ...]
    at: float


class Peers:
    """The misbehaving clients of a play."""

    def __init__(
        self, dial: str, requests: RequestWriter, rng: random.Random, lateness: Callable[[], float]
    ) -> None:
        self._address, self._requests, self._rng, self._lateness = address(dial), requests, rng, lateness
        self.left: list[Left] = []
        self.repeated: list[str] = []  # ids that were sent again after their client had left
        self.findings: list[Finding] = []
        self.rounds = 0  # connections opened
        self._behaviours: dict[Behaviour, Callable[[Streams], Awaitable[None]]] = {
            Behaviour.MANY_FIELDS: self._many_fields, Behaviour.LONG_FIELD: self._long_field,
            Behaviour.SLOW_HEADS: self._slow_head, Behaviour.HALF_BODIES: self._half_body,
            Behaviour.TINY_CHUNKS: self._tiny_chunks, Behaviour.SLOW_READERS: self._slow_reader,
            Behaviour.IDLE: self._idle, Behaviour.FLOOD: self._flood,
            Behaviour.UNSOUND_FLOOD: self._unsound, Behaviour.LEAVERS: self._leave,
            Behaviour.REPEATERS: self._repeat, Behaviour.UPLOADS: self._upload,
            Behaviour.CHECK_BODIES: self._check_with_body, Behaviour.REFUSED_HEADS: self._refused_head,
            Behaviour.UNREAD_TURNS: self._unread_turns,
        }  # fmt: skip

    async def run(self, behaviour: Behaviour, number: int, until: float) -> None:
        """Run so many clients until that time on the monotonic clock."""
        if behaviour is not Behaviour.NONE:
            await asyncio.gather(*(self._repeatedly(behaviour, until) for _ in range(number)))

    async def _repeatedly(self, behaviour: Behaviour, until: float) -> None:
        await asyncio.sleep(self._rng.random() * 0.2)
        while time.monotonic() < until:
            try:
                streams = await asyncio.open_connection(*self._address)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            self.rounds += 1
            self._until = until
            try:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    await self._behaviours[behaviour](streams)
            finally:
                streams[1].transport.abort()
            await asyncio.sleep(0.02)

    async def _await_end(self, streams: Streams, what: str, began: float) -> None:
        """Wait for an error or a close, which an improper client is owed."""
        late_before = self._lateness()
        try:
            async with asyncio.timeout(STAY):
                await streams[0].read(1000)
        except TimeoutError:
            if self._lateness() - late_before < STAY - MAX_IMPROPER:
                took = time.monotonic() - began
                self.findings.append(Finding("improper client kept", "", f"{what}: nothing in {took:.1f} s"))

    async def _many_fields(self, streams: Streams) -> None:
        _, writer = streams
        began = time.monotonic()
        number = self._rng.choice((500, 2000, 5000, 8000))
        fields = "".join(f"x{n:x}:{n % 10}\r\n" for n in range(number)).encode()
        cls, id = self._requests.draw_class(), self._requests.next_id()
        head = self._requests.head(cls, id, AnswerForm())[:-2] + fields
        for at in range(0, len(head), len(head) // 3 + 1):
            send(writer, head[at : at + len(head) // 3 + 1])
            await asyncio.sleep(self._rng.random() * 0.2)
        if self._rng.random() < 0.5:
            send(writer, b"\r\n")
        await self._await_end(streams, "a head of many fields", began)

    async def _long_field(self, streams: Streams) -> None:
        _, writer = streams
        began = time.monotonic()
        send(writer, b"GET /api HTTP/1.1\r\nX-Long: ")
        while time.monotonic() < began + STAY:
            send(writer, b"x" * 65536)
            await writer.drain()
        self.findings.append(Finding("improper client kept", "", "a header without an end"))

    async def _slow_head(self, streams: Streams) -> None:
        _, writer = streams
        cls, id = self._requests.draw_class(), self._requests.next_id()
        head = self._requests.head(cls, id, AnswerForm())
        for at in range(0, len(head), 10):
            send(writer, head[at : at + 10])
            await asyncio.sleep(2.0 / (len(head) / 10))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(read_head(streams[0]), STAY)

    async def _half_body(self, streams: Streams) -> None:
        _, writer = streams
        began = time.monotonic()
        size = self._rng.choice((2_000, 60_000, 200_000, 2_000_000))
        cls, id = self._requests.draw_class(with_body=True), self._requests.next_id()
        lines = ("Transfer-Encoding: chunked",) if self._rng.random() < 0.3 else (f"Content-Length: {size}",)
        send(writer, self._requests.head(cls, id, AnswerForm(), lines))
        half = b"y" * (size // 2)
        send(writer, half if "Length" in lines[0] else b"%x\r\n%s" % (size, half))
        await self._await_end(streams, f"half of a body of {size} bytes", began)

    async def _check_with_body(self, streams: Streams) -> None:
        reader, writer = streams
        start = b"GET /up?check HTTP/1.1\r\nHost: x\r\n"
        if self._rng.random() < 0.3:
            for _ in range(20):
                send(writer, start + b"Cookie: " + b"c" * self._rng.choice((8_000, 16_000, 30_000)))
                await asyncio.sleep(0.005)
                send(writer, b"\r\n\r\n")
                await asyncio.wait_for(read_head(reader), STAY)
                await reader.readline()
            return
        size = self._rng.choice((50_000, 500_000, 60_000_000))
        chunks = self._rng.random() < 0.7
        send(writer, start + (b"Transfer-Encoding: chunked" if chunks else b"Content-Length: %d" % size))
        send(writer, b"\r\n\r\n")
        piece = b"c350\r\n%s\r\n" % bytes(50_000) if chunks else bytes(50_000)
        until = time.monotonic() + STAY
        for _ in range(0, size - 50_000, 50_000):
            if time.monotonic() > until:
                break
            send(writer, piece)
            await asyncio.wait_for(writer.drain(), STAY)
        await asyncio.sleep(self._rng.random())

    async def _refused_head(self, streams: Streams) -> None:
        reader, writer = streams
        size = self._rng.choice((3_000, 16_000, 30_000))
        head = b"POST /api HTTP/1.1\r\nHost: x\r\nReq-Kind: none\r\nCookie: %s\r\n" % (b"c" * size)
        send(writer, head + b"Transfer-Encoding: chunked\r\n\r\n")
        await asyncio.wait_for(read_head(reader), STAY)
        trailer = self._rng.random() < 0.5
        send(writer, b"0\r\nX-Trailer: " + b"t" * 25_000 if trailer else b"fffff\r\n" + b"b" * 1000)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STAY):
                while await reader.read(1000):
                    pass

    async def _unread_turns(self, streams: Streams) -> None:
        reader, writer = streams
        own = writer.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        reader._limit = 1  # type: ignore[attr-defined]  # nothing is read
        first, cls = self._requests.draw_class(), self._requests.draw_class(with_body=True)
        raw = bytearray(self._requests.head(first, self._requests.next_id(), AnswerForm(work=2.0)))
        if self._rng.random() < 0.5:
            raw += b"GET /up HTTP/1.1\r\n\r\n" * 200
        else:
            for _ in range(15):
                id, size = self._requests.next_id(), 60_000
                raw += self._requests.head(cls, id, AnswerForm(), (f"Content-Length: {size}",))
                raw += b"b" * size
        send(writer, raw)
        await asyncio.sleep(STAY / 2)

    async def _tiny_chunks(self, streams: Streams) -> None:
        _, writer = streams
        cls, id = self._requests.draw_class(with_body=True), self._requests.next_id()
        send(writer, self._requests.head(cls, id, AnswerForm(), ("Transfer-Encoding: chunked",)))
        for _ in range(30):
            send(writer, b"1\r\nz\r\n" * 500)
            await writer.drain()
            await asyncio.sleep(0.02)
        send(writer, b"0\r\n\r\n")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(read_head(streams[0]), STAY)

    async def _slow_reader(self, streams: Streams) -> None:
        reader, writer = streams
        reader._limit = 2048  # type: ignore[attr-defined]  # the rest stays with the kernel
        framing = self._rng.choice(("length", "chunked", "close"))
        form = AnswerForm(size=self._rng.choice((60_000, 200_000, 4_000_000)), framing=framing)
        cls, id = self._requests.draw_class(), self._requests.next_id()
        requests = self._requests.head(cls, id, form)
        if self._rng.random() < 0.3:
            requests += self._requests.head(cls, self._requests.next_id(), form)
        send(writer, requests)
        until = min(time.monotonic() + STAY, self._until)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + until - time.monotonic()):
                while await reader.read(1000):
                    await asyncio.sleep(0.1)

    async def _idle(self, streams: Streams) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(streams[0].read(1), STAY)

    def _flood_piece(self) -> bytes:
        """Small requests under new names: of classes, headers, tenants and paths."""
        form, pieces = AnswerForm(work=0.0), list[bytes]()
        size = 0
        while size < FLOOD_PIECE:
            cls, id = self._requests.draw_class(), self._requests.next_id()
            head = self._requests.head(cls, id, form, (f"X-{id}: {id}",))
            match self._rng.randrange(5):
                case 0:
                    head = head.replace(cls.name.encode(), f"no-{id}".encode(), 1)
                case 1:
                    head = head.replace(cls.method.encode(), b"PUT", 1)
                case 2:
                    head = f"GET /up?{id} HTTP/1.1\r\nHost: {id}\r\n\r\n".encode()
                case 3:
                    head = f"GET /{id} HTTP/1.1\r\nHost: {id}\r\n\r\n".encode()
            pieces.append(head)
            size += len(head)
        return b"".join(pieces)

    async def _flood(self, streams: Streams) -> None:
        reader, writer = streams

        async def read_all() -> None:
            while await reader.read(65536):
                pass

        reading = asyncio.ensure_future(read_all())
        try:
            while time.monotonic() < self._until and not reading.done():
                send(writer, self._flood_piece())
                await asyncio.wait_for(writer.drain(), STAY)
                await asyncio.sleep(0)
        except TimeoutError:
            pass
        finally:
            reading.cancel()

    async def _unsound(self, streams: Streams) -> None:
        reader, writer = streams
        send(
            writer,
            self._rng.choice((b"\x16\x03\x01\x02\x00", b"GET\r\n\r\n", b"\r\n\r\nX" * 2000, b"PRI * ")),
        )
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reader.read(1000), STAY)

    async def _leave(self, streams: Streams) -> None:
        reader, writer = streams
        form = AnswerForm(work=self._rng.choice((0.0, 0.02, 0.1)), size=self._rng.choice((200, 30_000)))
        size = self._rng.choice((0, 0, 3_000, 30_000))
        raw, ids = bytearray(), list[str]()
        reader._limit = 1  # type: ignore[attr-defined]  # nothing is read
        for _ in range(PIPELINED):
            cls, id = self._requests.draw_class(with_body=size > 0), self._requests.next_id()
            lines = (f"Content-Length: {size}",) if size and cls.method == "POST" else ()
            raw += self._requests.head(cls, id, form, lines) + b"b" * (size if lines else 0)
            ids.append(id)
        send(writer, raw)
        await asyncio.sleep(self._rng.uniform(0.02, 0.12))
        writer.transport.abort()  # the kernel goes on sending what it has taken
        await asyncio.sleep(0)
        self.left.append(Left(tuple(ids), time.monotonic()))
        await asyncio.sleep(0.3)

    async def _repeat(self, streams: Streams) -> None:
        form = AnswerForm(work=REPEAT_WORK)
        cls, id = self._requests.draw_class(with_body=True), self._requests.next_id()
        head = self._requests.head(cls, id, form)
        send(streams[1], head)
        await asyncio.sleep(self._rng.uniform(0.01, 0.2))
        answered = await self._read_now(streams[0])
        streams[1].transport.abort()
        if answered.startswith(b"HTTP/1.1 503 "):
            return  # refused: it may be sent again
        await asyncio.sleep(self._rng.choice((0.0, 0.02, 0.3, 1.0)))
        reader, writer = await asyncio.open_connection(*self._address)
        try:
            self.repeated.append(id)
            send(writer, head)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(read_head(reader), STAY)
        finally:
            writer.transport.abort()

    async def _read_now(self, reader: asyncio.StreamReader) -> bytes:
        """Return what has arrived."""
        try:
            return await asyncio.wait_for(reader.read(1000), 0.001)
        except TimeoutError:
            return b""

    async def _upload(self, streams: Streams) -> None:
        """Write a large request at once, and judge when its final answer comes."""
        reader, writer = streams
        writer.transport.set_write_buffer_limits(high=0)
        # The kernel takes all at once, and the last byte waits there for the sidecar.
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
        size = self._rng.choice((100_000, 400_000, 800_000))
        rate, stops = self._rng.choice((50_000.0, 100_000.0, 400_000.0)), self._rng.random() < 0.4
        form = AnswerForm(read_limit=30_000) if stops else AnswerForm(read_rate=rate)
        cls, id = self._requests.draw_class(with_body=True), self._requests.next_id()
        deadline = self._rng.uniform(0.4, cls.deadline) if cls.deadline > 0.4 else cls.deadline
        chunked = self._rng.random() < 0.5
        framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
        body = b"u" * size
        if chunked:
            body = b"".join(b"2000\r\n%s\r\n" % body[:8192] for _ in range(size // 8192)) + b"0\r\n\r\n"
        send(writer, self._requests.head(cls, id, form, (framing,), deadline) + body)
        answer = asyncio.ensure_future(read_head(reader))
        written = asyncio.ensure_future(writer.drain())
        try:
            await asyncio.wait((answer, written), timeout=20.0, return_when=asyncio.FIRST_COMPLETED)
            sent_at, late_before = time.monotonic(), self._lateness()
            due = deadline + MAX_LATE
            await asyncio.wait((answer,), timeout=due + STAY)
            took = time.monotonic() - sent_at - (self._lateness() - late_before)
            what = f"upload of {size} bytes, {framing}, {form}"
            if not answer.done():
                self.findings.append(Finding("late", id, f"{what}: no answer after {took:.1f} s"))
            elif took > due:
                self.findings.append(Finding("late", id, f"{what}: {took:.2f} s, deadline {deadline:.2f}"))
            elif answer.exception() is not None:
                self.findings.append(Finding("lost", id, f"{what}: {answer.exception()!r}"))
        finally:
            for task in (answer, written):
                task.cancel()
            await asyncio.gather(answer, written, return_exceptions=True)

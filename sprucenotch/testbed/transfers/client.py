"""A client that sends one request after another on a kept connection, and judges what comes back."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple, TypeVar

from sprucenotch.testbed.transfers.server import read_chunk, read_head
from sprucenotch.testbed.transfers.transfer import Transfer, chunked, draw

DEADLINE = 3.0  # seconds, of each request
MAX_LATE = 0.5  # seconds after its deadline by which the final answer must have begun
MAX_HELD_BACK = 2.0  # seconds without a byte of an answer that its server goes on giving
MAX_PAUSE = 0.1  # seconds between two requests
READ_SIZE = 30_000  # bytes
# The segment size of an Ethernet link and a small buffer, of two in three clients: of an answer that is not
# read the kernel then holds tens of kilobytes, where loopback holds megabytes.
SEGMENT_SIZE, RECEIVE_BUFFER = 1448, 4096
READ_AHEAD = 4096  # bytes that are read before they are wanted, so that a pause is one for the sidecar too

T = TypeVar("T")


class Finding(NamedTuple):
    """A broken promise to a client that stayed."""

    rule: str  # lost, held back, broken off, not as made
    id: str  # of the request
    said: str


class _Broken(Exception):
    """The request cannot be completed; the message is the broken rule and what was seen."""

    def __init__(self, rule: str, said: str) -> None:
        super().__init__(rule, said)
        self.rule, self.said = rule, said


class TransferClient:
    """One client of a play. `lateness` returns the seconds by which the testbed has been late so far: time in
    which it could not notice an answer counts against nobody."""

    def __init__(self, number: int, seed: int, dial: str, lateness: Callable[[], float]) -> None:
        self._number, self._seed, self._lateness = number, seed, lateness
        host, _, port = dial.rpartition(":")
        self._address = (host, int(port))
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.statuses: Counter[int] = Counter()
        self.left = 0  # requests that it left before it had the whole answer
        self.findings: list[Finding] = []

    async def run(self, until: float) -> None:
        """Send requests until that time on the monotonic clock."""
        number = 0
        while time.monotonic() < until:
            number += 1
            transfer = draw(self._seed, f"{self._number}-{number}")
            try:
                await self._transfer(transfer)
            except _Broken as problem:
                self.findings.append(Finding(problem.rule, transfer.id, problem.said))
                self._close()
            await asyncio.sleep(transfer.pieces().random() * MAX_PAUSE)
        self._close()

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _connect(self, transfer: Transfer) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return the kept connection, or a new one, whose send buffer has not grown, if the client will leave
        in its answer."""
        if transfer.leaves == "in its answer":
            self._close()
        if self._reader is None or self._writer is None:
            opened = socket.socket()
            if self._number % 3:
                opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_SIZE)
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            opened.setblocking(False)
            await asyncio.get_running_loop().sock_connect(opened, self._address)
            self._reader, self._writer = await asyncio.open_connection(sock=opened, limit=READ_AHEAD)
        return self._reader, self._writer

    async def _transfer(self, transfer: Transfer) -> None:
        """Send one request and read its answer. Raises _Broken."""
        reader, writer = await self._connect(transfer)
        try:
            await self._send(transfer, writer)
            if transfer.leaves == "after its request":
                self._leave()
                return
            first, headers = await self._within(read_head(reader), DEADLINE + MAX_LATE, "lost")
            status = int(first.split(" ")[1])
            self.statuses[status] += 1
            await asyncio.sleep(transfer.reading_pause)
            if transfer.leaves == "in its answer" and status == 200:
                self._leave()
                return
            body = await self._read_body(reader, headers)
        except (ConnectionError, asyncio.IncompleteReadError) as problem:
            raise _Broken("broken off", type(problem).__name__) from None
        if status == 200 and body != transfer.answer:
            raise _Broken("not as made", f"{len(body)} bytes, not the {transfer.answer_size} of its server")
        if headers.get("connection", "").lower() == "close":
            self._close()

    def _leave(self) -> None:
        self.left += 1
        self._close()

    async def _send(self, transfer: Transfer, writer: asyncio.StreamWriter) -> None:
        raw = request_bytes(transfer)
        cuts = [int(share * len(raw)) for share in transfer.cuts]
        for start, end in zip((0, *cuts), (*cuts, len(raw)), strict=True):
            writer.write(raw[start:end])
            if end < len(raw):
                await asyncio.sleep(transfer.cut_pause)
        # A sidecar reads no further once it has answered; the answer is read then.
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(DEADLINE):
                await writer.drain()

    async def _read_body(self, reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
        body = bytearray()
        if headers.get("transfer-encoding") == "chunked":
            while chunk := await self._within(read_chunk(reader), MAX_HELD_BACK, "held back"):
                body += chunk
            return bytes(body)
        length = int(headers["content-length"])
        while len(body) < length:
            wanted = min(length - len(body), READ_SIZE)
            piece = await self._within(reader.read(wanted), MAX_HELD_BACK, "held back")
            if not piece:
                raise asyncio.IncompleteReadError(bytes(body), length)
            body += piece
        return bytes(body)

    async def _within(self, reading: Coroutine[Any, Any, T], seconds: float, rule: str) -> T:
        """Wait for input for so long, and for as long as the testbed itself was late. Raises _Broken."""
        waiting = asyncio.ensure_future(reading)
        lateness = self._lateness()
        ends_at = time.monotonic() + seconds
        while (left := ends_at + self._lateness() - lateness - time.monotonic()) > 0:
            done, _ = await asyncio.wait((waiting,), timeout=left)
            if done:
                return waiting.result()
        waiting.cancel()
        raise _Broken(rule, f"nothing came for {seconds:g} s")


def request_bytes(transfer: Transfer) -> bytes:
    """Build the request: a POST if it has a body, else a GET."""
    lines = [
        f"{'POST' if transfer.upload_size else 'GET'} /api HTTP/1.1", "Host: backend.local",
        f"Req-Id: {transfer.id}", f"Req-Kind: {'upload' if transfer.upload_size else 'download'}",
        f"Req-Deadline: {DEADLINE:.3f}",
    ]  # fmt: skip
    if not transfer.upload_size:
        return "\r\n".join((*lines, "", "")).encode()
    lines.append(f"Idempotency-Key: {transfer.id}")
    if not transfer.upload_chunk:
        lines.append(f"Content-Length: {transfer.upload_size}")
        return "\r\n".join((*lines, "", "")).encode() + transfer.upload
    lines.append("Transfer-Encoding: chunked")
    return "\r\n".join((*lines, "", "")).encode() + chunked(transfer.upload, transfer.upload_chunk)

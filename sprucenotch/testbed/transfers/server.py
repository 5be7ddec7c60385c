"""A server that reads requests slowly and answers in pieces, with a length or in chunks."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from abc import ABC, abstractmethod

from sprucenotch.testbed.http import BACKLOG, HOST, response
from sprucenotch.testbed.transfers.transfer import MAX_PIECE_PAUSE, PIECE_SIZES, Transfer, draw

MAX_HEAD = 1 << 20  # bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    return first, {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read a chunk; empty at the end of the body, which has no trailers."""
    size = int(await reader.readuntil(b"\r\n"), 16)
    return (await reader.readexactly(size + 2))[:-2]


class Pieces:
    """The sizes of the pieces in which a server reads and writes, and the pauses between them."""

    def __init__(self, transfer: Transfer) -> None:
        self._rng, self._pause_share = transfer.pieces(), transfer.pause_share

    def size(self) -> int:
        """Draw the size of the next piece in bytes."""
        return self._rng.choice(PIECE_SIZES)

    async def pause(self) -> None:
        """Pause after a piece, sometimes."""
        if self._rng.random() < self._pause_share:
            await asyncio.sleep(self._rng.random() * MAX_PIECE_PAUSE)


class StreamServer(ABC):
    """A server on a loopback port; subclasses serve one request after another of each connection.

    `options` are set on the listening socket, and its connections inherit them: level, name and value.
    """

    options: tuple[tuple[int, int, int], ...] = ()

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._serving: set[asyncio.Task[None]] = set()
        self.dial = ""

    async def start(self) -> None:
        listener = socket.socket()
        for level, name, value in self.options:
            listener.setsockopt(level, name, value)
        listener.bind((HOST, 0))
        self._server = await asyncio.start_server(self._serve, sock=listener, backlog=BACKLOG, limit=MAX_HEAD)
        self.dial = f"{HOST}:{listener.getsockname()[1]}"

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            while True:
                await self.serve_request(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the sidecar has closed the connection, or the play is over
        finally:
            self._serving.discard(task)
            with contextlib.suppress(OSError):
                writer.close()

    @abstractmethod
    async def serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the next request. Raises OSError or IncompleteReadError to end the connection."""


class TransferServer(StreamServer):
    """One server of a play. `wrong_uploads` has the ids of requests whose body was changed on the way."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self._seed = seed
        self.wrong_uploads: list[str] = []

    async def serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers = await read_head(reader)
        if "req-id" not in headers:  # a probe
            await write(writer, response(200))
            return
        transfer = draw(self._seed, headers["req-id"])
        pieces = Pieces(transfer)
        if await self._read_body(reader, headers, pieces) != transfer.upload:
            self.wrong_uploads.append(transfer.id)
        await self._answer(writer, transfer, pieces)

    async def _read_body(
        self, reader: asyncio.StreamReader, headers: dict[str, str], pieces: Pieces
    ) -> bytes:
        body = bytearray()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while chunk := await read_chunk(reader):
                body += chunk
                await pieces.pause()
            return bytes(body)
        length = int(headers.get("content-length", "0"))
        while len(body) < length:
            body += await reader.readexactly(min(length - len(body), pieces.size()))
            await pieces.pause()
        return bytes(body)

    async def _answer(self, writer: asyncio.StreamWriter, transfer: Transfer, pieces: Pieces) -> None:
        framing = (
            "Transfer-Encoding: chunked"
            if transfer.answer_chunked
            else f"Content-Length: {transfer.answer_size}"
        )
        await write(writer, f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode())
        body, at = transfer.answer, 0
        while at < len(body):
            piece = body[at : at + pieces.size()]
            at += len(piece)
            await write(writer, b"%x\r\n%s\r\n" % (len(piece), piece) if transfer.answer_chunked else piece)
            await pieces.pause()
        if transfer.answer_chunked:
            await write(writer, b"0\r\n\r\n")


async def write(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write, and wait until the peer has taken most of it. Raises ConnectionError if that is impossible."""
    if writer.is_closing():
        raise ConnectionResetError("the connection is closed")
    writer.write(data)
    await writer.drain()

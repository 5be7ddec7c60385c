"""A sound server that reads and answers each request as the request's query asks."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import NamedTuple

from sprucenotch.testbed.http import response
from sprucenotch.testbed.pressure.request import AnswerForm, answer_body, answer_form
from sprucenotch.testbed.transfers.server import MAX_HEAD, StreamServer, read_chunk, read_head, write

READ_SIZE = 8192  # bytes
# A small buffer of the kernel and the segment size of an Ethernet link: a slow reader is one for the sidecar
# too, for which loopback would otherwise hold megabytes.
RECEIVE_BUFFER, SEGMENT_SIZE = 4096, 1448  # bytes


class Begun(NamedTuple):
    """A request whose last byte a server has read."""

    id: str
    at: float  # on the monotonic clock, in seconds


class PressureServer(StreamServer):
    """One server of a play; it records the requests that it begins."""

    options = (
        (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER),
        (socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_SIZE),
    )

    def __init__(self) -> None:
        super().__init__()
        self.begun: list[Begun] = []
        self.answered_at: dict[str, float] = {}  # when the last byte of an answer was written, by id

    async def serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first, headers = await read_head(reader)
        if "req-id" not in headers:  # a probe
            await write(writer, response(200))
            return
        form = answer_form(first.split(" ")[1].partition("?")[2])
        if form.read_rate or form.read_limit >= 0:
            # The stream reader would read ahead; a small limit keeps the rest in the kernel.
            reader._limit = READ_SIZE  # type: ignore[attr-defined]
        await self._read_body(reader, headers, form)
        reader._limit = MAX_HEAD  # type: ignore[attr-defined]
        self.begun.append(Begun(headers["req-id"], time.monotonic()))
        await asyncio.sleep(form.work)
        await self._answer(writer, headers["req-id"], form)
        self.answered_at[headers["req-id"]] = time.monotonic()
        if form.framing == "close":
            raise ConnectionResetError("the answer ends with its connection")

    async def _read_body(
        self, reader: asyncio.StreamReader, headers: dict[str, str], form: AnswerForm
    ) -> None:
        """Read the body at the rate of the form. Raises OSError or IncompleteReadError if it breaks off."""
        chunked = headers.get("transfer-encoding", "").lower() == "chunked"
        left, done = int(headers.get("content-length", "0")), 0
        while chunked or left:
            if 0 <= form.read_limit <= done:
                await asyncio.Event().wait()
            if chunked:
                piece = await read_chunk(reader)
                if not piece:
                    return
            else:
                piece = await reader.read(min(left, READ_SIZE))
                if not piece:
                    raise ConnectionResetError("the body broke off")
                left -= len(piece)
            done += len(piece)
            if form.read_rate:
                await asyncio.sleep(len(piece) / form.read_rate)

    async def _answer(self, writer: asyncio.StreamWriter, id: str, form: AnswerForm) -> None:
        framing = {
            "length": f"Content-Length: {form.size}\r\n",
            "chunked": "Transfer-Encoding: chunked\r\n",
            "close": "",
        }[form.framing]
        await write(writer, f"HTTP/1.1 200 OK\r\n{framing}\r\n".encode())
        if form.body_delay:
            await asyncio.sleep(form.body_delay)
        body = answer_body(id, form.size)
        for at in range(0, len(body), form.piece):
            piece = body[at : at + form.piece]
            await write(writer, b"%x\r\n%s\r\n" % (len(piece), piece) if form.framing == "chunked" else piece)
            if form.pause and at + form.piece < len(body):
                await asyncio.sleep(form.pause)
        if form.framing == "chunked":
            await write(writer, b"0\r\n\r\n")

"""A small HTTP/1.1 server for the fake servers: one request at a time on a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple, TypeAlias, cast

import httptools

HOST = "127.0.0.1"
BACKLOG = 1024
PHRASES = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 500: b"Internal Server Error",
           503: b"Service Unavailable"}  # fmt: skip


class Request(NamedTuple):
    """A complete request."""

    method: bytes
    path: bytes  # without its query
    query: bytes
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes


Respond: TypeAlias = Callable[[bytes], bool | None]  # False: the connection is closed
Handler: TypeAlias = Callable[[Request, Respond], None]


def response(status: int, body: bytes = b"", *headers: bytes) -> bytes:
    lines = (b"HTTP/1.1 %d %s" % (status, PHRASES[status]), *headers, b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class Connection(asyncio.Protocol):
    def __init__(self, handler: Handler, opened: Callable[[Connection, bool], None]) -> None:
        self._handler, self._track = handler, opened
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._track(self, True)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._track(self, False)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(response(400))
            self.abort()

    def answer(self, raw: bytes) -> bool:
        if self._transport is None or self._transport.is_closing():
            return False
        self._transport.write(raw)
        return True

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    # ---- httptools' callbacks

    def on_message_begin(self) -> None:
        self._url, self._body = b"", b""
        self._headers: dict[bytes, bytes] = {}

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        path, _, query = self._url.partition(b"?")
        self._handler(Request(self._parser.get_method(), path, query, self._headers, self._body), self.answer)


class Server:
    """Listens on a free loopback port; `stop` aborts open connections, as the end of a process does."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None
        self.dial = ""  # "127.0.0.1:PORT" once started; kept over restarts

    async def start(self) -> None:
        """Listen; after a `stop` on the same port. Raises OSError if that port is in use by now."""
        port = int(self.dial.rpartition(":")[2] or 0)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Connection(self._handler, self._track), HOST, port, backlog=BACKLOG
        )
        self.dial = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def _track(self, connection: Connection, is_open: bool) -> None:
        (self._connections.add if is_open else self._connections.discard)(connection)

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in tuple(self._connections):
            connection.abort()

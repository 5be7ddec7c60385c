"""The management listener, for operators: readiness, telemetry, metrics and the log level."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, cast

import httptools
import msgspec

from sprucenotch.node.acceptor import Acceptor
from sprucenotch.node.head import reply
from sprucenotch.node.log import LEVELS, set_level
from sprucenotch.node.stream import READ_BUFFER
from sprucenotch.node.transport import SocketTransport

CALL_TIMEOUT = 2.0  # seconds until a connection without a complete call is closed; callers wait for one
MAX_HEAD_BYTES = 8 * 1024
OPENMETRICS = b"application/openmetrics-text; version=1.0.0; charset=utf-8"


class Management:
    """Serves the calls from the given sources. `ready` returns an empty string while not ready."""

    def __init__(
        self,
        ready: Callable[[], str],
        figures: Callable[[], dict[str, Any]],
        metrics: Callable[[], bytes],
        max_callers: int,
    ) -> None:
        self._ready, self._figures, self._metrics, self._max_callers = ready, figures, metrics, max_callers
        self._calls: dict[bytes, tuple[bytes, Callable[[bytes], bytes]]] = {
            b"/api/ready": (b"GET", self._ready_reply),
            b"/api/telemetry": (b"GET", self._telemetry_reply),
            b"/metrics": (b"GET", self._metrics_reply),
            b"/api/log": (b"POST", self._set_log_level),
        }
        self._callers: dict[Caller, None] = {}

    def add_call(self, path: bytes, body: Callable[[], bytes]) -> None:
        """Serve a further call at `path`, answered with MessagePack from `body`."""

        def handle(query: bytes) -> bytes:
            return reply(200, [(b"Content-Type", b"application/vnd.msgpack")], body(), close=True)

        self._calls[path] = (b"GET", handle)

    def serve(self, listener: socket.socket, count: Callable[[str], None]) -> None:
        """Accept connections from this listener until `close`."""
        loop = asyncio.get_running_loop()
        self._acceptor = Acceptor(listener, lambda: Caller(self, loop), self._drop_oldest, count)

    async def close(self) -> None:
        """Stop accepting connections."""
        await self._acceptor.close()

    def opened(self, caller: Caller) -> None:
        """Register a connection; at the limit, closes the oldest one first."""
        if len(self._callers) >= self._max_callers:
            self._drop_oldest()
        self._callers[caller] = None

    def _drop_oldest(self) -> None:
        """Close the oldest connection; a regular call is short, so it is probably stuck."""
        if self._callers:
            next(iter(self._callers)).close()

    def closed(self, caller: Caller) -> None:
        self._callers.pop(caller, None)

    def answer(self, method: bytes, url: bytes) -> bytes:
        """Return the complete HTTP response to a call."""
        path, _, query = url.partition(b"?")
        if path not in self._calls:
            return _plain(404, b"no such call")
        needed, call = self._calls[path]
        if method != needed:
            return reply(405, [(b"Allow", needed)], b"only %s is served\n" % needed, close=True)
        try:
            return call(query)
        except OSError as problem:  # from a file, or from a module that is imported with the first call
            return _plain(503, f"temporarily unavailable: {problem.strerror}".encode())

    def _ready_reply(self, query: bytes) -> bytes:
        message = self._ready()
        return _plain(200, message.encode()) if message else _plain(503, b"not ready")

    def _telemetry_reply(self, query: bytes) -> bytes:
        body = msgspec.json.encode(self._figures())
        return reply(200, [(b"Content-Type", b"application/json")], body, close=True)

    def _metrics_reply(self, query: bytes) -> bytes:
        return reply(200, [(b"Content-Type", OPENMETRICS)], self._metrics(), close=True)

    def _set_log_level(self, query: bytes) -> bytes:
        """Set the log level from the query, such as `level=debug`, until the next SIGHUP."""
        name = query.removeprefix(b"level=").decode("ascii", "replace")
        if name not in LEVELS:
            return _plain(400, b"level must be one of " + ", ".join(LEVELS).encode())
        set_level(name)
        return _plain(200, b"log level set to " + name.encode())


class Caller(asyncio.BufferedProtocol):
    """A management connection, which serves one call."""

    def __init__(self, management: Management, loop: asyncio.AbstractEventLoop) -> None:
        self._management, self._loop = management, loop
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._size = 0
        self._answered = False
        self._transport: SocketTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(SocketTransport, transport)
        self._call_timer = self._loop.call_later(CALL_TIMEOUT, self.close)
        self._management.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._call_timer.cancel()
        self._management.closed(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self._answered:
            return
        self._size += nbytes
        if self._size > MAX_HEAD_BYTES:
            self._reply(_plain(400, b"the call is too long"))
            return
        try:
            self._parser.feed_data(READ_BUFFER[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reply(_plain(400, b"malformed call"))

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        self._reply(self._management.answer(self._parser.get_method(), self._url))

    def _reply(self, answer: bytes) -> None:
        if not self._answered and self._transport is not None:
            self._answered = True
            self._transport.write(answer)
            self._transport.close()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()


def _plain(status: int, text: bytes) -> bytes:
    return reply(status, [], text + b"\n", close=True)

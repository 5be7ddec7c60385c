"""The second listener, for the operators' callers: readiness and figures. It reads, and never decides."""

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

CALL_WITHIN = 2.0  # a caller waits for a second; one that has finished no call by now is closed
HEAD_MOST = 8 * 1024
OPENMETRICS = b"application/openmetrics-text; version=1.0.0; charset=utf-8"


class Management:
    """Answers with what its sources say at that moment. `ready` says nothing while it is not."""

    def __init__(
        self,
        ready: Callable[[], str],
        figures: Callable[[], dict[str, Any]],
        metrics: Callable[[], bytes],
        most: int,
    ) -> None:
        self._ready, self._figures, self._metrics, self._most = ready, figures, metrics, most
        self._calls: dict[bytes, tuple[bytes, Callable[[bytes], bytes]]] = {
            b"/api/ready": (b"GET", self._tell_ready),
            b"/api/telemetry": (b"GET", self._tell_figures),
            b"/metrics": (b"GET", self._tell_metrics),
            b"/api/log": (b"POST", self._set_log),
        }
        self._callers: dict[Caller, None] = {}

    def offer(self, path: bytes, tell: Callable[[], bytes]) -> None:
        """Serve a further call, whose answer is not text."""

        def told(query: bytes) -> bytes:
            return reply(200, [(b"Content-Type", b"application/vnd.msgpack")], tell(), close=True)

        self._calls[path] = (b"GET", told)

    def serve(self, listener: socket.socket, count: Callable[[str], None]) -> None:
        """Take callers from this listener, for as long as the loop runs."""
        loop = asyncio.get_running_loop()
        self._acceptor = Acceptor(listener, lambda: Caller(self, loop), self._drop_oldest, count)

    async def close(self) -> None:
        """Take no more callers."""
        await self._acceptor.close()

    def opened(self, caller: Caller) -> None:
        if len(self._callers) >= self._most:
            self._drop_oldest()
        self._callers[caller] = None

    def _drop_oldest(self) -> None:
        """Close the caller that has been there longest: a proper call is over in no time."""
        if self._callers:
            next(iter(self._callers)).close()

    def closed(self, caller: Caller) -> None:
        self._callers.pop(caller, None)

    def answer(self, method: bytes, url: bytes) -> bytes:
        path, _, query = url.partition(b"?")
        if path not in self._calls:
            return _plain(404, b"no such call")
        needed, call = self._calls[path]
        if method != needed:
            return reply(405, [(b"Allow", needed)], b"only %s is served\n" % needed, close=True)
        try:
            return call(query)
        except OSError as problem:  # a file, or a module that is loaded with the first call
            return _plain(503, f"not at the moment: {problem.strerror}".encode())

    def _tell_ready(self, query: bytes) -> bytes:
        said = self._ready()
        return _plain(200, said.encode()) if said else _plain(503, b"not ready")

    def _tell_figures(self, query: bytes) -> bytes:
        body = msgspec.json.encode(self._figures())
        return reply(200, [(b"Content-Type", b"application/json")], body, close=True)

    def _tell_metrics(self, query: bytes) -> bytes:
        return reply(200, [(b"Content-Type", OPENMETRICS)], self._metrics(), close=True)

    def _set_log(self, query: bytes) -> bytes:
        """`level=debug`, or another of the levels, until the next SIGHUP."""
        name = query.removeprefix(b"level=").decode("ascii", "replace")
        if name not in LEVELS:
            return _plain(400, b"level is one of " + ", ".join(LEVELS).encode())
        set_level(name)
        return _plain(200, b"the log tells what is at least " + name.encode())


class Caller(asyncio.BufferedProtocol):
    """A connection of one call."""

    def __init__(self, management: Management, loop: asyncio.AbstractEventLoop) -> None:
        self._management, self._loop = management, loop
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._size = 0
        self._answered = False
        self._transport: SocketTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(SocketTransport, transport)
        self._overdue = self._loop.call_later(CALL_WITHIN, self.close)
        self._management.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._overdue.cancel()
        self._management.closed(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self._answered:
            return
        self._size += nbytes
        if self._size > HEAD_MOST:
            self._say(_plain(400, b"the call is too long"))
            return
        try:
            self._parser.feed_data(READ_BUFFER[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._say(_plain(400, b"malformed call"))

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        self._say(self._management.answer(self._parser.get_method(), self._url))

    def _say(self, answer: bytes) -> None:
        if not self._answered and self._transport is not None:
            self._answered = True
            self._transport.write(answer)
            self._transport.close()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()


def _plain(status: int, text: bytes) -> bytes:
    return reply(status, [], text + b"\n", close=True)

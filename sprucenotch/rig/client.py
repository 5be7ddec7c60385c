"""Clients: requests over connections that are kept alive, one at a time on each, with their outcomes."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, cast

import httptools


class Kind(NamedTuple):
    """A class of requests as its clients send it."""

    name: str
    keyed: bool
    deadline: float  # seconds
    aim: float  # seconds within which an answer has its full worth
    worth: float = 1.0


class Ended(NamedTuple):
    kind: Kind
    status: int  # 0: the connection broke, or nothing came by the deadline
    took: float  # seconds

    @property
    def outcome(self) -> str:
        if self.status == 200:
            return "served" if self.took <= self.kind.aim else "late"
        return "refused" if self.status in (429, 503) else "failed"


class _Connection(asyncio.Protocol):
    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.done: Callable[[int], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._finish(0)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_message_complete(self) -> None:
        status, keep = self._parser.get_status_code(), self._parser.should_keep_alive()
        self._parser = httptools.HttpResponseParser(self)
        if not keep:
            self.close()
        self._finish(status)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
            self.transport = None

    def _finish(self, status: int) -> None:
        done, self.done = self.done, None
        if done is not None:
            done(status)


class Clients:
    """Sends to one address. `report` hears of each request as it ends."""

    def __init__(self, dial: str, report: Callable[[Ended], None], name: str = "c", owner: str = "") -> None:
        host, _, port = dial.rpartition(":")
        self._address = (host, int(port))
        self._report, self._name = report, name
        self._owner = f"Req-Owner: {owner}\r\n" if owner else ""
        self._idle: deque[_Connection] = deque()
        self._number = 0
        self._under_way: set[asyncio.Task[Ended]] = set()

    def send(self, kind: Kind) -> None:
        """Begin a request; it ends by its deadline at the latest."""
        task = asyncio.get_running_loop().create_task(self.ask(kind))
        self._under_way.add(task)
        task.add_done_callback(self._under_way.discard)

    async def ask(self, kind: Kind) -> Ended:
        began = time.perf_counter()
        try:
            async with asyncio.timeout(kind.deadline):
                status = await self._exchange(kind)
        except (OSError, TimeoutError):
            status = 0
        ended = Ended(kind, status, time.perf_counter() - began)
        self._report(ended)
        return ended

    async def _exchange(self, kind: Kind) -> int:
        loop = asyncio.get_running_loop()
        connection = self._take()
        if connection is None:
            _, connection = await loop.create_connection(_Connection, *self._address)
        answered: asyncio.Future[int] = loop.create_future()
        connection.done = lambda status: None if answered.done() else answered.set_result(status)
        self._number += 1
        if connection.transport is not None:
            connection.transport.write(self._raw(kind, f"{self._name}-{self._number}"))
        try:
            status = await answered
        except asyncio.CancelledError:
            connection.close()
            raise
        if connection.transport is not None:
            self._idle.append(connection)
        return status

    def _take(self) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                return connection
        return None

    def _raw(self, kind: Kind, number: str) -> bytes:
        method = "POST" if kind.keyed else "GET"
        key = f"Idempotency-Key: {number}\r\nContent-Length: 2\r\n" if kind.keyed else ""
        return (
            f"{method} /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {number}\r\nReq-Kind: {kind.name}\r\n"
            f"{self._owner}Req-Deadline: {kind.deadline:.3f}\r\n{key}\r\n{'{}' if kind.keyed else ''}"
        ).encode()

    async def finish(self) -> None:
        """Wait for what is under way, which its deadlines bound, and close the connections."""
        if self._under_way:
            await asyncio.wait(self._under_way)
        for connection in self._idle:
            connection.close()
        self._idle.clear()

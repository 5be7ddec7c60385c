"""HTTP clients with keep-alive connections, one request at a time on each, that record every outcome.

A request on a reused connection that closes before any byte of the answer may have crossed the server's
close, so it is sent once more on a new connection. A client waits a little beyond its deadline, so that a
late answer is recorded as late and not as missing.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable
from typing import Literal, NamedTuple, TypeAlias, cast

import httptools

from sprucenotch.node.config import address
from sprucenotch.testbed.checker import history

LATE_ANSWER_WAIT = 0.5  # seconds that a client waits beyond its deadline
BODY = b"{}"


class Kind(NamedTuple):
    """A request class, as its clients send it."""

    name: str
    keyed: bool
    deadline: float  # seconds
    aim: float  # seconds within which an answer has its full value
    worth: float = 1.0
    unsafe: bool = False  # must not be repeated: sent as POST without a key


class RequestResult(NamedTuple):
    """The result of one request."""

    kind: Kind
    status: int  # 0: the connection broke, or there was no answer
    took: float  # seconds
    retry_after: float | None = None  # seconds, if the answer has the header

    @property
    def outcome(self) -> str:
        if self.status == 200 and self.took <= self.kind.deadline:
            return "served" if self.took <= self.kind.aim else "late"
        return "refused" if self.status in (429, 503) else "failed"


How: TypeAlias = Literal["whole", "broke", "refused", "silent"]


class Reply(NamedTuple):
    """What came back on a connection, and how the exchange ended."""

    how: How
    status: int = 0
    body: bytes = b""
    retry_after: float | None = None


class _Connection(asyncio.Protocol):
    def __init__(self, life: int, surplus: Callable[[str, bytes], None]) -> None:
        self.life = life  # index of the sidecar process that listened when it was opened
        self.used = False
        self.last = ""  # id of the last request
        self.transport: asyncio.Transport | None = None
        self._surplus = surplus
        self._waiting: asyncio.Future[Reply] | None = None
        self.began = False  # whether any byte of the answer has arrived
        self._reset_parser()

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""
        self._retry_after: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._finish(Reply("broke"))

    def data_received(self, data: bytes) -> None:
        if self._waiting is None:
            self._report_surplus(data)
            return
        self.began = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            self._retry_after = float(value)

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        status, keep = self._parser.get_status_code(), self._parser.should_keep_alive()
        if self._waiting is None:  # a second answer in the same segment as the first
            self._report_surplus(b"%d %s" % (status, self._body))
            return
        reply = Reply("whole", status, self._body, self._retry_after)
        self._reset_parser()
        if not keep:
            self.close()
        self._finish(reply)

    def ask(self, id: str, raw: bytes) -> asyncio.Future[Reply]:
        answered: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._waiting, self.began, self.last = answered, False, id
        if self.transport is None or self.transport.is_closing():
            self._finish(Reply("broke"))
        else:
            self.transport.write(raw)
        return answered

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
            self.transport = None

    def _report_surplus(self, data: bytes) -> None:
        self._surplus(self.last, data)
        self.close()

    def _finish(self, reply: Reply) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)


class ClientCall(NamedTuple):
    """One logical call of a client, which may take several requests."""

    kind: Kind
    owner: str = ""
    name: str = ""  # unique, and the idempotency key of a keyed call
    due: float = 0.0  # when it was to be sent, on the monotonic clock
    repeat: int = 0  # number of earlier requests for the same call


class Clients:
    """Sends requests to one address. `report` is called with each result, `on_event` with every event."""

    def __init__(
        self,
        dial: str,
        report: Callable[[RequestResult], None] = lambda ended: None,
        name: str = "c",
        sidecar: str = "",
        on_event: Callable[[history.Event], None] = lambda event: None,
        origin: float = 0.0,
        life: Callable[[], int] = lambda: 0,
        churn: float = 0.0,  # share of answers after which a connection is closed and not reused
    ) -> None:
        self._address = address(dial)
        self._report, self._name, self.sidecar = report, name, sidecar or name
        self._on_event, self._origin, self._life = on_event, origin, life
        self._idle: deque[_Connection] = deque()
        self._number = 0
        self._churn, self._random = churn, random.Random(f"churn {name}").random
        self._in_flight: set[asyncio.Task[RequestResult]] = set()

    def send(self, call: ClientCall) -> asyncio.Task[RequestResult]:
        """Start a request; it ends at most LATE_ANSWER_WAIT after its deadline."""
        task = asyncio.get_running_loop().create_task(self.ask(call))
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)
        return task

    def _now(self) -> float:
        return time.monotonic() - self._origin

    async def ask(self, call: ClientCall) -> RequestResult:
        self._number += 1
        id, began = f"{self._name}-{self._number}", self._now()
        try:
            async with asyncio.timeout(call.kind.deadline + LATE_ANSWER_WAIT):
                reply = await self._exchange(call, id)
        except TimeoutError:
            reply = Reply("silent")
        at, body = self._now(), reply.body.decode("latin-1")
        self._on_event(history.Ended(at=at, id=id, status=reply.status, body=body, how=reply.how))
        ended = RequestResult(call.kind, reply.status, at - began, reply.retry_after)
        self._report(ended)
        return ended

    async def _exchange(self, call: ClientCall, id: str) -> Reply:
        raw, loop = self._encode(call, id), asyncio.get_running_loop()
        connection = self._take_idle()
        while True:
            if connection is None:
                try:
                    _, connection = await loop.create_connection(
                        lambda: _Connection(self._life(), self._surplus), *self._address
                    )
                except OSError:
                    self._record_sent(call, id, self._life(), True)
                    return Reply("refused")
            reused, connection.used = connection.used, True
            self._record_sent(call, id, connection.life, not reused)
            try:
                reply = await connection.ask(id, raw)
            except asyncio.CancelledError:
                connection.close()
                raise
            if reply.how == "broke" and reused and not connection.began:
                connection = None
                continue
            if self._random() < self._churn:
                connection.close()
            if connection.transport is not None:
                self._idle.append(connection)
            return reply

    def _record_sent(self, call: ClientCall, id: str, life: int, fresh: bool) -> None:
        at = self._now()
        self._on_event(
            history.Sent(
                at=at, id=id, call=call.name or id, cls=call.kind.name, owner=call.owner,
                sidecar=self.sidecar, key=(call.name or id) if call.kind.keyed else "", life=life,
                deadline=call.kind.deadline, due=call.due - self._origin if call.due else at, fresh=fresh,
                repeat=call.repeat,
            )
        )  # fmt: skip

    def _surplus(self, id: str, data: bytes) -> None:
        shown = data[:200].decode("latin-1")
        self._on_event(history.Surplus(at=self._now(), sidecar=self.sidecar, id=id, data=shown))

    def _take_idle(self) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                return connection
        return None

    def _encode(self, call: ClientCall, id: str) -> bytes:
        kind = call.kind
        method = "POST" if kind.keyed or kind.unsafe else "GET"
        lines = [
            f"{method} /api HTTP/1.1", "Host: backend.local", f"Req-Id: {id}",
            f"Req-Kind: {kind.name}", f"Req-Deadline: {kind.deadline:.3f}",
        ]  # fmt: skip
        if call.owner:
            lines.append(f"Req-Owner: {call.owner}")
        if kind.keyed:
            lines.append(f"Idempotency-Key: {call.name or id}")
        body = BODY if kind.keyed or kind.unsafe else b""
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join((*lines, "", "")).encode() + body

    async def finish(self) -> None:
        """Wait for the requests in flight, which their deadlines bound, and close the connections."""
        if self._in_flight:
            await asyncio.wait(self._in_flight)
        for connection in self._idle:
            connection.close()
        self._idle.clear()

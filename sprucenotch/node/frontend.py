"""The client side: an HTTP/1.1 server for the application beside this sidecar."""

from __future__ import annotations

import asyncio
import itertools
import select
import socket
import struct
from collections import deque
from collections.abc import Iterator
from http import HTTPStatus
from typing import NoReturn, cast

import httptools

from sprucenotch.node.config import Config
from sprucenotch.node.connection import BLANKS, HEAD_MOST, Answer
from sprucenotch.node.exchange import Exchange
from sprucenotch.node.head import CLIENT_ONLY, BadRequest, HeadRules, head
from sprucenotch.node.host import Host
from sprucenotch.node.ledger import Incoming
from sprucenotch.node.patience import Patience
from sprucenotch.node.rules import FORCED_CLOSES, CloseReason
from sprucenotch.node.stream import (
    ANSWER_ROOM,
    LAST_CHUNK,
    LONG_MOST,
    READ_BUFFER,
    READ_MOST,
    STALLED,
    WHOLE_MOST,
    Stream,
    chunk,
)
from sprucenotch.node.transport import SocketTransport

PIPELINE_MOST = 16  # requests taken ahead of their turn on one connection
TICK = 0.25  # how often a peer that is waited for is looked at
# How often a connection whose reading is paused is checked for its client's end. It bounds how long memory,
# places and half-sent requests are kept for one that left; no attempt depends on it: `connected`.
DISCONNECT_CHECK_INTERVAL = 0.1
# What poll reports once the peer has closed, half-closed or reset its connection.
PEER_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
# Seconds for which the first request of a new connection may be on its way: some for the way, and up to 0.15
# for a client that is held up between its connect and its write.
MIN_UNUSED_AGE = 0.25
LINGER = 2.0  # after the last answer, for what the client still sends: a close would destroy the answer


class ClientConnection(asyncio.BufferedProtocol):
    def __init__(self, frontend: Frontend) -> None:
        self.frontend = frontend
        self.number = frontend.next_number()
        self._taken_at = frontend.loop.time()
        self._transport: SocketTransport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges: deque[Exchange] = deque()
        self._writing: Exchange | None = None  # the first of them, once its answer has begun to leave
        self._chunked = False  # it leaves in chunks
        self._rest_over = True  # all of it has been written
        self._ended = False  # what still comes is thrown away
        self._over = False  # the last answer has left
        self._clogged = False  # the client does not read its answers
        self._held = False  # nobody takes the body that is coming
        self._stopped = False  # reading is paused
        self._fresh = True  # no request has come yet
        self._overdue: asyncio.TimerHandle | None = None  # while a request is awaited or has come in part
        self._stalled: asyncio.TimerHandle | None = None  # while the client does not read, or after the end
        self._disconnect_timer: asyncio.TimerHandle | None = None  # while reading is paused
        self._patience = Patience()
        self._rules = frontend.rules  # by which the last head was checked
        self._begin()

    @property
    def idle(self) -> bool:
        return not self._exchanges and not self._reading

    @property
    def left(self) -> bool:
        """Whether the client is done with it for now: it has been used, and nothing lies unread in it."""
        return not self._fresh and self.idle and not self._unread()

    @property
    def used(self) -> bool:
        """Whether a request has come, or begun to."""
        return not self._fresh

    @property
    def age(self) -> float:
        """Seconds since it was taken."""
        return self.frontend.loop.time() - self._taken_at

    @property
    def asked(self) -> bool:
        """Whether its first request lies unread in the kernel, or a part of it."""
        return self._fresh and self._unread()

    @property
    def _full(self) -> bool:
        """Whether no further request is read until answers have left."""
        return self._clogged or len(self._exchanges) >= PIPELINE_MOST

    def _unread(self) -> bool:
        """Whether something that the client sent lies in the kernel."""
        return self._socket_events() != 0

    def _socket_events(self) -> int:
        """What poll reports of the socket now: POLLIN, PEER_ENDED; 0 once the connection is lost. Where the
        kernel cannot tell for the moment, something may lie unread, and the client counts as there."""
        return 0 if self._transport is None else self._transport.events()

    def _begin(self) -> None:
        self._url = b""
        self._told: dict[bytes, bytes] = {}  # the headers, by name in lower case
        self._lines: list[bytes] = []  # those that go on, as they came
        self._body = bytearray()  # held, or on its way to the stream: one write for all that came at once
        self._head_size = self._size = 0  # with the trailers, and of the body
        self._error: BadRequest | None = None
        self._reading = self._headed = False
        self._exchange: Exchange | None = None  # of the request that is being read, from its head on
        self._incoming: Incoming | None = None
        self._room = 0  # memory reserved for it here
        self._continue = False  # the client waits to be told to send the body

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(SocketTransport, transport)
        self._await_request()
        self.frontend.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._ended = True
        self._in_time()
        self._watch_client(False)
        self._schedule_disconnect_check(False)
        self.frontend.closed(self)
        self._give_room_back()
        for exchange in self._exchanges:
            self._forget(exchange)
        self._exchanges.clear()

    def eof_received(self) -> None:
        """The client has ended its sending: it left. One that only half-closed looks the same, as the kernel
        tells no difference. What it is still owed is not sent on; an answer on its way out goes on, and then
        the connection is closed, as returning None asks for."""
        for exchange in self._exchanges:
            if exchange.answer is None:
                self.frontend.host.gone(exchange.id)

    def _schedule_disconnect_check(self, on: bool) -> None:
        if self._disconnect_timer is not None:
            self._disconnect_timer.cancel()
            self._disconnect_timer = None
        if on:
            self._disconnect_timer = self.frontend.loop.call_later(
                DISCONNECT_CHECK_INTERVAL, self._check_disconnect
            )

    def _check_disconnect(self) -> None:
        """See whether the client left while its connection is not read: what it sent before stays unread."""
        if self.connected():
            self._schedule_disconnect_check(True)

    def connected(self) -> bool:
        """Ask the socket whether the client is still there, also where its end is not yet read: reading is
        paused, or the loop is late. A client that left is owed no further answer from here on."""
        if self._socket_events() & PEER_ENDED:
            self.eof_received()
            self.shut(CloseReason.CLIENT_LEFT)
            return False
        return self._transport is not None

    def _forget(self, exchange: Exchange) -> None:
        """The client will not get this answer."""
        if exchange.answer is None:
            self.frontend.host.gone(exchange.id)
            return
        if exchange.answer.rest is not None:
            exchange.answer.rest.drop()
        self.frontend.host.ended(exchange.id)

    def get_buffer(self, sizehint: int) -> memoryview:
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self._ended:
            return
        self._patience.heard()
        try:
            self._parser.feed_data(READ_BUFFER[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._ended:
                self._reject(self._error or BadRequest(400, "malformed request"))
        if self._exchange is not None:
            self._pass_on(self._exchange)
        if self._reading and self._overdue is None and not self._ended:
            self._await_request()
        self._steer_reading()

    # ---- waiting for the client

    def _await_request(self) -> None:
        self._patience = Patience()
        self._overdue = self.frontend.loop.call_later(TICK, self._tick)

    def _in_time(self) -> None:
        if self._overdue is not None:
            self._overdue.cancel()
            self._overdue = None

    def _tick(self) -> None:
        """Judge a peer whose request has not come whole, by the time that it has been waited for."""
        self._overdue = self.frontend.loop.call_later(TICK, self._tick)
        if self._stopped or self._unread():  # the wait is ours, not the peer's
            return
        if not self._patience.over(TICK, self._headed, self._size):
            return
        self._in_time()
        if self._reading:
            self._reject(BadRequest(408, "the request took too long"))
        else:
            self.shut(CloseReason.UNUSED)

    def _watch_client(self, on: bool, within: float = STALLED) -> None:
        if self._stalled is not None:
            self._stalled.cancel()
            self._stalled = None
        if on:
            self._stalled = self.frontend.loop.call_later(within, self._give_up)

    def _give_up(self) -> None:
        if self._writing is not None:
            self._break_off(CloseReason.NOT_READING)
        else:
            self.shut(CloseReason.NOT_READING, abort=True)

    def _hold(self, on: bool) -> None:
        self._held = on
        self._steer_reading()

    def _steer_reading(self) -> None:
        """Pause or go on reading. A body under way is read, or thrown away, whatever becomes of the answers:
        a client may well write all of it before it reads."""
        stop = not self._ended and (self._held if self._headed else self._full)
        if stop != self._stopped and self._transport is not None and not self._transport.is_closing():
            self._stopped = stop
            self._schedule_disconnect_check(stop)
            if stop:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    # ---- answers

    def _reject(self, error: BadRequest) -> None:
        """Answer what can't be read any further, in its turn, and end the connection."""
        self._ended = True
        self._in_time()
        self._give_room_back()
        exchange = self._exchange
        if exchange is None:
            exchange = Exchange(self.flush, self.connected, last=True, old=False)
            self._exchanges.append(exchange)
        exchange.last = True
        if exchange.answer is None:
            self.frontend.host.gone(exchange.id)
            exchange.id = 0  # its end is told
            self._turn_away(exchange, error)
        elif exchange not in self._exchanges:
            self._end()

    def _turn_away(self, exchange: Exchange, error: BadRequest) -> None:
        self.frontend.host.count(f"rejected_{error.status}")
        exchange.say(error.status, error.why.encode())

    def flush(self) -> None:
        """Send the answers whose turn has come."""
        while self._writing is None and self._exchanges and self._transport is not None and not self._over:
            exchange = self._exchanges[0]
            if (answer := exchange.answer) is None:
                break
            self._writing = exchange
            endless = exchange.old and answer.rest is not None and answer.rest.length is None
            exchange.last |= endless or (self.frontend.draining and self._nothing_after(exchange))
            self._write(exchange, answer)
        self._say_continue()
        self._steer_reading()

    def _nothing_after(self, exchange: Exchange) -> bool:
        """Whether no further request has come, or begun to. A stopping sidecar ends the connection, but not
        before what was taken on it is answered."""
        begun = self._reading and self._exchange is not exchange
        return len(self._exchanges) == 1 and not begun and not self._unread()

    def _write(self, exchange: Exchange, answer: Answer) -> None:
        assert self._transport is not None
        length = len(answer.body) if answer.rest is None else answer.rest.length
        lines = exchange.framing(answer, exchange.last)
        self._transport.write(head(answer.status, answer.headers, length, *lines) + answer.body)
        self._rest_over = answer.rest is None
        if answer.rest is not None:
            self._chunked = length is None and not exchange.old
            answer.rest.attach(self)
        elif not self._clogged:
            self._sent()

    def body(self, piece: bytes) -> None:
        if self._transport is None or self._writing is None or self._writing.answer is None:
            return
        self._transport.write(chunk(piece) if self._chunked else piece)
        if self._clogged and self._writing.answer.rest is not None:
            self._writing.answer.rest.clog(True)

    def body_end(self, whole: bool) -> None:
        if self._transport is None or self._writing is None:
            return
        if not whole:
            self.frontend.host.ended(self._writing.id, broken=True)
            self._break_off(CloseReason.ANSWER_BROKE)
            return
        self._rest_over = True
        if self._chunked:
            self._transport.write(LAST_CHUNK)
        if not self._clogged:
            self._sent()
            self.flush()

    def _break_off(self, reason: CloseReason) -> None:
        """End in the middle of an answer, by a reset: where the end of the connection is that of the answer,
        nothing else tells the client that it is not whole."""
        if self._transport is not None:
            linger = struct.pack("ii", 1, 0)
            self._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.shut(reason, abort=True)

    def _sent(self) -> None:
        """The first answer has left."""
        exchange, self._writing = self._exchanges.popleft(), None
        self.frontend.host.ended(exchange.id)
        # The head of a long answer may have left before the drain began, without telling of the end.
        if exchange.last or (self.frontend.draining and self.left):
            self._end()

    def _end(self) -> None:
        """Nothing more is answered here. What the client still sends is read for a while, as the kernel would
        answer it with a reset that overtakes the answer."""
        self._ended = self._over = True
        self._in_time()
        if self._transport is None:
            return
        if self._reading:
            self._transport.write_eof()
            self._watch_client(True, LINGER)
            self._steer_reading()
        else:
            self.shut(CloseReason.LAST_ANSWER)

    def pause_writing(self) -> None:
        self._clogged = True
        self._watch_client(True)
        self._steer_reading()

    def resume_writing(self) -> None:
        self._clogged = False
        self._watch_client(False)
        if self._writing is not None:
            if self._rest_over:
                self._sent()
            elif self._writing.answer is not None and self._writing.answer.rest is not None:
                self._writing.answer.rest.clog(False)
        self.flush()

    def shut(self, reason: CloseReason, abort: bool = False) -> None:
        """Close it, for one of these reasons: the one place where a client's connection is ended here. What
        has been written still goes out, unless it is aborted."""
        if self._transport is None:
            return
        if not self._transport.is_closing():
            asked = self.asked if reason in FORCED_CLOSES else False
            self.frontend.host.rules.client_closed(reason, self._unanswered, asked, self.number)
        if abort:
            self._transport.abort()
        else:
            self._transport.close()

    @property
    def _unanswered(self) -> bool:
        """Whether a request that was taken on it is owed an answer, or the rest of one."""
        return any(exchange.id and not exchange.answer for exchange in self._exchanges)

    @property
    def closing(self) -> bool:
        return self._transport is not None and self._transport.is_closing()

    def make_room(self) -> None:
        """Close it now. One that lingers after its last answer may hold some of it that nobody reads: a close
        would wait for that."""
        self.shut(CloseReason.ROOM, abort=self._over)

    # ---- httptools' callbacks

    def on_message_begin(self) -> None:
        self._begin()
        self._fresh = False
        self._reading = True

    def on_url(self, url: bytes) -> None:
        self._grow_head(len(url), 414)
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._grow_head(len(name) + len(value), 431)
        if not self._headed:  # else it is a trailer, and no header by which a request could be told
            known, value = name.lower(), value.rstrip(BLANKS)  # which the parser leaves at the end
            self._told[known] = value
            if known not in CLIENT_ONLY:
                self._lines.append(b"%s: %s" % (name, value))

    def on_headers_complete(self) -> None:
        self._headed = True
        old = self._parser.get_http_version() == "1.0"
        exchange = Exchange(self.flush, self.connected, not self._parser.should_keep_alive(), old)
        self._exchange = exchange
        self._exchanges.append(exchange)
        if self._parser.should_upgrade():  # what follows would not be HTTP
            self._fault(400, "upgrades are not served")
        told = self._told
        coding = told.get(b"transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":  # which would be lost on the way
            self._fault(400, "only chunks are known as a transfer coding")
        length = None if coding is not None else int(told.get(b"content-length", b"0"))
        if length is not None and length > LONG_MOST:
            self._fault(413, HTTPStatus(413).phrase)
        waits = told.get(b"expect", b"").lower() == b"100-continue" and not old and length != 0
        if self._url.partition(b"?")[0] != b"/up" or self._parser.get_method() != b"GET":
            last, exchange.last = exchange.last, exchange.last or waits
            self._admit(exchange, told, length)
            if exchange.answer is None:
                exchange.last = last
        self._continue = waits and exchange.answer is None
        self._say_continue()

    def _admit(self, exchange: Exchange, told: dict[bytes, bytes], length: int | None) -> None:
        """Check the head and reserve memory for what comes; a long request is taken right away.

        A client that waits to send its body may do so or not once it has a final answer instead: with such
        an answer the connection ends.
        """
        method = self._parser.get_method()
        self._rules = self.frontend.rules
        try:
            self._incoming = self._rules.check(method, self._url, self._lines, told)
        except BadRequest as error:
            self._turn_away(exchange, error)
            return
        long = length is not None and length > WHOLE_MOST
        body_room = READ_MOST if long else WHOLE_MOST + READ_MOST if length is None else length
        if not self.frontend.host.budget.take(body_room + ANSWER_ROOM):
            self.frontend.host.turn_down(self._incoming)
            exchange.refuse(0)
            return
        self._room = body_room + ANSWER_ROOM
        if long:
            self._start_upload(exchange, self._incoming, length)

    def _by_rules_in_force(self) -> Incoming:
        """The request by the settings with which it begins: its class and tenant may have others now than
        when its head came, or be gone."""
        return self.frontend.rules.check(self._parser.get_method(), self._url, self._lines, self._told)

    def _give_room_back(self) -> None:
        self.frontend.host.budget.give(self._room)
        self._room = 0

    def _pass_on(self, exchange: Exchange) -> None:
        if exchange.answer is not None:
            self._body.clear()  # nobody wants the rest
        elif exchange.upload is not None and self._body:
            exchange.upload.feed(bytes(self._body))
            self._body.clear()

    def _start_upload(self, exchange: Exchange, incoming: Incoming, length: int | None) -> None:
        """Take a long request, whose body goes on as it comes."""
        framing = b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length
        exchange.upload = Stream(self._hold, length)
        room, self._room = self._room, 0
        self.frontend.host.request(
            exchange, incoming._replace(head=incoming.head + framing), room, exchange.upload
        )

    def _say_continue(self) -> None:
        """Tell the client to send its body, once all earlier answers have left."""
        if self._continue and self._exchanges and self._exchanges[0] is self._exchange:
            self._continue = False
            if self._transport is not None and not self._size and self._exchange.answer is None:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > LONG_MOST:
            self._fault(413, HTTPStatus(413).phrase)
        exchange = self._exchange
        assert exchange is not None
        if exchange.answer is not None:
            return
        self._body += body
        if exchange.upload is None and self._size > WHOLE_MOST and self._incoming is not None:
            try:
                self._incoming = self._by_rules_in_force()
            except BadRequest as error:
                self._fault(error.status, error.why)
            self._start_upload(exchange, self._incoming, None)

    def _grow_head(self, size: int, status: int) -> None:
        self._head_size += size
        if self._head_size > HEAD_MOST:
            self._fault(status, HTTPStatus(status).phrase)

    def _fault(self, status: int, why: str) -> NoReturn:
        """Stop the parser: this cannot be read any further."""
        self._error = BadRequest(status, why)
        raise self._error

    def on_message_complete(self) -> None:
        exchange, incoming = self._exchange, self._incoming
        self._exchange = None  # what cannot be read from here on is no part of it
        self._reading = self._headed = self._held = False
        self._in_time()
        if self._ended or exchange is None or exchange.answer is not None:
            self._give_room_back()
        elif exchange.upload is not None:
            self.frontend.host.uploaded(exchange.id)
            self._pass_on(exchange)
            exchange.upload.finish(True)
        elif incoming is not None:
            if self._rules is not self.frontend.rules:
                try:
                    incoming = self._by_rules_in_force()
                except BadRequest as error:
                    self._give_room_back()
                    self._turn_away(exchange, error)
                    return
            body, room = bytes(self._body), self._room
            self._room = 0
            if body or self._parser.get_method() == b"POST":
                framed = incoming.head + b"Content-Length: %d\r\n" % len(body)
                incoming = incoming._replace(head=framed, body=body)
            self.frontend.host.request(exchange, incoming, room)
        else:
            self._up(exchange)

    def _up(self, exchange: Exchange) -> None:
        ready = self.frontend.host.listed
        exchange.say(200 if ready else 503, b"up" if ready else b"no endpoint is known yet")


class Frontend:
    def __init__(self, config: Config, host: Host, loop: asyncio.AbstractEventLoop) -> None:
        self.host, self.loop = host, loop
        self.listening = False
        self.draining = False
        self._drained = asyncio.Event()
        self._most = config.clients_most
        self._last_number = 0
        self._connections: dict[ClientConnection, None] = {}
        self.retune(config)

    def retune(self, config: Config) -> None:
        """Take up other settings, by which the heads to come are checked."""
        self.rules = HeadRules(config.settings)

    def opened(self, connection: ClientConnection) -> None:
        # One that was closed before is still there until the loop has ended it: it makes no room twice.
        if len(self._connections) >= self._most:
            staying = self._staying()
            if len(staying) >= self._most:
                # Descriptors run out: one that its client is done with makes room, or else the newcomer does.
                next(itertools.chain(self._spare(staying), (connection,))).make_room()
        self._connections[connection] = None

    def next_number(self) -> int:
        """A number for a new connection, by which the log tells of it."""
        self._last_number += 1
        return self._last_number

    def make_room(self) -> None:
        """Close a connection that its client is done with, if there is one and none is closing already. The
        first request of one that has just come is on its way: it is passed over."""
        staying = self._staying()
        if len(staying) < len(self._connections):
            return
        settled = [c for c in staying if c.used or c.age >= MIN_UNUSED_AGE]
        if (spare := next(self._spare(settled), None)) is not None:
            spare.make_room()

    def _staying(self) -> list[ClientConnection]:
        return [c for c in self._connections if not c.closing]

    def _spare(self, staying: list[ClientConnection]) -> Iterator[ClientConnection]:
        """Those whose close loses nothing: what crosses the close of a used one is sent again. Then those
        that are idle. One whose first request has come in part, read or unread, would lose it: it is passed
        over, and `Patience` ends the wait for one that never comes whole."""
        done = (c for c in staying if c.left)
        idle = (c for c in staying if c.idle and not c.asked)
        return itertools.chain(done, idle)

    def closed(self, connection: ClientConnection) -> None:
        self._connections.pop(connection, None)
        if not self._connections:
            self._drained.set()

    @property
    def ready(self) -> bool:
        return self.listening and not self.draining and self.host.informed

    def close_idle(self) -> None:
        """Close what no request comes on. A connection not yet used is about to be: its time for a request
        runs out by itself."""
        for connection in list(self._connections):
            if connection.left:
                connection.shut(CloseReason.DRAIN)

    async def finished(self) -> None:
        """Wait until every answer has left and its connection is closed."""
        while self._connections:
            self._drained.clear()
            await self._drained.wait()

"""A connection from a client: an HTTP/1.1 server for the application next to this sidecar."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
import struct
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING, NoReturn, cast

import httptools

from sprucenotch.node.arrival import MAX_KERNEL_BUFFERS, Arrival
from sprucenotch.node.budget import USUAL_HEAD_SIZE, Reservation, unusual_size
from sprucenotch.node.config import SECOND
from sprucenotch.node.connection import HEADER_WHITESPACE, MAX_HEAD_SIZE, Answer
from sprucenotch.node.exchange import Exchange
from sprucenotch.node.head import BadRequest, RequestHead, head
from sprucenotch.node.ledger import Incoming
from sprucenotch.node.log import event
from sprucenotch.node.request_time_limit import RequestTimeLimit
from sprucenotch.node.rules import FORCED_CLOSES, CloseReason
from sprucenotch.node.stream import (
    ANSWER_RESERVATION,
    HEAD_READ_BUFFER,
    LAST_CHUNK,
    MAX_BODY_SIZE,
    MAX_BUFFERED_BODY_SIZE,
    MAX_READ_SIZE,
    READ_BUFFER,
    STALL_TIMEOUT,
    Stream,
    chunk,
)
from sprucenotch.node.transport import SocketTransport

if TYPE_CHECKING:
    from sprucenotch.node.frontend import Frontend

log = logging.getLogger("sprucenotch.node.frontend")  # part of the log, whatever the module is called

MAX_BODY_PIECES = 128  # in a read of 32 KiB; with more, less is read at a time
HEAD_RESERVATION_STEP = 1024  # bytes of memory that an incomplete head reserves at a time
MAX_PIPELINED_REQUESTS = 16  # per connection, counting the one being answered
UPLOAD_CHECK_INTERVAL = 0.1  # seconds between checks whether a body has waited too long to be read
REQUEST_CHECK_INTERVAL = 0.25  # seconds between checks of an incomplete request
# Seconds between checks whether the client has left while reading is paused. It bounds how long memory,
# connection slots and partly sent requests are kept for a client that left; attempts do not depend on it, as
# they check `connected`.
DISCONNECT_CHECK_INTERVAL = 0.1
# Seconds for which the client's end may have been hidden when an attempt begins; 0.1 s after the end it may
# not.
MAX_UNSEEN_END = 0.05
# What poll reports once the peer has closed, half-closed or reset its connection.
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
# Seconds for which input is still read after the last answer: closing with unread input would send a reset,
# by which the client may lose the answer.
LINGER_TIMEOUT = 2.0
# The same in bytes, for a client whose input was no request: it is owed an error or a close.
MAX_DISCARDED_AFTER_ERROR = 256 * 1024
# Statuses of input that cannot be read as a request.
UNREADABLE = (
    HTTPStatus.BAD_REQUEST,
    HTTPStatus.REQUEST_URI_TOO_LONG,
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
)


class ClientConnection(asyncio.BufferedProtocol):
    """A connection from a client: parses its requests and sends the answers in order."""

    def __init__(self, frontend: Frontend) -> None:
        self.frontend = frontend
        self.number = frontend.next_number()
        self._accepted_at = frontend.loop.time()
        self._transport: SocketTransport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges: deque[Exchange] = deque()
        self._writing: Exchange | None = None  # whose answer is being sent: the first of _exchanges
        self._chunked = False  # the answer is sent with chunked transfer coding
        self._answer_written = True  # completely, to the transport
        self._discarding = False  # further input is discarded
        self._owed_nothing = False  # all that came was unreadable: a close is as good as an error
        self._discarded = 0  # bytes of input after the error, if nothing more is owed
        self._parsing = self._flush_due = False  # input is being parsed; answers wait for that
        self._last_answer_sent = False  # no further answers follow on this connection
        self._write_blocked = False  # the client does not read its answers
        self._reading_paused = False
        self._unused = True  # no request has begun to arrive yet
        self._request_began_at = self._accepted_at  # the request being read
        # Active while the first request is awaited or a request is incomplete.
        self._request_timer: asyncio.TimerHandle | None = None
        # Active while the client does not read its answers, and while input is discarded after the last one.
        self._stall_timer: asyncio.TimerHandle | None = None
        self._disconnect_timer: asyncio.TimerHandle | None = None  # while reading is paused
        self._upload_timer: asyncio.TimerHandle | None = None  # while a body is streamed
        self._arrival = Arrival()
        self._answered_at = 0.0  # when something was last written to the client, by `Frontend.now`
        self._request_timeout = RequestTimeLimit()
        self._rules = frontend.rules  # with which the last head was checked
        self._unreported = 0  # bytes of input since the parser last reported anything
        self._reservation = Reservation(frontend.host.budget)  # of the request being read
        self._body_pieces = 0  # of a body, in the last read
        self._in_small_pieces = False  # so that much of it would keep other connections waiting
        self._reset_request()

    @property
    def idle(self) -> bool:
        """Whether no request is pending or being read."""
        return not self._exchanges and not self._reading

    @property
    def used_and_idle(self) -> bool:
        """Whether it has been used, has no pending request and no unread input."""
        return not self._unused and self.idle and not self._unread()

    @property
    def used(self) -> bool:
        """Whether a request has arrived, at least in part."""
        return not self._unused

    @property
    def age(self) -> float:
        """Seconds since the connection was accepted."""
        return self.frontend.loop.time() - self._accepted_at

    @property
    def arriving_for(self) -> float:
        """Seconds since the first byte of the request that is being read."""
        return self.frontend.loop.time() - self._request_began_at

    @property
    def incomplete(self) -> bool:
        """Whether it waits for the rest of a request, and for nothing else."""
        others = any(exchange is not self._exchange for exchange in self._exchanges)
        return self._reading and not others and not self._discarding and not self._unread()

    @property
    def holds_memory(self) -> bool:
        """Whether refusing its incomplete request would release reserved memory."""
        exchange = self._exchange
        uploading = exchange is not None and exchange.upload is not None and exchange.answer is None
        return (self._reservation.size > 0 or uploading) and self.incomplete

    @property
    def lingering(self) -> bool:
        """Whether its last answer has been sent, and the rest of its input is only discarded."""
        return self._last_answer_sent and not self._unread()

    @property
    def refused_unreadable(self) -> bool:
        """Whether its only input was unreadable and has been answered with an error."""
        return self._owed_nothing and self._last_answer_sent

    def give_up_incomplete(self, close: bool) -> None:
        """Refuse the request that is being read; with `close` its descriptor is freed too."""
        self.frontend.host.count("incomplete_given_up")
        event(
            log, logging.DEBUG, "incomplete request given up", connection=self.number, for_descriptor=close,
            in_body=self._head_received, bytes=self._head_size + self._body_size,
        )  # fmt: skip
        self._reject(BadRequest(503, "refused, as its rest did not arrive; trying again is harmless"))
        if close:
            self.free_descriptor()

    def end_wait(self) -> None:
        """End the wait for a request or for its rest: its answer would come after SIGKILL. Input that can be
        read is read first, and then this is called again."""
        uploading = self._exchange is not None and self._exchange.upload is not None
        if self._discarding or (self._unread() and not uploading):
            return
        if self._reading:
            self.give_up_incomplete(close=False)
        elif not self._exchanges:
            self.close_connection(CloseReason.DRAIN)

    @property
    def has_unread_request(self) -> bool:
        """Whether its first request, or a part of it, is in the kernel's buffer and not read yet."""
        return self._unused and self._unread()

    @property
    def has_unread_head(self) -> bool:
        """Whether a part of a head, or a new connection's first input, is in the kernel's buffer."""
        in_head = self._unused or (self._reading and not self._head_received)
        return in_head and not self._discarding and self._unread()

    @property
    def _pipeline_full(self) -> bool:
        """Whether reading of further requests waits until answers have been sent."""
        return self._write_blocked or len(self._exchanges) >= MAX_PIPELINED_REQUESTS

    def _unread(self) -> bool:
        """Whether the kernel's buffer holds input of the client."""
        return self._socket_events() != 0

    def _socket_events(self) -> int:
        """The events that poll reports now: POLLIN, PEER_CLOSED_EVENTS; 0 once the connection is lost. If
        poll fails, the result is POLLIN: input may be unread, and the client counts as connected."""
        return 0 if self._transport is None else self._transport.events()

    def _reset_request(self) -> None:
        """Start without a request. Memory of the last one that nobody has taken over is released."""
        self._drop_content()
        self._head_size = self._body_size = 0  # bytes; the head includes trailers
        self._reading = self._head_received = False
        self._exchange: Exchange | None = None  # of the request being read, once its head is complete
        self._continue_pending = False  # the client waits for "100 Continue"

    def _drop_content(self) -> None:
        """Keep nothing of the request being read from now on, and release its memory."""
        self._head = RequestHead()
        self._body = bytearray()  # buffered; or collected for a single write to the stream
        self._keeps_body = False  # memory for the body is reserved; else it is discarded as it comes
        self._incoming: Incoming | None = None
        self._error: BadRequest | None = None  # its traceback would keep the frames of all callers
        self._reservation.release()

    def _hand_over_reservation(self) -> Reservation:
        """Return the reservation of the request being read, whose owner is the caller from now on."""
        handed_over, self._reservation = self._reservation, Reservation(self.frontend.host.budget)
        return handed_over

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(SocketTransport, transport)
        if self._unread():
            self._arrival.paused(self.frontend.now())  # it waits for the first read
        self._await_request()
        self.frontend.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._discarding = True
        self._cancel_request_timer()
        self._set_stall_timer(False)
        self._schedule_disconnect_check(False)
        self._schedule_upload_check(False)
        self.frontend.closed(self)
        for exchange in self._exchanges:
            self._discard_answer(exchange)
        self._exchanges.clear()
        # Break the reference cycles: memory is free at once, not with the next garbage collection.
        self._reset_request()
        self._writing = None
        del self._parser

    def eof_received(self) -> None:
        """Treat the end of the client's input as the client having left; a half-close cannot be told apart
        from a close. Pending requests are given up; an answer that is being sent is completed. Returning
        None then closes the connection."""
        for exchange in self._exchanges:
            if exchange.answer is None:
                self.frontend.host.client_gone(exchange.id)

    def _schedule_disconnect_check(self, active: bool) -> None:
        if self._disconnect_timer is not None:
            self._disconnect_timer.cancel()
            self._disconnect_timer = None
        if active:
            self._disconnect_timer = self.frontend.loop.call_later(
                DISCONNECT_CHECK_INTERVAL, self._check_disconnect
            )

    def _check_disconnect(self) -> None:
        """Check whether the client left while reading is paused: earlier input hides its end. Note what it
        has written meanwhile."""
        if self._has_left() or self._transport is None:
            return
        self._schedule_disconnect_check(True)
        if (held := self._transport.holds_at_most()) is not None:
            self._arrival.held(held, self.frontend.now())

    def _has_left(self) -> bool:
        """Check the socket for the client's end, which may not have been read yet because reading is paused
        or the loop is late. If the client left, its pending requests are given up here."""
        if self._socket_events() & PEER_CLOSED_EVENTS:
            self.eof_received()
            self.close_connection(CloseReason.CLIENT_LEFT)
        return self._transport is None or self._transport.is_closing()

    def connected(self) -> bool:
        """Whether the client is certainly still connected, so that an attempt may begin for it."""
        return not self._has_left() and not self._may_have_left_unseen()

    def _may_have_left_unseen(self) -> bool:
        """Whether the client's end may be hidden behind input that has been waiting for long.

        Its kernel sends the end only after all that the client has written, for which the sidecar's may have
        no room. A client that has left answers what is written to it with a reset, so it was there when the
        last answer was sent. Input of a body that is being read does not count: such a request is not sent
        whole before its end is seen.
        """
        if self._transport is None or not self._arrival.behind:
            return False
        if self._exchange is not None and self._exchange.upload is not None:
            return False
        now = self.frontend.now()
        unseen_for = min(self._arrival.unread_for(now), now - self._answered_at)
        return unseen_for >= MAX_UNSEEN_END and self._unread() and self._transport.holds_at_most() is None

    def _discard_answer(self, exchange: Exchange) -> None:
        """Give up an exchange whose answer cannot reach the client any more."""
        if exchange.answer is None:
            self.frontend.host.client_gone(exchange.id)
            return
        if exchange.answer.body_stream is not None:
            exchange.answer.body_stream.drop()
        self.frontend.host.finish_request(exchange.id)

    def get_buffer(self, sizehint: int) -> memoryview:
        in_body = self._head_received or self._discarding
        return READ_BUFFER if in_body and not self._in_small_pieces else HEAD_READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self._discarding:
            self._note_discarded(nbytes)
            return
        self._request_timeout.byte_received()
        if self._arrival.behind or len(HEAD_READ_BUFFER) <= nbytes == len(self.get_buffer(-1)):
            self._note_read(nbytes)
        self._unreported += nbytes
        self._body_pieces = 0
        try:
            self._parse(READ_BUFFER[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, BadRequest):
            if not self._discarding:
                self._reject(self._error or BadRequest(400, "malformed request"))
        if self._flush_due:
            self.flush()
        self._in_small_pieces = self._body_pieces > MAX_BODY_PIECES
        if self._exchange is not None:
            self._feed_upload(self._exchange)
        if self._reading and self._request_timer is None and not self._discarding:
            self._await_request()
        self._update_reading()
        if self.frontend.waits_ended:
            self.end_wait()

    def _note_read(self, size: int) -> None:
        """Note a read that may not have been all: for how long the rest waits counts for its request."""
        more = self._unread()
        if more or self._arrival.behind:
            held = self._transport.holds_at_most() if more and self._transport is not None else None
            self._arrival.read(size, more, self.frontend.now(), held)

    def _parse(self, data: memoryview) -> None:
        """Parse input. Answers wait until all of it has been parsed: further requests in it show whether one
        is the last answer of the connection. Raises BadRequest and the parser's errors."""
        self._parsing = True
        try:
            self._parser.feed_data(data)
            if self._reading or self._unreported:
                self._check_incomplete_head()
        finally:
            self._parsing = False

    def _note_discarded(self, size: int) -> None:
        """Close a connection on which unreadable input does not end."""
        if self._owed_nothing:
            self._discarded += size
            if self._discarded > MAX_DISCARDED_AFTER_ERROR:
                self.close_connection(CloseReason.UNREADABLE, abort=True)

    # ---- waiting for the client

    def _await_request(self) -> None:
        self._request_timeout = RequestTimeLimit()
        self._request_timer = self.frontend.loop.call_later(
            REQUEST_CHECK_INTERVAL, self._check_request_timeout
        )

    def _cancel_request_timer(self) -> None:
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None

    def _check_request_timeout(self) -> None:
        """End the wait for an incomplete request that takes too long."""
        self._request_timer = self.frontend.loop.call_later(
            REQUEST_CHECK_INTERVAL, self._check_request_timeout
        )
        if self._reading_paused or self._unread():  # the sidecar is the one that is late, not the peer
            return
        if not self._request_timeout.advance(REQUEST_CHECK_INTERVAL, self._head_received, self._body_size):
            return
        self._cancel_request_timer()
        if self._reading:
            self._reject(BadRequest(408, "the request took too long"))
        else:
            self.close_connection(CloseReason.UNUSED)

    def _set_stall_timer(self, active: bool, within: float = STALL_TIMEOUT) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        if active:
            self._stall_timer = self.frontend.loop.call_later(within, self._abort_stalled)

    def _abort_stalled(self) -> None:
        if self._writing is not None:
            self._reset_connection(CloseReason.NOT_READING)
        else:
            self.close_connection(CloseReason.NOT_READING, abort=True)

    @property
    def _upload_paused(self) -> bool:
        """Whether the receiver of the body being read does not accept more for now."""
        upload = None if self._exchange is None else self._exchange.upload
        return upload is not None and upload.paused

    def _on_upload_paused(self, paused: bool) -> None:
        self._update_reading()

    def _schedule_upload_check(self, active: bool) -> None:
        if self._upload_timer is not None:
            self._upload_timer.cancel()
            self._upload_timer = None
        if active:
            self._upload_timer = self.frontend.loop.call_later(
                UPLOAD_CHECK_INTERVAL, self._check_upload_overdue
            )

    def _check_upload_overdue(self) -> None:
        """End an upload whose last byte may have waited unread for all of its time, as its server reads
        slowly."""
        exchange, incoming = self._exchange, self._incoming
        self._schedule_upload_check(False)
        if exchange is None or incoming is None or exchange.upload is None or exchange.answer is not None:
            return
        now = self.frontend.now()
        if self._client_still_writing(exchange.upload.length):
            self._arrival.client_still_writing(now)
        exchange.unread_for = self._arrival.unread_for(now)
        if self._overdue_soon(exchange.unread_for, incoming.deadline):
            event(
                log, logging.DEBUG, "upload overdue", connection=self.number, request=exchange.id,
                unread_for_ms=round(exchange.unread_for * 1000), bytes=self._body_size,
            )  # fmt: skip
            self.frontend.host.uploaded(exchange.id)
        else:
            self._schedule_upload_check(True)

    def _overdue_soon(self, unread_for: float, deadline: int) -> bool:
        """Whether the time of a request whose last byte may have come so many seconds ago ends before the
        next check."""
        now = self.frontend.host.now()
        due = self.frontend.host.answer_deadline(now - int(unread_for * SECOND), deadline)
        return unread_for > 0 and due - now <= UPLOAD_CHECK_INTERVAL * SECOND

    def _client_still_writing(self, length: int | None) -> bool:
        """Whether it is certain that the client has not written all of a body of that length."""
        if length is None or self._transport is None:
            return False
        held = self._transport.holds_at_most()
        remaining = length - self._body_size
        return remaining > MAX_KERNEL_BUFFERS or (held is not None and remaining > held)

    def _update_reading(self) -> None:
        """Pause or resume reading. A request body is read, or discarded, even if answers are blocked: a
        client may write all of it before it reads."""
        stop = not self._discarding and (self._upload_paused if self._head_received else self._pipeline_full)
        if stop != self._reading_paused and self._transport is not None and not self._transport.is_closing():
            self._reading_paused = stop
            event(
                log,
                logging.DEBUG,
                "client reading paused" if stop else "client reading resumed",
                connection=self.number,
                in_body=self._head_received,
                upload_paused=self._upload_paused,
                pipeline_full=self._pipeline_full,
            )
            self._schedule_disconnect_check(stop)
            if stop:
                self._arrival.paused(self.frontend.now())
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    # ---- answers

    def _reject(self, error: BadRequest) -> None:
        """Answer a malformed or late request with an error, in order, and end the connection."""
        self._discarding = True
        self._cancel_request_timer()
        self._drop_content()
        self._parser = httptools.HttpRequestParser(self)  # the old one holds what it has not reported
        exchange = self._exchange
        if exchange is None:
            exchange = Exchange(self.flush, self.connected, closes_connection=True, http10=False)
            self._exchanges.append(exchange)
        only_one = not self._answered_at and len(self._exchanges) == 1
        self._owed_nothing = only_one and error.status in UNREADABLE
        exchange.closes_connection = True
        if exchange.answer is None:
            self.frontend.host.client_gone(exchange.id)
            exchange.id = 0  # the host is done with it
            self._answer_error(exchange, error)
        elif exchange not in self._exchanges:
            self._stop_answering()

    def _answer_error(self, exchange: Exchange, error: BadRequest) -> None:
        self.frontend.host.count(f"rejected_{error.status}")
        exchange.answer_with_text(error.status, error.why.encode())

    def flush(self) -> None:
        """Send the answers that are due, in the order of their requests."""
        self._flush_due = self._parsing
        if self._parsing:
            return
        while (
            self._writing is None
            and self._exchanges
            and self._transport is not None
            and not self._last_answer_sent
        ):
            exchange = self._exchanges[0]
            if (answer := exchange.answer) is None:
                break
            self._writing = exchange
            until_close = (
                exchange.http10 and answer.body_stream is not None and answer.body_stream.length is None
            )
            exchange.closes_connection |= until_close or (
                self.frontend.draining and self._is_last_request(exchange)
            )
            self._write(exchange, answer)
        self._send_continue()
        self._update_reading()

    def _is_last_request(self, exchange: Exchange) -> bool:
        """Whether no further request has arrived, even in part. A draining sidecar closes the connection only
        after all requests on it have been answered."""
        begun = self._reading and self._exchange is not exchange
        return len(self._exchanges) == 1 and not begun and not self._unread()

    def _write(self, exchange: Exchange, answer: Answer) -> None:
        assert self._transport is not None
        length = len(answer.body) if answer.body_stream is None else answer.body_stream.length
        lines = exchange.framing(answer, exchange.closes_connection)
        body = b"" if exchange.head_only else answer.body
        self._transport.write(head(answer.status, answer.headers, length, *lines) + body)
        self._answered_at = self.frontend.now()
        self._answer_written = answer.body_stream is None
        if answer.body_stream is not None:
            self._chunked = length is None and not exchange.http10
            answer.body_stream.attach(self)
        elif not self._write_blocked:
            self._answer_sent()

    def body(self, piece: bytes) -> None:
        if self._transport is None or self._writing is None or self._writing.answer is None:
            return
        self._transport.write(chunk(piece) if self._chunked else piece)
        self._answered_at = self.frontend.now()
        if self._write_blocked and self._writing.answer.body_stream is not None:
            self._writing.answer.body_stream.set_paused(True)

    def body_end(self, whole: bool) -> None:
        if self._transport is None or self._writing is None:
            return
        if not whole:
            self.frontend.host.finish_request(self._writing.id, broken=True)
            self._reset_connection(CloseReason.ANSWER_BROKE)
            return
        self._answer_written = True
        if self._chunked:
            self._transport.write(LAST_CHUNK)
        if not self._write_blocked:
            self._answer_sent()
            self.flush()

    def _reset_connection(self, reason: CloseReason) -> None:
        """Close with a reset in the middle of an answer. If the answer ends with its connection, only a reset
        shows the client that it is incomplete."""
        if self._transport is not None:
            linger = struct.pack("ii", 1, 0)
            self._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.close_connection(reason, abort=True)

    def _answer_sent(self) -> None:
        """Finish the exchange whose answer has been written completely."""
        exchange, self._writing = self._exchanges.popleft(), None
        self.frontend.host.finish_request(exchange.id)
        # The head of a streamed answer may have been sent without "Connection: close" before the drain.
        if exchange.closes_connection or (self.frontend.draining and self.used_and_idle):
            self._stop_answering()

    def _stop_answering(self) -> None:
        """End the connection after the last answer. Input is still read for a while, as the kernel would
        answer it with a reset, by which the client may lose the answer."""
        self._discarding = self._last_answer_sent = True
        self._cancel_request_timer()
        if self._transport is None:
            return
        if self._reading:
            self._transport.write_eof()
            self._set_stall_timer(True, LINGER_TIMEOUT)
            self._update_reading()
        else:
            self.close_connection(CloseReason.LAST_ANSWER)

    def pause_writing(self) -> None:
        self._write_blocked = True
        self._set_stall_timer(True)
        self._update_reading()

    def resume_writing(self) -> None:
        self._write_blocked = False
        self._set_stall_timer(False)
        if self._writing is not None:
            if self._answer_written:
                self._answer_sent()
            elif self._writing.answer is not None and self._writing.answer.body_stream is not None:
                self._writing.answer.body_stream.set_paused(False)
        self.flush()

    def close_connection(self, reason: CloseReason, abort: bool = False) -> None:
        """Close the connection; every close by the sidecar goes through here. Data already written is still
        sent, unless `abort` is set."""
        if self._transport is None:
            return
        if not self._transport.is_closing():
            has_unread_request = self.has_unread_request if reason in FORCED_CLOSES else False
            self.frontend.host.rules.client_closed(
                reason, self._has_unanswered, has_unread_request, self.number
            )
        if abort:
            self._transport.abort()
        else:
            self._transport.close()

    @property
    def _has_unanswered(self) -> bool:
        """Whether a request that the ledger has accepted is not answered yet."""
        return any(exchange.id and not exchange.answer for exchange in self._exchanges)

    @property
    def closing(self) -> bool:
        return self._transport is not None and self._transport.is_closing()

    def free_descriptor(self) -> None:
        """Close the connection to free its descriptor. After the last answer it is aborted, as a close would
        wait for output that the client may never read."""
        self.close_connection(CloseReason.ROOM, abort=self._last_answer_sent)

    # ---- httptools' callbacks

    def _check_incomplete_head(self) -> None:
        """Bound what an incomplete head or trailer keeps in memory. Raises BadRequest."""
        answered = self._exchange is not None and self._exchange.answer is not None
        # The parser holds a field that does not end. Nothing is reserved for the rest of an answered request.
        if self._unreported > (USUAL_HEAD_SIZE if answered else MAX_HEAD_SIZE):
            self._fail_parsing(431, HTTPStatus(431).phrase)
        if self._reading:
            self._reserve_head(unusual_size(self._head.size + self._unreported))

    def _reserve_head(self, size: int) -> None:
        """Reserve memory for a head or trailer of that many bytes so far. Raises BadRequest."""
        missing = size - self._reservation.size
        if missing <= 0:
            return
        missing += -missing % HEAD_RESERVATION_STEP
        if not self.frontend.reserve(self._reservation, missing, self):
            self.frontend.host.count("no_room")
            self._fail_parsing(503, "no memory for this head; trying again is harmless")

    def on_message_begin(self) -> None:
        self._unreported = 0
        self._unused = False
        self._reading = True
        self._request_began_at = self.frontend.loop.time()

    def on_url(self, url: bytes) -> None:
        self._unreported = 0
        self._add_head_size(len(url), 414)
        self._head.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._unreported = 0
        self._add_head_size(len(name) + len(value), 431)
        if not self._head_received:  # else it is a trailer, which must not count as a header
            self._head.add_field(
                name, value.rstrip(HEADER_WHITESPACE)
            )  # the parser keeps trailing whitespace

    def on_headers_complete(self) -> None:
        self._unreported = 0
        self._head_received = True
        method, http10 = self._parser.get_method(), self._parser.get_http_version() == "1.0"
        exchange = Exchange(self.flush, self.connected, not self._parser.should_keep_alive(), http10)
        exchange.head_only = method == b"HEAD"
        self._exchange = exchange
        self._exchanges.append(exchange)
        if self._parser.should_upgrade():  # the input that follows would not be HTTP
            self._fail_parsing(400, "upgrades are not served")
        headers = self._head.fields
        transfer_coding = headers.get(b"transfer-encoding")
        # Other codings would be lost in forwarding.
        if transfer_coding is not None and transfer_coding.lower() != b"chunked":
            self._fail_parsing(400, "only chunks are known as a transfer coding")
        length = None if transfer_coding is not None else int(headers.get(b"content-length", b"0"))
        if length is not None and length > MAX_BODY_SIZE:
            self._fail_parsing(413, HTTPStatus(413).phrase)
        expects_continue = (
            headers.get(b"expect", b"").lower() == b"100-continue" and not http10 and length != 0
        )
        if self._head.url.partition(b"?")[0] == b"/up" and method == b"GET":
            if length is not None and length > MAX_BUFFERED_BODY_SIZE:
                self._fail_parsing(413, HTTPStatus(413).phrase)
            self._drop_content()  # the answer does not depend on it
        else:
            closes_connection, exchange.closes_connection = (
                exchange.closes_connection,
                exchange.closes_connection or expects_continue,
            )
            self._admit(exchange, headers, length)
            if exchange.answer is None:
                exchange.closes_connection = closes_connection
        self._continue_pending = expects_continue and exchange.answer is None
        self._send_continue()

    def _admit(self, exchange: Exchange, headers: dict[bytes, bytes], length: int | None) -> None:
        """Check the head and reserve memory for the body; a long request is passed to the host right away.

        A client that waits for "100 Continue" and gets a final answer instead may or may not send its body:
        after such an answer the connection is closed.
        """
        method = self._parser.get_method()
        self._rules = self.frontend.rules
        try:
            self._incoming = self._rules.check(method, self._head.url, bytes(self._head.lines), headers)
        except BadRequest as error:
            self._drop_content()
            self._answer_error(exchange, error)
            return
        if len(self._head.lines) > USUAL_HEAD_SIZE:
            self._head.lines = bytearray()  # the request has a copy
        long = length is not None and length > MAX_BUFFERED_BODY_SIZE
        body_size = (
            MAX_READ_SIZE if long else MAX_BUFFERED_BODY_SIZE + MAX_READ_SIZE if length is None else length
        )
        head_size = 2 * unusual_size(len(self._incoming.head))  # an attempt is built of a copy of it
        head_size += unusual_size(len(self._incoming.req_id))
        missing = head_size + body_size + ANSWER_RESERVATION - self._reservation.size
        if not self.frontend.reserve(self._reservation, missing, self):
            self.frontend.host.count_memory_refusal(self._incoming)
            self._drop_content()
            if length is None:  # to find its end, all of its chunks would have to be parsed
                exchange.closes_connection = True
            exchange.refuse(0)
            return
        self._keeps_body = True
        if long:
            self._start_upload(exchange, self._incoming, length)

    def _recheck_head(self, checked: Incoming) -> Incoming:
        """Check the head again with the current settings: they may have changed since it arrived, and its
        class or tenant may be different or removed."""
        method = self._parser.get_method()
        again = self.frontend.rules.check(method, self._head.url, b"", self._head.fields)
        return again._replace(head=checked.head)

    def _feed_upload(self, exchange: Exchange) -> None:
        if exchange.answer is not None:
            self._body.clear()  # already answered: the rest of the body is discarded
        elif exchange.upload is not None and self._body:
            exchange.upload.feed(bytes(self._body))
            self._body.clear()

    def _start_upload(self, exchange: Exchange, incoming: Incoming, length: int | None) -> None:
        """Pass a long request to the host; its body is streamed."""
        framing = b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length
        exchange.upload = Stream(self._on_upload_paused, length)
        self._schedule_upload_check(True)
        self._incoming = incoming._replace(head=incoming.head + framing)
        self._head = RequestHead()  # the ledger has all of it
        self.frontend.host.request(exchange, self._incoming, self._hand_over_reservation(), exchange.upload)
        if log.isEnabledFor(logging.DEBUG):
            event(
                log, logging.DEBUG, "upload begins", connection=self.number, request=exchange.id,
                req_id=incoming.req_id.decode("latin-1"), length=length,
            )  # fmt: skip

    def _send_continue(self) -> None:
        """Send "100 Continue", once all earlier answers have been sent."""
        if self._continue_pending and self._exchanges and self._exchanges[0] is self._exchange:
            self._continue_pending = False
            if self._transport is not None and not self._body_size and self._exchange.answer is None:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._unreported = 0
        self._body_pieces += 1
        self._body_size += len(body)
        if self._body_size > MAX_BODY_SIZE:
            self._fail_parsing(413, HTTPStatus(413).phrase)
        exchange = self._exchange
        assert exchange is not None
        if exchange.answer is not None:
            return
        if not self._keeps_body:  # of a call that the sidecar answers itself
            if self._body_size > MAX_BUFFERED_BODY_SIZE:
                self._fail_parsing(413, HTTPStatus(413).phrase)
            return
        self._body += body
        if (
            exchange.upload is None
            and self._body_size > MAX_BUFFERED_BODY_SIZE
            and self._incoming is not None
        ):
            try:
                self._incoming = self._recheck_head(self._incoming)
            except BadRequest as error:
                self._fail_parsing(error.status, error.why)
            self._start_upload(exchange, self._incoming, None)

    def _add_head_size(self, size: int, status: int) -> None:
        self._head_size += size
        if self._head_size > MAX_HEAD_SIZE:
            self._fail_parsing(status, HTTPStatus(status).phrase)

    def _fail_parsing(self, status: int, why: str) -> NoReturn:
        """Stop the parser by an exception; the request is answered with this status."""
        self._error = BadRequest(status, why)
        raise self._error

    def on_message_complete(self) -> None:
        self._unreported = 0
        exchange, incoming = self._exchange, self._incoming
        self._exchange = None  # a parse error from here on does not concern it
        self._reading = self._head_received = False
        self._cancel_request_timer()
        self._complete_request(exchange, incoming)
        self._reset_request()  # an idle connection keeps nothing of it

    def _complete_request(self, exchange: Exchange | None, incoming: Incoming | None) -> None:
        """Pass on a request that is complete, or the last part of its body."""
        if self._upload_timer is not None:
            self._schedule_upload_check(False)
        if exchange is not None and self._arrival.behind:
            exchange.unread_for = self._arrival.waited(self.frontend.now())
        if self._discarding or exchange is None or exchange.answer is not None:
            return
        if exchange.upload is not None:
            if self._has_left():  # its last byte is not sent
                return
            self.frontend.host.uploaded(exchange.id)
            self._feed_upload(exchange)
            exchange.upload.finish(True)
        elif incoming is not None:
            self._pass_on_buffered(exchange, incoming)
        else:
            self._answer_up_check(exchange)

    def _pass_on_buffered(self, exchange: Exchange, incoming: Incoming) -> None:
        """Pass a buffered request to the host, after another check if the settings have changed."""
        if self._rules is not self.frontend.rules:
            try:
                incoming = self._recheck_head(incoming)
            except BadRequest as error:
                self._drop_content()
                self._answer_error(exchange, error)
                return
        body = bytes(self._body)
        if body or self._parser.get_method() == b"POST":
            framed = incoming.head + b"Content-Length: %d\r\n" % len(body)
            incoming = incoming._replace(head=framed, body=body)
        self.frontend.host.request(exchange, incoming, self._hand_over_reservation())

    def _answer_up_check(self, exchange: Exchange) -> None:
        ready = self.frontend.host.has_endpoints
        exchange.answer_with_text(200 if ready else 503, b"up" if ready else b"no endpoint is known yet")

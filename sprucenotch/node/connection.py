"""An HTTP/1.1 connection to a server: one request at a time, its answer and how far each has got."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple, TypeAlias, cast

import httptools

from sprucenotch.node.config import SECOND, Address
from sprucenotch.node.log import event
from sprucenotch.node.stream import (
    LAST_CHUNK,
    MAX_BUFFERED_BODY_SIZE,
    READ_BUFFER,
    STALL_TIMEOUT,
    Stream,
    chunk,
    no_op,
)
from sprucenotch.node.transport import SocketTransport

MAX_HEAD_SIZE = 32 * 1024  # bytes of names and values
FIELD_OVERHEAD = 64  # bytes, counted for each field of an answer beside its name and value
HEADER_WHITESPACE = b" \t"  # optional whitespace around a header value

log = logging.getLogger(__name__)

Headers: TypeAlias = list[tuple[bytes, bytes]]


class ServerCloseReason(StrEnum):
    """Why the sidecar closes a connection to a server."""

    ABANDONED = "abandoned"  # whoever sent the request does not wait for its answer any more
    ANSWER_DROPPED = "answer dropped"  # nobody receives the rest of a streamed answer
    ANSWER_ENDED = "answer ended"  # the connection cannot be reused after this answer
    NOT_SENT = "not sent"  # the request could not be written
    STALLED = "stalled"  # a transfer made no progress
    UNREQUESTED_INPUT = "unrequested input"
    WITHDRAWN = "withdrawn"  # the server drains, is gone or has moved
    STALE = "stale"  # idle for too long, or the peer has closed it
    SURPLUS = "surplus"  # left over from a burst
    ROOM = "room"  # another connection needs its place


class Answer(NamedTuple):
    """An answer from a server, or one that the sidecar gives itself."""

    status: int
    headers: Headers
    body: bytes
    body_stream: Stream | None = None  # replaces the body of a streamed answer
    head_time_ns: int = 0  # monotonic time at which the head of a streamed answer arrived
    head_size: int = 0  # bytes that its headers take

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of that name (lower case)."""
        return next((value for key, value in self.headers if key == name), None)


UNREADABLE = Answer(0, [], b"")  # malformed HTTP; the endpoint still counts as up
STATUSES_WITHOUT_BODY = (204, 304)
NEVER = 1 << 63  # later than any time
AnswerCallback: TypeAlias = Callable[[Answer | None], None]


class Connection(asyncio.BufferedProtocol):
    """An HTTP/1.1 connection to a server. It carries one request at a time and never repeats one."""

    def __init__(self, on_lost: Callable[[Connection], None] | None = None) -> None:
        self._on_lost = on_lost
        self.counted = False  # whether it counts as one of the open and connecting connections
        self._transport: SocketTransport | None = None
        self._parser: httptools.HttpResponseParser | None = None  # of the last request
        self._on_answer: AnswerCallback | None = None
        self._on_written = self._on_finished = no_op
        self._upload: Stream | None = None  # the streamed body of the current request
        self._answer_stream: Stream | None = None  # the body of a streamed answer
        self._answer: Answer | None = None
        self._answer_complete = False  # the last byte of the answer has arrived
        self._stream_from = NEVER  # from then on an answer of unknown length is streamed
        self._stream_timer: asyncio.TimerHandle | None = None
        self._write_blocked = False
        self.request_sent = False  # the last byte of the request has been sent
        self._stall_timer: asyncio.TimerHandle | None = None
        self.idle_since = self.reusable_at = 0
        self.dial: Address | None = None  # of the endpoint
        self.max_body_size = MAX_BUFFERED_BODY_SIZE
        self.may_stream = False  # a longer body is streamed; otherwise it is an error
        self._reset_answer()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(SocketTransport, transport)

    @property
    def open(self) -> bool:
        """Whether it is connected and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def usable(self) -> bool:
        """Whether a request may be sent: open, nothing under way, no input from the peer.

        The peer's close may be in the kernel's buffer and not read yet. A request written after it would end
        in a reset and would have to count as possibly run, so the socket is polled. If that fails, the
        connection is not usable.
        """
        transport = self._transport
        return transport is not None and not transport.is_closing() and not transport.events()

    def send(
        self,
        data: bytes,
        on_answer: AnswerCallback,
        on_written: Callable[[], None] = no_op,
        on_finished: Callable[[], None] = no_op,
        upload: Stream | None = None,
    ) -> bool:
        """Write a request. `data` is all of it, or only its head if `upload` streams the body.

        Returns False if the connection was closed before the last byte was sent: the server cannot have
        executed the request, and no callback is called. Returns True otherwise, which does not mean that the
        request was sent. Then `on_answer` is called once with the answer: UNREADABLE if it is malformed, None
        if the connection broke. `on_written` is called once the kernel has accepted the last byte,
        `on_finished` once the answer has ended, so that the connection can be reused. After `close` none of
        them is called.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        self._parser = httptools.HttpResponseParser(self)
        self._malformed = self._answer_complete = False
        transport.write(data)
        if transport.is_closing():  # the peer has closed the connection
            self.close(ServerCloseReason.NOT_SENT)
            return False
        self._on_answer, self._on_written, self._on_finished = on_answer, on_written, on_finished
        self._upload, self._answer_stream = upload, None
        self._request_written, self.request_sent = upload is None, False
        if upload is not None:
            upload.attach(self)
        elif not self._write_blocked:
            self._request_sent()
        return True

    async def ask(self, request: bytes) -> Answer | None:
        """Send a request and wait for its answer; None if the connection breaks first."""
        answered: asyncio.Future[Answer | None] = asyncio.get_running_loop().create_future()

        def on_answer(answer: Answer | None) -> None:
            if not answered.done():
                answered.set_result(answer)

        return await answered if self.send(request, on_answer) else None

    def close(self, reason: ServerCloseReason = ServerCloseReason.ABANDONED) -> None:
        """Abort the connection without calling the callbacks of the current request. A streamed answer that
        has begun is broken off, so that its receiver does not wait for the rest."""
        self._log_close(reason)
        self._end_sending()
        self._end_exchange()
        self._abort()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _log_close(self, reason: ServerCloseReason) -> None:
        """Log a close by the sidecar. Called before it, while the state of the exchange can still be seen."""
        if not self.open or not log.isEnabledFor(logging.DEBUG):
            return
        assert self._transport is not None
        event(
            log,
            logging.DEBUG,
            "server connection closed",
            reason=reason.value,
            local_port=self._transport.local_port,
            awaits_answer=self._on_answer is not None,
            in_answer=self._answer_stream is not None,
        )

    def _end_sending(self) -> None:
        """Half-close the socket at once if an answer is pending, so that the peer sees that the request was
        abandoned. The transport closes only in the next loop iteration, when another attempt may be out."""
        if self._on_answer is not None and not self._answer_complete and self._transport is not None:
            self._transport.end_sending()

    def _detach_upload(self) -> None:
        if self._upload is not None:
            self._upload.detach()
            self._upload = None

    # ---- sending the request

    def body(self, piece: bytes) -> None:
        if self._transport is not None and self._upload is not None:
            self._transport.write(chunk(piece) if self._upload.length is None else piece)
            if self._write_blocked:
                self._upload.set_paused(True)

    def body_end(self, whole: bool) -> None:
        if self._transport is not None and self._upload is not None:
            self._request_written = True
            if self._upload.length is None:
                self._transport.write(LAST_CHUNK)
            if not self._write_blocked:
                self._request_sent()

    def _request_sent(self) -> None:
        """Note that the last byte was sent: if the connection breaks now, the request may have run."""
        self.request_sent = True
        self._on_written()

    def pause_writing(self) -> None:
        self._write_blocked = True
        self._watch_progress()

    def resume_writing(self) -> None:
        self._write_blocked = False
        self._watch_progress()
        if self._on_answer is None:
            return
        if self._request_written and not self.request_sent:
            self._request_sent()
        elif self._upload is not None:
            self._upload.set_paused(False)

    def _watch_progress(self) -> None:
        """Restart or stop the timer that aborts a stalled transfer, for phases that no deadline covers."""
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        receiving = self._answer_stream is not None and not self._answer_stream.paused
        if self._transport is not None and (self._write_blocked or receiving):
            self._stall_timer = asyncio.get_running_loop().call_later(STALL_TIMEOUT, self._abort_stalled)

    def _abort_stalled(self) -> None:
        """Abort a stalled transfer. The close that follows is the sidecar's own and must not count as the
        regular end of an answer that ends with its connection."""
        self._until_close = False
        self._log_close(ServerCloseReason.STALLED)
        self._abort()

    # ---- receiving the answer

    def stream_answer_from(self, at: int) -> None:
        """Stream the answer of the current request from `at` on, in nanoseconds of the monotonic clock, if
        its length is unknown: also if only its head has arrived by then."""
        self._stream_from = at
        self._cancel_stream_timer()
        self._await_stream_time()

    def _await_stream_time(self) -> None:
        """Schedule the start of streaming, if an answer of unknown length has begun to arrive."""
        begun = self._length_unknown and self._answer_stream is None
        if begun and self._stream_timer is None and self._stream_from != NEVER:
            delay = max(0.0, (self._stream_from - time.monotonic_ns()) / SECOND)
            self._stream_timer = asyncio.get_running_loop().call_later(delay, self._stream_begun_answer)

    def _cancel_stream_timer(self) -> None:
        if self._stream_timer is not None:
            self._stream_timer.cancel()
            self._stream_timer = None

    def _stream_begun_answer(self) -> None:
        """Start to stream an answer whose head has arrived. A later head finds that its time has come."""
        self._stream_timer, self._stream_from = None, 0
        if self._length_unknown and self._answer_stream is None and not self._answer_complete:
            self._start_streaming(None)
            self._pass_on_streamed()

    def _pass_on_streamed(self) -> None:
        """Pass on what has arrived of an answer that is streamed."""
        if self._answer_stream is not None:
            self._feed_stream(self._answer_stream)
            self._deliver_stream()
            self._watch_progress()

    def get_buffer(self, sizehint: int) -> memoryview:
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self._on_answer is None and self._answer_stream is None:
            self.close(ServerCloseReason.UNREQUESTED_INPUT)
            return
        assert self._parser is not None
        self._unreported += nbytes
        try:
            self._parser.feed_data(READ_BUFFER[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._malformed = True
        if self._unreported > MAX_HEAD_SIZE:  # the parser holds a field that does not end
            self._malformed = True
        if self._answer_complete:
            # Input after the end of the answer makes the connection unusable, but the answer is valid.
            self._finish(self._answer, self._keep_alive and not self._malformed)
            return
        if self._malformed:
            self._finish(UNREADABLE, False)
            return
        if self._length_unknown and self._answer_stream is None and time.monotonic_ns() >= self._stream_from:
            self._start_streaming(None)
        self._pass_on_streamed()
        self._await_stream_time()

    def _feed_stream(self, stream: Stream) -> None:
        if self._body:
            stream.feed(bytes(self._body))
            self._body.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        under_way = self._on_answer is not None or self._answer_stream is not None
        if under_way and exc is None and self._until_close:
            self.on_message_complete()  # the close marks the end of this answer
        self._finish(self._answer if self._answer_complete else None, False)
        if self._on_lost is not None:
            self._on_lost(self)
        self._parser = self._on_lost = None  # breaks the reference cycles

    def _pause_answer(self, on: bool) -> None:
        """Pause or resume reading of a streamed answer."""
        if self._transport is not None:
            if on:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()
            self._watch_progress()

    def _deliver_stream(self) -> None:
        """Pass on a streamed answer as it begins."""
        on_answer, self._on_answer = self._on_answer, None
        if on_answer is not None:
            on_answer(
                Answer(
                    self._status,
                    self._headers,
                    b"",
                    self._answer_stream,
                    self._head_time_ns,
                    self._head_size,
                )
            )

    def _finish(self, answer: Answer | None, keep: bool) -> None:
        """End the exchange: the answer is complete, or no more of it will arrive."""
        if not (keep and self.request_sent):
            self._log_close(ServerCloseReason.ANSWER_ENDED)
            self._end_sending()
            self._abort()
        if self._answer_stream is not None:
            self._feed_stream(self._answer_stream)
            self._deliver_stream()
        on_answer, on_finished = self._on_answer, self._on_finished
        self._end_exchange()
        on_finished()
        if on_answer is not None:
            on_answer(answer)

    def _end_exchange(self) -> None:
        """Forget what the exchange has set up, as the connection may carry another one from now on; end its
        streamed answer."""
        self._on_answer, self._on_written, self._on_finished = None, no_op, no_op
        self._cancel_stream_timer()
        self._stream_from = NEVER
        self._detach_upload()
        stream, self._answer_stream = self._answer_stream, None
        self._answer = None
        self._reset_answer()
        self._watch_progress()
        if stream is not None:
            stream.finish(self._answer_complete)

    # ---- httptools' callbacks

    def _reset_answer(self) -> None:
        self._status = self._head_size = self._body_size = 0
        self._unreported = 0  # bytes of input since the parser last reported anything
        self._head_received = self._until_close = self._length_unknown = False
        self._headers: Headers = []
        self._body = bytearray()  # buffered; or collected for a single write to the stream

    def on_message_begin(self) -> None:
        if self._answer_complete:
            self._malformed = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._unreported = 0
        self._head_size += len(name) + len(value) + FIELD_OVERHEAD
        if self._head_size > MAX_HEAD_SIZE:
            raise ValueError("the head is too long")
        if not self._head_received:  # else it is a trailer
            self._headers.append((name.lower(), value.rstrip(HEADER_WHITESPACE)))

    def on_headers_complete(self) -> None:
        assert self._parser is not None
        self._unreported = 0
        self._head_received, self._status = True, self._parser.get_status_code()
        if self._status < 200 or self._answer_complete:
            return
        headers = dict(self._headers)
        length = headers.get(b"content-length")
        self._head_time_ns = time.monotonic_ns()
        self._length_unknown = length is None and self._status not in STATUSES_WITHOUT_BODY
        self._until_close = self._length_unknown and b"transfer-encoding" not in headers
        if length is not None and int(length) > MAX_BUFFERED_BODY_SIZE:
            self._start_streaming(int(length))

    def on_body(self, body: bytes) -> None:
        self._unreported = 0
        self._body += body
        self._body_size += len(body)
        if self._answer_stream is None and self._body_size > self.max_body_size:
            self._start_streaming(None)

    def _start_streaming(self, length: int | None) -> None:
        if not self.may_stream or self._status != 200:
            declared_too_long = not self.may_stream and length is not None and length > self.max_body_size
            if declared_too_long or self._body_size > self.max_body_size:
                raise ValueError("answer too long")
            return
        self._answer_stream = Stream(self._pause_answer, length, self._on_answer_dropped)

    def _on_answer_dropped(self) -> None:
        self.close(ServerCloseReason.ANSWER_DROPPED)

    def on_message_complete(self) -> None:
        if self._status < 200:  # an interim (1xx) answer: the final one follows
            self._reset_answer()
        elif not self._answer_complete:
            self._answer_complete = True
            body = bytes(self._body)
            self._answer = Answer(self._status, self._headers, body, head_size=self._head_size)
            assert self._parser is not None
            # After this callback the parser has forgotten the length and always returns False.
            self._keep_alive = self._parser.should_keep_alive()

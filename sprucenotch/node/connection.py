"""One HTTP/1.1 connection to a server: a request at a time, its answer, and what may be told of both."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple, TypeAlias, cast

import httptools

from sprucenotch.node.config import Address
from sprucenotch.node.stream import LAST_CHUNK, READ_BUFFER, STALLED, WHOLE_MOST, Stream, chunk, nothing
from sprucenotch.node.transport import SocketTransport

HEAD_MOST = 32 * 1024
BLANKS = b" \t"  # around the value of a header, and no part of it

Headers: TypeAlias = list[tuple[bytes, bytes]]


class Answer(NamedTuple):
    status: int
    headers: Headers
    body: bytes
    rest: Stream | None = None  # in place of the body of a long answer, which is still to come
    headed: int = 0  # the monotonic time when the head of a long one came

    def header(self, name: bytes) -> bytes | None:
        return next((value for key, value in self.headers if key == name), None)


UNREADABLE = Answer(0, [], b"")  # what came cannot be read as HTTP: the endpoint is up all the same
BODILESS = (204, 304)
NEVER = 1 << 63  # later than any time
Done: TypeAlias = Callable[[Answer | None], None]


class Connection(asyncio.BufferedProtocol):
    """One HTTP/1.1 client connection; it carries a request at a time and never sends one again by itself."""

    def __init__(self, on_lost: Callable[[Connection], None] | None = None) -> None:
        self._on_lost = on_lost
        self.counted = False  # among those that are open, or on their way up
        self._transport: SocketTransport | None = None
        self._done: Done | None = None
        self._free = nothing
        self._upload: Stream | None = None  # the body of a long request under way
        self._rest: Stream | None = None  # that of a long answer
        self._answer: Answer | None = None
        self._ended = False  # the whole answer has come
        self.eager_from = NEVER  # what comes then of an answer of unknown length need not be held any more
        self._clogged = self._paused = False
        self.whole = False  # the last byte of the request has gone out
        self._stalled: asyncio.TimerHandle | None = None
        self.idle_since = self.rests_until = 0
        self.dial: Address | None = None  # of the endpoint
        self.body_most = WHOLE_MOST
        self.streams = False  # a longer body is passed on as it comes; else it is an error

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(SocketTransport, transport)

    @property
    def open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def usable(self) -> bool:
        """Whether a request may go out here: open, nothing under way, nothing sent by the peer.

        The peer's end of the connection may lie unread in the kernel. A request written after it would be
        lost as a reset, which may have run, so the socket itself is asked. Where the kernel cannot tell for
        the moment, it is not.
        """
        transport = self._transport
        return transport is not None and not transport.is_closing() and not transport.events()

    def send(
        self,
        data: bytes,
        done: Done,
        written: Callable[[], None] = nothing,
        free: Callable[[], None] = nothing,
        upload: Stream | None = None,
    ) -> bool:
        """Write a request, whose body comes from `upload` if it is long. False: its last byte surely did not
        go out. Else `done` gets the answer, once: UNREADABLE if it makes no sense, None if the connection
        broke. `written` is called once the last byte has gone out, `free` once the answer is over.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        self._parser = httptools.HttpResponseParser(self)
        self._answer = None
        self._junk = self._ended = False
        self._begin_answer()
        transport.write(data)
        if transport.is_closing():  # the peer was first
            self.close()
            return False
        self._done, self._written, self._free = done, written, free
        self._upload, self._rest = upload, None
        self._last, self.whole = upload is None, False
        if upload is not None:
            upload.attach(self)
        elif not self._clogged:
            self._went()
        return True

    async def ask(self, request: bytes) -> Answer | None:
        """Send a request and wait for its answer: None where the connection breaks first."""
        answered: asyncio.Future[Answer | None] = asyncio.get_running_loop().create_future()

        def done(answer: Answer | None) -> None:
            if not answered.done():
                answered.set_result(answer)

        return await answered if self.send(request, done) else None

    def close(self) -> None:
        self._end_sending()
        self._done, self._free, self._rest = None, nothing, None
        self._let_go()
        if self._transport is not None:
            self._transport.abort()

    def _end_sending(self) -> None:
        """Tell the peer at once that its request is given up, if its answer is still to come. The transport
        closes only in the next turn of the loop, and another attempt may be on its way by then."""
        if self._done is not None and not self._ended and self._transport is not None:
            self._transport.end_sending()

    def _let_go(self) -> None:
        if self._upload is not None:
            self._upload.detach()
            self._upload = None

    # ---- the request's way out

    def body(self, piece: bytes) -> None:
        if self._transport is not None and self._upload is not None:
            self._transport.write(chunk(piece) if self._upload.length is None else piece)
            if self._clogged:
                self._upload.clog(True)

    def body_end(self, whole: bool) -> None:
        if self._transport is not None and self._upload is not None:
            self._last = True
            if self._upload.length is None:
                self._transport.write(LAST_CHUNK)
            if not self._clogged:
                self._went()

    def _went(self) -> None:
        """The last byte has gone out: from here on a break counts as may-have-run."""
        self.whole = True
        self._written()

    def pause_writing(self) -> None:
        self._clogged = True
        self._watch_progress()

    def resume_writing(self) -> None:
        self._clogged = False
        self._watch_progress()
        if self._done is None:
            return
        if self._last and not self.whole:
            self._went()
        elif self._upload is not None:
            self._upload.clog(False)

    def _watch_progress(self) -> None:
        """Give up a peer that neither takes nor gives for long, where no deadline does."""
        if self._stalled is not None:
            self._stalled.cancel()
            self._stalled = None
        if self._transport is not None and (self._clogged or (self._rest is not None and not self._paused)):
            self._stalled = asyncio.get_running_loop().call_later(STALLED, self._give_up)

    def _give_up(self) -> None:
        """Nothing moves any more. The end that follows is made here: it is not that of an answer which ends
        with its connection."""
        self._until_end = False
        if self._transport is not None:
            self._transport.abort()

    # ---- the answer's way in

    def get_buffer(self, sizehint: int) -> memoryview:
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self._done is None and self._rest is None:
            self.close()  # an answer that nobody asked for
            return
        try:
            self._parser.feed_data(READ_BUFFER[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._junk = True
        if self._ended:
            # Bytes past the end of the answer make the connection unfit, not the answer.
            self._finish(self._answer, self._keep and not self._junk)
            return
        if self._junk:
            self._finish(UNREADABLE, False)
            return
        if self._open_ended and self._rest is None and time.monotonic_ns() >= self.eager_from:
            self._start_long(None)
        if self._rest is not None:
            self._pass_on(self._rest)
            self._begin_long()
            self._watch_progress()

    def _pass_on(self, rest: Stream) -> None:
        if self._body:
            rest.feed(bytes(self._body))
            self._body.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        under_way = self._done is not None or self._rest is not None
        if under_way and exc is None and self._until_end:
            self.on_message_complete()  # such an answer ends with its connection
        self._finish(self._answer if self._ended else None, False)
        self._watch_progress()
        if self._on_lost is not None:
            self._on_lost(self)

    def _hold(self, on: bool) -> None:
        """Pause a long answer, or go on with it."""
        if self._transport is not None and on != self._paused:
            self._paused = on
            if on:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()
            self._watch_progress()

    def _begin_long(self) -> None:
        """Whoever waits for the answer gets it as it begins."""
        done, self._done = self._done, None
        if done is not None:
            done(Answer(self._status, self._headers, b"", self._rest, self._headed_at))

    def _finish(self, answer: Answer | None, keep: bool) -> None:
        """The answer is whole, or no more of it will come."""
        if not (keep and self.whole) and self._transport is not None:
            self._end_sending()
            self._transport.abort()
        self._let_go()
        if self._rest is not None:
            self._pass_on(self._rest)
            self._begin_long()
        rest, self._rest = self._rest, None
        done, self._done = self._done, None
        free, self._free = self._free, nothing
        if rest is not None:
            rest.finish(self._ended)
        self._hold(False)
        free()
        if done is not None:
            done(answer)

    # ---- httptools' callbacks

    def _begin_answer(self) -> None:
        self._status = self._head_size = self._size = 0
        self._headed = self._until_end = self._open_ended = False
        self._headers: Headers = []
        self._body = bytearray()  # held, or on its way to the stream: one write for all that came at once

    def on_message_begin(self) -> None:
        if self._ended:
            self._junk = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head_size += len(name) + len(value)
        if self._head_size > HEAD_MOST:
            raise ValueError("the head is too long")
        if not self._headed:  # else it is a trailer
            self._headers.append((name.lower(), value.rstrip(BLANKS)))

    def on_headers_complete(self) -> None:
        self._headed, self._status = True, self._parser.get_status_code()
        if self._status < 200 or self._ended:
            return
        told = dict(self._headers)
        length = told.get(b"content-length")
        self._headed_at = time.monotonic_ns()
        self._open_ended = length is None and self._status not in BODILESS
        self._until_end = self._open_ended and b"transfer-encoding" not in told
        if length is not None and int(length) > WHOLE_MOST:
            self._start_long(int(length))

    def on_body(self, body: bytes) -> None:
        self._body += body
        self._size += len(body)
        if self._rest is None and self._size > self.body_most:
            self._start_long(None)

    def _start_long(self, length: int | None) -> None:
        if not self.streams or self._status != 200:
            told_too_long = not self.streams and length is not None and length > self.body_most
            if told_too_long or self._size > self.body_most:
                raise ValueError("answer too long")
            return
        self._rest = Stream(self._hold, length, self.close)

    def on_message_complete(self) -> None:
        if self._status < 200:  # an interim answer: the real one follows
            self._begin_answer()
        elif not self._ended:
            self._ended = True
            self._answer = Answer(self._status, self._headers, bytes(self._body))
            # Asked after this callback, the parser has forgotten the length and always says no.
            self._keep = self._parser.should_keep_alive()

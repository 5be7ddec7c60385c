"""Connections to endpoints: pools, attempts, probes, and what became of them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import select
import socket
import time
from collections.abc import Callable, Iterable
from functools import partial
from typing import NamedTuple, Protocol, TypeAlias, cast

import httptools

from sprucenotch.api import EndpointId, Health, Outcome
from sprucenotch.node.config import SECOND, Address, Config, Host
from sprucenotch.node.stream import LAST_CHUNK, READ_BUFFER, STALLED, WHOLE_MOST, Stream, chunk, nothing

HEAD_MOST = 32 * 1024
BLANKS = b" \t"  # around the value of a header, and no part of it
PROBE_TIMEOUT = 0.5
IDLE_SHARE = 0.9  # a connection idle for this share of the endpoint's limit is not used again
# A surplus connection, left by a burst, is closed once idle for so long. Each takes a part of the endpoint's
# capacity; a new handshake costs as much work as holding one for two to six seconds.
SURPLUS_IDLE = 4 * SECOND

# An engine that misbehaves may answer twice, the second time some milliseconds late (1 to 4 ms as seen). An
# answer names no request: on a connection that is used again by then, it would be taken for the next one's.
# So one that has just come back rests, whatever its answer took: of 8,318 sends on kept connections 370 came
# within this time of the answer before, and a second answer with the next request out goes to its client.
# Bound of the wait: REST and TIMER_EARLY, once an attempt.
REST = 6_000_000
# A timer of the loop counts in whole milliseconds: from the last one begun, over its delay rounded to the
# nearest. So it comes up to 1.5 ms early.
TIMER_EARLY = 0.0015

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
        self._transport: asyncio.Transport | None = None
        self._fd = -1
        self._poll = select.poll()
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
        # uvloop's transports have the methods but are no subclasses of asyncio's: nothing to check by type.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(0)  # so that it tells when the last byte has gone out
        self._fd = self._transport.get_extra_info("socket").fileno()
        self._poll.register(self._fd, select.POLLIN)

    @property
    def open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def usable(self) -> bool:
        """Whether a request may go out here: open, nothing under way, nothing sent by the peer.

        The peer's end of the connection may lie unread in the kernel. A request written after it would be
        lost as a reset, which may have run, so the socket itself is asked.
        """
        return self.open and not self._poll.poll(0)

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

        The write goes to the socket itself, as the transport would not tell how much the kernel took.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        self._parser = httptools.HttpResponseParser(self)
        self._answer = None
        self._junk = self._ended = False
        self._begin_answer()
        try:
            sent = os.write(self._fd, data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return False
        self._done, self._written, self._free = done, written, free
        self._upload, self._rest = upload, None
        self._last, self.whole = upload is None, False
        if sent < len(data):
            transport.write(data[sent:])
        if upload is not None:
            upload.attach(self)
        elif not self._clogged:
            self._went()
        return True

    def close(self) -> None:
        self._end_sending()
        self._done, self._free, self._rest = None, nothing, None
        self._let_go()
        if self._transport is not None:
            self._transport.abort()

    def _end_sending(self) -> None:
        """Tell the peer at once that its request is given up, if its answer is still to come. The transport
        would close only in the next turn of the loop, and another attempt may be on its way by then."""
        if self._done is None or self._ended or self._transport is None:
            return
        own = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, self._fd)
        with contextlib.suppress(OSError):  # the peer was first
            own.shutdown(socket.SHUT_WR)
        own.detach()

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
            if self._size > self.body_most:
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


class Purpose(Protocol):
    """What an attempt is made for."""

    def wanted(self, now: int) -> bool: ...


class Always:
    """For an attempt that nothing but its endpoint can make unwanted."""

    def wanted(self, now: int) -> bool:
        return True


ALWAYS = Always()


class Pool:
    """What is held to one endpoint."""

    __slots__ = ("dial", "health", "idle", "name", "place")

    def __init__(self, host: Host) -> None:
        self.idle: list[Connection] = []
        self.update(host)

    def update(self, host: Host) -> None:
        self.name, self.dial, self.health = host.name, host.dial, host.endpoint.health
        self.place = host.endpoint.zone, host.endpoint.cell

    def takes(self, connection: Connection) -> bool:
        """Whether something new may go out there: the endpoint wants it, and has not moved meanwhile."""
        return self.health == Health.READY and connection.dial == self.dial


class Attempt:
    """A request on its way to an endpoint. It ends exactly once, with the answer or as a long one begins."""

    __slots__ = (
        "__weakref__", "_connect", "_connection", "_done", "_eager_from", "_payload", "_place", "_pool",
        "_purpose", "_rest", "_upload", "_upstream", "_written",
    )  # fmt: skip

    def __init__(
        self,
        upstream: Upstream,
        pool: Pool,
        payload: Callable[[], bytes],
        done: Callable[[int, Answer | None], None],
        written: Callable[[], None],
        purpose: Purpose,
        upload: Stream | None,
    ) -> None:
        self._upstream, self._pool, self._payload = upstream, pool, payload
        self._place = pool.place  # for which it was decided
        self._written, self._purpose, self._upload = written, purpose, upload
        self._done: Callable[[int, Answer | None], None] | None = done
        self._connection: Connection | None = None
        self._connect: asyncio.Task[None] | None = None
        self._rest: asyncio.TimerHandle | None = None  # while a connection that is to be used rests
        self._eager_from = NEVER

    def start(self) -> None:
        connection = self._upstream.take(self._pool)
        if connection is not None:
            self._write(connection)
        elif self._pool.idle and self._rest is None:  # once, so REST at most
            self._rest = self._upstream.loop.call_later(self._upstream.rests(self._pool), self._rested)
        elif self._upstream.room():
            self._connect = self._upstream.loop.create_task(self._open())
        else:
            self._end(Outcome.CONNECT_FAILED, None)

    def _rested(self) -> None:
        if not self._purpose.wanted(self._upstream.now()):
            self._end(Outcome.MOOT, None)
        elif self._pool.health != Health.READY:
            self._end(Outcome.CONNECT_FAILED, None)
        else:
            self.start()

    def hasten(self, at: int) -> None:
        """From then on, by the monotonic clock, there is hardly time for another attempt: hold back no answer
        any more for the sake of one."""
        self._eager_from = at
        if self._connection is not None:
            self._connection.eager_from = at

    @property
    def _whole(self) -> bool:
        return self._connection is not None and self._connection.whole

    @property
    def partial(self) -> bool:
        """Whether the request has gone out in part: ended here, it never runs."""
        return self._connection is not None and not self._whole

    def abandon(self, outcome: int) -> None:
        """Stop waiting: the connection's sending ends before anything else happens for the request. One whose
        last byte has not gone out by then never ran, whatever it is called off for."""
        if outcome == Outcome.TIMEOUT and not self._whole:
            outcome = Outcome.CONNECT_FAILED
        if self._rest is not None:
            self._rest.cancel()
        if self._connect is not None:
            self._connect.cancel()
        if self._connection is not None:
            self._connection.close()
        self._end(outcome, None)

    async def _open(self) -> None:
        try:
            connection = await self._upstream.connect(self._pool)
        except (OSError, TimeoutError):
            connection = None
        self._connect = None
        if self._done is None:
            if connection is not None:
                self._upstream.give(self._pool, connection)
        elif connection is None:
            self._end(Outcome.CONNECT_FAILED, None)
        else:
            self._write(connection)

    def _write(self, connection: Connection) -> None:
        """The one place where the first byte of a request goes out. It was decided a while ago, so all that
        may have changed meanwhile is judged again: the endpoint may drain, be gone, have moved or drop the
        repeats of others, the client may have left, the time be over."""
        wanted = self._purpose.wanted(self._upstream.now())
        if not (wanted and self._pool.takes(connection) and self._pool.place == self._place):
            self._upstream.give(self._pool, connection)
            self._end(Outcome.CONNECT_FAILED if wanted else Outcome.MOOT, None)
            return
        self._connection = connection
        free = partial(self._upstream.give, self._pool, connection)
        if not connection.send(self._payload(), self._answered, self._written, free, self._upload):
            self._end(Outcome.CONNECT_FAILED, None)
        else:
            connection.eager_from = self._eager_from

    def _answered(self, answer: Answer | None) -> None:
        if answer is None and self._connection is not None and not self._connection.whole:
            self._end(Outcome.CONNECT_FAILED, None)  # it broke before the last byte: it never ran
        else:
            self._end(outcome_of(answer), answer)

    def _end(self, outcome: int, answer: Answer | None) -> None:
        done, self._done = self._done, None
        self._connection = self._connect = None
        if done is not None:
            done(outcome, answer)


def outcome_of(answer: Answer | None) -> int:
    """What is not plainly declined or served may have run."""
    if answer is None:
        return Outcome.RESET
    if answer.status == 200:
        return Outcome.OK
    if answer.status in (503, 504) and answer.header(b"srv-declined") == b"1":
        return Outcome.FULL
    return Outcome.ERROR


class Upstream:
    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], int],
        count: Callable[[str], None],
    ) -> None:
        self.loop, self.now, self._count = loop, now, count
        self.retune(config)
        self._most = config.upstream_most
        self._open = 0
        self._pools: dict[EndpointId, Pool] = {}
        self._probes: set[Attempt] = set()

    def retune(self, config: Config) -> None:
        self._idle_most = int(config.idle_limit * IDLE_SHARE)
        self._connect_timeout = config.connect_timeout / SECOND
        self._fields = config.settings.report_fields
        path = "/metrics/load" if config.reports else "/alive"
        self._probe = f"GET {path} HTTP/1.1\r\nHost: backend.local\r\n\r\n".encode()

    # ---- the list

    def learn(self, hosts: Iterable[Host], whole: bool) -> None:
        """Take up the list before the decisions see it, so that connections on their way up see a drain."""
        named = set()
        for host in hosts:
            named.add(host.endpoint.id)
            pool = self._pools.get(host.endpoint.id)
            if pool is None:
                self._pools[host.endpoint.id] = Pool(host)
                continue
            if pool.dial != host.dial:
                self._drop_idle(pool)
            pool.update(host)
            if pool.health != Health.READY:
                self._drop_idle(pool)
        if whole:
            for endpoint, pool in self._pools.items():
                if endpoint not in named:
                    pool.health = Health.GONE
                    self._drop_idle(pool)
        self._pools = {key: pool for key, pool in self._pools.items() if pool.health != Health.GONE}

    def __contains__(self, endpoint: object) -> bool:
        """Whether it is listed, or was and drains."""
        return endpoint in self._pools

    def name(self, endpoint: EndpointId) -> str:
        """What discovery calls it; "gone" once it is not listed any more."""
        pool = self._pools.get(endpoint)
        return "gone" if pool is None else pool.name

    def disconnect(self, endpoint: EndpointId) -> None:
        if (pool := self._pools.get(endpoint)) is not None:
            self._drop_idle(pool)

    def _drop_idle(self, pool: Pool) -> None:
        idle, pool.idle = pool.idle, []
        for connection in idle:
            connection.close()

    # ---- attempts and probes

    def attempt(
        self,
        endpoint: EndpointId,
        payload: Callable[[], bytes],
        done: Callable[[int, Answer | None], None],
        written: Callable[[], None] = nothing,
        purpose: Purpose = ALWAYS,
        upload: Stream | None = None,
    ) -> Attempt | None:
        """A new attempt, not yet started; None where the endpoint wants nothing new. Its purpose is asked
        whether it is still wanted when its first byte is about to go out."""
        pool = self._pools.get(endpoint)
        if pool is None or pool.health != Health.READY:
            return None
        return Attempt(self, pool, payload, done, written, purpose, upload)

    def probe(self, endpoint: EndpointId, done: Callable[[int, int, tuple[float, ...]], None]) -> None:
        began = self.now()

        def ended(outcome: int, answer: Answer | None) -> None:
            timer.cancel()
            self._probes.discard(attempt)
            if answer is not None and answer.rest is not None:
                answer.rest.drop()
            if answer is not None and answer.status == 503:
                outcome = Outcome.FULL
            done(outcome, self.now() - began, self.report(answer, body=True))

        attempt = self.attempt(endpoint, lambda: self._probe, ended)
        if attempt is None:
            done(Outcome.CONNECT_FAILED, 0, ())
            return
        self._probes.add(attempt)
        timer = self.loop.call_later(PROBE_TIMEOUT, attempt.abandon, Outcome.TIMEOUT)
        attempt.start()

    def report(self, answer: Answer | None, body: bool = False) -> tuple[float, ...]:
        """The load report that came with an answer, in the order of the settings; () if there is none."""
        if answer is None or not self._fields:
            return ()
        text = answer.header(b"srv-load") or (answer.body if body and answer.status == 200 else b"")
        return parse_report(text, self._fields)

    # ---- connections

    @property
    def connections(self) -> int:
        return self._open

    def room(self) -> bool:
        """Whether one more connection may be opened; the longest idle one makes room if need be."""
        if self._open < self._most:
            return True
        pools = [pool for pool in self._pools.values() if pool.idle]
        if not pools:
            return False
        oldest = min(pools, key=lambda pool: pool.idle[0].idle_since)
        oldest.idle.pop(0).close()
        return True

    def take(self, pool: Pool) -> Connection | None:
        """The most recently used idle connection that has rested and is still good; others grow old and are
        closed. If there is none, those left are resting."""
        now, idle = self.now(), pool.idle
        for place in range(len(idle) - 1, -1, -1):
            connection = idle[place]
            if connection.rests_until > now:
                continue
            del idle[place]
            if connection.idle_since > now - self._idle_most and connection.usable():
                return connection
            connection.close()
        return None

    def rests(self, pool: Pool) -> float:
        """The delay of a timer that comes once the first of its idle connections has rested, in seconds."""
        until = min(connection.rests_until for connection in pool.idle)
        return max(0, until - self.now()) / SECOND + TIMER_EARLY

    def give(self, pool: Pool, connection: Connection) -> None:
        if pool.takes(connection) and connection.open:  # what lies unread is heard of, or seen by take
            connection.idle_since = now = self.now()
            connection.rests_until = now + REST
            pool.idle.append(connection)
            # The newest is used first, so the surplus gathers at the old end; the last one stays.
            while pool.idle[0].idle_since < now - SURPLUS_IDLE:
                pool.idle.pop(0).close()
        else:
            connection.close()

    async def connect(self, pool: Pool) -> Connection:
        """A new connection. It is counted until it is lost, which may be before this returns."""

        def lost(connection: Connection) -> None:
            if connection.counted:
                connection.counted = False
                self._open -= 1
            if connection in pool.idle:
                pool.idle.remove(connection)

        connection = Connection(lost)
        connection.streams = connection.counted = True
        connection.dial = host, port = pool.dial
        self._open += 1
        self._count("handshakes")
        try:
            async with asyncio.timeout(self._connect_timeout):
                await self.loop.create_connection(lambda: connection, host, port)
        except BaseException:
            # Given up in the turn in which it came up, the loop closes it and never says that it is lost.
            connection.close()
            lost(connection)
            raise
        return connection


def parse_report(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """`TEXT name=value, ...` as values in the order of `fields`; () where any is missing or malformed."""
    values: dict[str, float] = {}
    try:
        for part in text.decode("ascii").strip().removeprefix("TEXT").split(","):
            name, _, value = part.strip().partition("=")
            values[name] = float(value)
        return tuple(values[field] for field in fields)
    except (ValueError, KeyError):
        return ()

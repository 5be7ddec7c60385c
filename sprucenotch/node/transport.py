"""Connections over TCP: the one place where stream sockets are connected, read and written.

The event loop's own transports take the first transfer that fails for want of memory (ENOBUFS, ENOMEM) for
the end of their connection. Here it is tried again, spaced by `system_errors.pauses`: what the kernel did
not take waits in order, what it holds is read later. Sources: recv(2), send(2), shutdown(2), connect(2).
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import os
import select
import socket
from collections.abc import Callable, Iterator
from select import EPOLLIN, EPOLLOUT
from typing import cast

from sprucenotch.node.config import Address
from sprucenotch.node.poller import running_poller
from sprucenotch.seams.system_errors import is_exhaustion, pauses

# Seconds for which a transfer may fail without any success before its connection counts as lost. Whoever
# waits for it has an earlier bound of his own: the request's deadline, a call's time-out, STALLED for a
# body.
FAILING_TIMEOUT = 10.0

log = logging.getLogger(__name__)


class _Repetition:
    """The repetitions of a transfer that fails, until it succeeds again."""

    __slots__ = ("_loop", "_pauses", "_timer", "give_up_at")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._pauses: Iterator[float] = pauses()
        self._timer: asyncio.TimerHandle | None = None
        self.give_up_at = loop.time() + FAILING_TIMEOUT

    @property
    def waits(self) -> bool:
        """Whether the next repetition is still to come."""
        return self._timer is not None

    def after_pause(self, again: Callable[[], None]) -> bool:
        """Call `again` after the next pause. False: it has failed for too long."""

        def due() -> None:
            self._timer = None
            again()

        pause = next(self._pauses)
        if self._loop.time() + pause > self.give_up_at:
            return False
        self._timer = self._loop.call_later(pause, due)
        return True

    def cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class SocketTransport(asyncio.Transport):
    """A connected stream socket and its protocol, which is told `connection_made` before this returns.

    The protocol is told to pause writing as soon as the kernel has not taken all that was written, and to
    resume once it has: a write after which it is not paused has gone out whole.
    """

    def __init__(self, connected: socket.socket, protocol: asyncio.BufferedProtocol) -> None:
        super().__init__({"socket": connected})
        connected.setblocking(False)
        poller = running_poller()
        self._loop = poller.loop
        self._socket, self._protocol = connected, protocol
        self._watch = poller.watch(connected.fileno(), self._ready)
        self._poll = select.poll()
        self._poll.register(connected.fileno(), select.POLLIN | select.POLLRDHUP)
        self._unsent = bytearray()  # what the kernel has not taken yet
        self._reading = True  # the protocol wants what comes
        self._closing = False  # nothing is read any more, and it ends once all is sent
        self._half_closed = False  # its own sending is to end once all is sent
        self._peer_ended = False
        self._over = False  # the protocol is told, or about to be, that the connection is lost
        self._failing_read: _Repetition | None = None
        self._failing_write: _Repetition | None = None
        with contextlib.suppress(OSError):  # then small writes may be held back for a while
            connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        protocol.connection_made(self)
        self._update_watch()

    # ---- state

    def is_closing(self) -> bool:
        return self._closing or self._over

    def events(self) -> int:
        """What poll reports of the socket at this moment: POLLIN, POLLRDHUP, POLLHUP, POLLERR; 0 once the
        connection is over. Where the kernel cannot tell, something may lie unread: POLLIN."""
        if self._over:
            return 0
        try:
            reported = self._poll.poll(0)
        except OSError:
            return select.POLLIN
        return reported[0][1] if reported else 0

    def _update_watch(self) -> None:
        if self._over:
            return
        events = 0
        reads_pause = self._failing_read is not None and self._failing_read.waits
        if self._reading and not self._closing and not self._peer_ended and not reads_pause:
            events |= EPOLLIN
        writes_pause = self._failing_write is not None and self._failing_write.waits
        if self._unsent and not writes_pause:
            events |= EPOLLOUT
        self._watch.want(events)

    def _ready(self, events: int) -> None:
        if events == EPOLLIN:
            self._read()
            return
        if events & ~EPOLLOUT and self._watch.wanted & EPOLLIN:
            self._read()
        if self._watch.wanted & EPOLLOUT:
            self._send_rest()

    # ---- reading

    def pause_reading(self) -> None:
        self._reading = False
        self._update_watch()

    def resume_reading(self) -> None:
        self._reading = True
        self._update_watch()

    def is_reading(self) -> bool:
        return self._reading and not self._closing

    def _read(self) -> None:
        try:
            size = self._socket.recv_into(self._protocol.get_buffer(-1))
        except BlockingIOError:
            self._failing_read = None
            return
        except OSError as problem:
            self._read_failed(problem)
            return
        self._failing_read = None
        try:
            if size:
                self._protocol.buffer_updated(size)
            else:
                self._peer_ends()
        except Exception:
            log.exception("fault", extra={"fields": {"handling": "read"}})
            self.abort()

    def _peer_ends(self) -> None:
        self._peer_ended = True
        if self._protocol.eof_received():
            self._update_watch()
        else:
            self.close()

    def _read_failed(self, problem: OSError) -> None:
        if is_exhaustion(problem):
            if self._failing_read is None:
                self._failing_read = _Repetition(self._loop)
            if self._failing_read.after_pause(self._update_watch):
                self._update_watch()
                return
        self._end(problem)

    # ---- writing

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send it after all that was written before. What the kernel does not take at once is kept and sent
        as soon as it does; nothing is sent once the connection is over."""
        if self._over:
            return
        if self._unsent:
            self._unsent += data
            return
        try:
            sent = self._socket.send(data)
        except OSError as problem:
            sent = self._not_sent(problem)
        if sent < len(data) and not self._over:
            self._unsent += memoryview(data)[sent:]
            self._update_watch()
            self._protocol.pause_writing()

    def _not_sent(self, problem: OSError) -> int:
        """The kernel took nothing. The number of bytes sent: 0."""
        if isinstance(problem, BlockingIOError):
            self._failing_write = None
        else:
            self._write_failed(problem)
        return 0

    def _write_failed(self, problem: OSError) -> None:
        if is_exhaustion(problem):
            if self._failing_write is None:
                self._failing_write = _Repetition(self._loop)
            if self._failing_write.after_pause(self._send_rest):
                return
        self._end(problem)

    def _send_rest(self) -> None:
        """Send on what the kernel has not taken; then what had to wait for that."""
        if self._over:
            return
        if self._unsent:
            try:
                sent = self._socket.send(self._unsent)
                self._failing_write = None
            except OSError as problem:
                sent = self._not_sent(problem)
            if self._over:
                return
            del self._unsent[:sent]
            if self._unsent:
                self._update_watch()
                return
            self._protocol.resume_writing()
        if not self._unsent and not self._over:
            self._all_sent()
            self._update_watch()

    def _all_sent(self) -> None:
        if self._half_closed and not self._shut_down():
            return
        if self._closing:
            self._end(None)

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        """End the sending, once all that was written is sent."""
        if not self._half_closed and not self._over:
            self._half_closed = True
            if not self._unsent:
                self._all_sent()

    def _shut_down(self) -> bool:
        """End the sending now. False: the kernel has no memory for that at the moment, and it is tried
        again."""
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as problem:  # else the peer was first
            if is_exhaustion(problem):
                self._write_failed(problem)
                return False
        self._failing_write = None
        return True

    def end_sending(self) -> None:
        """End the sending at once, whatever is unsent: the peer learns that what it has is not whole. Where
        that fails for want of memory the socket is closed, which tells it too."""
        if self._over:
            return
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as problem:  # else the peer was first
            if is_exhaustion(problem):
                self._end(None)
                self._socket.close()

    # ---- its end

    def close(self) -> None:
        """Read nothing more, and end the connection once all that was written is sent."""
        if self._closing or self._over:
            return
        self._closing = True
        if self._unsent or (self._half_closed and self._failing_write is not None):
            self._update_watch()
        else:
            self._end(None)

    def abort(self) -> None:
        """End the connection now; what is unsent is lost."""
        self._end(None)

    def _end(self, problem: OSError | None) -> None:
        if self._over:
            return
        self._over = True
        self._unsent = bytearray()
        for failing in (self._failing_read, self._failing_write):
            if failing is not None:
                failing.cancel()
        self._watch.end()
        self._loop.call_soon(self._tell_end, problem)

    def _tell_end(self, problem: OSError | None) -> None:
        try:
            self._protocol.connection_lost(problem)
        finally:
            self._socket.close()


async def connect(protocol: asyncio.BufferedProtocol, address: Address) -> None:
    """Connect the protocol to the address: its host's first that takes the connection. Raises OSError."""
    problem: OSError | None = None
    for family, target in await _resolved(address):
        try:
            connected = await _connected(family, target)
        except OSError as failure:
            problem = failure
            continue
        SocketTransport(connected, protocol)
        return
    raise problem or OSError(errno.EADDRNOTAVAIL, "the host has no address")


async def _resolved(address: Address) -> list[tuple[int, tuple[str, int]]]:
    """Families and addresses of a host."""
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, address[0])
        except OSError:
            continue
        return [(family, address)]
    loop = asyncio.get_running_loop()
    found = await loop.getaddrinfo(*address, type=socket.SOCK_STREAM)
    return [(family, cast(Address, target)) for family, _, _, _, target in found]


async def _connected(family: int, target: tuple[str, int]) -> socket.socket:
    made = socket.socket(family, socket.SOCK_STREAM)
    try:
        made.setblocking(False)
        try:
            made.connect(target)
        except BlockingIOError as problem:
            if problem.errno != errno.EINPROGRESS:
                raise
            await _writable(made)
            if error := made.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                raise OSError(error, os.strerror(error)) from None
    except BaseException:
        made.close()
        raise
    return made


async def _writable(connecting: socket.socket) -> None:
    poller = running_poller()
    come_up: asyncio.Future[None] = poller.loop.create_future()

    def ready(events: int) -> None:
        if not come_up.done():
            come_up.set_result(None)

    watch = poller.watch(connecting.fileno(), ready)
    watch.want(EPOLLOUT)
    try:
        await come_up
    finally:
        watch.end()

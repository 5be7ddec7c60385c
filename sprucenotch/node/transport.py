"""TCP connections: the only place where stream sockets are connected, read and written.

The event loop's own transports treat the first read or write that fails for lack of memory (ENOBUFS, ENOMEM)
as a lost connection. Here it is retried with the delays of `system_errors.retry_delays`: unsent data is kept
in order, unread data is read later. Sources: recv(2), send(2), shutdown(2), connect(2).
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import fcntl
import logging
import os
import select
import socket
import struct
import termios
from collections.abc import Callable, Iterator
from select import EPOLLIN, EPOLLOUT
from typing import cast

from sprucenotch.node.config import Address
from sprucenotch.node.poller import running_poller
from sprucenotch.platform.system_errors import is_exhaustion, retry_delays

# Seconds of failing reads or writes after which a connection counts as lost. Every waiting party has an
# earlier limit of its own: the request's deadline, a call's timeout, STALL_TIMEOUT for a body.
FAILING_TIMEOUT = 10.0
# A receive buffer whose input takes less than its size by this factor has room for more: a part of it is used
# up by the kernel's own data (tcp(7), tcp_adv_win_scale).
MIN_ROOM_FACTOR = 8
RECEIVE_MSS = struct.Struct("=20xI")  # of Linux' tcp_info: bytes of the largest segments that are received
UNREAD_SIZE = struct.Struct("i")  # the result of FIONREAD

log = logging.getLogger(__name__)


class _Retry:
    """The retries of a failing read or write, until it succeeds again."""

    __slots__ = ("_loop", "_pauses", "_timer", "give_up_at")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._pauses: Iterator[float] = retry_delays()
        self._timer: asyncio.TimerHandle | None = None
        self.give_up_at = loop.time() + FAILING_TIMEOUT

    @property
    def pending(self) -> bool:
        """Whether the next retry is scheduled."""
        return self._timer is not None

    def schedule(self, again: Callable[[], None]) -> bool:
        """Call `again` after the next pause; return False if it has failed for too long."""

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
    """A connected stream socket and its protocol; the constructor calls the protocol's `connection_made`.

    The protocol's `pause_writing` is called as soon as the kernel has not accepted all data, `resume_writing`
    once it has: a write that is not followed by a pause has been passed to the kernel completely.
    """

    def __init__(self, connected_socket: socket.socket, protocol: asyncio.BufferedProtocol) -> None:
        super().__init__({"socket": connected_socket})
        connected_socket.setblocking(False)
        poller = running_poller()
        self._loop = poller.loop
        self._socket, self._protocol = connected_socket, protocol
        self._watch = poller.watch(connected_socket.fileno(), self._ready)
        self._poll = select.poll()
        self._poll.register(connected_socket.fileno(), select.POLLIN | select.POLLRDHUP)
        self._unsent = bytearray()  # data that the kernel has not accepted yet
        self._reading = True  # the protocol accepts input
        self._closing = False  # nothing is read any more; ends once all data is sent
        self._half_closed = False  # shut down for writing once all data is sent
        self._peer_closed = False
        self._lost = False  # connection_lost has been called, or is scheduled
        self._failing_read: _Retry | None = None
        self._failing_write: _Retry | None = None
        with contextlib.suppress(OSError):  # without it small writes may be delayed
            connected_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        protocol.connection_made(self)
        self._update_watch()

    # ---- state

    @property
    def local_port(self) -> int:
        """The port of this end; 0 if it cannot be read."""
        try:
            return int(self._socket.getsockname()[1])
        except OSError:
            return 0

    def is_closing(self) -> bool:
        return self._closing or self._lost

    def holds_at_most(self) -> int | None:
        """Bytes of input that the kernel holds, if its buffer is so empty that it has all that the peer has
        sent; else, or if that cannot be read, None."""
        if self._lost:
            return None
        try:
            unread = bytearray(UNREAD_SIZE.size)
            fcntl.ioctl(self._socket.fileno(), termios.FIONREAD, unread)
            size = int(UNREAD_SIZE.unpack(unread)[0])
            room = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) // MIN_ROOM_FACTOR
            information = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, RECEIVE_MSS.size)
        except OSError:
            return None
        # With segments as large as on loopback, the window stays closed while anything is held.
        window_open = size == 0 or RECEIVE_MSS.unpack(information)[0] < room
        return size if size < room and window_open else None

    def events(self) -> int:
        """The events that poll reports now: POLLIN, POLLRDHUP, POLLHUP, POLLERR; 0 once the connection is
        lost. If poll fails, POLLIN, as input may be unread."""
        if self._lost:
            return 0
        try:
            reported = self._poll.poll(0)
        except OSError:
            return select.POLLIN
        return reported[0][1] if reported else 0

    def _update_watch(self) -> None:
        if self._lost:
            return
        events = 0
        reads_paused = self._failing_read is not None and self._failing_read.pending
        if self._reading and not self._closing and not self._peer_closed and not reads_paused:
            events |= EPOLLIN
        writes_paused = self._failing_write is not None and self._failing_write.pending
        if self._unsent and not writes_paused:
            events |= EPOLLOUT
        self._watch.set_events(events)

    def _ready(self, events: int) -> None:
        if events == EPOLLIN:
            self._read()
            return
        if events & ~EPOLLOUT and self._watch.event_mask & EPOLLIN:
            self._read()
        if self._watch.event_mask & EPOLLOUT:
            self._send_unsent()

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
                self._on_peer_closed()
        except Exception:
            log.exception("fault", extra={"fields": {"handling": "read"}})
            self.abort()

    def _on_peer_closed(self) -> None:
        self._peer_closed = True
        if self._protocol.eof_received():
            self._update_watch()
        else:
            self.close()

    def _read_failed(self, problem: OSError) -> None:
        if is_exhaustion(problem):
            if self._failing_read is None:
                self._failing_read = _Retry(self._loop)
            if self._failing_read.schedule(self._update_watch):
                self._update_watch()
                return
        self._end(problem)

    # ---- writing

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send data after all earlier data. What the kernel does not accept at once is kept and sent later;
        nothing is sent once the connection is lost."""
        if self._lost:
            return
        if self._unsent:
            self._unsent += data
            return
        try:
            sent = self._socket.send(data)
        except OSError as problem:
            sent = self._not_sent(problem)
        if sent < len(data) and not self._lost:
            self._unsent += memoryview(data)[sent:]
            self._update_watch()
            self._protocol.pause_writing()

    def _not_sent(self, problem: OSError) -> int:
        """Handle a failed send; return the number of bytes sent, 0."""
        if isinstance(problem, BlockingIOError):
            self._failing_write = None
        else:
            self._write_failed(problem)
        return 0

    def _write_failed(self, problem: OSError) -> None:
        if is_exhaustion(problem):
            if self._failing_write is None:
                self._failing_write = _Retry(self._loop)
            if self._failing_write.schedule(self._send_unsent):
                return
        self._end(problem)

    def _send_unsent(self) -> None:
        """Continue sending unsent data; then do what had to wait for that."""
        if self._lost:
            return
        if self._unsent:
            try:
                sent = self._socket.send(self._unsent)
                self._failing_write = None
            except OSError as problem:
                sent = self._not_sent(problem)
            if self._lost:
                return
            del self._unsent[:sent]
            if self._unsent:
                self._update_watch()
                return
            self._protocol.resume_writing()
        if not self._unsent and not self._lost:
            self._finish_sending()
            self._update_watch()

    def _finish_sending(self) -> None:
        if self._half_closed and not self._shut_down():
            return
        if self._closing:
            self._end(None)

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        """Shut down for writing once all data is sent."""
        if not self._half_closed and not self._lost:
            self._half_closed = True
            if not self._unsent:
                self._finish_sending()

    def _shut_down(self) -> bool:
        """Shut down for writing now; return False if the kernel lacks memory for that, and it is retried."""
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as problem:  # else the peer was first
            if is_exhaustion(problem):
                self._write_failed(problem)
                return False
        self._failing_write = None
        return True

    def end_sending(self) -> None:
        """Shut down for writing at once and drop unsent data: the peer sees that its input is incomplete.
        If that fails for lack of memory the socket is closed, which shows it too."""
        if self._lost:
            return
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as problem:  # else the peer was first
            if is_exhaustion(problem):
                self._end(None)
                self._socket.close()

    # ---- closing

    def close(self) -> None:
        """Stop reading, and close the connection once all data is sent."""
        if self._closing or self._lost:
            return
        self._closing = True
        if self._unsent or (self._half_closed and self._failing_write is not None):
            self._update_watch()
        else:
            self._end(None)

    def abort(self) -> None:
        """Close the connection now; unsent data is lost."""
        self._end(None)

    def _end(self, problem: OSError | None) -> None:
        if self._lost:
            return
        self._lost = True
        self._unsent = bytearray()
        for failing in (self._failing_read, self._failing_write):
            if failing is not None:
                failing.cancel()
        self._watch.end()
        self._loop.call_soon(self._notify_lost, problem)

    def _notify_lost(self, problem: OSError | None) -> None:
        """Report the end of the connection to the protocol, then close the socket. Scheduled by `_end`.

        `problem` is the error that ended it; None after a regular end, `close` or `abort`.
        """
        try:
            self._protocol.connection_lost(problem)
        finally:
            self._socket.close()


async def connect(protocol: asyncio.BufferedProtocol, address: Address) -> None:
    """Connect the protocol to the first address of the host that accepts. Raises OSError."""
    problem: OSError | None = None
    for family, target in await _resolve(address):
        try:
            connected_socket = await _connect_socket(family, target)
        except OSError as failure:
            problem = failure
            continue
        SocketTransport(connected_socket, protocol)
        return
    raise problem or OSError(errno.EADDRNOTAVAIL, "the host has no address")


async def _resolve(address: Address) -> list[tuple[int, tuple[str, int]]]:
    """Return the families and addresses of a host."""
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, address[0])
        except OSError:
            continue
        return [(family, address)]
    loop = asyncio.get_running_loop()
    found = await loop.getaddrinfo(*address, type=socket.SOCK_STREAM)
    return [(family, cast(Address, target)) for family, _, _, _, target in found]


async def _connect_socket(family: int, target: tuple[str, int]) -> socket.socket:
    connecting = socket.socket(family, socket.SOCK_STREAM)
    try:
        connecting.setblocking(False)
        try:
            connecting.connect(target)
        except BlockingIOError as problem:
            if problem.errno != errno.EINPROGRESS:
                raise
            await _wait_connected(connecting)
            if error := connecting.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                raise OSError(error, os.strerror(error)) from None
    except BaseException:
        connecting.close()
        raise
    return connecting


async def _wait_connected(connecting: socket.socket) -> None:
    """Wait until a connect has succeeded or failed; SO_ERROR tells which. Has no timeout of its own.

    The descriptor stays in the kernel's epoll set until it is closed; the next watch of it changes the entry.
    """
    poller = running_poller()
    writable: asyncio.Future[None] = poller.loop.create_future()

    def ready(events: int) -> None:
        if not writable.done():
            writable.set_result(None)

    watch = poller.watch(connecting.fileno(), ready)
    watch.set_events(EPOLLOUT)
    try:
        await writable
    finally:
        watch.end()

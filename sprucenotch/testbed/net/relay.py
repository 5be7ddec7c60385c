"""A TCP relay for one link: it accepts connections from the source and forwards them to the target.

A link that is cut behaves like a real network partition: data in transit waits, new connections are not
established (the accept queue is kept full, so that the kernel drops their SYNs), and after the cut a
connection whose other end has closed is reset. Packet filter rules of the kernel are not used, since they
need privileges that a user of the testbed may lack and could affect other ports.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import cast

from sprucenotch.testbed.net.link import Direction, Link

HOST = "127.0.0.1"
BACKLOG = 1024
MAX_ACCEPTS_PER_EVENT = 64  # so that other callbacks get to run
MAX_BUFFERED = 256 * 1024  # bytes in one direction, beyond which reading from the sender pauses
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s


def reset(transport: asyncio.Transport | None) -> None:
    """Abort a connection with a TCP reset."""
    if transport is not None:
        sock = transport.get_extra_info("socket")
        if sock is not None and not transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        transport.abort()


class Endpoint(asyncio.Protocol):
    """One of the two connections of a pair. What it reads is written to the other one."""

    def __init__(self, pair: Pair, direction: Direction) -> None:
        self.pair, self.direction = pair, direction
        self.transport: asyncio.Transport | None = None
        self.other: Endpoint
        self.closed = False
        self._waiting: deque[tuple[float, bytes]] = deque()  # due time and data; empty data for EOF
        self._buffered = self._passed = 0
        self._free_at = 0.0  # when the rate limit allows the next byte
        self._timer: asyncio.TimerHandle | None = None
        self._stalled = False  # the write buffer of the other end is full

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._adjust()

    def data_received(self, data: bytes) -> None:
        conditions = self.pair.link.conditions(self.direction)
        if conditions.clear and not self._waiting and self.other.transport is not None:
            self.other.transport.write(data)
            return
        self._enqueue(data)

    def eof_received(self) -> bool:
        self._enqueue(b"")
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed, self.transport = True, None
        if self.pair.link.conditions(self.direction).cut:
            return  # the other side must not notice during a cut
        if exc is not None or not self._waiting:
            self.pair.end(orderly=exc is None)
        else:
            self._flush()

    def pause_writing(self) -> None:
        self.other._stalled = True
        self.other._adjust()

    def resume_writing(self) -> None:
        self.other._stalled = False
        self.other._adjust()

    def _enqueue(self, data: bytes) -> None:
        conditions, now = self.pair.link.conditions(self.direction), self.pair.loop.time()
        due = now + conditions.delay + conditions.jitter * self.pair.rng.random()
        if conditions.rate:
            self._free_at = max(self._free_at, now) + len(data) / conditions.rate
            due = max(due, self._free_at)
        if self._waiting:
            due = max(due, self._waiting[-1][0])  # keep the order of the stream
        self._waiting.append((due, data))
        self._buffered += len(data)
        self._adjust()
        self._flush()

    def _flush(self) -> None:
        """Write what is due, and schedule the rest."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        conditions, now = self.pair.link.conditions(self.direction), self.pair.loop.time()
        while self._waiting and not conditions.cut and self.other.transport is not None:
            due, data = self._waiting[0]
            if due > now:
                self._timer = self.pair.loop.call_at(due, self._flush)
                break
            self._waiting.popleft()
            self._buffered -= len(data)
            if conditions.reset_after is not None and self._passed + len(data) > conditions.reset_after:
                self.other.transport.write(data[: conditions.reset_after - self._passed])
                self.pair.end(orderly=False)
                return
            self._passed += len(data)
            if data:
                self.other.transport.write(data)
            elif self.other.transport.can_write_eof():
                self.other.transport.write_eof()
        if self.closed and not self._waiting and not conditions.cut:
            self.pair.end(orderly=True)
        self._adjust()

    def changed(self) -> None:
        """Apply changed conditions of the link to the data that waits."""
        if self.closed and not self.pair.link.conditions(self.direction).cut and not self._waiting:
            self.pair.end(orderly=False)
            return
        self._passed = 0
        self._flush()

    def _adjust(self) -> None:
        """Resume reading, or pause it so that the sender's buffers fill up."""
        if self.transport is None or self.transport.is_closing():
            return
        blocked = (
            self._stalled or self._buffered >= MAX_BUFFERED or self.pair.link.conditions(self.direction).cut
        )
        if blocked or self.other.transport is None:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def connected(self) -> None:
        """Called when the other end is connected."""
        self._adjust()
        self._flush()


class Pair:
    """A relayed connection: one to the source and one to the target."""

    def __init__(self, relay: Relay) -> None:
        self.link, self.loop, self.rng = relay.link, relay.loop, relay.rng
        self._relay = relay
        self.near, self.far = Endpoint(self, "there"), Endpoint(self, "back")
        self.near.other, self.far.other = self.far, self.near
        self._ended = False

    async def join(self, accepted: socket.socket) -> None:
        await self.loop.connect_accepted_socket(lambda: self.near, accepted)
        try:
            await self.loop.create_connection(lambda: self.far, *self._relay.target())
        except OSError:
            self.end(orderly=False)
            return
        if self._ended:
            reset(self.far.transport)
        self.near.connected()

    def end(self, orderly: bool) -> None:
        """Close both connections, after pending writes if `orderly`, else at once by a reset."""
        self._ended = True
        for end in (self.near, self.far):
            if end.transport is not None and orderly:
                end.transport.close()
            else:
                reset(end.transport)
        self._relay.pairs.discard(self)

    def changed(self) -> None:
        for end in (self.near, self.far):
            if not self._ended:
                end.changed()


class Relay:
    """Listens for one link, on a free port that stays the same when it is reopened."""

    def __init__(self, link: Link, target: Callable[[], tuple[str, int]], seed: int = 1) -> None:
        self.link, self.target = link, target
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.pairs: set[Pair] = set()
        self.dial = ""
        self._listener: socket.socket | None = None
        self._silent: list[socket.socket] = []  # connections accepted while the link was half open
        self._fillers: list[socket.socket] = []  # connections that keep the accept queue full during a cut
        self._tasks: set[asyncio.Task[None]] = set()
        link.changed = self._changed

    @property
    def address(self) -> tuple[str, int]:
        return HOST, int(self.dial.rpartition(":")[2])

    def open(self) -> None:
        """Listen, on the same port as before if it did. Raises OSError if that port is in use by now."""
        if self._listener is not None:
            return
        listener = socket.socket()
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((HOST, int(self.dial.rpartition(":")[2] or 0)))
            listener.listen(BACKLOG)
            listener.setblocking(False)
        except OSError:
            listener.close()
            raise
        self._listener = listener
        self.dial = f"{HOST}:{listener.getsockname()[1]}"
        self._listen()

    def refuse(self) -> None:
        """Refuse new connections from now on, as for a dead process."""
        listener, self._listener = self._listener, None
        if listener is not None:
            self.loop.remove_reader(listener)
            listener.close()
        self._close_fillers()

    def close(self) -> None:
        self.refuse()
        for task in self._tasks:
            task.cancel()
        for pair in tuple(self.pairs):
            pair.end(orderly=False)
        self._reset_silent()

    def _listen(self) -> None:
        if self._listener is None:
            return
        if not self.link.cut:
            self._close_fillers()
            self._listener.listen(BACKLOG)
            self.loop.add_reader(self._listener, self._accept)
        elif not self._fillers:
            self.loop.remove_reader(self._listener)
            self._listener.listen(0)
            for _ in range(2):  # a backlog of 0 still holds one connection
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self.address)
                self._fillers.append(filler)

    def _close_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def _changed(self) -> None:
        if not self.link.half_open:
            self._reset_silent()
        self._listen()
        for pair in tuple(self.pairs):
            pair.changed()

    def _reset_silent(self) -> None:
        for sock in self._silent:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()
        self._silent.clear()

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            if self._listener is None:
                return
            try:
                accepted, _ = self._listener.accept()
            except OSError:  # the queue is empty, or the connection was aborted before it was accepted
                return
            accepted.setblocking(False)
            if self.link.half_open:
                self._silent.append(accepted)
                continue
            pair = Pair(self)
            self.pairs.add(pair)
            task = self.loop.create_task(pair.join(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

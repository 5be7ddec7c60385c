"""A TCP relay for one link: it listens where the source connects and passes on to the target.

A link that is cut is silent, as a real one is: what is under way waits, connections that come meanwhile do
not come up (the listener's queue is kept full, so that the kernel drops their SYNs), and after the cut one
whose other end has gone is reset. Option not taken: rules of the kernel's packet filter, which need rights
that a user of the rig may lack and would reach beyond its own ports.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import cast

from sprucenotch.rig.net.link import Direction, Link

HOST = "127.0.0.1"
BACKLOG = 1024
ACCEPT_MOST = 64  # at one event, so that others have their turn
HELD_MOST = 256 * 1024  # bytes that wait in one direction before its sender has to
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s


def reset(transport: asyncio.Transport | None) -> None:
    """End a connection so that its peer sees a reset and no orderly end."""
    if transport is not None:
        sock = transport.get_extra_info("socket")
        if sock is not None and not transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        transport.abort()


class End(asyncio.Protocol):
    """One of the two connections of a pair. What it reads goes out at the other one."""

    def __init__(self, pair: Pair, direction: Direction) -> None:
        self.pair, self.direction = pair, direction
        self.transport: asyncio.Transport | None = None
        self.other: End
        self.gone = False
        self._waiting: deque[tuple[float, bytes]] = deque()  # for the other end: when due; empty for its EOF
        self._held = self._passed = 0
        self._free_at = 0.0  # when the rate allows the next byte
        self._timer: asyncio.TimerHandle | None = None
        self._stalled = False  # the other end takes no more at the moment

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._adjust()

    def data_received(self, data: bytes) -> None:
        way = self.pair.link.way(self.direction)
        if way.clear and not self._waiting and self.other.transport is not None:
            self.other.transport.write(data)
            return
        self._hold(data)

    def eof_received(self) -> bool:
        self._hold(b"")
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone, self.transport = True, None
        if self.pair.link.way(self.direction).cut:
            return  # nobody on the other side can know
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

    def _hold(self, data: bytes) -> None:
        way, now = self.pair.link.way(self.direction), self.pair.loop.time()
        due = now + way.delay + way.jitter * self.pair.rng.random()
        if way.rate:
            self._free_at = max(self._free_at, now) + len(data) / way.rate
            due = max(due, self._free_at)
        if self._waiting:
            due = max(due, self._waiting[-1][0])  # a stream keeps its order
        self._waiting.append((due, data))
        self._held += len(data)
        self._adjust()
        self._flush()

    def _flush(self) -> None:
        """Pass on what is due, and come back for the rest."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        way, now = self.pair.link.way(self.direction), self.pair.loop.time()
        while self._waiting and not way.cut and self.other.transport is not None:
            due, data = self._waiting[0]
            if due > now:
                self._timer = self.pair.loop.call_at(due, self._flush)
                break
            self._waiting.popleft()
            self._held -= len(data)
            if way.reset_after is not None and self._passed + len(data) > way.reset_after:
                self.other.transport.write(data[: way.reset_after - self._passed])
                self.pair.end(orderly=False)
                return
            self._passed += len(data)
            if data:
                self.other.transport.write(data)
            elif self.other.transport.can_write_eof():
                self.other.transport.write_eof()
        if self.gone and not self._waiting and not way.cut:
            self.pair.end(orderly=True)
        self._adjust()

    def changed(self) -> None:
        """The link has: what waited may go, or has to wait from now on."""
        if self.gone and not self.pair.link.way(self.direction).cut and not self._waiting:
            self.pair.end(orderly=False)
            return
        self._passed = 0
        self._flush()

    def _adjust(self) -> None:
        """Read on, or leave it to the sender's own buffers."""
        if self.transport is None or self.transport.is_closing():
            return
        blocked = self._stalled or self._held >= HELD_MOST or self.pair.link.way(self.direction).cut
        if blocked or self.other.transport is None:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def connected(self) -> None:
        """The other end has come up."""
        self._adjust()
        self._flush()


class Pair:
    """Two connections that are one to whoever uses them."""

    def __init__(self, relay: Relay) -> None:
        self.link, self.loop, self.rng = relay.link, relay.loop, relay.rng
        self._relay = relay
        self.near, self.far = End(self, "there"), End(self, "back")
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
        """Both connections are over, either after what is still written or at once by a reset."""
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
    """Listens for one link, on a port of the kernel's choosing that stays the same from then on."""

    def __init__(self, link: Link, target: Callable[[], tuple[str, int]], seed: int = 1) -> None:
        self.link, self.target = link, target
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.pairs: set[Pair] = set()
        self.dial = ""
        self._listener: socket.socket | None = None
        self._silent: list[socket.socket] = []  # accepted while half open
        self._fillers: list[socket.socket] = []  # keep the listener's queue full during a cut
        self._tasks: set[asyncio.Task[None]] = set()
        link.changed = self._changed

    @property
    def address(self) -> tuple[str, int]:
        return HOST, int(self.dial.rpartition(":")[2])

    def open(self) -> None:
        """Listen, at the same address as before if it did. Raises OSError where that was taken meanwhile."""
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
        """New connections are refused from now on, as those to a dead process are."""
        listener, self._listener = self._listener, None
        if listener is not None:
            self.loop.remove_reader(listener)
            listener.close()
        self._empty()

    def close(self) -> None:
        self.refuse()
        for task in self._tasks:
            task.cancel()
        for pair in tuple(self.pairs):
            pair.end(orderly=False)
        self._hang_up()

    def _listen(self) -> None:
        if self._listener is None:
            return
        if not self.link.cut:
            self._empty()
            self._listener.listen(BACKLOG)
            self.loop.add_reader(self._listener, self._accept)
        elif not self._fillers:
            self.loop.remove_reader(self._listener)
            self._listener.listen(0)
            for _ in range(2):  # a queue of 0 takes one
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self.address)
                self._fillers.append(filler)

    def _empty(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def _changed(self) -> None:
        if not self.link.half_open:
            self._hang_up()
        self._listen()
        for pair in tuple(self.pairs):
            pair.changed()

    def _hang_up(self) -> None:
        for sock in self._silent:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()
        self._silent.clear()

    def _accept(self) -> None:
        for _ in range(ACCEPT_MOST):
            if self._listener is None:
                return
            try:
                accepted, _ = self._listener.accept()
            except OSError:  # none left, or one that went before its turn
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

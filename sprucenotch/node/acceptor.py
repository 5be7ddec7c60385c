"""Accepts connections; those that cannot be accepted yet stay in the kernel's queue.

The event loop's own server accepts and closes queued connections when descriptors run out, and drops the
queue when it is closed. This one counts and retries a transient failure of accept, and closes a listener only
once its queue is empty.
"""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from collections.abc import Callable

from sprucenotch.node.listener import BACKLOG
from sprucenotch.node.log import event
from sprucenotch.node.poller import running_poller
from sprucenotch.node.transport import SocketTransport
from sprucenotch.platform.system_errors import (
    MAX_RETRY_DELAY,
    RESOURCE_EXHAUSTION_ERRORS,
    ConsecutiveFailures,
    retry_delays,
)

MAX_FAILURES_AT_ONCE = 8  # after so many failed connections in a row accept pauses too
CLOSE_TIMEOUT = 0.3  # seconds in which failures of accept are retried while the listener closes

MAX_ACCEPTS_IN_TURN = 32  # before the open connections have their turn, which may be long under load
ROOM_CHECK_INTERVAL = 0.02  # seconds: a connection may end before the time that was expected

log = logging.getLogger(__name__)


class Acceptor:
    """Accepts the connections of a listening socket one at a time: each gets its protocol before the next.

    `free_descriptor` closes an idle connection, if there is one; it is called while descriptors stay short.
    `count` is called for each accept that failed. While `seconds_until_room` returns a time, new connections
    wait in the kernel's queue. While `has_room` holds, up to MAX_ACCEPTS_IN_TURN are accepted at once.
    """

    def __init__(
        self,
        listener: socket.socket,
        protocol: Callable[[], asyncio.BufferedProtocol],
        free_descriptor: Callable[[], None],
        count: Callable[[str], None],
        seconds_until_room: Callable[[], float] = lambda: 0.0,
        has_room: Callable[[], bool] = lambda: False,
    ) -> None:
        self._listener, self._protocol = listener, protocol
        self._seconds_until_room, self._has_room = seconds_until_room, has_room
        self._accepted_in_turn = 0  # connections, since the open ones had their turn
        self._free_descriptor, self._count = free_descriptor, count
        self._loop = asyncio.get_running_loop()
        self._waiting: asyncio.Future[None] | None = None  # for the next connection
        self._closing = False
        self._close_timeout = CLOSE_TIMEOUT
        self._failures, self._pauses = 0, retry_delays()  # of accept, since the last success
        self._shortage = ConsecutiveFailures()
        listener.setblocking(False)
        self._watch = running_poller().watch(listener.fileno(), self._wake)
        self._task = self._loop.create_task(self._run())

    async def close(self, within: float = CLOSE_TIMEOUT) -> None:
        """Accept the queued connections, at most BACKLOG of them, then close the listener; the kernel resets
        the others. Failures of accept are retried for `within` seconds."""
        self._closing, self._close_timeout = True, within
        self._wake()
        await self._task

    async def _run(self) -> None:
        try:
            while not self._closing:
                try:
                    await self._accept_or_wait()
                except Exception:  # an unexpected error must not stop the listener
                    log.exception("fault", extra={"fields": {"handling": "accept"}})
                    await asyncio.sleep(MAX_RETRY_DELAY)
            await self._take_all_waiting()
        finally:
            self._watch.end()
            self._listener.close()

    async def _accept_or_wait(self) -> None:
        if wait := self._seconds_until_room():
            await asyncio.sleep(min(wait, ROOM_CHECK_INTERVAL))
            return
        try:
            accepted, _ = self._listener.accept()
        except BlockingIOError:
            await self._wait_readable()
        except OSError as problem:
            await self._pause_after(problem)
        else:
            await self._hand_over(accepted)

    async def _take_all_waiting(self) -> None:
        """Empty the queue; failures of accept are retried for a while."""
        give_up_at, remaining = self._loop.time() + self._close_timeout, BACKLOG
        while remaining > 0:
            try:
                accepted, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as problem:
                if self._loop.time() >= give_up_at:
                    event(log, logging.ERROR, "listener closed with its queue full", why=str(problem))
                    return
                await self._pause_after(problem)
            else:
                remaining -= 1
                await self._hand_over(accepted)

    async def _pause_after(self, problem: OSError) -> None:
        """Wait after a failed accept. A failure of the connection itself needs no pause, unless many occur
        in a row."""
        self._failures += 1
        self._count("accept_failed")
        if self._shortage.count_failure(problem):
            self._free_descriptor()
        at_once = problem.errno not in RESOURCE_EXHAUSTION_ERRORS and self._failures <= MAX_FAILURES_AT_ONCE
        await asyncio.sleep(0 if at_once else next(self._pauses))

    async def _hand_over(self, accepted: socket.socket) -> None:
        self._failures, self._pauses = 0, retry_delays()
        self._shortage.reset()
        SocketTransport(accepted, self._protocol())
        self._accepted_in_turn += 1
        if self._accepted_in_turn >= MAX_ACCEPTS_IN_TURN or not self._has_room():
            self._accepted_in_turn = 0
            await asyncio.sleep(0)  # let the open connections run too

    async def _wait_readable(self) -> None:
        """Wait until a connection is queued or the listener is to be closed."""
        self._waiting = self._loop.create_future()
        self._watch.set_events(select.EPOLLIN)
        try:
            await self._waiting
        finally:
            self._watch.set_events(0)
            self._waiting = None

    def _wake(self, events: int = 0) -> None:
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_result(None)

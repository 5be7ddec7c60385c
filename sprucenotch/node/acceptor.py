"""Accepts the connections of a listener, and leaves in the kernel's queue what it cannot take yet.

The event loop's own server accepts and closes what waits when descriptors run out, and forgets the queue when
it is closed. Here accept is called by the program: a failure that passes is counted and tried again, and a
listener is closed only once its queue is empty.
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
from sprucenotch.seams.system_errors import EXHAUSTED, MAX_PAUSE, Shortage, pauses

MAX_FAILURES_AT_ONCE = 8  # connections that failed in the queue, after which accept pauses too
# Seconds for which a queue that cannot be emptied is tried as the listener closes. New connections end 0.4 s
# after SIGTERM, accepting 0.6 s after it, and the process is killed 0.7 s and the longest deadline after it.
CLOSE_TIMEOUT = 0.3

log = logging.getLogger(__name__)


class Acceptor:
    """Takes the connections of a listening socket, one at a time: each is its protocol's before the next is
    taken.

    `make_room` closes a connection that its client is done with, if there is one; it is called where
    descriptors stay short. `count` hears of each accept that failed.
    """

    def __init__(
        self,
        listener: socket.socket,
        protocol: Callable[[], asyncio.BufferedProtocol],
        make_room: Callable[[], None],
        count: Callable[[str], None],
    ) -> None:
        self._listener, self._protocol = listener, protocol
        self._make_room, self._count = make_room, count
        self._loop = asyncio.get_running_loop()
        self._waiting: asyncio.Future[None] | None = None  # for the next connection to come
        self._closing = False
        self._failures, self._pauses = 0, pauses()  # of accept, since the last connection that was taken
        self._shortage = Shortage()
        listener.setblocking(False)
        self._watch = running_poller().watch(listener.fileno(), self._wake)
        self._task = self._loop.create_task(self._run())

    async def close(self) -> None:
        """Take what waits in the queue, then close the listener; the kernel resets what it still holds. At
        most as many are taken as may wait."""
        self._closing = True
        self._wake()
        await self._task

    async def _run(self) -> None:
        try:
            while not self._closing:
                try:
                    await self._take_or_wait()
                except Exception:  # whatever else fails, the listener goes on
                    log.exception("fault", extra={"fields": {"handling": "accept"}})
                    await asyncio.sleep(MAX_PAUSE)
            await self._take_all_waiting()
        finally:
            self._watch.end()
            self._listener.close()

    async def _take_or_wait(self) -> None:
        try:
            taken, _ = self._listener.accept()
        except BlockingIOError:
            await self._readable()
        except OSError as problem:
            await self._pause_after(problem)
        else:
            await self._hand_over(taken)

    async def _take_all_waiting(self) -> None:
        """Empty the queue; a failure to do so is tried again until CLOSE_TIMEOUT."""
        give_up_at, left = self._loop.time() + CLOSE_TIMEOUT, BACKLOG
        while left > 0:
            try:
                taken, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as problem:
                if self._loop.time() >= give_up_at:
                    event(log, logging.ERROR, "listener closed with its queue full", why=str(problem))
                    return
                await self._pause_after(problem)
            else:
                left -= 1
                await self._hand_over(taken)

    async def _pause_after(self, problem: OSError) -> None:
        """Wait after a failed accept. One that failed for its own connection's sake needs no wait, unless
        many do so in a row."""
        self._failures += 1
        self._count("accept_failed")
        if self._shortage.lasts(problem):
            self._make_room()
        at_once = problem.errno not in EXHAUSTED and self._failures <= MAX_FAILURES_AT_ONCE
        await asyncio.sleep(0 if at_once else next(self._pauses))

    async def _hand_over(self, taken: socket.socket) -> None:
        self._failures, self._pauses = 0, pauses()
        self._shortage.ends()
        SocketTransport(taken, self._protocol())
        await asyncio.sleep(0)  # the connections that are open have their turn too

    async def _readable(self) -> None:
        """Wait until a connection is in the queue, or the listener is to be closed."""
        self._waiting = self._loop.create_future()
        self._watch.want(select.EPOLLIN)
        try:
            await self._waiting
        finally:
            self._watch.want(0)
            self._waiting = None

    def _wake(self, events: int = 0) -> None:
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_result(None)

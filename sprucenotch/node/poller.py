"""Readiness of sockets, by an epoll of the program's own that the event loop waits for.

The event loop's library ends the process where epoll_ctl fails, which it may for want of memory or of
watches (ENOMEM, ENOSPC: epoll_ctl(2)). Here such a failure is tried again, and the descriptor is watched a
little later.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import select
from collections.abc import Callable, Iterator
from weakref import WeakValueDictionary

from sprucenotch.seams.system_errors import pauses

MAX_EVENTS = 64  # taken from the kernel at once; the others are there in the next turn of the loop
# epoll_ctl failed for want of memory, or of watches that the user may have: it may succeed later.
REGISTRATION_PASSING = frozenset((errno.ENOMEM, errno.ENOSPC))
# What epoll reports whether or not it is asked for.
ALWAYS_REPORTED = select.EPOLLERR | select.EPOLLHUP
WAIT_TRIES = 4  # calls for what is ready, where the loop has told that something is
UNKNOWN = -1  # in place of a mask: the kernel has one, of an earlier watch

log = logging.getLogger(__name__)


class Watch:
    """A descriptor whose readiness is told to `ready`, as a mask of EPOLLIN, EPOLLOUT, EPOLLERR and
    EPOLLHUP."""

    __slots__ = ("_poller", "fd", "in_force", "ready", "wanted")

    def __init__(self, poller: Poller, fd: int, ready: Callable[[int], None]) -> None:
        self._poller, self.fd, self.ready = poller, fd, ready
        self.wanted = 0  # the mask that is asked for
        self.in_force = 0  # the mask that the kernel has

    def want(self, events: int) -> None:
        """Tell of these events from now on; of none at 0, not even of errors."""
        if events != self.wanted:
            self.wanted = events
            self._poller.apply(self)

    def end(self) -> None:
        """Tell nothing any more. The descriptor is closed, or watched anew, right after: the kernel forgets
        it with its close."""
        self.wanted = 0
        self.ready = _ignore  # no cycle of references is left
        self._poller.forget(self)


def _ignore(events: int) -> None:
    """For readiness that nobody waits for any more."""


class Poller:
    """The watches of one event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self._epoll = select.epoll()
        self._watches: dict[int, Watch] = {}
        self._failed: dict[Watch, None] = {}  # whose mask could not be brought into force yet
        self._failing = False  # the last registration failed
        self._pauses: Iterator[float] = pauses()  # since the last that did not
        self._retry: asyncio.TimerHandle | None = None
        loop.add_reader(self._epoll.fileno(), self._dispatch)

    def watch(self, fd: int, ready: Callable[[int], None]) -> Watch:
        """A watch that asks for nothing yet."""
        made = self._watches[fd] = Watch(self, fd, ready)
        return made

    def apply(self, watch: Watch) -> None:
        """Bring the mask of a watch into force, now or as soon as the kernel has room for it."""
        try:
            self._register(watch)
        except OSError as problem:
            if problem.errno not in REGISTRATION_PASSING:
                raise
            self._failed[watch] = None
            self._failing = True
            if self._retry is None:
                self._retry = self.loop.call_later(next(self._pauses), self._apply_again)
            return
        self._failed.pop(watch, None)
        if self._failing:
            self._failing, self._pauses = False, pauses()

    def forget(self, watch: Watch) -> None:
        """Drop a watch whose descriptor is about to be closed."""
        self._failed.pop(watch, None)
        if self._watches.get(watch.fd) is watch:
            del self._watches[watch.fd]

    def _register(self, watch: Watch) -> None:
        if watch.wanted == watch.in_force:
            return
        if not watch.in_force:
            try:
                self._epoll.register(watch.fd, watch.wanted)
            except FileExistsError:  # by an earlier watch of the descriptor, which has ended
                watch.in_force = UNKNOWN  # also where the next call fails
                self._epoll.modify(watch.fd, watch.wanted)
        elif watch.wanted:
            self._epoll.modify(watch.fd, watch.wanted)
        else:
            self._epoll.unregister(watch.fd)
        watch.in_force = watch.wanted

    def _apply_again(self) -> None:
        self._retry = None
        for watch in list(self._failed):
            self.apply(watch)

    def _ready_now(self) -> list[tuple[int, int]]:
        """What is ready, of which the loop has told that there is something. A wait that is interrupted says
        that there is nothing: it is asked again, as the calls of one turn may be interrupted in step with
        the loop's own. What is missed stays ready, and the loop comes back to it."""
        for _ in range(WAIT_TRIES):
            try:
                ready = self._epoll.poll(0, MAX_EVENTS)
            except OSError:
                continue
            if ready:
                return ready
        return []

    def _dispatch(self) -> None:
        for fd, reported in self._ready_now():
            watch = self._watches.get(fd)  # the one before may have ended it
            if watch is None or not (wanted := watch.wanted):
                continue
            try:
                if ready := reported & (wanted | ALWAYS_REPORTED):
                    watch.ready(ready)
            except Exception:  # a fault at one descriptor must not keep the others from being told
                log.exception("fault", extra={"fields": {"handling": "readiness"}})


_pollers: WeakValueDictionary[int, Poller] = WeakValueDictionary()  # by the identity of their loops


def running_poller() -> Poller:
    """The poller of the running event loop, which keeps it alive."""
    loop = asyncio.get_running_loop()
    found = _pollers.get(id(loop))
    if found is None or found.loop is not loop:
        found = _pollers[id(loop)] = Poller(loop)
    return found

"""Readiness of sockets, by an epoll instance of the program's own that the event loop watches.

The event loop's library ends the process if epoll_ctl fails, as it may for lack of memory or of watches
(ENOMEM, ENOSPC: epoll_ctl(2)). Here such a failure is retried, and the descriptor is watched a little later.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import select
from collections.abc import Callable, Iterator
from weakref import WeakValueDictionary

from sprucenotch.platform.system_errors import retry_delays

MAX_EVENTS = 64  # per epoll_wait; the others follow in the next loop iteration
# Errors of epoll_ctl for lack of memory or of the user's watches: it may succeed later.
TRANSIENT_REGISTRATION_ERRORS = frozenset((errno.ENOMEM, errno.ENOSPC))
# Events that epoll reports whether or not they are in the mask.
ALWAYS_REPORTED = select.EPOLLERR | select.EPOLLHUP
MAX_POLL_TRIES = 4  # of epoll_wait, after the loop has reported readiness
UNKNOWN_MASK = -1  # the kernel has the mask of an earlier watch

log = logging.getLogger(__name__)


class Watch:
    """A watched descriptor; `ready` is called with a mask of EPOLLIN, EPOLLOUT, EPOLLERR and EPOLLHUP."""

    __slots__ = ("_poller", "event_mask", "fd", "ready", "registered")

    def __init__(self, poller: Poller, fd: int, ready: Callable[[int], None]) -> None:
        self._poller, self.fd, self.ready = poller, fd, ready
        self.event_mask = 0  # the requested mask
        self.registered = 0  # the mask that the kernel has

    def set_events(self, events: int) -> None:
        """Set the mask of events to report; with 0 none are reported, not even errors."""
        if events != self.event_mask:
            self.event_mask = events
            self._poller.apply(self)

    def end(self) -> None:
        """Stop reporting. The caller then immediately closes the descriptor or registers it again: closing
        also removes it from the kernel's epoll set."""
        self.event_mask = 0
        self.ready = _ignore  # breaks the reference cycle
        self._poller.forget(self)


def _ignore(events: int) -> None:
    """A readiness callback that does nothing."""


class Poller:
    """The watches of one event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self._epoll = select.epoll()
        self._watches: dict[int, Watch] = {}
        self._failed: dict[Watch, None] = {}  # whose mask could not be registered yet
        self._failing = False  # the last registration failed
        self._pauses: Iterator[float] = retry_delays()  # since the last success
        self._retry: asyncio.TimerHandle | None = None
        loop.add_reader(self._epoll.fileno(), self._dispatch)

    def watch(self, fd: int, ready: Callable[[int], None]) -> Watch:
        """Return a new watch with an empty mask."""
        made = self._watches[fd] = Watch(self, fd, ready)
        return made

    def apply(self, watch: Watch) -> None:
        """Register the mask of a watch with the kernel, now or as soon as that succeeds."""
        try:
            self._register(watch)
        except OSError as problem:
            if problem.errno not in TRANSIENT_REGISTRATION_ERRORS:
                raise
            self._failed[watch] = None
            self._failing = True
            if self._retry is None:
                self._retry = self.loop.call_later(next(self._pauses), self._apply_again)
            return
        self._failed.pop(watch, None)
        if self._failing:
            self._failing, self._pauses = False, retry_delays()

    def forget(self, watch: Watch) -> None:
        """Drop a watch whose descriptor is about to be closed."""
        self._failed.pop(watch, None)
        if self._watches.get(watch.fd) is watch:
            del self._watches[watch.fd]

    def _register(self, watch: Watch) -> None:
        if watch.event_mask == watch.registered:
            return
        if not watch.registered:
            try:
                self._epoll.register(watch.fd, watch.event_mask)
            except FileExistsError:  # registered by an earlier watch of the descriptor
                watch.registered = UNKNOWN_MASK  # also where the next call fails
                self._epoll.modify(watch.fd, watch.event_mask)
        elif watch.event_mask:
            self._epoll.modify(watch.fd, watch.event_mask)
        else:
            self._epoll.unregister(watch.fd)
        watch.registered = watch.event_mask

    def _apply_again(self) -> None:
        self._retry = None
        for watch in list(self._failed):
            self.apply(watch)

    def _poll_ready(self) -> list[tuple[int, int]]:
        """Return the ready descriptors, after the loop has reported that there are some. An interrupted wait
        returns none and is repeated, as all calls of one loop iteration may be interrupted in step with the
        loop's own. Readiness that is missed here is reported again by the loop."""
        for _ in range(MAX_POLL_TRIES):
            try:
                ready = self._epoll.poll(0, MAX_EVENTS)
            except OSError:
                continue
            if ready:
                return ready
        return []

    def _dispatch(self) -> None:
        for fd, reported in self._poll_ready():
            watch = self._watches.get(fd)  # an earlier callback may have ended it
            if watch is None or not (event_mask := watch.event_mask):
                continue
            try:
                if ready := reported & (event_mask | ALWAYS_REPORTED):
                    watch.ready(ready)
            except Exception:  # an error at one descriptor must not affect the others
                log.exception("fault", extra={"fields": {"handling": "readiness"}})


_pollers: WeakValueDictionary[int, Poller] = WeakValueDictionary()  # by id() of their loops


def running_poller() -> Poller:
    """Return the poller of the running event loop, which keeps it alive."""
    loop = asyncio.get_running_loop()
    found = _pollers.get(id(loop))
    if found is None or found.loop is not loop:
        found = _pollers[id(loop)] = Poller(loop)
    return found

"""The client connections of a sidecar: their limit, who makes room for others, and the planned stop."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable, Iterator

from sprucenotch.node.budget import Reservation
from sprucenotch.node.client_connection import ClientConnection
from sprucenotch.node.config import Config
from sprucenotch.node.head import HeadRules
from sprucenotch.node.host import Host
from sprucenotch.node.rules import CloseReason
from sprucenotch.node.status import own_memory
from sprucenotch.policy.incomplete import MAX_USUAL_START, choose_to_give_up, seconds_until_choice

# Seconds in which the first request of a new connection may still arrive: network delay plus up to 0.15 s
# for a client that is delayed between its connect and its write.
MIN_UNUSED_AGE = 0.25


def incomplete_ones(connections: list[ClientConnection]) -> list[ClientConnection]:
    """Return those that wait for the rest of a request."""
    return [connection for connection in connections if connection.incomplete]


def _old_enough(connections: list[ClientConnection], age: float) -> list[ClientConnection]:
    """Return those that have been used or are of that age, in seconds: the first request of another one may
    be about to arrive."""
    return [connection for connection in connections if connection.used or connection.age >= age]


def slowest_of(
    incomplete: list[ClientConnection], others_waiting_for: float = 0.0
) -> ClientConnection | None:
    """Return the connection whose incomplete request is given up for others, if any is."""
    ages = [connection.arriving_for for connection in incomplete]
    chosen = choose_to_give_up(ages, others_waiting_for)
    return None if chosen is None else incomplete[chosen]


class Frontend:
    """The client connections of a sidecar, their limit and the drain."""

    def __init__(self, config: Config, host: Host, loop: asyncio.AbstractEventLoop) -> None:
        self.host, self.loop = host, loop
        # In seconds; the loop's own clock stands still within an iteration, which may be long.
        self.now: Callable[[], float] = time.monotonic
        self.listening = False
        self.draining = False
        self.waits_ended = False  # no request that comes now could be answered before SIGKILL
        self._drained = asyncio.Event()
        self._waiting_since: float | None = None  # since when new connections wait for others to end
        self._max_connections = config.max_clients_within_memory(own_memory()[0])
        self._last_number = 0
        self._connections: dict[ClientConnection, None] = {}
        self.retune(config)

    def retune(self, config: Config) -> None:
        """Apply changed settings to heads that arrive from now on."""
        self.rules = HeadRules(config.settings)

    def opened(self, connection: ClientConnection) -> None:
        # A closing connection remains listed until the loop has ended it; it must not count again.
        if len(self._connections) >= self._max_connections:
            open_connections = self._open_connections()
            if len(open_connections) >= self._max_connections:
                self._make_room(open_connections, connection)
        self._connections[connection] = None

    def _make_room(self, open_connections: list[ClientConnection], newcomer: ClientConnection) -> None:
        """Over the limit: close a connection whose close loses nothing, else refuse an incomplete request,
        else close the new connection."""
        closable = next(self._closable(_old_enough(open_connections, MAX_USUAL_START)), None)
        if closable is not None:
            closable.free_descriptor()
        elif (slowest := slowest_of(incomplete_ones(open_connections), self._waiting_for)) is not None:
            slowest.give_up_incomplete(close=True)
        else:
            next(self._closable(open_connections), newcomer).free_descriptor()

    def has_room(self) -> bool:
        """Whether a new connection is within the limit, also counting those that are closing."""
        return len(self._connections) < self._max_connections

    def seconds_until_room(self) -> float:
        """In how many seconds a new connection can be accepted without closing one that is needed; 0 also if
        waiting does not help."""
        open_connections = self._open_connections()
        old_enough = _old_enough(open_connections, MAX_USUAL_START)
        if len(open_connections) < self._max_connections or any(self._closable(old_enough)):
            self._waiting_since = None
            return 0.0
        if self._waiting_since is None:
            self._waiting_since = self.now()
        return seconds_until_choice(
            [c.arriving_for for c in incomplete_ones(open_connections)],
            self._waiting_for,
            [c.age for c in open_connections if c.idle and not c.used],
            any(c.has_unread_head for c in open_connections),
        )

    @property
    def _waiting_for(self) -> float:
        """Seconds for which new connections have been waiting for others to end."""
        return 0.0 if self._waiting_since is None else self.now() - self._waiting_since

    def reserve(self, reservation: Reservation, size: int, requester: ClientConnection) -> bool:
        """Reserve more memory for a request that is being read. Others that have been incomplete for long
        are refused for it. Returns False if that is not enough."""
        while not reservation.grow(size):
            incomplete = [c for c in self._open_connections() if c.holds_memory and c is not requester]
            if (slowest := slowest_of(incomplete)) is None:
                return False
            slowest.give_up_incomplete(close=False)
        return True

    def next_number(self) -> int:
        """Return a number that identifies a new connection in the log."""
        self._last_number += 1
        return self._last_number

    def free_descriptor(self) -> None:
        """Close an idle connection to free its descriptor, unless one is closing already. New connections are
        skipped, as their first request may be about to arrive."""
        open_connections = self._open_connections()
        if len(open_connections) < len(self._connections):
            return
        old_enough = _old_enough(open_connections, MIN_UNUSED_AGE)
        if (closable := next(self._closable(old_enough), None)) is not None:
            closable.free_descriptor()

    def _open_connections(self) -> list[ClientConnection]:
        return [c for c in self._connections if not c.closing]

    def _closable(self, open_connections: list[ClientConnection]) -> Iterator[ClientConnection]:
        """Connections that may be closed, best first: those whose last answer has been sent, those that are
        owed no more than a close, used ones (a request that crosses the close is sent again by the client),
        and new ones on which nothing has come. One whose first request has arrived in part is never closed
        for this; `RequestTimeLimit` ends the wait for the rest of a request."""
        lingering = (c for c in open_connections if c.lingering)
        refused = (c for c in open_connections if c.refused_unreadable)
        done = (c for c in open_connections if c.used_and_idle)
        idle = (c for c in open_connections if c.idle and not c.has_unread_request)
        return itertools.chain(lingering, refused, done, idle)

    def closed(self, connection: ClientConnection) -> None:
        self._connections.pop(connection, None)
        if not self._connections:
            self._drained.set()

    @property
    def ready(self) -> bool:
        return self.listening and not self.draining and self.host.informed

    def close_idle(self) -> None:
        """Close used connections that are idle. One that is still unused may get its first request at any
        moment; the wait for that times out by itself."""
        for connection in list(self._connections):
            if connection.used_and_idle:
                connection.close_connection(CloseReason.DRAIN)

    def end_waits(self) -> None:
        """Refuse requests that are still incomplete, and close connections without a request."""
        self.waits_ended = True
        for connection in list(self._connections):
            connection.end_wait()

    async def finished(self) -> None:
        """Wait until all answers have been sent and all connections are closed."""
        while self._connections:
            self._drained.clear()
            await self._drained.wait()

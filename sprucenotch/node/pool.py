"""The connections held to one endpoint."""

from __future__ import annotations

import asyncio

from sprucenotch.api import Health
from sprucenotch.node.config import Host
from sprucenotch.node.connection import Connection


class Pool:
    """What is held to one endpoint."""

    __slots__ = ("dial", "health", "idle", "name", "opening", "place", "waited_at")

    def __init__(self, host: Host) -> None:
        self.idle: list[Connection] = []
        self.waited_at: int | None = None  # when an attempt last found all idle connections resting
        self.opening: asyncio.Task[None] | None = None  # of another one, for when they rest
        self.update(host)

    def update(self, host: Host) -> None:
        self.name, self.dial, self.health = host.name, host.dial, host.endpoint.health
        self.place = host.endpoint.zone, host.endpoint.cell

    def takes(self, connection: Connection) -> bool:
        """Whether something new may go out there: the endpoint wants it, and has not moved meanwhile."""
        return self.health == Health.READY and connection.dial == self.dial

"""The connections held to one endpoint."""

from __future__ import annotations

import asyncio

from sprucenotch.api import Health
from sprucenotch.node.config import Host
from sprucenotch.node.connection import Connection


class Pool:
    """The idle connections to one endpoint, and its entry in the list."""

    __slots__ = ("dial", "health", "idle", "last_wait_at", "location", "name", "spare_task")

    def __init__(self, host: Host) -> None:
        self.idle: list[Connection] = []
        self.last_wait_at: int | None = None  # when an attempt last had to wait for one of them
        self.spare_task: asyncio.Task[None] | None = None  # opens an additional connection
        self.update(host)

    def update(self, host: Host) -> None:
        self.name, self.dial, self.health = host.name, host.dial, host.endpoint.health
        self.location = host.endpoint.zone, host.endpoint.cell

    def accepts(self, connection: Connection) -> bool:
        """Whether a new request may be sent on it: the endpoint is ready and has kept its address."""
        return self.health == Health.READY and connection.dial == self.dial

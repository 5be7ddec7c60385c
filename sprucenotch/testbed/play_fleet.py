"""The servers and the discovery of a play with one sidecar, and the configuration of that sidecar."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Sequence
from typing import Any

from sprucenotch.testbed.discovery import Discovery, Entry
from sprucenotch.testbed.process import free_address
from sprucenotch.testbed.transfers.server import StreamServer


@contextlib.asynccontextmanager
async def listed(servers: Sequence[StreamServer], zones: Sequence[str]) -> AsyncIterator[Discovery]:
    """Run these servers, over the zones in turn, and a discovery that lists them."""
    discovery = Discovery()
    try:
        await discovery.start()
        for number, server in enumerate(servers):
            await server.start()
            await discovery.publish(
                Entry(
                    host=f"server-{number}", dial=server.dial, site=zones[number % len(zones)], block=0,
                    health="up", share=1.0, born_ms=0,
                )
            )  # fmt: skip
        yield discovery
    finally:
        for server in servers:
            await server.stop()
        await discovery.stop()


async def configuration(
    discovery: Discovery,
    seed: int,
    settings: dict[str, Any],
    memory_mb: int = 192,
    descriptors: int = 1024,
) -> dict[str, Any]:
    """Return the configuration of a sidecar that knows what discovery lists now."""
    return {
        "name": "sidecar-0", "listen": free_address(), "mgmt": free_address(), "seed": f"{seed:x}",
        "discovery": discovery.server.dial, "known": await discovery.whole(),
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors},
        "settings": settings,
    }  # fmt: skip

"""One play of long transfers, from the start of its processes to the end of the sidecar."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Iterator
from typing import Any

from msgspec import Struct, structs

from sprucenotch.testbed import deployment
from sprucenotch.testbed.lateness import Lateness
from sprucenotch.testbed.plan import SECOND, Class, Fleet, Load, Plan
from sprucenotch.testbed.play_fleet import configuration, listed
from sprucenotch.testbed.process import SidecarProcess
from sprucenotch.testbed.revision import Program
from sprucenotch.testbed.sidecar import KILL_AFTER
from sprucenotch.testbed.transfers.client import DEADLINE, Finding, TransferClient
from sprucenotch.testbed.transfers.server import TransferServer

SERVERS = 4
ZONE = "north"
MEMORY_MB = 96  # limit of the sidecar
# Aims are near the deadline: a server takes as long as its pauses, and is sound all the same.
AIM = SECOND * 3 // 2
CLASSES = (
    Class(name="download", aim=AIM, deadline=int(DEADLINE * SECOND)),
    Class(name="upload", aim=AIM, deadline=int(DEADLINE * SECOND), effect="dedup", window=15 * SECOND),
)


class TransferResult(Struct, frozen=True, kw_only=True):
    """What was seen in a play."""

    seed: int
    statuses: dict[int, int]  # requests by the status of their answer
    left: int  # requests that their clients left
    findings: list[Finding]
    late: float  # seconds by which the testbed was late in all

    @property
    def served(self) -> int:
        """Requests answered with 200."""
        return self.statuses.get(200, 0)


async def play(seed: int, length: float, clients: int, program: Program | None = None) -> TransferResult:
    """Play for `length` seconds with so many clients. Raises ProcessError if the sidecar does not come up."""
    program = program or Program()
    servers = [TransferServer(seed) for _ in range(SERVERS)]
    async with listed(servers, (ZONE,)) as discovery:
        configured = await configuration(discovery, seed, _settings(clients), MEMORY_MB)
        with SidecarProcess(configured, program.command, program.cwd) as sidecar:
            await sidecar.ready()
            result = await _run_clients(seed, length, clients, sidecar.listen)
            findings = [*result.findings, *_changed_uploads(servers), *await _end(sidecar)]
        return structs.replace(result, findings=findings)


def _settings(clients: int) -> dict[str, Any]:
    fleet = Fleet(sidecars=1, engines=SERVERS, zones=(ZONE,), slots=clients)
    plan = Plan("long transfers", 0.0, 0.0, fleet, Load(), CLASSES)
    return deployment.settings(plan, 0, fleet.attempts)


async def _run_clients(seed: int, length: float, number: int, dial: str) -> TransferResult:
    lateness = Lateness()
    watching = asyncio.create_task(lateness.watch())
    clients = [TransferClient(n, seed, dial, lambda: lateness.seconds) for n in range(number)]
    until = time.monotonic() + length
    try:
        await asyncio.gather(*(client.run(until) for client in clients))
    finally:
        watching.cancel()
    statuses = sum((client.statuses for client in clients), Counter[int]())
    return TransferResult(
        seed=seed, statuses=dict(statuses), left=sum(client.left for client in clients),
        findings=[finding for client in clients for finding in client.findings], late=lateness.seconds,
    )  # fmt: skip


def _changed_uploads(servers: list[TransferServer]) -> Iterator[Finding]:
    for server in servers:
        for id in server.wrong_uploads:
            yield Finding("not as sent", id, "its body reached the server changed")


async def _end(sidecar: SidecarProcess) -> list[Finding]:
    """Stop the sidecar: with no client left, it must end by itself before it would be killed."""
    sidecar.signal(signal.SIGTERM)
    try:
        code = await sidecar.wait(DEADLINE + KILL_AFTER)
    except TimeoutError:
        sidecar.kill()
        return [Finding("not ended", "", "it waited for answers after its last client had left")]
    return [] if code == 0 else [Finding("not ended", "", f"it ended with code {code}")]

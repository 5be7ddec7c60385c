"""One play: a real sidecar, sound servers, misbehaving clients, and well-behaved ones that are judged."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from msgspec import Struct

from sprucenotch.testbed import site as sites
from sprucenotch.testbed.lateness import Lateness
from sprucenotch.testbed.play_fleet import configuration, listed
from sprucenotch.testbed.pressure.client import Finding, SteadyClient
from sprucenotch.testbed.pressure.lives import Lives, Pressure
from sprucenotch.testbed.pressure.peers import LEAVE_SLACK, Left, Peers
from sprucenotch.testbed.pressure.request import AnswerForm, RequestWriter, first_tenant, request_classes
from sprucenotch.testbed.pressure.server import PressureServer
from sprucenotch.testbed.process import RunError
from sprucenotch.testbed.revision import Program

SERVERS, STEADY_CLIENTS = 6, 12
END_TIMEOUT = 15.0  # seconds after a play's end by which all its clients have ended
MEMORY_CHECK_INTERVAL = 0.05  # seconds
KILL_SEEN_WITHIN = 0.3  # seconds from SIGKILL until a client has seen the end of its connection
MAX_HELD_UP = 0.15  # seconds for which a sidecar may be held up, by the terms
UNFINISHED = "unfinished at the kill"  # a rule


class PressureResult(Struct, frozen=True, kw_only=True):
    """What was seen."""

    findings: list[Finding]
    statuses: dict[int, int]  # of the well-behaved clients' answers
    unanswered: int  # requests of theirs whose connection ended without an answer
    peak_memory: int  # bytes: the sidecar's resident memory at its highest
    times: list[float]  # seconds to the final answers of the well-behaved clients, sorted
    rounds: int  # connections of misbehaving clients
    late: float  # seconds by which the testbed was late in all
    log: str  # of the sidecar

    def quantile(self, share: float) -> float:
        """The time in which that share of the well-behaved clients' answers came."""
        return self.times[min(len(self.times) - 1, int(share * len(self.times)))] if self.times else 0.0


def draw_form(pressure: Pressure, rng: random.Random) -> AnswerForm:
    """Draw the answer that a well-behaved client asks for."""
    if not pressure.long_answers:
        return AnswerForm(size=rng.choice((100, 2000)), work=rng.choice((0.002, 0.02)))
    return AnswerForm(
        size=rng.choice((90_000, 170_000)),
        framing=rng.choice(("length", "chunked", "close")),
        body_delay=rng.choice((0.0, 0.0, 0.8, 1.5)),
        piece=rng.choice((30_000, 60_000)),
        pause=rng.choice((0.05, 0.4, 0.8)),
    )


async def play(pressure: Pressure, program: Program | None = None) -> PressureResult:
    """Play. Raises ProcessError if the sidecar does not come up."""
    program = program or Program()
    settings, servers = sites.settings(sites.load(pressure.site)), [PressureServer() for _ in range(SERVERS)]
    async with listed(servers, settings["Azs"]) as discovery:
        configured = await configuration(
            discovery, pressure.seed, settings, pressure.memory_mb, pressure.descriptors
        )
        configured["log"] = {"level": pressure.log_level}
        async with Lives(configured, program, pressure) as lives:
            return await _run(pressure, configured, lives, servers)


async def _run(
    pressure: Pressure, configured: dict[str, Any], lives: Lives, servers: list[PressureServer]
) -> PressureResult:
    lateness = Lateness()
    settings, rng = configured["settings"], random.Random(f"pressure {pressure.seed}")
    classes = request_classes(settings)
    tenant = first_tenant(settings)

    def writer(label: str) -> RequestWriter:
        return RequestWriter(label, classes, tenant, random.Random(f"{label} {pressure.seed}"))

    def now_late() -> float:
        return lateness.seconds

    listen = str(configured["listen"])
    peers = Peers(listen, writer("peer"), rng, now_late)
    clients = [
        SteadyClient(listen, writer(f"steady{n}"), lambda: draw_form(pressure, rng), now_late)
        for n in range(STEADY_CLIENTS)
    ]
    until = time.monotonic() + pressure.length
    watching = asyncio.create_task(lateness.watch())
    try:
        running = asyncio.gather(
            *(client.run(until) for client in clients),
            peers.run(pressure.behaviour, pressure.number, until),
            lives.send_signals(rng),
        )
        give_up_at = until + END_TIMEOUT
        while not running.done():
            if time.monotonic() > give_up_at:
                running.cancel()
                raise RunError("a client of the play did not end")
            await asyncio.wait((running,), timeout=MEMORY_CHECK_INTERVAL)
            lives.measure()
        await running
    finally:
        watching.cancel()
    findings = [
        *(
            name_kill(finding, lives.killed_at, servers) for client in clients for finding in client.findings
        ),
        *peers.findings,
        *began_after_leaving(peers.left, servers, lateness.between), *ran_twice(peers.repeated, servers),
        *lost(clients, servers), *lives.findings, *await lives.end(),
    ]  # fmt: skip
    return PressureResult(
        findings=findings, statuses=dict(sum((c.statuses for c in clients), Counter[int]())),
        unanswered=sum(len(c.unanswered) for c in clients), peak_memory=lives.peak, rounds=peers.rounds,
        times=sorted(t for c in clients for t in c.times), late=lateness.seconds,
        log=lives.log(),
    )  # fmt: skip


def name_kill(finding: Finding, killed_at: list[float], servers: list[PressureServer]) -> Finding:
    """Return the finding: an answer that SIGKILL cut off has its own rule if its server was still writing, or
    had just written the last byte."""
    answered_at = min(server.answered_at.get(finding.id, math.inf) for server in servers)
    by_kill = any(
        kill <= finding.at <= kill + KILL_SEEN_WITHIN and answered_at > kill - MAX_HELD_UP
        for kill in killed_at
    )
    return finding._replace(rule=UNFINISHED) if finding.rule == "cut off" and by_kill else finding


def began_after_leaving(
    left: list[Left], servers: list[PressureServer], late_between: Callable[[float, float], float]
) -> Iterator[Finding]:
    """Requests that a server began after their client had closed its connection. Time in which the testbed
    was late, and so the server too, counts against nobody."""
    left_at = {id: client.at for client in left for id in client.ids}
    for server in servers:
        for id, at in server.begun:
            if id not in left_at or at <= left_at[id] + LEAVE_SLACK:
                continue
            if at > left_at[id] + LEAVE_SLACK + late_between(left_at[id], at):
                said = f"a server began it {at - left_at[id]:.2f} s after its client had closed"
                yield Finding("began after leaving", id, said)


def ran_twice(repeated: list[str], servers: list[PressureServer]) -> Iterator[Finding]:
    """Ids that came again after their client had left, and that servers began more than once."""
    begun = Counter(begun.id for server in servers for begun in server.begun)
    for id in repeated:
        if begun[id] > 1:
            yield Finding("ran twice", id, f"servers began it {begun[id]} times")


def lost(clients: list[SteadyClient], servers: list[PressureServer]) -> Iterator[Finding]:
    """Requests that a server began, and whose connection ended without an answer."""
    begun = {begun.id for server in servers for begun in server.begun}
    for client in clients:
        for id in client.unanswered:
            if id in begun:
                yield Finding("lost", id, "a server began it, and its connection ended without an answer")

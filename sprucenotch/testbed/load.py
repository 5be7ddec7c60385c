"""An open-loop load, reproducible by seed: Poisson arrivals, and clients that retry refused requests."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from sprucenotch.testbed.client import ClientCall, Clients, Kind, RequestResult
from sprucenotch.testbed.plan import SECOND, Class, Plan

MAX_IN_FLIGHT = 2000  # calls; further arrivals are skipped, to bound the memory of the testbed


def kind(cls: Class) -> Kind:
    """The request class of a plan, as clients send it."""
    return Kind(
        cls.name, cls.effect == "dedup", cls.deadline / SECOND, cls.aim / SECOND, float(cls.worth),
        cls.effect == "fragile",
    )  # fmt: skip


class Arrival(NamedTuple):
    """One call of the load."""

    after: float  # seconds since the previous arrival
    sidecar: str
    kind: Kind
    owner: str
    call: str


def arrivals(plan: Plan, seed: int, rate_factor: Callable[[], float]) -> Iterator[Arrival]:
    """An endless Poisson process with the plan's rate multiplied by `rate_factor`, which is evaluated at each
    draw. Everything else follows from the seed alone."""
    rng = random.Random(f"load {seed}")
    sidecars = [f"sidecar-{n}" for n in range(plan.fleet.sidecars)]
    weights = [(n + 1) ** -float(plan.load.skew) for n in range(len(sidecars))]
    kinds, shares = [kind(c) for c in plan.classes], [c.share for c in plan.classes]
    owners, parts = [t.name for t in plan.load.tenants], [t.share for t in plan.load.tenants]
    for number in itertools.count():
        yield Arrival(
            rng.expovariate(plan.rate * max(rate_factor(), 1e-3)), rng.choices(sidecars, weights)[0],
            rng.choices(kinds, shares)[0], rng.choices(owners, parts)[0] if owners else "", f"call-{number}",
        )  # fmt: skip


class Load:
    """Sends the arrivals to the clients of each sidecar."""

    def __init__(
        self,
        plan: Plan,
        seed: int,
        clients: Mapping[str, Clients],
        rate_factor: Callable[[], float],
        report: Callable[[RequestResult], None],
    ) -> None:
        self.plan, self._clients, self._report = plan, clients, report
        self._arrivals = arrivals(plan, seed, rate_factor)
        self._rng = random.Random(f"repeats {seed}")
        self._tasks: set[asyncio.Task[None]] = set()
        self.lateness: list[float] = []  # seconds by which each request was sent late
        self.held_back = 0

    async def run(self, until: float) -> None:
        """Send until that time on the monotonic clock."""
        due = time.monotonic()
        for arrival in self._arrivals:
            due += arrival.after
            if due >= until:
                return
            now = time.monotonic()
            if due > now:
                await asyncio.sleep(due - now)
            self.lateness.append(max(0.0, time.monotonic() - due))
            if len(self._tasks) >= MAX_IN_FLIGHT:
                self.held_back += 1
                continue
            task = asyncio.get_running_loop().create_task(self._send(arrival, due))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, arrival: Arrival, due: float) -> None:
        """Send one call, with its repeats."""
        load, clients = self.plan.load, self._clients[arrival.sidecar]
        for repeat in range(1 + (load.repeats if load.repeat != "never" else 0)):
            ended = await clients.ask(ClientCall(arrival.kind, arrival.owner, arrival.call, due, repeat))
            self._report(ended)
            if ended.outcome != "refused" or load.repeat == "never":
                return
            if load.repeat == "after":
                wait = ended.retry_after if ended.retry_after is not None else load.wait / SECOND
                await asyncio.sleep(wait * self._rng.uniform(1.0, 1.2))
            due = time.monotonic()

    async def finish(self) -> None:
        """Wait for the calls in flight, which deadlines and the number of repeats bound."""
        if self._tasks:
            await asyncio.wait(self._tasks)
        for clients in self._clients.values():
            await clients.finish()

"""A day on loopback: engines, discovery, real sidecars and an open load, bounded in time."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from sprucenotch.rig.client import Clients, Ended, Kind
from sprucenotch.rig.engine import Work
from sprucenotch.rig.fleet import Fleet
from sprucenotch.rig.process import RigError, SidecarProcess, free_address
from sprucenotch.rig.trouble import Troubles

KINDS = {
    Kind("price-check", False, 2.0, 0.4): Work(0.04, 0.5),
    Kind("place-order", True, 3.0, 0.6, 8.0): Work(0.06, 0.5),
}
SHARES = {"price-check": 0.75, "place-order": 0.25}  # of the arrivals
LATE_MOST = 0.25  # seconds that the load may lag before it is not the one that was asked for
OPEN_MOST = 2000  # requests under way, beyond which clients hold back: the rig stays bounded


class Plan(NamedTuple):
    seconds: float
    sidecars: int = 2
    engines: int = 6
    load: float = 0.6  # of what the engines can do
    trouble: str = ""  # from a third of the day to two thirds
    seed: int = 1


class Second(NamedTuple):
    """What clients, engines and sidecars did since the last one."""

    at: float  # seconds since the first request
    ended: Counter[tuple[str, str]]  # by class and outcome, as the clients saw it
    served: list[int]  # by engine
    cpu: list[float]  # share of a core, by sidecar


class Day:
    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.fleet = Fleet(KINDS, plan.engines, slots=1, queue=6, seed=plan.seed)
        self.troubles = Troubles(self.fleet)
        self.sidecars: list[SidecarProcess] = []
        self.total: Counter[tuple[str, str]] = Counter()
        self.late = 0.0  # the most that the load lagged
        self.held_back = 0
        self._recent: Counter[tuple[str, str]] = Counter()
        self._open = 0
        self.stopped = asyncio.Event()
        self.interrupted = False

    def interrupt(self) -> None:
        """End now, as at the end of the day."""
        self.interrupted = True
        self.stopped.set()

    @property
    def rate(self) -> float:
        """Requests a second that all clients send together."""
        work = sum(SHARES[kind.name] * work.mean for kind, work in KINDS.items())
        return self.plan.load * self.plan.engines / work * self.troubles.load

    def _ended(self, ended: Ended) -> None:
        self._open -= 1
        self._recent[ended.kind.name, ended.outcome] += 1

    async def play(self, each_second: Callable[[Second], None]) -> None:
        """The whole day. Raises RigError where a sidecar does not start, or ends. All that it started is
        stopped when it returns, however it does."""
        with contextlib.ExitStack() as running:
            await self.fleet.start()
            running.callback(self.fleet.stop)
            for number in range(self.plan.sidecars):
                listen, mgmt = free_address(), free_address()
                told = self.fleet.configuration(number, self.plan.sidecars, listen, mgmt)
                self.sidecars.append(running.enter_context(SidecarProcess(told)))
            await asyncio.gather(*(sidecar.ready() for sidecar in self.sidecars))
            clients = [Clients(s.listen, self._ended, f"c{n}") for n, s in enumerate(self.sidecars)]
            began = time.monotonic()
            tasks = [asyncio.create_task(work) for work in (self._send(clients, began), self._trouble(began))]
            try:
                await self._watch(began, each_second)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            await asyncio.gather(*(one.finish() for one in clients))
            self.total += self._recent

    async def _send(self, clients: list[Clients], began: float) -> None:
        """Arrivals at random, each sidecar's clients with an equal share; they wait for nobody's answer."""
        rng, kinds, shares = self.fleet.rng, list(KINDS), [SHARES[kind.name] for kind in KINDS]
        due = began
        while True:
            due += rng.expovariate(self.rate)
            now = time.monotonic()
            if due > now:
                await asyncio.sleep(due - now)
            self.late = max(self.late, time.monotonic() - due)
            if self._open < OPEN_MOST:
                self._open += 1
                rng.choice(clients).send(rng.choices(kinds, shares)[0])
            else:
                self.held_back += 1

    async def _trouble(self, began: float) -> None:
        if self.plan.trouble:
            for part, on in ((1 / 3, True), (2 / 3, False)):
                await asyncio.sleep(max(0.0, began + self.plan.seconds * part - time.monotonic()))
                await self.troubles.turn(self.plan.trouble, on)

    async def _watch(self, began: float, each_second: Callable[[Second], None]) -> None:
        engines = self.fleet.engines
        served, cpu, then = [e.served for e in engines], [s.cpu() for s in self.sidecars], began
        while (now := time.monotonic()) < began + self.plan.seconds and not self.stopped.is_set():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.stopped.wait(), min(1.0, began + self.plan.seconds - now))
            for sidecar in self.sidecars:
                if (code := sidecar.process.poll()) is not None:
                    raise RigError(f"a sidecar ended with code {code}: {sidecar.said()}")
            now, recent, self._recent = time.monotonic(), self._recent, Counter()
            self.total += recent
            before, served = served, [e.served for e in engines]
            used, cpu = cpu, [s.cpu() for s in self.sidecars]
            each_second(
                Second(
                    now - began, recent, [a - b for a, b in zip(served, before, strict=True)],
                    [(a - b) / 1e9 / (now - then) for a, b in zip(cpu, used, strict=True)],
                )
            )  # fmt: skip
            then = now

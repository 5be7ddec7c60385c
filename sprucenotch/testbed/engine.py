"""A simulated quote engine: worker slots, a bounded queue, and faults that can be switched on."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections import deque
from collections.abc import Callable, Mapping
from typing import NamedTuple

from sprucenotch.testbed.checker.history import Ran, Step
from sprucenotch.testbed.http import Request, Respond, Server, response

SECOND_ANSWER_DELAY = 0.003  # seconds
DECLINED = response(503, b"", b"Srv-Declined: 1")


class Work(NamedTuple):
    """Service time of a request class: lognormal, mean in seconds, `spread` the coefficient of variation."""

    mean: float
    spread: float = 0.0

    def draw(self, rng: random.Random) -> float:
        if not self.spread:
            return self.mean
        sigma = math.sqrt(math.log1p(self.spread**2))
        return self.mean * rng.lognormvariate(-sigma * sigma / 2, sigma)


class WarmUp(NamedTuple):
    """Warm-up of an engine: it starts at `share` of its speed, which grows linearly for `seconds`."""

    share: float = 1.0
    seconds: float = 0.0


class Engine:
    """Serves `slots` requests at a time and queues `queue` more; further ones are declined without running.

    Faults: `slower` multiplies the service time of new requests, `failing` answers 500 after the work,
    `draining` declines new requests, `silent` accepts requests and never answers them, `twice` sends each
    answer twice, `nonsense` sends an invalid answer, and `endless` leaves out the last byte.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        work: Mapping[bytes, Work],
        slots: int,
        queue: int,
        seed: int,
        cold: WarmUp = WarmUp(),  # noqa: B008 - immutable
        on_event: Callable[[Ran], None] = lambda ran: None,
        origin: float = 0.0,
    ) -> None:
        self.name, self.zone = name, zone
        self._work, self._slots, self._max_queue, self._cold = work, slots, queue, cold
        self._rng = random.Random(seed)
        self._waiting: deque[tuple[Request, Respond]] = deque()
        self._running: dict[int, Request] = {}  # by sequence number
        self._number = 0
        self._on_event, self._origin = on_event, origin
        self.up = False
        self.slower = 1.0
        self.failing = self.draining = self.silent = False
        self.twice = self.nonsense = self.endless = False
        self.served = self.declined = 0
        self.life = 0  # incremented by stop(); work started in an earlier life is discarded
        self._warm_at = 0.0
        self.server = Server(self._handle)

    @property
    def dial(self) -> str:
        return self.server.dial

    @property
    def busy(self) -> int:
        return len(self._running)

    @property
    def held(self) -> int:
        return len(self._running) + len(self._waiting)

    async def start(self, cold: bool = False) -> None:
        if self.up:
            return
        await self.server.start()
        self._warm_at = time.monotonic() + (self._cold.seconds if cold else 0.0)
        self.up, self.draining = True, False

    async def stop(self) -> None:
        """Stop serving; requests in progress and their connections are lost."""
        if not self.up:
            return
        self.up = False
        for request in (*self._running.values(), *(request for request, _ in self._waiting)):
            self._record(request, "lost")
        self.life += 1
        self._running.clear()
        self._waiting.clear()
        self.server.stop()

    async def tune(
        self,
        slower: float | None = None,
        failing: bool | None = None,
        draining: bool | None = None,
        silent: bool | None = None,
        twice: bool | None = None,
        nonsense: bool | None = None,
        endless: bool | None = None,
    ) -> None:
        """Switch faults on or off; None leaves a fault unchanged."""
        self.slower = self.slower if slower is None else slower
        self.failing = self.failing if failing is None else failing
        self.draining = self.draining if draining is None else draining
        self.silent = self.silent if silent is None else silent
        self.twice = self.twice if twice is None else twice
        self.nonsense = self.nonsense if nonsense is None else nonsense
        self.endless = self.endless if endless is None else endless

    def _record(self, request: Request, step: Step) -> None:
        id, key = (request.headers.get(name, b"").decode() for name in (b"req-id", b"idempotency-key"))
        at = time.monotonic() - self._origin
        deadline = request.headers.get(b"req-deadline", b"").decode() if step == "taken" else ""
        self._on_event(
            Ran(
                at=at,
                engine=self.name,
                life=self.life,
                id=id,
                key=key,
                step=step,
                deadline=float(deadline or 0),
            )
        )

    def _respond(self, raw: bytes, respond: Respond) -> None:
        """Write an answer, altered by the faults that are on."""
        if self.nonsense:
            respond(b"no answer" + raw)
        elif self.endless:
            respond(raw[:-1])
        else:
            respond(raw)
            if self.twice:
                asyncio.get_running_loop().call_later(SECOND_ANSWER_DELAY, respond, raw)

    def _handle(self, request: Request, respond: Respond) -> None:
        if request.path == b"/alive":
            if not self.silent:
                respond(response(503 if self.draining else 200))
            return
        if request.headers.get(b"req-kind") not in self._work or not request.headers.get(b"req-id"):
            respond(response(404))
            return
        self._record(request, "taken")
        if self.silent:
            return
        if self.draining or (self.busy >= self._slots and len(self._waiting) >= self._max_queue):
            self.declined += 1
            self._record(request, "declined")
            respond(DECLINED)
        elif self.busy < self._slots:
            self._begin(request, respond)
        else:
            self._waiting.append((request, respond))

    @property
    def speed(self) -> float:
        """The current speed relative to that of a warm engine."""
        remaining = self._warm_at - time.monotonic()
        if remaining <= 0:
            return 1.0
        return 1.0 - (1.0 - self._cold.share) * remaining / self._cold.seconds

    def _begin(self, request: Request, respond: Respond) -> None:
        self._record(request, "begun")
        self._number += 1
        self._running[self._number] = request
        service_time = self._work[request.headers[b"req-kind"]].draw(self._rng) * self.slower / self.speed
        asyncio.get_running_loop().call_later(service_time, self._done, self._number, respond, self.life)

    def _done(self, number: int, respond: Respond, life: int) -> None:
        if life != self.life:
            return
        request = self._running.pop(number)
        if self.failing:
            self._record(request, "error")
            respond(response(500))
        else:
            self.served += 1
            self._record(request, "done")
            self._respond(response(200, self.name.encode() + b" " + request.headers[b"req-id"]), respond)
        if self._waiting:
            self._begin(*self._waiting.popleft())

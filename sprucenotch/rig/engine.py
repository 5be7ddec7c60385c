"""A quote engine: slots that work, a queue before them, and the troubles that a day may bring."""

from __future__ import annotations

import asyncio
import math
import random
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from sprucenotch.rig.http import Answer, Call, Server, response

DECLINED = response(503, b"", b"Srv-Declined: 1")


class Work(NamedTuple):
    """What a request of a class takes: seconds of a slot, lognormal with this coefficient of variation."""

    mean: float
    spread: float = 0.0

    def draw(self, rng: random.Random) -> float:
        if not self.spread:
            return self.mean
        sigma = math.sqrt(math.log1p(self.spread**2))
        return self.mean * rng.lognormvariate(-sigma * sigma / 2, sigma)


class Engine:
    """Serves `slots` requests at a time and holds `queue` more; what is beyond is declined unrun.

    `slower` stretches the work to come, `failing` answers 500 after it, `draining` declines what is new.
    """

    def __init__(
        self, name: str, zone: str, work: Mapping[bytes, Work], slots: int, queue: int, seed: int
    ) -> None:
        self.name, self.zone = name, zone
        self._work, self._slots, self._most = work, slots, queue
        self._rng = random.Random(seed)
        self._waiting: deque[tuple[Call, Answer]] = deque()
        self.busy = 0
        self.up = False
        self.slower = 1.0
        self.failing = self.draining = False
        self.served = self.declined = 0
        self._life = 0  # work begun before a death ends nowhere
        self.server = Server(self._called)

    @property
    def held(self) -> int:
        return self.busy + len(self._waiting)

    async def start(self) -> None:
        await self.server.start()
        self.up = True

    def die(self) -> None:
        """What is under way is lost, with its connections."""
        self.up = False
        self._life += 1
        self.busy = 0
        self._waiting.clear()
        self.server.stop()

    def _called(self, call: Call, answer: Answer) -> None:
        if call.path == b"/alive":
            answer(response(503 if self.draining else 200))
        elif call.headers.get(b"req-kind") not in self._work or not call.headers.get(b"req-id"):
            answer(response(404))
        elif self.draining or (self.busy >= self._slots and len(self._waiting) >= self._most):
            self.declined += 1
            answer(DECLINED)
        elif self.busy < self._slots:
            self._begin(call, answer)
        else:
            self._waiting.append((call, answer))

    def _begin(self, call: Call, answer: Answer) -> None:
        self.busy += 1
        took = self._work[call.headers[b"req-kind"]].draw(self._rng) * self.slower
        asyncio.get_running_loop().call_later(took, self._done, call, answer, self._life)

    def _done(self, call: Call, answer: Answer, life: int) -> None:
        if life != self._life:
            return
        self.busy -= 1
        if self.failing:
            answer(response(500))
        else:
            self.served += 1
            answer(response(200, b"served by " + self.name.encode()))
        if self._waiting:
            self._begin(*self._waiting.popleft())

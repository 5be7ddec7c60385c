"""Clients that misbehave or behave unusually; checked where a sidecar must still answer or close."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Mapping
from typing import Literal, NamedTuple, TypeAlias

from sprucenotch.node.config import address
from sprucenotch.testbed.checker import history
from sprucenotch.testbed.client import Kind
from sprucenotch.testbed.load import kind
from sprucenotch.testbed.plan import Plan

Behaviour: TypeAlias = Literal["slow", "leaving", "stuck", "idle", "pipelined"]
PARTS, PART_PAUSE = 12, 0.1  # parts of a slowly written request, seconds between two of them
MAX_STAY = 0.06  # seconds; a leaving client waits a random time up to this
STALL_TIMEOUT = 4.0  # seconds; a sidecar must end the connection of a stalled request within 3
PIPELINED_REQUESTS = 4  # requests sent at once
READ_AFTER_DEADLINE = 0.5  # seconds to wait for an answer after its deadline
MAX_CLIENTS = 64  # concurrent clients of a fault


class Request(NamedTuple):
    """A request to send."""

    id: str
    raw: bytes
    kind: Kind


class MisbehavingClients:
    """The clients of one fault."""

    def __init__(
        self, plan: Plan, on_event: Callable[[history.Event], None], origin: float, seed: int
    ) -> None:
        self._kinds = [kind(one) for one in plan.classes if one.effect == "retryable"] or [
            kind(plan.classes[0])
        ]
        self._owner = plan.load.tenants[0].name if plan.load.tenants else ""
        self._on_event, self._origin = on_event, origin
        self._rng = random.Random(f"rough {seed} {id(self)}")
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle_writers: list[asyncio.StreamWriter] = []
        self._number = 0

    def _now(self) -> float:
        return time.monotonic() - self._origin

    async def run(
        self,
        how: Behaviour,
        dials: Mapping[str, str],
        per_second: float,
        lives: Callable[[], Mapping[str, int]],
    ) -> None:
        """Start clients at random times, `per_second` on average, until cancelled."""
        behave = {
            "slow": self._slow, "leaving": self._leaving, "stuck": self._stuck, "idle": self._idle,
            "pipelined": self._pipelined,
        }[how]  # fmt: skip
        while True:
            await asyncio.sleep(self._rng.expovariate(per_second))
            if len(self._tasks) >= MAX_CLIENTS:
                continue
            name = self._rng.choice(sorted(dials))
            task = asyncio.ensure_future(self._run_client(behave, name, dials[name], lives()[name]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for active clients, then close idle connections."""
        if self._tasks:
            await asyncio.wait(self._tasks)
        for writer in self._idle_writers:
            writer.transport.abort()

    async def _run_client(self, behave: Callable[..., object], name: str, dial: str, life: int) -> None:
        try:
            reader, writer = await asyncio.open_connection(*address(dial))
        except OSError:
            return  # not checked here: the regular clients detect a sidecar that does not accept
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await behave(name, life, reader, writer)  # type: ignore[misc]
        finally:
            if writer not in self._idle_writers:
                writer.transport.abort()

    def _request(self) -> Request:
        self._number += 1
        one, id_ = self._rng.choice(self._kinds), f"x{id(self) & 0xFFFFFF:x}-{self._number}"
        lines = [
            "GET /api HTTP/1.1", "Host: backend.local", f"Req-Id: {id_}", f"Req-Kind: {one.name}",
            f"Req-Deadline: {one.deadline:.3f}", *([f"Req-Owner: {self._owner}"] if self._owner else []),
        ]  # fmt: skip
        return Request(id_, "\r\n".join((*lines, "", "")).encode(), one)

    async def _slow(
        self, name: str, life: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Write a request in parts and wait for the answer."""
        request = self._request()
        raw = request.raw
        size = -(-len(raw) // PARTS)
        for start in range(0, len(raw), size):
            writer.write(raw[start : start + size])
            await writer.drain()
            if start + size < len(raw):
                await asyncio.sleep(PART_PAUSE)
        self._sent(request, name, life)
        await self._answer(request, reader)

    async def _pipelined(
        self, name: str, life: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        requests = [self._request() for _ in range(PIPELINED_REQUESTS)]
        writer.write(b"".join(request.raw for request in requests))
        await writer.drain()
        for request in requests:
            self._sent(request, name, life)
        for request in requests:
            await self._answer(request, reader)

    async def _leaving(
        self, name: str, life: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send a request, wait at random up to MAX_STAY, and close the connection without reading the answer.

        It is aborted, which drops unsent data, or closed after that is sent, at random. Neither requests a
        reset: as so short a request is usually sent by then, the sidecar sees an end of input from both. An
        answer that has already arrived is not read. Records Left, but no Sent.
        """
        request = self._request()
        writer.write(request.raw)
        await writer.drain()
        await asyncio.sleep(self._rng.uniform(0, MAX_STAY))
        writer.transport.abort() if self._rng.random() < 0.5 else writer.close()
        self._on_event(
            history.Left(at=self._now(), sidecar=name, life=life, id=request.id, cls=request.kind.name)
        )

    async def _stuck(
        self, name: str, life: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        raw = self._request().raw
        began = self._now()
        writer.write(raw[: len(raw) // 2])
        ended = True
        try:
            async with asyncio.timeout(STALL_TIMEOUT):
                while await reader.read(1000):
                    pass
        except TimeoutError:
            ended = False
        except OSError:
            pass
        self._on_event(history.Stuck(at=self._now(), sidecar=name, began=began, ended=ended))

    async def _idle(
        self, name: str, life: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._idle_writers.append(writer)

    def _sent(self, request: Request, name: str, life: int) -> None:
        now, id_ = self._now(), request.id
        self._on_event(
            history.Sent(
                at=now, id=id_, call=id_, cls=request.kind.name, owner=self._owner, sidecar=name, life=life,
                due=now, deadline=request.kind.deadline,
            )
        )  # fmt: skip

    async def _answer(self, request: Request, reader: asyncio.StreamReader) -> None:
        """Read an answer and record how it ended."""
        how: Literal["whole", "broke", "silent"] = "whole"
        status, body = 0, ""
        try:
            async with asyncio.timeout(request.kind.deadline + READ_AFTER_DEADLINE):
                head = await reader.readuntil(b"\r\n\r\n")
                length = next(
                    int(line.partition(b":")[2])
                    for line in head.lower().split(b"\r\n")
                    if line.startswith(b"content-length")
                )
                body = (await reader.readexactly(length)).decode("latin-1")
                status = int(head.split(b" ", 2)[1])
        except TimeoutError:
            how = "silent"
        except (OSError, asyncio.IncompleteReadError):
            how = "broke"
        self._on_event(history.Ended(at=self._now(), id=request.id, status=status, body=body, how=how))

"""One play of a planned stop: a real sidecar is told to end under clients that go on, is delayed now and
then, and is killed as early as the pages allow. Each request that it has taken must have its final answer by
then.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import tempfile
import time
from collections import Counter
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple

from msgspec import Struct

from sprucenotch.node.config import address
from sprucenotch.testbed import site as sites
from sprucenotch.testbed.play_fleet import configuration, listed
from sprucenotch.testbed.pressure.client import MAX_LATE, Finding
from sprucenotch.testbed.pressure.lives import kill_timeout
from sprucenotch.testbed.pressure.play import MAX_HELD_UP
from sprucenotch.testbed.pressure.request import (
    AnswerForm,
    RequestClass,
    RequestWriter,
    first_tenant,
    request_classes,
)
from sprucenotch.testbed.pressure.server import PressureServer
from sprucenotch.testbed.process import SidecarProcess, free_address
from sprucenotch.testbed.revision import Program
from sprucenotch.testbed.transfers.server import read_head

SECOND = 1_000_000_000
SERVERS, CLIENTS = 4, 48
WARM_UP = 0.8  # seconds of traffic before SIGTERM
LAST_CONNECT = 0.4  # seconds after SIGTERM for which new connections come
HANG = 60.0  # seconds of work at a server that hangs
MAX_PAUSE = 0.6  # seconds between an answer and the next request of a client that loops
LITTLE_TIME = 0.8  # seconds before SIGKILL
MAX_GAP = 1.9  # seconds between the first and the last byte of a request: a head may take 2 s
CROSSING = 0.1  # seconds before a close in which a request may cross it
DEADLINES = (0.3, 0.6, 1.0, 2.0, 4.0)  # seconds: the longest deadline of the settings


class Habit(StrEnum):
    """How a client of a play uses its connection."""

    RESTS = "rests"  # sends its first request some time after it has connected
    KEEPS = "keeps"  # one request before the stop, another one some time later
    LOOPS = "loops"  # one request after another, on new connections where one is closed
    PIECES = "pieces"  # a request in two pieces
    UPLOADS = "uploads"  # a request with a body that is written slowly
    PIPELINES = "pipelines"  # three requests at once


class Stop(Struct, frozen=True, kw_only=True):
    """What a play does."""

    seed: int
    site: Path
    longest_deadline: float  # seconds; those of the site are scaled to it
    hanging: float  # share of the requests whose server never answers
    hang_from: float  # seconds after SIGTERM; with fewer such requests fewer are refused unsent
    delays: tuple[tuple[float, float], ...]  # seconds after SIGTERM, and for how many the process is held up
    upgrade: bool  # another process takes over before

    @property
    def kill_after(self) -> float:
        """Seconds from SIGTERM to SIGKILL."""
        return kill_timeout(self.longest_deadline)


def draw(seed: int, site: Path) -> Stop:
    """Draw the play of that seed."""
    rng = random.Random(f"stop {seed}")
    longest = rng.choice(DEADLINES)
    end = kill_timeout(longest)
    at_signal = rng.choice((0.0, rng.random() * MAX_HELD_UP, MAX_HELD_UP))
    last_due = at_signal + end - 2 * MAX_HELD_UP - 0.1
    delays = [(0.0, at_signal)] if at_signal else []
    for at in sorted(rng.uniform(0.2, end) for _ in range(rng.randrange(3))):
        delays.append((at, rng.random() * MAX_HELD_UP))
    if rng.random() < 0.6:
        delays.append((last_due - rng.random() * MAX_HELD_UP, MAX_HELD_UP))
    apart: list[tuple[float, float]] = []
    for at, length in sorted(delays):  # one after another, with time to run between them
        if not apart or at > sum(apart[-1]) + MAX_HELD_UP:
            apart.append((at, length))
    return Stop(
        seed=seed, site=site, longest_deadline=longest, hanging=rng.choice((0.3, 1.0)),
        hang_from=rng.choice((0.0, rng.uniform(0.0, end))),
        delays=tuple(apart), upgrade=rng.random() < 0.25,
    )  # fmt: skip


class Sent(Struct, kw_only=True):
    """A request of a play, with times on the monotonic clock; 0 for what has not happened."""

    id: str
    deadline: float  # seconds
    first_byte_at: float
    last_byte_at: float = 0.0
    answered_at: float = 0.0
    status: int = 0
    ended_at: float = 0.0  # when its connection ended without an answer
    was_read: bool = False  # another one of the same write has been answered


class StopResult(Struct, frozen=True, kw_only=True):
    """What was seen."""

    findings: list[Finding]
    statuses: dict[int, int]
    unanswered: int  # requests that crossed a close
    ended_by_itself: bool


class Times(NamedTuple):
    """When the process was told to end and when it is killed, on the monotonic clock."""

    signalled_at: float
    killed_at: float


class StopClient:
    """One client. It notes what becomes of each of its requests in `sent`."""

    def __init__(self, dial: str, requests: RequestWriter, plan: Stop, sent: list[Sent]) -> None:
        self._address, self._requests, self._plan, self._sent = address(dial), requests, plan, sent
        self._rng = requests.rng
        self._signalled_at = 0.0

    def _form(self) -> AnswerForm:
        begun = time.monotonic() >= self._signalled_at + self._plan.hang_from
        hangs = begun and self._rng.random() < self._plan.hanging
        return AnswerForm(work=HANG if hangs else self._rng.choice((0.0, 0.02, 0.3)))

    def _request(self, form: AnswerForm, size: int = 0) -> tuple[Sent, bytes]:
        cls: RequestClass = self._requests.draw_class(with_body=size > 0)
        size = size if cls.method == "POST" else 0
        lines = (f"Content-Length: {size}",) if size else ()
        id = self._requests.next_id()
        request = Sent(id=id, deadline=cls.deadline, first_byte_at=0.0)
        return request, self._requests.head(cls, id, form, lines) + b"b" * size

    async def run(self, habit: Habit, times: Times) -> None:
        """Behave like this around the stop."""
        self._signalled_at = times.signalled_at
        connect_at = times.signalled_at + self._rng.uniform(-WARM_UP, LAST_CONNECT)
        if habit is Habit.KEEPS:
            connect_at = times.signalled_at - WARM_UP
        await until(connect_at)
        # Half of the requests come when little time is left.
        earliest = self._rng.choice((connect_at, times.killed_at - LITTLE_TIME))
        send_at = self._rng.uniform(max(connect_at, earliest), times.killed_at - 0.01)
        with contextlib.suppress(OSError):
            if habit is Habit.LOOPS:
                await self._loop(times)
                return
            reader, writer = await asyncio.open_connection(*self._address)
            try:
                if habit is Habit.KEEPS:
                    await self._ask(reader, writer, [self._request(AnswerForm())], [])
                await until(send_at)
                await self._send(habit, reader, writer)
            finally:
                writer.transport.abort()

    async def _send(self, habit: Habit, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        match habit:
            case Habit.PIECES:
                pauses = [self._rng.random() * MAX_GAP]
                await self._ask(reader, writer, [self._request(self._form())], pauses)
            case Habit.UPLOADS:
                size = self._rng.choice((3_000, 60_000, 200_000))
                pauses = [self._rng.random() * MAX_GAP / 10 for _ in range(10)]
                await self._ask(reader, writer, [self._request(self._form(), size)], pauses)
            case Habit.PIPELINES:
                await self._ask(reader, writer, [self._request(self._form()) for _ in range(3)], [])
            case _:
                await self._ask(reader, writer, [self._request(self._form())], [])

    async def _loop(self, times: Times) -> None:
        while time.monotonic() < times.killed_at:
            await asyncio.sleep(self._rng.random() * MAX_PAUSE)
            reader, writer = await asyncio.open_connection(*self._address)
            try:
                while time.monotonic() < times.killed_at:
                    if not await self._ask(reader, writer, [self._request(self._form())], []):
                        break
                    await asyncio.sleep(self._rng.random() * MAX_PAUSE)
            finally:
                writer.transport.abort()

    async def _ask(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        requests: list[tuple[Sent, bytes]],
        pauses: list[float],
    ) -> bool:
        """Send the requests together, in pieces with these pauses between them, and note their answers.
        False if the connection ends."""
        noted = [request for request, _ in requests]
        raw = b"".join(part for _, part in requests)
        answering = asyncio.ensure_future(self._answers(reader, noted))
        step = len(raw) // (len(pauses) + 1) + 1
        for request in noted:
            request.first_byte_at = time.monotonic()
        self._sent += noted
        for number, at in enumerate(range(0, len(raw), step)):
            if number:
                await asyncio.wait((answering,), timeout=pauses[number - 1])
            if answering.done() or writer.is_closing():
                return await answering
            if at + step >= len(raw):
                for request in noted:
                    request.last_byte_at = time.monotonic()
            writer.write(raw[at : at + step])
        return await answering

    async def _answers(self, reader: asyncio.StreamReader, noted: list[Sent]) -> bool:
        """Read the answers to these requests; False if the connection has ended before, or with the last."""
        closes = False
        for number, request in enumerate(noted):
            try:
                if closes:
                    raise ConnectionResetError("its end was announced")
                first, headers = await read_head(reader)
                await reader.readexactly(int(headers.get("content-length", "0")))
            except (OSError, asyncio.IncompleteReadError):
                for unanswered in noted[number:]:
                    unanswered.ended_at, unanswered.was_read = time.monotonic(), number > 0
                return False
            request.status, request.answered_at = int(first.split(" ")[1]), time.monotonic()
            closes = headers.get("connection") == "close"
        return not closes


async def until(due: float) -> None:
    """Wait until that time on the monotonic clock."""
    await asyncio.sleep(max(0.0, due - time.monotonic()))


async def play(plan: Stop, program: Program | None = None) -> StopResult:
    """Play. Raises ProcessError if the sidecar does not come up."""
    program = program or Program()
    settings, servers = scaled_settings(plan), [PressureServer() for _ in range(SERVERS)]
    async with listed(servers, settings["Azs"]) as discovery:
        configured = await configuration(discovery, plan.seed, settings)
        with tempfile.TemporaryDirectory(prefix="stop-") as folder:
            return await _run(plan, program, configured, servers, Path(folder))


def scaled_settings(plan: Stop) -> dict[str, Any]:
    """The settings of the site, with deadlines and aims scaled to the longest deadline of the play."""
    settings = sites.settings(sites.load(plan.site))
    scale = plan.longest_deadline * SECOND / max(c["HardLimitNs"] for c in settings["Categories"])
    for category in settings["Categories"]:
        for key in ("HardLimitNs", "AimNs"):
            category[key] = int(category[key] * scale)
    return settings


async def _run(
    plan: Stop,
    program: Program,
    configured: dict[str, Any],
    servers: list[PressureServer],
    folder: Path,
) -> StopResult:
    sent = list[Sent]()
    classes, tenant = request_classes(configured["settings"]), first_tenant(configured["settings"])
    with contextlib.ExitStack() as stack:
        process = stack.enter_context(
            SidecarProcess(configured, program.command, program.cwd, folder, "process-0")
        )
        await process.ready()
        if plan.upgrade:
            beside = {**configured, "mgmt": free_address()}
            successor = stack.enter_context(
                SidecarProcess(beside, program.command, program.cwd, folder, "process-1")
            )
            await successor.ready()
        signalled_at = time.monotonic() + WARM_UP
        times = Times(signalled_at, signalled_at + plan.kill_after)
        habits, running = list(Habit), list[asyncio.Task[None]]()
        for number in range(CLIENTS):
            rng = random.Random(f"client {number} {plan.seed}")
            writer = RequestWriter(f"client{number}", classes, tenant, rng)
            client = StopClient(process.listen, writer, plan, sent)
            running.append(asyncio.create_task(client.run(habits[number % len(habits)], times)))
        ended_by_itself = await _stop(process, plan, times)
        await asyncio.wait(running, timeout=plan.longest_deadline + MAX_GAP + MAX_LATE)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
    begun = Counter(begun.id for server in servers for begun in server.begun)
    findings = [finding for request in sent if (finding := judge(request, times, begun)) is not None]
    statuses = Counter(request.status for request in sent if request.status)
    unanswered = sum(not request.status for request in sent)
    return StopResult(
        findings=findings, statuses=dict(statuses), unanswered=unanswered, ended_by_itself=ended_by_itself
    )


async def _stop(process: SidecarProcess, plan: Stop, times: Times) -> bool:
    """Tell the process to end, delay it as planned, and kill it. Return whether it had ended by itself."""
    await until(times.signalled_at)
    delays = list(plan.delays)
    if not delays or delays[0][0] > 0:
        delays.insert(0, (0.0, 0.0))  # none at the signal
    for number, (at, length) in enumerate(delays):
        await until(times.signalled_at + at)
        if length:
            process.pause()
        if not number:
            process.signal(signal.SIGTERM)
        if length:
            await until(min(times.signalled_at + at + length, times.killed_at))
            if time.monotonic() < times.killed_at:
                process.resume()
    try:
        await process.wait(max(0.001, times.killed_at - time.monotonic()))
    except TimeoutError:
        process.kill()
        return False
    return True


def judge(request: Sent, times: Times, begun: Counter[str]) -> Finding | None:
    """Return what is wrong with the fate of a request, if anything is."""

    def found(rule: str, said: str) -> Finding:
        after = request.last_byte_at - times.signalled_at
        return Finding(rule, request.id, f"{said}; last byte {after:.3f} s after SIGTERM")

    if request.status:
        due = request.last_byte_at + request.deadline + MAX_LATE + 2 * MAX_HELD_UP
        if request.last_byte_at and request.answered_at > due:
            return found("late", f"{request.status} {request.answered_at - due:.2f} s late")
        return None
    if not request.last_byte_at:
        return None  # it never was whole
    if not request.ended_at:
        return found("lost", "neither an answer nor a close")
    if times.killed_at - 0.005 <= request.ended_at <= times.killed_at + 0.3:
        taken = request.last_byte_at < times.killed_at
        return found("lost", "unanswered at SIGKILL") if taken else None
    if request.was_read:
        return found("lost", "read together with one that was answered")
    if request.id in begun:
        return found("lost", "a server began it, and its connection ended without an answer")
    if request.ended_at - request.first_byte_at > CROSSING + MAX_HELD_UP:
        return found("lost", f"closed unanswered {request.ended_at - request.first_byte_at:.3f} s later")
    return None

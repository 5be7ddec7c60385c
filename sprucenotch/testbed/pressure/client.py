"""A client that behaves: one request after another on a kept connection, each judged by its final answer."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from sprucenotch.node.config import address
from sprucenotch.testbed.pressure.request import AnswerForm, RequestClass, RequestWriter, answer_body
from sprucenotch.testbed.transfers.server import read_chunk, read_head

MAX_LATE = 0.5  # seconds after its deadline by which the final answer must have come, or begun if it is long
MAX_GAP = 2.0  # seconds without a byte of a long answer beyond the pauses of its server
READ_SIZE = 65536  # bytes


def send(writer: asyncio.StreamWriter, data: bytes | bytearray) -> None:
    """Write without waiting. Raises ConnectionResetError if the sidecar has closed the connection."""
    if writer.is_closing():
        raise ConnectionResetError("the connection is closed")
    writer.write(data)


class Finding(NamedTuple):
    """A broken promise."""

    rule: str  # lost, late, cut off, unfinished at the kill, not as made, began after leaving, memory, ended
    id: str  # of the request; empty if it concerns the process
    said: str
    at: float = 0.0  # when a well-behaved client saw it, on the monotonic clock


class _Broken(Exception):
    """The request did not get its answer: the rule and what was seen."""

    def __init__(self, rule: str, said: str) -> None:
        super().__init__(rule, said)
        self.rule, self.said = rule, said


class SteadyClient:
    """One well-behaved client. `draw_form` draws the answers that it asks for."""

    def __init__(
        self,
        dial: str,
        requests: RequestWriter,
        draw_form: Callable[[], AnswerForm],
        lateness: Callable[[], float],
        pause: float = 0.1,
    ) -> None:
        self._address, self._requests, self._draw_form = address(dial), requests, draw_form
        self._lateness, self._pause = lateness, pause
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.statuses: Counter[int] = Counter()
        self.unanswered: list[str] = []  # ids whose connection ended without an answer
        self.times: list[float] = []  # seconds to the final answer
        self.findings: list[Finding] = []

    async def run(self, until: float) -> None:
        """Send requests until that time on the monotonic clock."""
        while time.monotonic() < until:
            form = self._draw_form()
            cls, id = self._requests.draw_class(), self._requests.next_id()
            try:
                await self._request(cls, id, form)
            except _Broken as problem:
                said = f"{cls.name}, {form}: {problem.said}"
                self.findings.append(Finding(problem.rule, id, said, time.monotonic()))
                self._close()
            await asyncio.sleep(self._requests.rng.random() * 2 * self._pause)
        self._close()

    def _close(self) -> None:
        if self._stream is not None:
            self._stream[1].transport.abort()
        self._stream = None

    async def _request(self, cls: RequestClass, id: str, form: AnswerForm) -> None:
        head = self._requests.head(cls, id, form)
        for fresh in (False, True):  # a request that crosses the close of an idle connection is sent again
            if fresh:
                self._close()
            kept = self._stream is not None
            try:
                answered = await self._exchange(head, cls, id, form)
            except _Broken:  # judged by itself
                self._forget_crossing(id)
                raise
            if answered:
                self._forget_crossing(id)
                return
            if not kept:
                break
        self._close()

    def _forget_crossing(self, id: str) -> None:
        """A request that crossed the close of an idle connection has had an answer on another one."""
        self.unanswered = [one for one in self.unanswered if one != id]

    async def _exchange(self, head: bytes, cls: RequestClass, id: str, form: AnswerForm) -> bool:
        """Send a request and judge its answer; False if its connection ended without a byte of an answer."""
        try:
            if self._stream is None:
                self._stream = await asyncio.open_connection(*self._address)
            reader, writer = self._stream
            send(writer, head)
        except OSError:
            return False
        sent_at, late_before = time.monotonic(), self._lateness()
        due = cls.deadline + MAX_LATE
        try:
            async with asyncio.timeout(due + 5):
                first, headers = await read_head(reader)
        except TimeoutError:
            raise _Broken("late", f"no answer {due + 5:.1f} s after the request") from None
        except (OSError, asyncio.IncompleteReadError):
            self.unanswered.append(id)
            return False
        status = int(first.split(" ")[1])
        self.statuses[status] += 1
        if not (status == 200 and form.streamed):
            await self._read_body(reader, headers, status, id, form)
        took = time.monotonic() - sent_at
        self.times.append(took)
        if took > due + self._lateness() - late_before:
            raise _Broken("late", f"{status} after {took:.2f} s, deadline {cls.deadline} s")
        if status == 200 and form.streamed:
            await self._read_body(reader, headers, status, id, form)
        elif status in (502, 504) and form.streamed:
            raise _Broken("cut off", f"{status} after {took:.2f} s from a sound server")
        if headers.get("connection") == "close":
            self._close()
        return True

    async def _read_body(
        self, reader: asyncio.StreamReader, headers: dict[str, str], status: int, id: str, form: AnswerForm
    ) -> None:
        body = bytearray()
        gap = MAX_GAP + form.body_delay + form.pause
        try:
            if headers.get("transfer-encoding") == "chunked":
                while piece := await asyncio.wait_for(read_chunk(reader), gap):
                    body += piece
            else:
                left = int(headers["content-length"])
                while left:
                    piece = await asyncio.wait_for(reader.read(min(left, READ_SIZE)), gap)
                    if not piece:
                        raise ConnectionResetError("end of input")
                    left -= len(piece)
                    body += piece
        except TimeoutError:
            raise _Broken("cut off", f"held back after {len(body)} of {form.size} bytes") from None
        except (OSError, ValueError, asyncio.IncompleteReadError) as problem:
            raise _Broken("cut off", f"after {len(body)} of {form.size} bytes: {problem}") from None
        if status == 200 and bytes(body) != answer_body(id, form.size):
            raise _Broken("not as made", f"{len(body)} bytes for {form.size}")

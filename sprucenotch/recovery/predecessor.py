"""What the process before has to hand over: by its folder, else by a call to its management listener.

It may be busy, hung, paused, killed, of an earlier version or not there at all: a start never waits for it
for long, and takes nothing that it cannot verify.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeVar

from sprucenotch.node.config import Address
from sprucenotch.node.connection import UNREADABLE, Answer, Connection
from sprucenotch.node.transport import connect
from sprucenotch.recovery.memory import Kept, decode
from sprucenotch.seams.disk import Disk
from sprucenotch.seams.system_errors import retried
from sprucenotch.store.reading import Owner, Schema, read

PATH = "/api/handover"
CALL_WITHIN = 0.25  # seconds for all of the call
READ_WITHIN = 0.5  # for a disk that may hang
BODY_MOST = 1 << 20
# A compaction under way removes files between their names and their bytes, and a read may fail for a moment.
READS = 6
READ_PAUSE = 0.02  # seconds after one that failed
T = TypeVar("T")


class Told(NamedTuple):
    records: Sequence[Kept]
    why_not: Sequence[str] = ()  # what was not taken


async def by_folder(disk: Disk, owner: Owner, schema: Schema[Kept], now: int) -> Told:
    """What is kept there, also while the process before still writes. Changes nothing."""

    def look() -> Told:
        told = Told(())
        for number in range(READS):
            try:
                found = read(disk, owner, schema, now, future=None)  # each record tells its own moment
            except OSError:
                if number == READS - 1:
                    raise
                time.sleep(READ_PAUSE)
                continue
            told = Told(found.records, [str(refusal) for refusal in found.refused])
            if not any(refusal.reason in ("not readable", "hole") for refusal in found.refused):
                break
        return told

    try:
        async with asyncio.timeout(READ_WITHIN):
            return await in_thread(look)
    except TimeoutError:
        return Told((), ("the disk does not answer",))
    except OSError as problem:
        return Told((), (problem.strerror or str(problem),))


def in_thread(work: Callable[[], T]) -> asyncio.Future[T]:
    """Have it done by a thread of its own, which nobody waits for at the end."""
    loop = asyncio.get_running_loop()
    done: asyncio.Future[T] = loop.create_future()

    def settle(outcome: T | None, problem: BaseException | None) -> None:
        if done.done():
            return
        if problem is not None:
            done.set_exception(problem)
        else:
            done.set_result(outcome)  # type: ignore[arg-type]

    def do() -> None:
        try:
            outcome, problem = work(), None
        except BaseException as failure:
            outcome, problem = None, failure
        with contextlib.suppress(RuntimeError):  # the loop is gone: nobody wants it any more
            loop.call_soon_threadsafe(settle, outcome, problem)

    threading.Thread(target=do, daemon=True).start()
    return done


async def by_call(address: Address) -> Told:
    """What it answers to a call."""
    try:
        async with asyncio.timeout(CALL_WITHIN):
            answer = await _call(address)
    except TimeoutError:
        return Told((), ("no answer",))
    except OSError as problem:
        return Told((), (str(problem) or type(problem).__name__,))
    if answer is None:
        return Told((), ("no answer",))
    if answer is UNREADABLE:
        return Told((), (f"no HTTP answer of up to {BODY_MOST} bytes",))
    if answer.status != 200:
        return Told((), (f"status {answer.status}",))
    try:
        return Told((decode(answer.body),))
    except ValueError as problem:
        return Told((), (f"malformed: {problem}",))


async def _call(address: Address) -> Answer | None:
    connection = Connection()
    connection.body_most = BODY_MOST
    await retried(lambda: connect(connection, address), CALL_WITHIN)
    try:
        return await connection.ask(
            f"GET {PATH} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n\r\n".encode()
        )
    finally:
        connection.close()

"""Reads the state of the previous process (predecessor): from its folder, or by a call to it.

The predecessor may be busy, hung, paused, killed, of an earlier version or absent. All waits are therefore
short, and everything that is read is verified.
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
from sprucenotch.platform.disk import Disk
from sprucenotch.platform.system_errors import retry_local_failures
from sprucenotch.recovery.records import StateRecord, decode
from sprucenotch.store.reader import Owner, Schema, read

PATH = "/api/handover"
CALL_TIMEOUT = 0.25  # seconds for the whole call
READ_TIMEOUT = 0.5  # seconds; the disk may hang
MAX_BODY_BYTES = 1 << 20
# A running compaction may remove files between listing and reading them, and a read may fail temporarily.
MAX_READS = 6
READ_PAUSE = 0.02  # seconds after a failed read
T = TypeVar("T")


class HandoverResult(NamedTuple):
    """What was read from the predecessor."""

    records: Sequence[StateRecord]
    problems: Sequence[str] = ()  # why something was not read


async def read_folder(disk: Disk, owner: Owner, schema: Schema[StateRecord], now: int) -> HandoverResult:
    """Read the records in the folder, without changes to it. The predecessor may still be writing there."""

    def read_records() -> HandoverResult:
        result = HandoverResult(())
        for number in range(MAX_READS):
            try:
                found = read(disk, owner, schema, now, future=None)  # each record has its own time
            except OSError:
                if number == MAX_READS - 1:
                    raise
                time.sleep(READ_PAUSE)
                continue
            result = HandoverResult(found.records, [str(refusal) for refusal in found.refused])
            if not any(refusal.reason in ("not readable", "hole") for refusal in found.refused):
                break
        return result

    try:
        async with asyncio.timeout(READ_TIMEOUT):
            return await run_in_thread(read_records)
    except TimeoutError:
        return HandoverResult((), ("the disk does not answer",))
    except OSError as problem:
        return HandoverResult((), (problem.strerror or str(problem),))


def run_in_thread(work: Callable[[], T]) -> asyncio.Future[T]:
    """Run `work` in a new daemon thread, which may outlive the program's shutdown."""
    loop = asyncio.get_running_loop()
    done: asyncio.Future[T] = loop.create_future()

    def settle(outcome: T | None, problem: BaseException | None) -> None:
        if done.done():
            return
        if problem is not None:
            done.set_exception(problem)
        else:
            done.set_result(outcome)  # type: ignore[arg-type]

    def run() -> None:
        try:
            outcome, problem = work(), None
        except BaseException as failure:
            outcome, problem = None, failure
        with contextlib.suppress(RuntimeError):  # the loop is closed, the result is not needed
            loop.call_soon_threadsafe(settle, outcome, problem)

    threading.Thread(target=run, daemon=True).start()
    return done


async def call_predecessor(address: Address) -> HandoverResult:
    """Request the state from the predecessor's management listener."""
    try:
        async with asyncio.timeout(CALL_TIMEOUT):
            answer = await _call(address)
    except TimeoutError:
        return HandoverResult((), ("no answer",))
    except OSError as problem:
        return HandoverResult((), (str(problem) or type(problem).__name__,))
    if answer is None:
        return HandoverResult((), ("no answer",))
    if answer is UNREADABLE:
        return HandoverResult((), (f"no HTTP answer of up to {MAX_BODY_BYTES} bytes",))
    if answer.status != 200:
        return HandoverResult((), (f"status {answer.status}",))
    try:
        return HandoverResult((decode(answer.body),))
    except ValueError as problem:
        return HandoverResult((), (f"malformed: {problem}",))


async def _call(address: Address) -> Answer | None:
    connection = Connection()
    connection.max_body_size = MAX_BODY_BYTES
    await retry_local_failures(lambda: connect(connection, address), CALL_TIMEOUT)
    try:
        return await connection.ask(
            f"GET {PATH} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n\r\n".encode()
        )
    finally:
        connection.close()

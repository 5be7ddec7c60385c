"""Counts requests lost when system calls fail, for each documented error or for pairs of calls, in each
state of the program.

    python benchmarks/failing_calls.py                # one kind of call at a time
    python benchmarks/failing_calls.py --pairs        # two kinds of calls at a time

It runs real processes with the fault injection library; one of `--every` calls fails. Each cell of the table
shows how many requests got no complete answer with status 200, or `died` if the process ended. The errors
are those documented in accept(2), connect(2), epoll_ctl(2), recv(2), send(2), socket(2), shutdown(2) and
the POSIX pages of the same names.
"""

from __future__ import annotations

import argparse
import asyncio
import errno
import itertools
import signal
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import uvloop

from sprucenotch.testbed.syscalls import Call, Rule
from tests.failing_calls import Program, mixed_load_failures, program, sized_answer_sidecar
from tests.sidecar import Client, Seen, always_ok, dead_dial, endpoint, nothing_new, ok, request
from tests.test_program import connected

FAILURES: dict[Call, tuple[str, ...]] = {
    Call.READ: ("ENOBUFS", "ENOMEM", "EINTR", "EAGAIN"),
    Call.WRITE: ("ENOBUFS", "ENOMEM", "EINTR", "EAGAIN"),
    Call.ACCEPT: ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED", "EPROTO", "EPERM", "EINTR"),
    Call.SOCKET: ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    Call.CONNECT: ("ENOBUFS", "EADDRNOTAVAIL", "ENETUNREACH", "EAGAIN", "EINTR"),
    Call.SHUTDOWN: ("ENOBUFS",),
    Call.EPOLL_CTL: ("ENOMEM", "ENOSPC"),
}
REQUESTS = 20  # of a cell, in flight when the process is stopped
READY = b"GET /api/ready HTTP/1.1\r\n\r\n"
INTERVAL = 0.02  # seconds between two new connections, or two reloads
RUN_TIMEOUT = 40.0  # seconds

Count = tuple[int, int]  # requests without a complete answer, and all requests


class Died(Exception):
    """The program ended unexpectedly."""


def apply_rules(sidecar: Program, rules: Sequence[Rule]) -> None:
    for rule in rules:
        sidecar.control.fail(rule)


async def is_answered(client: Client) -> bool:
    try:
        return (await client.answer())[0] == 200
    except (ConnectionError, asyncio.IncompleteReadError):
        return False


async def ask_on_new_connection(listen: str) -> bool:
    """Send a request on a new connection; whether it was answered with status 200."""
    try:
        return (await (await connected(listen)).ask(request()))[0] == 200
    except (ConnectionError, asyncio.IncompleteReadError):
        return False


async def at_start(folder: Path, rules: Sequence[Rule]) -> Count:
    """The rules apply from the first call on; requests are sent once it is ready."""
    async with (
        endpoint(always_ok) as served,
        endpoint(nothing_new) as discovery,
        program(folder, served.dial, *rules, discovery=discovery.dial) as sidecar,
    ):
        await sidecar.ready()
        done = await asyncio.gather(
            *(ask_on_new_connection(sidecar.configuration["listen"]) for _ in range(REQUESTS))
        )
        check_alive(sidecar)
        return done.count(False), REQUESTS


async def while_serving(folder: Path, rules: Sequence[Rule]) -> Count:
    """The rules apply while it serves a mixed load."""
    async with sized_answer_sidecar(folder) as sidecar:
        apply_rules(sidecar, rules)
        failed = await mixed_load_failures(sidecar, idle_may_close=True)
        check_alive(sidecar)
        return len(failed), REQUESTS


async def while_reloading(folder: Path, rules: Sequence[Rule]) -> Count:
    """The rules apply while it serves a mixed load and reloads its configuration every 20 ms."""
    async with sized_answer_sidecar(folder) as sidecar:
        apply_rules(sidecar, rules)

        async def reload() -> None:
            while True:
                sidecar.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(INTERVAL)

        reloading = asyncio.ensure_future(reload())
        try:
            failed = await mixed_load_failures(sidecar, idle_may_close=True)
        finally:
            reloading.cancel()
        check_alive(sidecar)
        return len(failed), REQUESTS


async def while_draining(folder: Path, rules: Sequence[Rule]) -> Count:
    """Requests are in flight at SIGTERM, and others arrive on new connections right after it."""
    go_on = asyncio.Event()

    async def answer_later(seen: Seen) -> bytes:
        await go_on.wait()
        return ok(bytes(200_000))

    async with (
        endpoint(answer_later) as served,
        endpoint(nothing_new) as discovery,
        program(folder, served.dial, discovery=discovery.dial) as sidecar,
    ):
        await sidecar.ready()
        clients = [await sidecar.client() for _ in range(REQUESTS)]
        for client in clients:
            client.writer.write(request())
        while len(served.seen) < REQUESTS:
            await asyncio.sleep(0.001)
        apply_rules(sidecar, rules)
        sidecar.process.terminate()
        later = [
            asyncio.ensure_future(ask_on_new_connection(sidecar.configuration["listen"])) for _ in range(5)
        ]
        await asyncio.sleep(0.1)
        go_on.set()
        done = await asyncio.gather(*map(is_answered, clients), *later)
        ended = await sidecar.process.wait()
        if ended:
            raise Died
        return done.count(False), len(done)


async def while_handing_over(folder: Path, rules: Sequence[Rule]) -> Count:
    """A successor at the same address takes over, with a new connection every 20 ms."""
    first, second = folder / "first", folder / "second"
    first.mkdir()
    second.mkdir()
    listen, management = dead_dial(), dead_dial()
    done: list[asyncio.Future[bool]] = []

    async def load() -> None:
        while True:
            done.append(asyncio.ensure_future(ask_on_new_connection(listen)))
            await asyncio.sleep(INTERVAL)

    async with (
        endpoint(always_ok) as served,
        endpoint(nothing_new) as discovery,
        program(
            first, served.dial, discovery=discovery.dial, listen=listen, mgmt=management,
            state={"dir": str(first)},
        ) as before,
    ):  # fmt: skip
        await before.ready()
        apply_rules(before, rules)
        loading = asyncio.ensure_future(load())
        state = {"predecessor": management}
        try:
            async with program(
                second, served.dial, *rules, discovery=discovery.dial, listen=listen, mgmt=dead_dial(),
                state=state,
            ) as successor:  # fmt: skip
                await (await connected(str(successor.configuration["mgmt"]))).ask(READY)
                await asyncio.sleep(0.5)
                before.process.terminate()
                ended = await before.process.wait()
                await asyncio.sleep(0.2)
                loading.cancel()
                results = await asyncio.gather(*done)
                check_alive(successor)
                if ended:
                    raise Died
                return results.count(False), len(results)
        finally:
            loading.cancel()
            for request_task in done:
                request_task.cancel()


def check_alive(sidecar: Program) -> None:
    """Raises Died if the process has ended."""
    if sidecar.process.returncode is not None:
        raise Died


STATES: dict[str, Callable[[Path, Sequence[Rule]], Awaitable[Count]]] = {
    "start": at_start,
    "serving": while_serving,
    "reload": while_reloading,
    "drain": while_draining,
    "hand-over": while_handing_over,
}


async def cell(state: str, rules: Sequence[Rule]) -> str:
    """Measure one cell of the table."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            failed, total = await asyncio.wait_for(STATES[state](Path(folder), rules), RUN_TIMEOUT)
        except Died:
            return "died"
        except (TimeoutError, OSError, asyncio.IncompleteReadError, AssertionError) as problem:
            return type(problem).__name__
        return f"{failed} of {total}"


async def table(rows: Sequence[Sequence[Rule]], jobs: int) -> None:
    semaphore = asyncio.Semaphore(jobs)

    async def row(rules: Sequence[Rule]) -> str:
        async with semaphore:
            cells = [await cell(state, rules) for state in STATES]
        return f"| {', '.join(map(str, rules))} | {' | '.join(cells)} |"

    print(f"| calls that fail | {' | '.join(STATES)} |", flush=True)
    print(f"| --- |{' --- |' * len(STATES)}", flush=True)
    for done in [asyncio.ensure_future(row(rules)) for rules in rows]:
        print(await done, flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--pairs", action="store_true", help="two kinds of calls at a time, with the first error of each"
    )
    parser.add_argument("--every", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    if options.pairs:
        first_errors = [
            Rule(call, getattr(errno, names[0]), options.every) for call, names in FAILURES.items()
        ]
        rows: list[Sequence[Rule]] = list(itertools.combinations(first_errors, 2))
    else:
        rows = [
            (Rule(call, getattr(errno, name), options.every),)
            for call, names in FAILURES.items()
            for name in names
        ]
    uvloop.run(table(rows, options.jobs))


if __name__ == "__main__":
    main()

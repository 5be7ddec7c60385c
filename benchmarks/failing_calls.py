"""Requests lost where system calls fail: each documented failure, and pairs of them, by what the program
does meanwhile.

    python benchmarks/failing_calls.py                # each alone
    python benchmarks/failing_calls.py --pairs        # two kinds of calls at once

Real processes with the library of failing calls; one of `--every` calls fails. Each cell tells how many of
its requests got no whole answer with status 200, and `died` where the process ended. Sources of the errors:
accept(2), connect(2), epoll_ctl(2), recv(2), send(2), socket(2), shutdown(2) and the POSIX pages of the same
names.
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

from sprucenotch.rig.syscalls import Call, Rule
from tests.failing_calls import Program, failures_of_a_mixed_load, program, serving_sizes
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
HELD = 20  # requests under way as a process is told to stop
READY = b"GET /api/ready HTTP/1.1\r\n\r\n"
NEW_EACH = 0.02  # seconds between two new connections while one process hands over to the next
RUN_TIMEOUT = 40.0  # seconds

Count = tuple[int, int]  # requests without a whole answer, and all


class Died(Exception):
    """The program ended."""


def in_force(sidecar: Program, rules: Sequence[Rule]) -> None:
    for rule in rules:
        sidecar.control.fail(rule)


async def answered(client: Client) -> bool:
    try:
        return (await client.answer())[0] == 200
    except (ConnectionError, asyncio.IncompleteReadError):
        return False


async def asked_anew(listen: str) -> bool:
    """A request on a connection of its own."""
    try:
        return (await (await connected(listen)).ask(request()))[0] == 200
    except (ConnectionError, asyncio.IncompleteReadError):
        return False


async def at_start(folder: Path, rules: Sequence[Rule]) -> Count:
    """In force from the first call on: a client each 20 ms from when it is ready."""
    async with (
        endpoint(always_ok) as served,
        endpoint(nothing_new) as discovery,
        program(folder, served.dial, *rules, discovery=discovery.dial) as sidecar,
    ):
        await sidecar.ready()
        done = await asyncio.gather(*(asked_anew(sidecar.told["listen"]) for _ in range(HELD)))
        alive(sidecar)
        return done.count(False), HELD


async def while_serving(folder: Path, rules: Sequence[Rule]) -> Count:
    async with serving_sizes(folder) as sidecar:
        in_force(sidecar, rules)
        failed = await failures_of_a_mixed_load(sidecar, idle_may_close=True)
        alive(sidecar)
        return len(failed), HELD


async def while_reloading(folder: Path, rules: Sequence[Rule]) -> Count:
    async with serving_sizes(folder) as sidecar:
        in_force(sidecar, rules)

        async def reload() -> None:
            while True:
                sidecar.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(NEW_EACH)

        reloading = asyncio.ensure_future(reload())
        try:
            failed = await failures_of_a_mixed_load(sidecar, idle_may_close=True)
        finally:
            reloading.cancel()
        alive(sidecar)
        return len(failed), HELD


async def while_draining(folder: Path, rules: Sequence[Rule]) -> Count:
    """Requests are under way at SIGTERM, and others come on new connections right after it."""
    go_on = asyncio.Event()

    async def held(seen: Seen) -> bytes:
        await go_on.wait()
        return ok(bytes(200_000))

    async with (
        endpoint(held) as served,
        endpoint(nothing_new) as discovery,
        program(folder, served.dial, discovery=discovery.dial) as sidecar,
    ):
        await sidecar.ready()
        clients = [await sidecar.client() for _ in range(HELD)]
        for client in clients:
            client.writer.write(request())
        while len(served.seen) < HELD:
            await asyncio.sleep(0.001)
        in_force(sidecar, rules)
        sidecar.process.terminate()
        later = [asyncio.ensure_future(asked_anew(sidecar.told["listen"])) for _ in range(5)]
        await asyncio.sleep(0.1)
        go_on.set()
        done = await asyncio.gather(*map(answered, clients), *later)
        ended = await sidecar.process.wait()
        if ended:
            raise Died
        return done.count(False), len(done)


async def while_handing_over(folder: Path, rules: Sequence[Rule]) -> Count:
    """A successor at the same address takes over; a new connection each 20 ms."""
    first, second = folder / "first", folder / "second"
    first.mkdir()
    second.mkdir()
    listen, management = dead_dial(), dead_dial()
    done: list[asyncio.Future[bool]] = []

    async def load() -> None:
        while True:
            done.append(asyncio.ensure_future(asked_anew(listen)))
            await asyncio.sleep(NEW_EACH)

    async with (
        endpoint(always_ok) as served,
        endpoint(nothing_new) as discovery,
        program(
            first, served.dial, discovery=discovery.dial, listen=listen, mgmt=management,
            state={"dir": str(first)},
        ) as before,
    ):  # fmt: skip
        await before.ready()
        in_force(before, rules)
        loading = asyncio.ensure_future(load())
        state = {"predecessor": management}
        try:
            async with program(
                second, served.dial, *rules, discovery=discovery.dial, listen=listen, mgmt=dead_dial(),
                state=state,
            ) as successor:  # fmt: skip
                await (await connected(str(successor.told["mgmt"]))).ask(READY)
                await asyncio.sleep(0.5)
                before.process.terminate()
                ended = await before.process.wait()
                await asyncio.sleep(0.2)
                loading.cancel()
                results = await asyncio.gather(*done)
                alive(successor)
                if ended:
                    raise Died
                return results.count(False), len(results)
        finally:
            loading.cancel()
            for one in done:
                one.cancel()


def alive(sidecar: Program) -> None:
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
    with tempfile.TemporaryDirectory() as folder:
        try:
            failed, all_of_them = await asyncio.wait_for(STATES[state](Path(folder), rules), RUN_TIMEOUT)
        except Died:
            return "died"
        except (TimeoutError, OSError, asyncio.IncompleteReadError, AssertionError) as problem:
            return type(problem).__name__
        return f"{failed} of {all_of_them}"


async def table(rows: Sequence[Sequence[Rule]], jobs: int) -> None:
    gate = asyncio.Semaphore(jobs)

    async def row(rules: Sequence[Rule]) -> str:
        async with gate:
            cells = [await cell(state, rules) for state in STATES]
        return f"| {', '.join(map(str, rules))} | {' | '.join(cells)} |"

    print(f"| calls that fail | {' | '.join(STATES)} |", flush=True)
    print(f"| --- |{' --- |' * len(STATES)}", flush=True)
    for done in [asyncio.ensure_future(row(rules)) for rules in rows]:
        print(await done, flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--pairs", action="store_true", help="two kinds at once, by the first error of each")
    parser.add_argument("--every", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=4)
    told = parser.parse_args()
    if told.pairs:
        firsts = [Rule(call, getattr(errno, names[0]), told.every) for call, names in FAILURES.items()]
        rows: list[Sequence[Rule]] = list(itertools.combinations(firsts, 2))
    else:
        rows = [
            (Rule(call, getattr(errno, name), told.every),)
            for call, names in FAILURES.items()
            for name in names
        ]
    uvloop.run(table(rows, told.jobs))


if __name__ == "__main__":
    main()

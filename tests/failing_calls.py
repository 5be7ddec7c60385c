"""Shared by the tests: the program as a process whose system calls fail by rules."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
from collections.abc import AsyncIterator, Iterator
from pathlib import Path
from typing import Any

import pytest

from sprucenotch.rig import syscalls
from sprucenotch.rig.syscalls import Control
from tests.sidecar import Client, Seen, configuration, dead_dial, endpoint, nothing_new, ok, request
from tests.test_program import COMMAND, ROOT, connected

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
LONG_ANSWER = 1_500_000  # bytes
LONG_UPLOAD = bytes(60_000)
CLIENTS_OF_A_KIND = 5
REQUESTS_OF_A_CLIENT = 3
needs_compiler = pytest.mark.skipif(
    syscalls.compiler() is None, reason="failing system calls need a C compiler, and this machine has none"
)


class Program:
    """A running sidecar, its configuration, and what makes its system calls fail."""

    def __init__(
        self, process: asyncio.subprocess.Process, told: dict[str, Any], control: Control, file: Path
    ) -> None:
        self.process, self.told, self.control, self.file = process, told, control, file

    async def client(self) -> Client:
        return await connected(self.told["listen"])

    async def ready(self) -> None:
        """Wait until it takes clients."""
        assert (await (await self.client()).ask(UP))[0] == 200


@contextlib.contextmanager
def held(dial: str) -> Iterator[None]:
    """Keep an address for the processes of this test, bound and never listening: nobody else's gets it."""
    host, _, port = dial.rpartition(":")
    with socket.socket() as holder:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        holder.bind((host, int(port)))
        yield


@contextlib.asynccontextmanager
async def program(
    folder: Path, dial: str, *rules: syscalls.Rule, wall_offset: int = 0, **changes: Any
) -> AsyncIterator[Program]:
    """Start the program with these rules in force from its first system call on."""
    told = configuration(dial, **({"listen": dead_dial()} | changes))
    addresses = [told[name] for name in ("listen", "mgmt") if told.get(name)]
    with contextlib.ExitStack() as stack:
        for dial_of_its_own in addresses:
            stack.enter_context(held(dial_of_its_own))
        file = folder / "config.json"
        file.write_text(json.dumps(told))
        control = Control(syscalls.build(folder), folder / "calls")
        for rule in rules:
            control.fail(rule)
        control.step_wall_clock(wall_offset)
        environment = {**os.environ, "PROXY_CONFIG": str(file), **control.environment}
        process = await asyncio.create_subprocess_exec(*COMMAND, env=environment, cwd=ROOT)
        try:
            yield Program(process, told, control, file)
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            control.close()


@contextlib.asynccontextmanager
async def serving_sizes(folder: Path, **changes: Any) -> AsyncIterator[Program]:
    """A sidecar that takes clients, before a server whose answers are as long as asked for."""
    async with (
        endpoint(as_long_as_asked) as served,
        endpoint(nothing_new) as discovery,
        program(folder, served.dial, discovery=discovery.dial, **changes) as sidecar,
    ):
        await sidecar.ready()
        yield sidecar


async def as_long_as_asked(seen: Seen) -> bytes:
    """A body of `Answer-Size` bytes, or the request's own."""
    size = int(seen.headers.get(b"answer-size", 0))
    return ok(bytes(size) or seen.body or b"done")


async def failures_of_a_mixed_load(sidecar: Program, idle_may_close: bool = False) -> list[str]:
    """Twenty clients at once, three requests each on one connection: short answers, long ones, long uploads,
    and requests that may not be repeated. One line for each request that did not get its whole answer.

    Where idle connections may be closed, one that crosses the close of its connection, which has been used
    and brings no byte of an answer, is sent again on a new one, as clients do."""
    kinds = {
        "short": (request(), len(b"done")),
        "long answer": (request(extra=b"Answer-Size: %d\r\n" % LONG_ANSWER), LONG_ANSWER),
        "upload": (request(body=LONG_UPLOAD), len(LONG_UPLOAD)),
        "not repeatable": (request(cls="post"), len(b"done")),
    }
    clients = (
        failures_of_a_client(sidecar, name, *kind, idle_may_close)
        for name, kind in kinds.items()
        for _ in range(CLIENTS_OF_A_KIND)
    )
    return [line for lines in await asyncio.gather(*clients) for line in lines]


async def failures_of_a_client(
    sidecar: Program, name: str, raw: bytes, size: int, idle_may_close: bool
) -> list[str]:
    client = await sidecar.client()
    for number in range(REQUESTS_OF_A_CLIENT):
        try:
            try:
                status, _, body = await client.ask(raw)
            except (ConnectionError, asyncio.IncompleteReadError) as problem:
                nothing_came = isinstance(problem, ConnectionError) or problem.partial == b""
                if not (idle_may_close and number and nothing_came):
                    raise
                client = await sidecar.client()
                status, _, body = await client.ask(raw)
        except (ConnectionError, asyncio.IncompleteReadError) as problem:
            return [f"{name}, request {number}: {type(problem).__name__}"]
        if (status, len(body)) != (200, size):
            return [f"{name}, request {number}: status {status}, {len(body)} bytes"]
    client.writer.close()
    return []

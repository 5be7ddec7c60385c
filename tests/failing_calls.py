"""Test helpers: runs the program in a process whose system calls fail by rules."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
from collections.abc import AsyncIterator, Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from sprucenotch.testbed import syscalls
from sprucenotch.testbed.syscalls import Control
from tests.sidecar import Client, Seen, configuration, dead_dial, endpoint, nothing_new, ok, request
from tests.test_program import COMMAND, ROOT, connected

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
LONG_ANSWER = 1_500_000  # bytes
LONG_UPLOAD = bytes(60_000)
CLIENTS_PER_KIND = 5
REQUESTS_PER_CLIENT = 3
needs_compiler = pytest.mark.skipif(
    syscalls.compiler() is None, reason="failing system calls need a C compiler, and this machine has none"
)


class Program:
    """A running sidecar, its configuration and the control of its system call failures."""

    def __init__(
        self, process: asyncio.subprocess.Process, configuration: dict[str, Any], control: Control, file: Path
    ) -> None:
        self.process, self.configuration, self.control, self.file = process, configuration, control, file

    async def client(self) -> Client:
        return await connected(self.configuration["listen"])

    async def ready(self) -> None:
        """Wait until it accepts clients."""
        assert (await (await self.client()).ask(UP))[0] == 200


@contextlib.contextmanager
def reserved(dial: str) -> Iterator[None]:
    """Reserve an address for the processes of this test by a socket that is bound but never listens."""
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
    """Start the program with these rules, which apply from its first system call on."""
    config = configuration(dial, **({"listen": dead_dial()} | changes))
    addresses = [config[name] for name in ("listen", "mgmt") if config.get(name)]
    with contextlib.ExitStack() as stack:
        for address in addresses:
            stack.enter_context(reserved(address))
        file = folder / "config.json"
        file.write_text(json.dumps(config))
        control = Control(syscalls.build(folder), folder / "calls")
        for rule in rules:
            control.fail(rule)
        control.step_wall_clock(wall_offset)
        environment = {**os.environ, "PROXY_CONFIG": str(file), **control.environment}
        process = await asyncio.create_subprocess_exec(*COMMAND, env=environment, cwd=ROOT)
        try:
            yield Program(process, config, control, file)
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            control.close()


@contextlib.asynccontextmanager
async def sized_answer_sidecar(folder: Path, **changes: Any) -> AsyncIterator[Program]:
    """A ready sidecar with a server whose answers have the requested size."""
    async with (
        endpoint(sized_answer) as served,
        endpoint(nothing_new) as discovery,
        program(folder, served.dial, discovery=discovery.dial, **changes) as sidecar,
    ):
        await sidecar.ready()
        yield sidecar


async def sized_answer(seen: Seen) -> bytes:
    """Answer with `Answer-Size` bytes, or with the body of the request."""
    size = int(seen.headers.get(b"answer-size", 0))
    return ok(bytes(size) or seen.body or b"done")


async def mixed_load_failures(sidecar: Program, idle_may_close: bool = False) -> list[str]:
    """Run twenty concurrent clients with three requests each on one connection: short answers, long ones,
    long uploads, and requests that must not be repeated. Returns a line for each request that did not get
    its complete answer.

    With `idle_may_close`, a request on a reused connection that closes before any byte of the answer is sent
    again on a new connection, as HTTP clients do."""
    kinds: dict[str, tuple[Callable[[], bytes], int]] = {
        "short": (request, len(b"done")),
        "long answer": (partial(request, extra=b"Answer-Size: %d\r\n" % LONG_ANSWER), LONG_ANSWER),
        "upload": (partial(request, body=LONG_UPLOAD), len(LONG_UPLOAD)),
        "not repeatable": (partial(request, cls="post"), len(b"done")),
    }
    clients = (
        client_failures(sidecar, name, *kind, idle_may_close)
        for name, kind in kinds.items()
        for _ in range(CLIENTS_PER_KIND)
    )
    return [line for lines in await asyncio.gather(*clients) for line in lines]


async def client_failures(
    sidecar: Program, name: str, new_request: Callable[[], bytes], size: int, idle_may_close: bool
) -> list[str]:
    client = await sidecar.client()
    for number in range(REQUESTS_PER_CLIENT):
        raw = new_request()
        try:
            try:
                status, _, body = await client.ask(raw)
            except (ConnectionError, asyncio.IncompleteReadError) as error:
                no_byte_received = isinstance(error, ConnectionError) or error.partial == b""
                if not (idle_may_close and number and no_byte_received):
                    raise
                client = await sidecar.client()
                status, _, body = await client.ask(raw)
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            return [f"{name}, request {number}: {type(error).__name__}"]
        if (status, len(body)) != (200, size):
            return [f"{name}, request {number}: status {status}, {len(body)} bytes"]
    client.writer.close()
    return []

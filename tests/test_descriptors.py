"""The program at its descriptor limit: the descriptors reserved for its own use, and how it recovers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import pytest

from sprucenotch.node import config, discovery
from tests.sidecar import (
    SETTINGS,
    Client,
    Endpoint,
    Seen,
    always_ok,
    configuration,
    dead_dial,
    endpoint,
    entry,
    never,
    ok,
    request,
    run,
)
from tests.test_program import COMMAND, ROOT, connected

DISCOVERY_ON_REQUEST = SETTINGS | {"Discovery": "on_request", "Rules": {"AskWithinNs": 1_000_000_000}}
BRIEFLY_OPEN = 3  # briefly open: a file, a client and a management caller over their limits
UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"


class Process:
    """The program as a process, and its open descriptors."""

    def __init__(self, child: asyncio.subprocess.Process, parsed: config.Config) -> None:
        self.child, self.parsed = child, parsed

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.child.pid}/fd"))

    def total_share(self) -> int:
        parsed = self.parsed
        return (
            parsed.max_clients
            + parsed.max_upstream_connections
            + parsed.max_management_connections
            + config.OWN_DESCRIPTORS
        )

    def allow(self, descriptors: int) -> None:
        resource.prlimit(self.child.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))

    async def until(self, reached: Callable[[], bool]) -> None:
        """Wait, and check all the while that the descriptors stay within the sum of the shares."""
        while not reached():
            assert self.descriptors() <= self.total_share()
            await asyncio.sleep(0.001)


@contextlib.asynccontextmanager
async def process(tmp_path: Path, dial: str, **changes: Any) -> AsyncIterator[Process]:
    every = dict(mgmt=dead_dial(), peer_listen=dead_dial(), peers=[dead_dial()], state={"dir": str(tmp_path)})
    raw = configuration(dial, listen=dead_dial(), **(every | changes))
    file = tmp_path / "config.json"
    file.write_text(json.dumps(raw))
    child = await asyncio.create_subprocess_exec(
        *COMMAND, env=os.environ | {"PROXY_CONFIG": str(file)}, cwd=ROOT
    )
    try:
        yield Process(child, config.parse(raw))
    finally:
        child.kill()
        await child.wait()


class Crowd:
    """Silent connections; `open_again` replaces those that the program has closed."""

    def __init__(self, address: config.Address) -> None:
        self._address = address
        self._held: list[socket.socket] = []

    def open(self, number: int) -> None:
        for _ in range(number):
            held = socket.socket()
            held.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                held.connect(self._address)
            self._held.append(held)

    def open_again(self) -> None:
        shut = [held for held in self._held if self._is_shut(held)]
        for held in shut:
            held.close()
            self._held.remove(held)
        self.open(len(shut))

    @staticmethod
    def _is_shut(held: socket.socket) -> bool:
        try:
            return held.recv(1) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        for held in self._held:
            held.close()


async def send_pending_requests(served: Endpoint, out: list[Client], listen: str, number: int) -> None:
    """Send `number` requests to an engine that does not answer yet."""
    for _ in range(number):
        client = await connected(listen)
        client.writer.write(request())
        out.append(client)
    while len(served.seen) < number:
        await asyncio.sleep(0.001)


def test_descriptors_for_own_use_stay_within_their_share(tmp_path: Path) -> None:
    """With everything enabled, and discovery calls that hang and stay open."""

    async def test() -> None:
        async with (
            endpoint(always_ok) as served,
            endpoint(never) as hung,
            process(tmp_path, served.dial, discovery=hung.dial) as program,
        ):
            max_descriptors = 0
            while len(hung.seen) < discovery.MAX_OVERDUE + 3:
                max_descriptors = max(max_descriptors, program.descriptors())
                await asyncio.sleep(0.001)
            assert config.OWN_DESCRIPTORS // 2 < max_descriptors <= config.OWN_DESCRIPTORS - BRIEFLY_OPEN

    run(test())


@pytest.mark.parametrize("sockets", [256, 1024])
def test_with_all_descriptor_shares_full_discovery_and_new_clients_still_work(
    tmp_path: Path, sockets: int
) -> None:
    """The limit is lowered to the sum of the shares, so that no slack hides an overrun of one of them."""

    async def test() -> None:
        go_on = asyncio.Event()

        async def held(seen: Seen) -> bytes:
            await go_on.wait()
            return ok()

        agent, out = dead_dial(), list[Client]()
        async with (
            endpoint(held) as served,
            process(
                tmp_path,
                served.dial,
                discovery=agent,
                settings=DISCOVERY_ON_REQUEST,
                limits={"sockets": sockets, "memory_mb": 1024},
            ) as program,
        ):
            parsed = program.parsed
            listen = f"{parsed.listen[0]}:{parsed.listen[1]}"
            assert (await (await connected(listen)).ask(UP))[0] == 200
            program.allow(program.total_share())
            await send_pending_requests(served, out, listen, parsed.max_upstream_connections)
            crowd, callers = Crowd(parsed.listen), Crowd(parsed.mgmt or parsed.listen)
            # Stopped and continued, the program finds all of them in a single loop iteration.
            program.child.send_signal(signal.SIGSTOP)
            crowd.open(parsed.max_clients)
            callers.open(2 * parsed.max_management_connections)
            program.child.send_signal(signal.SIGCONT)
            full = program.total_share() - config.OWN_DESCRIPTORS
            await program.until(lambda: program.descriptors() >= full)

            asked = asyncio.Event()

            async def answer_with_list(seen: Seen) -> bytes:
                asked.set()
                hosts = [entry("s-0", served.dial)]
                return ok(json.dumps({"seq": 2, "whole": True, "hosts": hosts}).encode())

            returned = Endpoint(answer_with_list)
            host, port = agent.split(":")
            server = await asyncio.start_server(returned._serve, host, int(port))
            await program.until(asked.is_set)
            crowd.open_again()
            client = await connected(listen)
            # All engine connections are in use, so the request is refused unsent.
            assert (await client.ask(request()))[0] == 503
            go_on.set()
            assert [(await held.answer())[0] for held in out] == [200] * parsed.max_upstream_connections
            crowd.open_again()
            # The balancer may refuse for a while, as it saw no answers.
            while (await (await connected(listen)).ask(request()))[0] == 503:
                await program.until(lambda: True)
            server.close()
            crowd.close()
            callers.close()

    run(test())


def test_out_of_descriptors_new_connections_wait_until_idle_clients_are_closed(tmp_path: Path) -> None:
    """If the process holds more descriptors than planned, no client is closed with an unread request, and
    neither the listener nor the discovery watch ends."""

    async def test() -> None:
        async def answers(seen: Seen) -> bytes:
            return ok()

        agent = dead_dial()
        async with (
            endpoint(answers) as served,
            process(
                tmp_path,
                served.dial,
                discovery=agent,
                settings=DISCOVERY_ON_REQUEST,
                limits={"sockets": 256, "memory_mb": 1024},
            ) as program,
        ):
            parsed = program.parsed
            listen = f"{parsed.listen[0]}:{parsed.listen[1]}"
            assert (await (await connected(listen)).ask(UP))[0] == 200
            program.allow(program.descriptors() + 3)
            crowd = Crowd(parsed.listen)
            crowd.open(40)
            client = await connected(listen)
            assert (await client.ask(request()))[0] == 200
            called = asyncio.Event()

            async def answer_with_list(seen: Seen) -> bytes:
                called.set()
                hosts = [entry("s-0", served.dial)]
                return ok(json.dumps({"seq": 2, "whole": True, "hosts": hosts}).encode())

            host, port = agent.split(":")
            server = await asyncio.start_server(Endpoint(answer_with_list)._serve, host, int(port))
            crowd.close()
            await called.wait()
            assert (await (await connected(listen)).ask(request()))[0] == 200
            server.close()

    run(test())


# Guards against: connections alone take a process with the least memory over its limit.
def test_client_connections_are_limited_by_memory_too() -> None:
    own, megabyte = 26_400_000, 1_000_000
    least = config.parse(configuration(limits={"memory_mb": 32, "sockets": 1024}))
    clients = least.max_clients_within_memory(own)
    assert 85 <= clients < least.max_clients
    assert own + clients * config.CLIENT_MEMORY + config.MIN_BODY_BYTES < 30 * megabyte
    assert least.max_clients_within_memory(40 * megabyte) == 85  # the third of the fewest descriptors
    usual = config.parse(configuration(limits={"memory_mb": 192, "sockets": 1024}))
    assert usual.max_clients_within_memory(own) == usual.max_clients

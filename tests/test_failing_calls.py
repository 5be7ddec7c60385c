"""System calls that fail temporarily with documented errors do not make requests get lost or refused."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import signal
import socket
import sys
import tomllib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from sprucenotch.node.listener import bound, listening
from sprucenotch.testbed.syscalls import Call, Rule
from tests.failing_calls import UP, Program, needs_compiler, program
from tests.sidecar import (
    Endpoint,
    accepting,
    always_ok,
    configuration,
    dead_dial,
    endpoint,
    nothing_new,
    request,
    run,
    sidecar,
)
from tests.test_program import ROOT, connected

pytestmark = needs_compiler
CLIENTS = 24
TELEMETRY = b"GET /api/telemetry HTTP/1.1\r\nHost: x\r\n\r\n"
ACCEPT_ERRORS = tuple(
    getattr(errno, name)
    for name in ("ENFILE", "EMFILE", "ECONNABORTED", "ENOBUFS", "ENOMEM", "EPROTO", "EINTR")
)


@contextlib.asynccontextmanager
async def serving(folder: Path, **changes: Any) -> AsyncIterator[tuple[Endpoint, Program]]:
    """A ready sidecar and its server."""
    async with (
        endpoint(always_ok) as served,
        endpoint(nothing_new) as discovery,
        program(folder, served.dial, discovery=discovery.dial, **changes) as sidecar,
    ):
        await sidecar.ready()
        yield served, sidecar


async def raw_answer(address: str, raw: bytes) -> bytes:
    """Connect, send, and return the first piece of the answer; empty if the connection is closed or reset
    without one."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(raw)
        answer = await reader.read(1000)
        writer.close()
    except ConnectionError:
        return b""
    return answer


def test_temporary_accept_failure_leaves_no_client_unanswered(tmp_path: Path) -> None:
    """Clients one after another, then concurrently."""

    async def test() -> None:
        async with serving(tmp_path) as (_, sidecar):
            listen = sidecar.configuration["listen"]
            for error in ACCEPT_ERRORS:
                sidecar.control.fail(Rule(Call.ACCEPT, error, 2))
                answers = [await raw_answer(listen, request()) for _ in range(CLIENTS)]
                answers += await asyncio.gather(*(raw_answer(listen, request()) for _ in range(CLIENTS)))
                served_clients = [answer for answer in answers if answer.startswith(b"HTTP/1.1 200")]
                assert len(served_clients) == 2 * CLIENTS, errno.errorcode[error]
                assert sidecar.control.failed(Call.ACCEPT) >= CLIENTS

    run(test())


class FailingListener(socket.socket):
    """A listener whose accept fails at one of five calls."""

    error = 0
    calls = 0

    def accept(self) -> tuple[socket.socket, Any]:
        self.calls += 1
        if self.calls % 5 == 4:
            raise OSError(self.error, "planted")
        return super().accept()


def test_accept_failure_while_the_listener_closes_resets_no_waiting_client() -> None:
    """The loop is blocked while the time for new connections ends, and clients connect meanwhile."""

    async def closes(error: int) -> list[bytes]:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            loop = asyncio.get_running_loop()
            listener = FailingListener(fileno=(await bound(("127.0.0.1", 0), shared=True)).detach())
            listener.error = error
            await listening(listener)
            acceptor = accepting(node, listener)
            clients = [socket.create_connection(listener.getsockname()) for _ in range(30)]
            for client in clients:
                client.sendall(request())
                client.setblocking(False)
            await acceptor.close()
            answers = [await received(loop, client) for client in clients]
            for client in clients:
                client.close()
            return [answer[:12] for answer in answers]

    async def test() -> None:
        for error in ACCEPT_ERRORS:
            assert await closes(error) == [b"HTTP/1.1 200"] * 30, errno.errorcode[error]

    run(test())


async def received(loop: asyncio.AbstractEventLoop, client: socket.socket) -> bytes:
    """The first piece of an answer; empty if the connection ended."""
    try:
        return await loop.sock_recv(client, 1000)
    except ConnectionError:
        return b""


LOCAL_FAILURES = {
    Call.CONNECT: (errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN),
    Call.SOCKET: (errno.ENFILE, errno.EMFILE, errno.ENOMEM, errno.ENOBUFS),
}


def test_connect_that_fails_locally_is_retried_and_refuses_no_request(tmp_path: Path) -> None:
    """Nine seconds remain until the deadline; the failures are local and do not count against the server."""

    async def test() -> None:
        async with serving(tmp_path) as (served, sidecar):
            listen = sidecar.configuration["listen"]
            for call, errors in LOCAL_FAILURES.items():
                for error in errors:
                    served.close_all()  # so that new connections are needed
                    sidecar.control.fail(Rule(call, error, 2))
                    answers = await asyncio.gather(*(raw_answer(listen, request()) for _ in range(CLIENTS)))
                    codes = [answer[:12] for answer in answers]
                    assert codes == [b"HTTP/1.1 200"] * CLIENTS, (call, errno.errorcode[error])
                    assert sidecar.control.failed(call) > 0
                sidecar.control.heal(call)

    run(test())


async def wait_for_figure(sidecar: Program, figure: str, count: int) -> None:
    """Wait until that telemetry figure has this value."""
    while (await figures(sidecar.configuration["mgmt"]))[figure] != count:
        await asyncio.sleep(0.01)


async def figures(address: str) -> dict[str, Any]:
    figures: dict[str, Any] = json.loads((await raw_answer(address, TELEMETRY)).partition(b"\r\n\r\n")[2])
    return figures


def test_reload_with_temporarily_unreadable_file_is_applied_later(tmp_path: Path) -> None:
    """The file is valid, and no second signal is sent."""

    async def test() -> None:
        async with serving(tmp_path, mgmt=dead_dial()) as (_, sidecar):
            await figures(sidecar.configuration["mgmt"])
            for number, error in enumerate((errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO), 1):
                sidecar.control.fail(Rule(Call.OPEN, error, 1))
                sidecar.process.send_signal(signal.SIGHUP)
                while sidecar.control.failed(Call.OPEN) < 2:
                    await asyncio.sleep(0.001)
                sidecar.control.heal(Call.OPEN)
                await wait_for_figure(sidecar, "loads", number)
            assert (await figures(sidecar.configuration["mgmt"]))["load_errors"] == 0

    run(test())


def test_start_with_temporary_call_failures_succeeds(tmp_path: Path) -> None:
    """bind, listen and the socket for peers each fail at least once."""

    async def test() -> None:
        rules = [Rule(call, errno.ENOBUFS, 2) for call in (Call.BIND, Call.LISTEN, Call.SOCKET)]
        async with (
            endpoint(always_ok) as served,
            endpoint(nothing_new) as discovery,
            program(
                tmp_path,
                served.dial,
                *rules,
                discovery=discovery.dial,
                mgmt=dead_dial(),
                peer_listen=dead_dial(),
                peers=[dead_dial()],
            ) as sidecar,
        ):
            await sidecar.ready()
            assert (await (await sidecar.client()).ask(request()))[0] == 200
            assert all(sidecar.control.failed(rule.call) for rule in rules)

    run(test())


def test_reload_signal_before_its_handler_is_installed_does_not_end_the_program(tmp_path: Path) -> None:
    """Signals are sent from the start of the process on. It is started with the platform's command, but with
    this interpreter."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    words = deploy["run"].replace(".venv/bin/python", sys.executable)

    async def test() -> None:
        async with endpoint(always_ok) as served, endpoint(nothing_new) as discovery:
            raw = configuration(served.dial, listen=dead_dial(), discovery=discovery.dial)
            file = tmp_path / "config.json"
            file.write_text(json.dumps(raw))
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", words, env=os.environ | {"PROXY_CONFIG": str(file)}, cwd=ROOT
            )
            try:
                ready = asyncio.ensure_future(answers(raw["listen"]))
                await asyncio.sleep(0.02)  # the shell has run its first command, trap
                while not ready.done() and process.returncode is None:
                    process.send_signal(signal.SIGHUP)
                    process.send_signal(signal.SIGUSR1)
                    await asyncio.sleep(0.005)
                assert process.returncode is None and await ready
            finally:
                if process.returncode is None:
                    process.kill()
                await process.wait()

    run(test())


async def answers(listen: str) -> bool:
    return (await (await connected(listen)).ask(UP))[0] == 200


def test_answer_with_temporary_write_failure_is_delivered(tmp_path: Path) -> None:
    """One of two writes fails with ENOBUFS, as documented in send(2)."""

    async def test() -> None:
        async with serving(tmp_path) as (_, sidecar):
            listen = sidecar.configuration["listen"]
            sidecar.control.fail(Rule(Call.WRITE, errno.ENOBUFS, 2))
            answers = [await raw_answer(listen, request()) for _ in range(CLIENTS)]
            assert [answer[:12] for answer in answers] == [b"HTTP/1.1 200"] * CLIENTS

    run(test())


def test_signal_whose_loop_wake_up_fails_is_handled(tmp_path: Path) -> None:
    """The interpreter wakes the loop for a signal by a write to a socket, which may fail."""

    async def test() -> None:
        async with serving(tmp_path) as (_, sidecar):
            sidecar.control.fail(Rule(Call.WRITE, errno.ENOBUFS, 1))
            sidecar.process.terminate()
            while sidecar.control.failed(Call.WRITE) == 0:
                await asyncio.sleep(0.001)
            sidecar.control.heal(Call.WRITE)
            assert await asyncio.wait_for(sidecar.process.wait(), 5) == 0

    run(test())

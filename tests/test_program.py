"""The program as a process: configuration, signals, exit."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.sidecar import (
    SETTINGS,
    Client,
    Seen,
    always_ok,
    configuration,
    dead_dial,
    endpoint,
    never,
    nothing_new,
    ok,
    request,
    run,
)

COMMAND = (sys.executable, "-m", "sprucenotch")
ROOT = Path(__file__).parent.parent


async def connected(listen: str) -> Client:
    """Connect to a sidecar that may still be starting."""
    host, _, port = listen.rpartition(":")
    while True:
        try:
            return Client(*await asyncio.open_connection(host, int(port)))
        except ConnectionError:
            await asyncio.sleep(0.01)


def test_stopped_sidecar_accepts_and_completes_requests(tmp_path: Path) -> None:
    async def test() -> None:
        go_on, all_here = asyncio.Event(), asyncio.Event()
        asked: list[Seen] = []

        async def held(seen: Seen) -> bytes:
            asked.append(seen)
            if len(asked) == 2:
                all_here.set()
            await go_on.wait()
            return ok(b"done")

        async with endpoint(held) as served, endpoint(nothing_new) as discovery:
            listen = dead_dial()
            file = tmp_path / "config.json"
            configured = configuration(served.dial, listen=listen, discovery=discovery.dial)
            file.write_text(json.dumps(configured))
            process = await asyncio.create_subprocess_exec(
                *COMMAND, env=os.environ | {"PROXY_CONFIG": str(file)}, cwd=ROOT
            )
            before = await connected(listen)
            assert (await before.ask(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
            idle = await connected(listen)
            assert (await idle.ask(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
            before.writer.write(request("post"))
            await served.arrived.wait()
            # While it is stopped, signal and connection are both pending, so their order does not depend on
            # timing.
            process.send_signal(signal.SIGSTOP)
            process.send_signal(signal.SIGTERM)
            after = await connected(listen)
            process.send_signal(signal.SIGCONT)
            after.writer.write(request("post"))
            await all_here.wait()
            assert await idle.ended()  # after that the listener is closed
            go_on.set()
            for client in (before, after):
                code, headers, body = await client.answer()
                assert (code, headers[b"connection"], body) == (200, b"close", b"done")
                assert await client.ended()
            assert await process.wait() == 0

    run(test())


def test_stopped_sidecar_closes_idle_connections_and_accepts_new_ones(tmp_path: Path) -> None:
    """A client whose request crosses the close repeats it on a new connection, here or at a successor. No
    request arrives on the old connection so late that its answer is cut off when the process is killed."""

    async def test() -> None:
        async with endpoint(always_ok) as served, endpoint(nothing_new) as discovery:
            listen = dead_dial()
            file = tmp_path / "config.json"
            configured = configuration(served.dial, listen=listen, discovery=discovery.dial)
            file.write_text(json.dumps(configured))
            process = await asyncio.create_subprocess_exec(
                *COMMAND, env=os.environ | {"PROXY_CONFIG": str(file)}, cwd=ROOT
            )
            idle = await connected(listen)
            assert (await idle.ask(request()))[0] == 200
            process.terminate()
            assert await idle.ended()
            host, _, port = listen.rpartition(":")
            again = Client(*await asyncio.open_connection(host, int(port)))
            assert (await again.ask(request()))[0] == 200
            assert await again.ended()
            assert await process.wait() == 0

    run(test())


def test_stopped_sidecar_completes_long_answer(tmp_path: Path) -> None:
    """An answer may last far beyond the deadlines; a time limit on the drain would cut it off."""
    size = 300_000

    async def test() -> None:
        half, go_on = asyncio.Event(), asyncio.Event()

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"x" * (size // 2))
            await writer.drain()
            half.set()
            await go_on.wait()
            writer.write(b"x" * (size // 2))
            await writer.drain()

        engine = await asyncio.start_server(slow, "127.0.0.1", 0)
        dial = f"127.0.0.1:{engine.sockets[0].getsockname()[1]}"
        listen, file = dead_dial(), tmp_path / "config.json"
        brief = [c | {"AimNs": 50_000_000, "HardLimitNs": 100_000_000} for c in SETTINGS["Categories"]]
        async with endpoint(nothing_new) as discovery:
            configured = configuration(
                dial, listen=listen, discovery=discovery.dial, settings=SETTINGS | {"Categories": brief}
            )
            file.write_text(json.dumps(configured))
            process = await asyncio.create_subprocess_exec(
                *COMMAND, env=os.environ | {"PROXY_CONFIG": str(file)}, cwd=ROOT
            )
            client, idle = await connected(listen), await connected(listen)
        assert (await idle.ask(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
        client.writer.write(request())
        await half.wait()
        process.terminate()
        assert await idle.ended()  # it stopped accepting
        with pytest.raises(asyncio.TimeoutError):  # far beyond the longest deadline
            await asyncio.wait_for(process.wait(), 1.0)
        go_on.set()
        assert len((await client.answer())[2]) == size
        assert await process.wait() == 0
        engine.close()

    run(test())


async def ready(mgmt: str) -> bool:
    """Whether a process, which may still be starting, reports that it is ready."""
    caller = await connected(mgmt)
    caller.writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    answer = await caller.reader.read()
    caller.writer.close()
    return answer.startswith(b"HTTP/1.1 200 ")


def test_successor_gets_new_connections_and_no_accepted_request_is_lost(tmp_path: Path) -> None:
    async def test() -> None:
        go_on, here = asyncio.Event(), asyncio.Event()

        async def held(seen: Seen) -> bytes:
            here.set()
            await go_on.wait()
            return ok(b"done")

        async def lists(seen: Seen) -> bytes:
            return ok(json.dumps(known | {"seq": 2}).encode())

        async with endpoint(held) as served, endpoint(lists) as discovery:
            listen, old_mgmt, new_mgmt = dead_dial(), dead_dial(), dead_dial()
            configured = configuration(served.dial, listen=listen, discovery=discovery.dial)
            known = configured["known"]
            processes = []
            for mgmt in (old_mgmt, new_mgmt):
                file = tmp_path / f"{mgmt}.json"
                file.write_text(json.dumps(configured | {"mgmt": mgmt}))
                environment = os.environ | {"PROXY_CONFIG": str(file)}
                processes.append(await asyncio.create_subprocess_exec(*COMMAND, env=environment, cwd=ROOT))
                while not await ready(mgmt):
                    await asyncio.sleep(0.01)
                if mgmt == old_mgmt:
                    accepted, unread = await connected(listen), await connected(listen)
                    accepted.writer.write(request("post"))
                    await here.wait()
            old, new = processes
            old.send_signal(signal.SIGTERM)
            while await ready(old_mgmt):
                await asyncio.sleep(0.01)
            assert await ready(new_mgmt)
            # The old process is stopped, so all new connections go to the successor.
            old.send_signal(signal.SIGSTOP)
            later = [await connected(listen) for _ in range(16)]
            for client in later:
                client.writer.write(request("post"))
            go_on.set()
            assert [(await client.answer())[0] for client in later] == [200] * len(later)
            old.send_signal(signal.SIGCONT)
            assert (await accepted.answer())[2] == b"done" and await accepted.ended()
            # A request on a connection accepted earlier is still served, and the connection closed after the
            # answer.
            assert (await unread.ask(request("post")))[1][b"connection"] == b"close"
            assert await old.wait() == 0
            new.terminate()
            for client in later:
                assert await client.ended()
            assert await new.wait() == 0

    run(test())


def test_successor_starts_while_peer_address_is_in_use(tmp_path: Path) -> None:
    """The previous process holds that address; the successor binds it once that process is stopped."""

    async def test() -> None:
        async with endpoint(always_ok) as served, endpoint(nothing_new) as discovery:
            peer_listen, old_mgmt, new_mgmt = dead_dial(), dead_dial(), dead_dial()
            configured = configuration(
                served.dial, listen=dead_dial(), discovery=discovery.dial, peer_listen=peer_listen,
                peers=[dead_dial(), peer_listen],
            )  # fmt: skip
            processes = []
            for mgmt in (old_mgmt, new_mgmt):
                file = tmp_path / f"{mgmt}.json"
                file.write_text(json.dumps(configured | {"mgmt": mgmt}))
                environment = os.environ | {"PROXY_CONFIG": str(file)}
                process = await asyncio.create_subprocess_exec(*COMMAND, env=environment, cwd=ROOT)
                processes.append(process)
                while process.returncode is None and not await asyncio.wait_for(ready(mgmt), 10):
                    await asyncio.sleep(0.01)
                assert process.returncode is None
            old, new = processes
            assert datagram_sockets(old.pid) == 1
            old.terminate()
            while datagram_sockets(new.pid) == 0:
                await asyncio.sleep(0.01)
            assert await old.wait() == 0
            new.terminate()
            assert await new.wait() == 0

    run(test())


def datagram_sockets(pid: int) -> int:
    """Return the number of datagram sockets of a process."""
    lines = Path(f"/proc/{pid}/net/udp").read_text().splitlines()[1:]
    inodes = {line.split()[9] for line in lines}
    links = [os.readlink(f"/proc/{pid}/fd/{fd}") for fd in os.listdir(f"/proc/{pid}/fd")]
    return sum(link.removeprefix("socket:[").rstrip("]") in inodes for link in links)


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
def test_process_accepts_no_clients_before_discovery_answers(tmp_path: Path, mode: str) -> None:
    """Its list may be outdated, and it may already be bound by changes since then."""

    async def test() -> None:
        answers = asyncio.Event()

        async def late(seen: Seen) -> bytes:
            await answers.wait()
            return await nothing_new(seen)

        async with endpoint(always_ok) as served, endpoint(late) as discovery:
            listen, file = dead_dial(), tmp_path / "config.json"
            settings = SETTINGS | {"Discovery": mode}
            configured = configuration(
                served.dial, listen=listen, discovery=discovery.dial, settings=settings
            )
            file.write_text(json.dumps(configured))
            process = await asyncio.create_subprocess_exec(
                *COMMAND, env=os.environ | {"PROXY_CONFIG": str(file)}, cwd=ROOT
            )
            await discovery.arrived.wait()
            host, _, port = listen.rpartition(":")
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(host, int(port))
            answers.set()
            client = await connected(listen)
            assert (await client.ask(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
            process.terminate()
            assert await process.wait() == 0

    run(test())


def test_process_stopped_before_ready_exits_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with endpoint(never) as discovery:
            file = tmp_path / "config.json"
            configured = configuration("127.0.0.1:9", listen=dead_dial(), discovery=discovery.dial)
            file.write_text(json.dumps(configured))
            process = await asyncio.create_subprocess_exec(
                *COMMAND, env=os.environ | {"PROXY_CONFIG": str(file)}, cwd=ROOT
            )
            await discovery.arrived.wait()
            process.terminate()
            assert await process.wait() == 0

    run(test())


def test_sighup_applies_replaced_configuration_without_interruption(tmp_path: Path) -> None:
    async def test() -> None:
        async with (
            endpoint(always_ok) as served,
            endpoint(never) as old,
            endpoint(nothing_new) as new,
        ):
            listen, file = dead_dial(), tmp_path / "config.json"
            file.write_text(json.dumps(configuration(served.dial, listen=listen, discovery=old.dial)))
            process = await asyncio.create_subprocess_exec(
                *COMMAND, env=os.environ | {"PROXY_CONFIG": str(file)}, cwd=ROOT
            )
            await old.arrived.wait()
            file.write_text("{")
            process.send_signal(signal.SIGHUP)  # a broken file changes nothing
            file.write_text(json.dumps(configuration(served.dial, listen=listen, discovery=new.dial)))
            process.send_signal(signal.SIGHUP)
            await new.arrived.wait()
            client = await connected(listen)
            assert (await client.ask(request("post")))[0] == 200
            process.terminate()
            assert await client.ended()
            assert await process.wait() == 0

    run(test())


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"listen": "here"}, "listen"),
        ({"mgmt": "here"}, "mgmt"),
        ({"discovery": None}, "discovery"),
        ({"settings": {}}, "Categories"),
        ({"settings": None}, "settings"),
        ({"seed": "xyz"}, "seed"),
        ({"peers": 3}, "peers"),
        ({"known": {"seq": 1, "hosts": [{}]}}, "known"),
    ],
)
def test_bad_configuration_is_reported_in_one_line(tmp_path: Path, change: dict[str, Any], said: str) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(configuration("127.0.0.1:9") | change))
    assert said in error_line({"PROXY_CONFIG": str(file)})


def test_missing_or_broken_file_is_reported_in_one_line(tmp_path: Path) -> None:
    broken = tmp_path / "config.json"
    broken.write_text("{")
    assert "PROXY_CONFIG is not set" in error_line({})
    assert "No such file" in error_line({"PROXY_CONFIG": str(tmp_path / "none")})
    assert "not JSON" in error_line({"PROXY_CONFIG": str(broken)})


def error_line(variables: dict[str, str]) -> str:
    environment = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")} | variables
    done = subprocess.run(
        COMMAND, env=environment, cwd=ROOT, capture_output=True, text=True, check=False, timeout=60
    )
    assert done.returncode != 0 and done.stdout == ""
    assert done.stderr.count("\n") == 1 and done.stderr.startswith("sprucenotch: ")
    return done.stderr

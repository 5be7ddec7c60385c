"""The management listener, and the correctness of its figures."""

from __future__ import annotations

import asyncio
import contextlib
import json
import resource
from collections.abc import AsyncIterator
from typing import Any

import pytest

from sprucenotch import api
from sprucenotch.node import config, metrics
from sprucenotch.node.config import ConfigError
from sprucenotch.node.listener import bound, listening
from sprucenotch.node.management import Management
from tests.sidecar import (
    SETTINGS,
    Seen,
    Sidecar,
    always_ok,
    configuration,
    dead_dial,
    endpoint,
    entry,
    never,
    ok,
    request,
    run,
    sidecar,
    status,
)

MAX_CALLERS = 4


class Operators:
    """A client of the management listener."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def call(self, raw: bytes) -> tuple[int, bytes]:
        """Return the status and body of the answer; the connection is closed after it."""
        reader, writer = await self.connect()
        writer.write(raw)
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        writer.close()
        return int(head.split()[1]), body

    async def get(self, path: str) -> tuple[int, bytes]:
        return await self.call(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())

    async def figures(self) -> dict[str, Any]:
        code, body = await self.get("/api/telemetry")
        assert code == 200
        figures: dict[str, Any] = json.loads(body)
        return figures


@contextlib.asynccontextmanager
async def managed(node: Sidecar) -> AsyncIterator[Operators]:
    management = Management(
        lambda: node.host.status_report.ready() if node.frontend.ready else "",
        node.host.status_report.figures,
        lambda: metrics.render(node.host.status_report, node.host.budget),
        MAX_CALLERS,
    )
    listener = await listening(await bound(("127.0.0.1", 0)))
    management.serve(listener, node.host.count)
    try:
        yield Operators(listener.getsockname()[1])
    finally:
        await management.close()


def test_ready_requires_listener_and_list_and_ends_with_drain() -> None:
    async def test() -> None:
        async with sidecar() as node, managed(node) as operators:
            assert (await operators.get("/api/ready"))[0] == 503
            hosts = {"seq": 2, "whole": True, "hosts": [entry("s-0", dead_dial())]}
            node.host.learn(config.host_list(hosts, node.config.names), api.ListKind.FULL)
            assert (await operators.get("/api/ready"))[0] == 503  # not listening yet
            node.frontend.listening = True
            assert await operators.get("/api/ready") == (200, b"ready\n")
            assert b"list_age_seconds" not in (await operators.get("/metrics"))[1]
            node.host.status_report.list_age = lambda: 42 * 10**9
            silent = await operators.get("/api/ready")
            assert silent == (200, b"ready, discovery has said nothing for 42 s\n")
            assert b"sprucenotch_list_age_seconds 42.0" in (await operators.get("/metrics"))[1]
            node.frontend.draining = True
            assert (await operators.get("/api/ready"))[0] == 503

    run(test())


def test_cached_list_makes_ready_only_after_start_deadline() -> None:
    async def test() -> None:
        async with sidecar(dead_dial()) as node:
            node.frontend.listening = True
            now = node.host.now()
            node.host.now = lambda: now
            assert not node.frontend.ready
            node.host.now = lambda: node.host._start_deadline
            assert node.frontend.ready

    run(test())


@pytest.mark.parametrize("whole", [False, True])
def test_list_confirmed_by_discovery_makes_ready_at_once(whole: bool) -> None:
    async def test() -> None:
        async with sidecar(dead_dial()) as node:
            node.frontend.listening = True
            assert not node.frontend.ready
            hosts = node.config.known.hosts if whole else ()
            node.discovery._apply_list(config.HostList(node.config.known.seq, whole, hosts))
            assert node.frontend.ready

    run(test())


@pytest.mark.parametrize(
    ("raw", "code"),
    [
        (b"GET /api HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"POST /api/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /api/ready HTTP/1.1\r\nX: " + b"x" * 9000 + b"\r\n\r\n", 400),
        (b"GET /api/ready?x=1 HTTP/1.0\r\n\r\n", 503),
    ],
)
def test_unsupported_call_gets_error_status(raw: bytes, code: int) -> None:
    async def test() -> None:
        async with sidecar() as node, managed(node) as operators:
            assert (await operators.call(raw))[0] == code

    run(test())


def test_callers_without_complete_call_are_closed_and_delay_no_other() -> None:
    async def test() -> None:
        async with sidecar() as node, managed(node) as operators:
            unfinished = [await operators.connect() for _ in range(3 * MAX_CALLERS)]
            for _, writer in unfinished:
                writer.write(b"GET /api/re")
            assert (await operators.get("/api/telemetry"))[0] == 200
            for reader, _ in unfinished:
                with contextlib.suppress(ConnectionError):
                    assert await reader.read() == b""

    run(test())


def test_telemetry_counts_each_request_and_attempt_once() -> None:
    answers = {b"1": ok(), b"2": status(500), b"3": status(503, b"Srv-Declined: 1")}

    async def script(seen: Seen) -> bytes:
        return answers[seen.headers[b"x-n"]]

    async def test() -> None:
        async with endpoint(script) as served, sidecar(served.dial) as node, managed(node) as operators:
            figures = await operators.figures()
            none = {"read": 0, "post": 0}
            assert figures == {
                "passed": none, "dropped": none, "bad_gateway": none, "upstream_tries": 0, "in_progress": 0,
                "known_quote_engines": 1, "skipped_quote_engines": 0, "loads": 0, "load_errors": 0,
            }  # fmt: skip
            client = await node.client()
            posts = {n: request("post", extra=b"X-N: %d\r\n" % n) for n in (1, 2, 3)}
            codes = [(await client.ask(raw))[0] for n, raw in posts.items()]
            assert codes == [200, 502, 503]
            assert (await client.ask(request("odd")))[0] == 400  # an unknown class
            figures = await operators.figures()
            assert [figures[name]["post"] for name in ("passed", "bad_gateway", "dropped")] == [1, 1, 1]
            assert figures["passed"]["read"] == figures["in_progress"] == 0 and "odd" not in figures["passed"]
            assert figures["upstream_tries"] == 3 == len(served.seen)

    run(test())


def test_probes_and_failed_connects_are_not_counted_as_tries() -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(dead_dial()) as node:
            assert (await (await node.client()).ask(request("post")))[0] == 503
            hosts = {"seq": 2, "whole": True, "hosts": [entry("s-1", served.dial)]}
            node.host.learn(config.host_list(hosts, node.config.names), api.ListKind.FULL)
            node.host._probe(api.Probe(config.endpoint_id("s-1")))
            await node.event(lambda e: isinstance(e, api.Probed))
            assert node.host.status_report.figures()["upstream_tries"] == 0

    run(test())


def test_in_progress_returns_to_zero_when_client_leaves() -> None:
    async def test() -> None:
        async with endpoint(never) as served, sidecar(served.dial) as node:
            client = await node.client()
            client.writer.write(request(deadline="1"))
            await served.arrived.wait()
            assert node.host.status_report.figures()["in_progress"] == 1
            client.writer.close()
            await node.event(lambda e: isinstance(e, api.Gone))
            assert node.host.status_report.figures()["in_progress"] == 0
            await node.event(lambda e: isinstance(e, api.Completed))  # its attempt ends at the deadline
            assert node.host.status_report.figures()["in_progress"] == 0

    run(test())


def test_draining_or_ejected_engine_counts_as_skipped() -> None:
    async def test() -> None:
        async with sidecar(*(dead_dial() for _ in range(4))) as node:
            hosts = {"seq": 2, "whole": False, "hosts": [entry("s-3", "127.0.0.1:9", "draining")]}
            node.host.learn(config.host_list(hosts, node.config.names), api.ListKind.DELTA)
            balancer = node.host._balancer
            balancer.engines.members[config.endpoint_id("s-0")].ejected_until = node.host.now() + 10**12
            balancer.engines.choose_subset(node.host.now())
            figures = node.host.status_report.figures()
            assert (figures["known_quote_engines"], figures["skipped_quote_engines"]) == (4, 2)

    run(test())


def test_growth_returns_increase_of_counters() -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            client = await node.client()
            for expected in (2, 1):
                for _ in range(expected):
                    assert (await client.ask(request("post")))[0] == 200
                grown = node.host.telemetry.growth()
                assert (grown["passed"], grown["tries"], grown["requests"]) == (expected,) * 3

    run(test())


def test_management_address_comes_from_file_or_environment(tmp_path: Any) -> None:
    file = tmp_path / "config.json"

    def mgmt(environment: dict[str, str], **keys: Any) -> config.Address | None:
        file.write_text(json.dumps(configuration("127.0.0.1:9", **keys)))
        return config.load({"PROXY_CONFIG": str(file)} | environment).mgmt

    assert mgmt({}) is None
    assert mgmt({"PROXY_MGMT": "127.0.0.1:7"}) == ("127.0.0.1", 7)
    assert mgmt({"PROXY_MGMT": "127.0.0.1:7"}, mgmt="127.0.0.1:8") == ("127.0.0.1", 8)
    for bad in ("", "here", 7):
        with pytest.raises(ConfigError, match="mgmt"):
            mgmt({}, mgmt=bad)


@pytest.mark.parametrize(
    ("configured", "granted", "expected"),
    [
        (4096, 8192, 4096),
        (4096, 2048, 2048),
        (4096, resource.RLIM_INFINITY, 4096),
        (256, 8192, 256),
        (None, 8192, 1024),
        (-1, 512, 512),
    ],
)
def test_descriptor_limit_is_configured_one_capped_by_kernel(
    configured: int | None, granted: int, expected: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda which: (granted, granted))
    assert config.parse(configuration(limits={"sockets": configured})).sockets == expected


def test_4096_descriptors_allow_connections_to_1024_servers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda which: (4096, 4096))
    parsed = config.parse(configuration(limits={"sockets": 4096}))
    assert parsed.max_upstream_connections >= 1024 and parsed.max_clients >= 1024


def test_descriptors_suffice_for_two_processes_during_hand_over() -> None:
    for sockets in (256, 384, 1024, 4096):
        parsed = config.parse(configuration(limits={"sockets": sockets}) | {"settings": SETTINGS})
        apart = parsed.max_upstream_connections + parsed.max_management_connections + config.OWN_DESCRIPTORS
        assert parsed.max_clients + 2 * apart <= parsed.sockets
        assert parsed.max_upstream_connections >= parsed.sockets // 6

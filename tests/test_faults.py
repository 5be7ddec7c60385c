"""Faults in runs of the testbed, links and datagrams; the checkers must find planted faults."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator
from functools import partial
from typing import cast

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st

from sprucenotch.settings import SettingsError
from sprucenotch.testbed import nemesis, plan
from sprucenotch.testbed.injection import _in_batches
from sprucenotch.testbed.net.datagrams import PeerRelays
from sprucenotch.testbed.net.link import Link, LinkFault
from sprucenotch.testbed.net.relay import Relay
from sprucenotch.testbed.process import raise_descriptor_limit
from sprucenotch.testbed.revision import ROOT, Program
from sprucenotch.testbed.runner import PlanRun, Result
from tests.planted import AT_STARTS, FAULTS
from tests.sidecar import run

# Provides what each planted fault needs to show: fragile requests, and engines that fail, do not answer, or
# drain for longer than the grace period.
PLANTED = """
title = "planted faults"
length = "4s"
settle = "100ms"
fleet = { sidecars = 8, engines = 8, queue = 8 }
load = { share = 0.45 }
classes = [
    { name = "read", share = 0.3, work = "20ms", deadline = "600ms" },
    { name = "once", share = 0.7, work = "20ms", deadline = "600ms", effect = "fragile" },
]
step = [
    { do = "replace", on = "engine-[0-2]", at = "100ms", notice = "2s" },
    { do = "engines", on = "engine-[347]", trouble = "failing", at = "500ms", lasts = "3s" },
    { do = "engines", on = "engine-[56]", trouble = "silent", at = "2200ms", lasts = "1s" },
]
"""


def played(text: str, seed: int, programs: dict[str, Program] | None = None) -> Result:
    return uvloop.run(PlanRun(plan.decode(text.encode()), seed, programs=programs).run())


def test_checkers_planted_faults_each_reported_under_its_rule_only() -> None:
    programs = {
        f"sidecar-{number}": Program((sys.executable, "-m", "tests.planted", name), ROOT)
        for number, name in enumerate(FAULTS)
    }
    result = played(PLANTED, 1, programs)
    found: dict[str, set[str]] = {}
    for finding in result.findings:
        found.setdefault(finding.who, set()).add(finding.rule)
    assert found == {f"sidecar-{n}": {rule} for n, (_, rule) in enumerate(FAULTS.values())}
    assert all(finding.time_line for finding in result.findings if finding.rule != "telemetry untrue")


# Each sidecar is killed and restarted, the last two by a power cut, while engines are replaced.
AT_STARTS_PLAN = """
title = "planted faults at starts"
length = "3800ms"
settle = "100ms"
fleet = { sidecars = 5, engines = 5, state = "folder" }
load = { share = 0.1 }
step = [
    { do = "replace", on = "engine-[01]", at = "100ms", notice = "100ms" },
    { do = "restart", on = "sidecar-[0-2]", at = "1500ms", down = "200ms" },
    { do = "restart", on = "sidecar-[34]", how = "power", at = "3200ms" },
]
"""


def test_recovery_checker_planted_state_faults_reported_at_next_start() -> None:
    programs = {
        f"sidecar-{number}": Program((sys.executable, "-m", "tests.planted", name), ROOT)
        for number, name in enumerate(AT_STARTS)
    }
    result = played(AT_STARTS_PLAN, 2, programs)
    assert {(finding.who, finding.rule) for finding in result.findings} == {
        (f"sidecar-{number}", "recovery") for number, name in enumerate(AT_STARTS) if name != "none"
    }
    assert result.judged["recovery"] == 5


# ---- links


class Echo(asyncio.Protocol):
    """Echoes received data. `connections` counts connections."""

    connections = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        Echo.connections += 1
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._transport.write(data)


@contextlib.asynccontextmanager
async def relayed() -> AsyncIterator[tuple[Relay, Link]]:
    server = await asyncio.get_running_loop().create_server(Echo, "127.0.0.1", 0, backlog=1024)
    link = Link("a", "b")
    relay = Relay(link, lambda: server.sockets[0].getsockname())
    relay.open()
    try:
        yield relay, link
    finally:
        relay.close()
        server.close()


def test_link_cut_passes_nothing_and_delivers_pending_data_once_healed() -> None:
    async def test() -> None:
        async with relayed() as (relay, link):
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(b"before")
            assert await reader.readexactly(6) == b"before"
            link.add_fault(1, LinkFault(cut=True))
            link.add_fault(2, LinkFault(way="there", delay=0.01))
            writer.write(b"during")
            connections = Echo.connections
            pending = asyncio.ensure_future(asyncio.open_connection(*relay.address))
            # Traffic on another link passes first, so anything from the cut link would have arrived by now.
            async with relayed() as (other, _):
                there, back = await asyncio.open_connection(*other.address)
                back.write(b"x")
                await there.readexactly(1)
            assert not pending.done() and Echo.connections == connections + 1
            assert not reader._buffer  # type: ignore[attr-defined]
            link.remove_fault(1)
            assert await reader.readexactly(6) == b"during"
            reader, writer = await pending
            writer.write(b"after")
            assert await reader.readexactly(5) == b"after"

    run(test())


def test_link_reset_within_an_answer_and_half_open_until_healed() -> None:
    async def test() -> None:
        async with relayed() as (relay, link):
            link.add_fault(1, LinkFault(way="back", reset_after=10))
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(bytes(30))
            with pytest.raises(ConnectionResetError):
                await reader.readexactly(30)
            link.remove_fault(1)
            link.add_fault(2, LinkFault(half_open=True))
            connections = Echo.connections
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(b"x")
            relay.refuse()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*relay.address)
            link.remove_fault(2)
            with pytest.raises(ConnectionResetError):
                await reader.readexactly(1)
            assert Echo.connections == connections

    run(test())


def test_relay_thousand_connections_deliver_data_complete_and_in_order() -> None:
    async def test() -> None:
        raise_descriptor_limit()
        async with relayed() as (relay, link):
            link.add_fault(1, LinkFault(delay=0.001, jitter=0.01, rate=1e9))

            opening, up = asyncio.Semaphore(64), asyncio.Barrier(1000)

            async def one(number: int) -> bool:
                sent = b"".join(b"%d %d," % (number, part) for part in range(5))
                async with opening:
                    reader, writer = await asyncio.open_connection(*relay.address)
                await up.wait()  # until all are open
                for start in range(0, len(sent), 16):
                    writer.write(sent[start : start + 16])
                    await asyncio.sleep(0)
                got = await reader.readexactly(len(sent))
                writer.close()
                return got == sent

            assert all(await asyncio.gather(*(one(number) for number in range(1000))))

    run(test())


def test_datagrams_are_lost_duplicated_and_keep_the_senders_relay_address() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        got: dict[str, list[tuple[bytes, str]]] = {"a": [], "b": [], "c": []}
        arrived = asyncio.Event()

        class Peer(asyncio.DatagramProtocol):
            def __init__(self, name: str) -> None:
                self._name = name

            def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
                got[self._name].append((data, f"{addr[0]}:{addr[1]}"))
                if data == b"last":
                    arrived.set()

        ends = {}
        for name in got:
            ends[name], _ = await loop.create_datagram_endpoint(partial(Peer, name), ("127.0.0.1", 0))
        links = {f"{a}>{b}": Link(a, b) for a in got for b in got if a != b}
        relays = PeerRelays({n: end.get_extra_info("sockname") for n, end in ends.items()}, links, seed=1)
        await relays.open()

        def send(source: str, target: str, data: bytes) -> None:
            host, _, port = relays.dial(source, target).partition(":")
            ends[source].sendto(data, (host, int(port)))

        links["a>b"].add_fault(1, LinkFault(duplicate=1.0))
        links["a>c"].add_fault(2, LinkFault(cut=True))
        send("a", "*", b"all")
        send("a", "b", b"last")
        await arrived.wait()
        known = relays.dial("b", "a")  # the address of a as b sees it
        assert got["b"][:3] == [(b"all", known), (b"all", known), (b"last", known)]
        assert got["c"] == [] and relays.dropped == 1
        relays.close()
        for end in ends.values():
            end.close()

    run(test())


# ---- plans


@given(
    seed=st.integers(0, 2**32), every=st.integers(50, 2000), shortest=st.integers(1, 900),
    more=st.integers(0, 4000), at_once=st.integers(1, 5),
)  # fmt: skip
def test_nemesis_is_deterministic_respects_the_overlap_limit_and_heals_in_time(
    seed: int, every: int, shortest: int, more: int, at_once: int
) -> None:
    text = f"""
        title = "x"
        length = "12s"
        [nemesis]
        start = "1s"
        end = "10s"
        every = "{every}ms"
        shortest = "{shortest}ms"
        longest = "{shortest + more}ms"
        at_once = {at_once}
        fault = [{{ do = "pause", on = "sidecar-*" }}, {{ do = "restart", on = "engine-*" }}]
    """
    drawn, drawn_again = (nemesis.steps(plan.decode(text.encode()), seed) for _ in range(2))
    assert drawn == drawn_again
    assert all(step.at >= 1 and step.at + step.lasts <= 10 for step in drawn)
    ends = [step.at + (step.lasts or nemesis.SELF_ENDING_DURATION) for step in drawn]
    for step in drawn:
        active = [one for one, end in zip(drawn, ends, strict=True) if one.at <= step.at < end]
        assert len(active) <= at_once


def test_plan_with_several_errors_reports_all_of_them() -> None:
    text = b"""
        titel = "x"
        length = "12"
        fleet = { sidecars = 0 }
        step = [{ do = "pausee", at = "1s" }, { do = "cut", source = "sidecar-*", at = "1s" },
                { do = "pause", on = "sidecar-0", at = "1s" }]
    """
    with pytest.raises(SettingsError) as raised:
        plan.decode(text)
    paths = [problem.path for problem in raised.value.problems]
    assert paths == ["titel", "length", "fleet.sidecars", "title", "step[0].do", "step[1].target",
                     "step[2].lasts"]  # fmt: skip
    impossible = b"""
        title = "x"
        length = "3s"
        step = [{ do = "pause", on = "sidecar-7", at = "2s", lasts = "2s" },
                { do = "cut", source = "engine-*", target = "sidecar-*", at = "0s", lasts = "1s" }]
    """
    with pytest.raises(SettingsError) as raised:
        plan.decode(impossible)
    assert len(raised.value.problems) == 3


def test_fault_on_many_links_yields_to_the_event_loop() -> None:
    async def turns_meanwhile() -> int:
        turns = 0

        async def other() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        task = asyncio.create_task(other())
        await _in_batches([Link("a", str(n)) for n in range(160)], lambda link: link.remove_fault(1))
        task.cancel()
        return turns

    assert asyncio.run(turns_meanwhile()) >= 9

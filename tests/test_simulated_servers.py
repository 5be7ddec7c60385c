"""Unit tests of the simulated engine and discovery service."""

from __future__ import annotations

import asyncio
import json

from sprucenotch.testbed.discovery import Discovery, Entry
from sprucenotch.testbed.engine import DECLINED, Engine, Work
from sprucenotch.testbed.http import Request
from tests.sidecar import run

WORK = {b"look": Work(0.001)}


def send(engine: Engine, answers: list[bytes]) -> None:
    engine._handle(
        Request(b"GET", b"/api", b"", {b"req-kind": b"look", b"req-id": b"1"}, b""), answers.append
    )


def test_engine_serves_its_slots_fills_its_queue_and_declines_the_rest() -> None:
    async def test() -> None:
        engine, answers = Engine("e", "z", WORK, slots=2, queue=3, seed=1), list[bytes]()
        for _ in range(7):
            send(engine, answers)
        assert (engine.busy, engine.held, answers) == (2, 5, [DECLINED, DECLINED])
        while engine.held:
            await asyncio.sleep(0)
        assert engine.served == 5 and all(answer.startswith(b"HTTP/1.1 200") for answer in answers[2:])

    run(test())


def test_requests_of_a_killed_engine_are_never_answered() -> None:
    async def test() -> None:
        engine, answers = Engine("e", "z", WORK, slots=1, queue=3, seed=1), list[bytes]()
        send(engine, answers)
        send(engine, answers)
        engine.up = True
        await engine.stop()
        send(engine, answers)
        while engine.held:
            await asyncio.sleep(0)
        assert (engine.served, len(answers)) == (1, 1)

    run(test())


def watch(discovery: Discovery, query: bytes) -> asyncio.Future[bytes]:
    answered: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
    discovery._handle("", Request(b"GET", b"/discovery/hosts", query, {}, b""), answered.set_result)
    return answered


def entry(name: str) -> Entry:
    return Entry(host=name, dial="127.0.0.1:1", site="z", block=0, health="up", share=1.0, born_ms=0)


def test_watch_waits_for_a_change_and_unknown_version_gets_the_full_list() -> None:
    async def test() -> None:
        discovery = Discovery()
        await discovery.publish(entry("engine-0"))
        waiting = watch(discovery, b"from=1&hold_ms=9000")
        await asyncio.sleep(0)
        assert not waiting.done()
        await discovery.publish(entry("engine-1"))
        body = json.loads((await waiting).partition(b"\r\n\r\n")[2])
        assert (body["seq"], body["whole"], [h["host"] for h in body["hosts"]]) == (2, False, ["engine-1"])
        body = json.loads((await watch(discovery, b"from=77&hold_ms=9000")).partition(b"\r\n\r\n")[2])
        assert body["whole"] and len(body["hosts"]) == 2

    run(test())


def test_stale_replica_answers_with_an_older_list_until_it_catches_up() -> None:
    async def test() -> None:
        discovery = Discovery()
        for number in range(3):
            await discovery.publish(entry(f"engine-{number}"))
        await discovery.publish(Entry(**entry("engine-0") | {"health": "removed"}))
        now = discovery._now()
        discovery._changed_at = [now - 10, now - 10, now, now]
        await discovery.behind(5.0)
        assert discovery.up
        assert (await answer(discovery, b"")) == (2, True, ["engine-0", "engine-1"])
        assert (await answer(discovery, b"from=4&hold_ms=9000")) == (2, True, ["engine-0", "engine-1"])
        waiting = watch(discovery, b"from=2&hold_ms=9000")
        await asyncio.sleep(0)
        assert not waiting.done()
        await discovery.behind(0.0)
        assert parse_list(await waiting) == (4, False, ["engine-2", "engine-0"])
        assert (await answer(discovery, b"")) == (4, True, ["engine-1", "engine-2"])
        await discovery.stop()

    run(test())


def parse_list(raw: bytes) -> tuple[int, bool, list[str]]:
    """Version, whether it is the full list, and the names of the engines in it."""
    body = json.loads(raw.partition(b"\r\n\r\n")[2])
    return body["seq"], body["whole"], [host["host"] for host in body["hosts"]]


async def answer(discovery: Discovery, query: bytes) -> tuple[int, bool, list[str]]:
    return parse_list(await watch(discovery, query))

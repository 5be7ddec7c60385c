"""The stand-ins by themselves, and once with a real sidecar between them."""

from __future__ import annotations

import asyncio
import json

from sprucenotch.rig.discovery import Discovery, Entry
from sprucenotch.rig.engine import DECLINED, Engine, Work
from sprucenotch.rig.http import Request
from tests.sidecar import run

WORK = {b"look": Work(0.001)}


def ask(engine: Engine, answers: list[bytes]) -> None:
    engine._handle(
        Request(b"GET", b"/api", b"", {b"req-kind": b"look", b"req-id": b"1"}, b""), answers.append
    )


def test_an_engine_serves_its_slots_holds_its_queue_and_declines_the_rest() -> None:
    async def test() -> None:
        engine, answers = Engine("e", "z", WORK, slots=2, queue=3, seed=1), list[bytes]()
        for _ in range(7):
            ask(engine, answers)
        assert (engine.busy, engine.held, answers) == (2, 5, [DECLINED, DECLINED])
        while engine.held:
            await asyncio.sleep(0)
        assert engine.served == 5 and all(answer.startswith(b"HTTP/1.1 200") for answer in answers[2:])

    run(test())


def test_what_a_dead_engine_had_begun_ends_nowhere() -> None:
    async def test() -> None:
        engine, answers = Engine("e", "z", WORK, slots=1, queue=3, seed=1), list[bytes]()
        ask(engine, answers)
        ask(engine, answers)
        engine.up = True
        await engine.die()
        ask(engine, answers)
        while engine.held:
            await asyncio.sleep(0)
        assert (engine.served, len(answers)) == (1, 1)

    run(test())


def watch(discovery: Discovery, query: bytes) -> asyncio.Future[bytes]:
    told: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
    discovery._handle("", Request(b"GET", b"/discovery/hosts", query, {}, b""), told.set_result)
    return told


def entry(name: str) -> Entry:
    return Entry(host=name, dial="127.0.0.1:1", site="z", block=0, health="up", share=1.0, born_ms=0)


def test_a_watch_waits_for_the_change_and_one_from_nowhere_gets_the_whole_list() -> None:
    async def test() -> None:
        discovery = Discovery()
        await discovery.tell(entry("engine-0"))
        waiting = watch(discovery, b"from=1&hold_ms=9000")
        await asyncio.sleep(0)
        assert not waiting.done()
        await discovery.tell(entry("engine-1"))
        told = json.loads((await waiting).partition(b"\r\n\r\n")[2])
        assert (told["seq"], told["whole"], [h["host"] for h in told["hosts"]]) == (2, False, ["engine-1"])
        told = json.loads((await watch(discovery, b"from=77&hold_ms=9000")).partition(b"\r\n\r\n")[2])
        assert told["whole"] and len(told["hosts"]) == 2

    run(test())


def test_a_replica_that_is_behind_answers_by_an_older_list_until_it_has_caught_up() -> None:
    async def test() -> None:
        discovery = Discovery()
        for number in range(3):
            await discovery.tell(entry(f"engine-{number}"))
        await discovery.tell(Entry(**entry("engine-0") | {"health": "removed"}))
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
        assert told(await waiting) == (4, False, ["engine-2", "engine-0"])
        assert (await answer(discovery, b"")) == (4, True, ["engine-1", "engine-2"])
        await discovery.die()

    run(test())


def told(raw: bytes) -> tuple[int, bool, list[str]]:
    """Version, whether it is the whole list, and the engines that it names."""
    answered = json.loads(raw.partition(b"\r\n\r\n")[2])
    return answered["seq"], answered["whole"], [host["host"] for host in answered["hosts"]]


async def answer(discovery: Discovery, query: bytes) -> tuple[int, bool, list[str]]:
    return told(await watch(discovery, query))

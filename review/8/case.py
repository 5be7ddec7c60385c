"""Case 8: requests with a body of 5 KB that follow each other within 50 ms are all refused after a second.

Two clients send one request at a time on a kept connection, with a pause of up to 20 ms after each
answer. The engines are sound and answer after 10 ms. The rule is broken if in the last 5 s all requests
are refused, with no attempt at an engine. Without trouble the bodies have 212 bytes, as in the protocol's
example.
"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import scene

BODY_SIZE = 5_000 if scene.TROUBLE else 212  # bytes; the protocol allows 64 KiB
CLIENTS = 2
WORK = 0.01  # seconds that a request takes at an engine
MAX_PAUSE = 0.02  # seconds between an answer and the client's next request
DEADLINE = 1.0  # seconds
PLAY, JUDGED = 12.0, 5.0  # seconds; the rule speaks of 4
MIN_REQUESTS = 15  # the rule's number


async def case(record, folder, started):
    discovery = scene.Discovery(record)
    await discovery.listen()

    async def act(call):
        record(f"told deadline of {call.id}: {call.fields['req-deadline']}")
        await asyncio.sleep(WORK)
        await scene.serve_at_once(call)

    engines = [scene.Engine(record, f"s-{number}") for number in range(3)]
    for engine in engines:
        engine.act = act
        await engine.listen()
        discovery.put(engine)
    order = scene.category(
        "reserve-slot", "dedup", AimNs=500 * scene.MS, HardLimitNs=1200 * scene.MS, Importance=5.0,
        KeyScope="zone", WindowNs=6 * scene.SECOND,
    )  # fmt: skip
    sidecar = scene.Sidecar(record, scene.configuration(discovery, scene.settings(order)), folder)
    started.append(sidecar)
    sidecar.configure()
    sidecar.start()
    await sidecar.ready()
    begun = scene.now()
    judged_from, ends_at = begun + PLAY - JUDGED, begun + PLAY
    answers = []  # time and status

    async def client(number):
        pause, connection = random.Random(number), scene.Client(sidecar.port)
        while scene.now() < ends_at:
            rid = scene.new_id()
            raw = scene.request("reserve-slot", rid, DEADLINE, key=rid * 2, body=bytes(BODY_SIZE), safe=False)
            record(f"client {number} sends {rid}, {BODY_SIZE} bytes")
            status, _ = await connection.call(raw, DEADLINE + 0.55)
            answers.append((scene.now(), status))
            record(f"client {number} got {status} for {rid}")
            await asyncio.sleep(pause.uniform(0, MAX_PAUSE))

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    first = [status for at, status in answers if at < begun + 1]
    last = [status for at, status in answers if at >= judged_from]
    attempts = sum(at >= judged_from for engine in engines for at, _ in engine.calls)
    text = (
        f"first second: {first.count(200)} of {len(first)} served; "
        f"last {JUDGED:.0f} s: {last.count(200)} of {len(last)} served, {last.count(503)} refused, "
        f"{attempts} attempts"
    )
    record(text)
    print(text)
    if first.count(200) < MIN_REQUESTS or len(last) < MIN_REQUESTS:
        raise scene.CouldNotRun("too few requests")
    return scene.BROKEN if last.count(503) == len(last) and not attempts else scene.HELD


scene.play(case, __file__)

"""Case 6: peers with a long body behind "GET /up" drive the sidecar over its memory limit, and it is killed.

Three clients send proper requests, one at a time. Four peers connect and send "GET /up" with a body in
chunks that is 60 MB long. The platform's stand-in kills the sidecar once its own memory exceeds
`memory_mb`, as the page says. The rule is broken if that happens; the requests that it had taken are lost
with it.
"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import scene

MEMORY_MB = 64  # the pages allow 32 to 192
PEERS = 4
PEER_BYTES = 60_000_000  # "6 s when there is 60 MB to send"
PIECE = 60_000  # bytes of a chunk
PEER_TIME = 6.05  # seconds, with 50 ms more
CALM, PLAY = 2.0, 10.0  # seconds before the peers come, and in all
WORK = 0.2  # seconds that a request takes at an engine


def memory_mb(pid):
    """Megabytes of the process's own memory: without the pages of files that it has mapped."""
    own = 0
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith(("RssAnon:", "RssShmem:")):
            own += int(line.split()[1]) * 1024
    return own / 1_000_000


async def case(record, folder, started):
    discovery = scene.Discovery(record)
    await discovery.listen()

    async def act(call):
        await asyncio.sleep(WORK)
        await scene.serve_at_once(call)

    for number in range(3):
        engine = scene.Engine(record, f"s-{number}")
        engine.act = act
        await engine.listen()
        discovery.put(engine)
    wanted = scene.settings(scene.category("price-check"))
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    sidecar = scene.Sidecar(record, scene.configuration(discovery, wanted, limits=limits), folder)
    started.append(sidecar)
    sidecar.configure()
    sidecar.start()
    await sidecar.ready()
    ends_at = scene.now() + PLAY
    most, killed, answered, lost = 0.0, False, 0, 0

    async def platform():
        nonlocal most, killed
        while scene.now() < ends_at and sidecar.alive:
            used = memory_mb(sidecar.process.pid)
            if used > most + 5:
                record(f"sidecar: {used:.1f} MB")
            most = max(most, used)
            if used > MEMORY_MB:
                killed = True
                record(f"platform: {used:.1f} MB are over the limit of {MEMORY_MB} MB")
                sidecar.signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.01)

    async def client(number):
        nonlocal answered, lost
        connection = scene.Client(sidecar.port)
        while scene.now() < ends_at and not (killed or lost):
            rid = scene.new_id()
            record(f"client {number} sends {rid}")
            try:
                status, _ = await connection.call(scene.request("price-check", rid), 2.5)
                answered += 1
                record(f"client {number} got {status} for {rid}")
            except (OSError, EOFError, TimeoutError) as problem:
                lost += 1
                record(f"client {number} got no answer to {rid}: {type(problem).__name__}")
                return

    async def peer(number):
        _, writer = await asyncio.open_connection("127.0.0.1", sidecar.port)
        writer.write(b"GET /up HTTP/1.1\r\nHost: backend.local\r\nTransfer-Encoding: chunked\r\n\r\n")
        sent, gone_at = 0, scene.now() + PEER_TIME
        try:
            while sent < PEER_BYTES and scene.now() < gone_at:
                writer.write(b"%x\r\n" % PIECE + bytes(PIECE) + b"\r\n")
                sent += PIECE
                await asyncio.wait_for(writer.drain(), gone_at - scene.now())
        except (OSError, TimeoutError) as problem:
            record(f"peer {number}: {type(problem).__name__}")
        record(f"peer {number} has sent {sent} bytes of its body and goes")
        writer.transport.abort()

    async def peers():
        await asyncio.sleep(CALM)
        if scene.TROUBLE:
            await asyncio.gather(*(peer(number) for number in range(PEERS)))

    await asyncio.gather(platform(), peers(), *(client(number) for number in range(3)))
    text = f"at most {most:.1f} MB of {MEMORY_MB}, killed: {killed}; {answered} answered, {lost} unanswered"
    record(text)
    print(text)
    if not answered:
        raise scene.CouldNotRun("no proper request was answered")
    return scene.BROKEN if killed or lost or not sidecar.alive else scene.HELD


scene.play(case, __file__)

"""Case 10: a peer whose message is no proper HTTP/1.1 request is served, and a quote engine runs it.

One client sends proper requests. Beside it peers connect that send a request which HTTP/1.1 does not allow,
and wait. The rule is broken if an engine runs such a message, or its peer gets a 200. A 4xx, a 5xx or a
close is right.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import scene

ROUNDS = 10
PEER_LIMIT = 3.05  # seconds in which a peer is owed an error or a close, with 50 ms more


def without_host(raw):
    """RFC 9112, 3.2: a server must answer 400 to an HTTP/1.1 request that lacks a Host field."""
    return raw.replace(b"Host: backend.local\r\n", b"")


def two_hosts(raw):
    """RFC 9112, 3.2: the same if it has more than one."""
    return raw.replace(b"Host: backend.local\r\n", b"Host: backend.local\r\nHost: other.local\r\n")


def other_version(raw):
    """A version of HTTP that is not spoken in this form: the page says that all traffic is HTTP/1.1."""
    return raw.replace(b" HTTP/1.1\r\n", b" HTTP/2.0\r\n")


async def case(record, folder, started):
    discovery = scene.Discovery(record)
    await discovery.listen()
    engines = [scene.Engine(record, f"s-{number}") for number in range(3)]
    for engine in engines:
        await engine.listen()
        discovery.put(engine)
    wanted = scene.settings(scene.category("price-check"))
    sidecar = scene.Sidecar(record, scene.configuration(discovery, wanted), folder)
    started.append(sidecar)
    sidecar.configure()
    sidecar.start()
    await sidecar.ready()
    improper, served_peers, served = set(), 0, 0
    client = scene.Client(sidecar.port)
    for _ in range(ROUNDS):
        for spoil in (without_host, two_hosts, other_version):
            rid = scene.new_id()
            status, _ = await client.call(scene.request("price-check", rid), 2.5)
            served += status == 200
            record(f"client got {status} for {rid}")
            if not scene.TROUBLE:
                continue
            rid = scene.new_id()
            improper.add(rid)
            raw = spoil(scene.request("price-check", rid))
            record(f"peer sends, {spoil.__name__}: {raw!r}")
            try:
                status, body = await scene.ask(sidecar.port, raw, PEER_LIMIT)
                served_peers += status == 200
                record(f"peer got {status} {body!r}")
            except (OSError, EOFError) as problem:
                record(f"peer's connection was closed: {type(problem).__name__}")
            except TimeoutError:
                record("peer got neither an error nor a close")
            await asyncio.sleep(0.05)
    run = sum(call.id in improper for engine in engines for _, call in engine.calls)
    text = f"{len(improper)} improper messages: {served_peers} answered with 200, {run} run by an engine"
    record(text)
    print(text)
    if served < ROUNDS:
        raise scene.CouldNotRun("too few proper requests were served")
    return scene.BROKEN if served_peers or run else scene.HELD


scene.play(case, __file__)

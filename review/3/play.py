"""A kept connection carries a long request in chunks, then one in two pieces: both have to be answered."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Discovery, Engine, Record, Request, Sidecar, answer, request_bytes, run_play, settings

FOLDER = Path(__file__).resolve().parent
CLIENTS = 6  # one after the other, each with a connection of its own
LONG_SIZES = (66_000, 70_000, 75_000, 80_000, 85_000, 90_000)  # bytes of the request in chunks
CHUNK = 8_000
SHORT_SIZE = 20_000  # bytes of the body of the request in pieces
DEADLINE = 3.0  # seconds, of the class
PAUSE = 0.1  # seconds between its head and its body: 200 kB a second
MAX_LATE = 0.5  # seconds after its time until which an answer is only late


def work(record: Record):
    async def run(request: Request, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.06)
        writer.write(answer(200, f"{request.id}:{len(request.body)}".encode()))

    return run


def chunked(id: str, size: int) -> bytes:
    """Build a request whose body comes in chunks."""
    head, _, _ = request_bytes("place-order", id, DEADLINE, key=f"key-{id}").partition(b"Content-Length")
    body = b"x" * size
    chunks = (body[at : at + CHUNK] for at in range(0, size, CHUNK))
    coded = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + coded + b"0\r\n\r\n"


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    length = head.partition("content-length:")[2].partition("\r\n")[0]
    return int(head.split(" ")[1]), await reader.readexactly(int(length))


async def answered(reader: asyncio.StreamReader, id: str, record: Record) -> bool:
    """Wait for the answer to a request that has just been written whole; return whether it came in time."""
    began = time.monotonic()
    try:
        async with asyncio.timeout(DEADLINE + MAX_LATE):
            status, body = await read_answer(reader)
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as problem:
        took = time.monotonic() - began
        record.line("client", f"LOST: no answer to {id} in {took:.1f} s: {type(problem).__name__}")
        return False
    record.line("client", f"answer to {id}: {status} {body.decode()!r} in {time.monotonic() - began:.2f} s")
    return True


async def client(address: tuple[str, int], number: int, in_pieces: bool, record: Record) -> int:
    """Send the two requests on one connection; return the number of those that were lost."""
    reader, writer = await asyncio.open_connection(*address)
    size = LONG_SIZES[number % len(LONG_SIZES)]
    long_id, short_id = f"long-{number}", f"short-{number}"
    record.line("client", f"sends {long_id}, {size} bytes in chunks")
    writer.write(chunked(long_id, size))
    await writer.drain()
    lost = not await answered(reader, long_id, record)
    await asyncio.sleep(0.2)
    raw = request_bytes("place-order", short_id, DEADLINE, key=f"key-{short_id}", body=b"x" * SHORT_SIZE)
    record.line("client", f"sends {short_id}, {SHORT_SIZE} bytes, in {'two pieces' if in_pieces else 'one'}")
    if in_pieces:
        writer.write(raw[:-SHORT_SIZE])
        await asyncio.sleep(PAUSE)
        writer.write(raw[-SHORT_SIZE:])
    else:
        writer.write(raw)
    await writer.drain()
    lost += not await answered(reader, short_id, record)
    writer.close()
    return lost


async def play(record: Record, trouble: bool) -> bool:
    discovery = Discovery()
    engines = [Engine(f"engine-{n}", record, work(record)) for n in range(3)]
    for server in (discovery, *engines):
        await server.start()
    discovery.list({engine.name: engine.dial for engine in engines})
    sidecar = Sidecar(record, discovery, settings())
    try:
        await sidecar.start()
        lost = 0
        for number in range(CLIENTS):
            lost += await client(sidecar.address, number, trouble, record)
        record.line("play", f"{lost} of {2 * CLIENTS} requests were lost")
        return not lost
    finally:
        await sidecar.stop()
        for server in (discovery, *engines):
            await server.stop()


if __name__ == "__main__":
    sys.exit(run_play(FOLDER, play, 100.0))

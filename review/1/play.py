"""A client leaves while it reads a long answer: the long answers of other clients have to come whole."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Discovery, Engine, Record, Request, Sidecar, request_bytes, run_play, settings

FOLDER = Path(__file__).resolve().parent
ROUNDS, PAIRS = 5, 4
# Bytes of the answers to clients that take their time: long, as they are over 64 KiB, and somewhat more than
# the kernel takes for a client that does not read.
SLOW_SIZES = (80_000, 92_000, 110_000, 125_000)
# Bytes of the other long answers, which an engine gives in pieces over two seconds.
PIECE, PIECES, PIECE_PAUSE = 16_000, 20, 0.1
READING_PAUSE = 1.0  # seconds for which a slow client does not read
MAX_HELD_BACK = 2.0  # seconds; the page's bound for the rest of an answer
# The segment size of an Ethernet link and a small receive buffer: the answers that a slow client leaves
# unread can be short. With loopback's segments of 64 KiB they would have to be megabytes long.
SEGMENT, RECEIVE_BUFFER = 1448, 4096


def body_of(id: str, size: int) -> bytes:
    """Return the body that an engine makes for a request: its id, over and over."""
    line = f"{id};".encode()
    return (line * (size // len(line) + 1))[:size]


def slow_size(id: str) -> int:
    """Return the size of the answer to a slow client, by the number at the end of its id."""
    return SLOW_SIZES[int(id.rpartition("-")[2]) % len(SLOW_SIZES)]


def work(record: Record):
    async def run(request: Request, writer: asyncio.StreamWriter) -> None:
        slow = request.id.startswith("slow")
        size = slow_size(request.id) if slow else PIECE * PIECES
        body = body_of(request.id, size)
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode())
        try:
            if slow:
                writer.write(body)
                await writer.drain()
            else:
                for at in range(0, size, PIECE):
                    writer.write(body[at : at + PIECE])
                    await writer.drain()
                    await asyncio.sleep(PIECE_PAUSE)
        except ConnectionError:
            record.line(
                "engine", f"connection closed by the sidecar in the middle of the answer to {request.id}"
            )
            raise
        record.line("engine", f"has given all {size} bytes of the answer to {request.id}")

    return run


async def slow_client(address: tuple[str, int], id: str, leaves: bool, record: Record) -> None:
    """Send a request, do not read for a while, then leave, or read the whole answer."""
    connected = socket.socket()
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    connected.setblocking(False)
    loop = asyncio.get_running_loop()
    with connected:
        await loop.sock_connect(connected, address)
        record.line("client", f"sends {id}")
        await loop.sock_sendall(connected, request_bytes("price-check", id, 2.0))
        await asyncio.sleep(0.3 + READING_PAUSE)
        if leaves:
            record.line("client", f"of {id} leaves")
            return
        received = 0
        while received < slow_size(id) and (piece := await loop.sock_recv(connected, 4096)):
            received += len(piece)
        record.line("client", f"has read {received} bytes for {id}")


async def client(address: tuple[str, int], id: str, record: Record) -> bool:
    """Send a request and read its long answer; return whether all of it came and is right."""
    reader, writer = await asyncio.open_connection(*address)
    record.line("client", f"sends {id}")
    writer.write(request_bytes("price-check", id, 2.0))
    try:
        async with asyncio.timeout(2.55):  # its deadline, and half a second
            head = await reader.readuntil(b"\r\n\r\n")
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as problem:
        record.line("client", f"LOST: no answer to {id}: {type(problem).__name__}")
        writer.close()
        return False
    status = head.split(b" ")[1].decode()
    if status != "200":
        record.line("client", f"answer to {id}: {status}")
        writer.close()
        return True  # a refusal or a failure is a final answer
    body, began, how = b"", time.monotonic(), "whole"
    while len(body) < PIECE * PIECES:
        try:
            async with asyncio.timeout(MAX_HELD_BACK + 1.0):
                piece = await reader.read(65536)
        except TimeoutError:
            how = f"nothing more came for {MAX_HELD_BACK + 1.0:.0f} s, and the connection stays open"
            break
        except ConnectionError:
            piece = b""
        if not piece:
            how = "the connection ended"
            break
        body += piece
    right = body == body_of(id, PIECE * PIECES)
    record.line(
        "client",
        f"{'' if right else 'LOST: '}answer to {id}: 200, {len(body)} of {PIECE * PIECES} bytes in "
        f"{time.monotonic() - began:.1f} s, {how}",
    )
    with contextlib.suppress(ConnectionError):
        writer.close()
    return right


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
        for number in range(ROUNDS):
            slow = [
                asyncio.ensure_future(slow_client(sidecar.address, f"slow-{number}-{n}", trouble, record))
                for n in range(PAIRS)
            ]
            await asyncio.sleep(0.3)
            others = [client(sidecar.address, f"long-{number}-{n}", record) for n in range(PAIRS)]
            lost += (await asyncio.gather(*others)).count(False)
            await asyncio.gather(*slow)
        record.line("play", f"{lost} of {ROUNDS * PAIRS} long answers to clients that stayed were lost")
        return not lost
    finally:
        await sidecar.stop()
        for server in (discovery, *engines):
            await server.stop()


if __name__ == "__main__":
    sys.exit(run_play(FOLDER, play, 100.0))

"""`python -m sprucenotch.testbed.fake_server`: runs a simulated engine or discovery in a separate process.

It reads commands from standard input, one JSON line each, and writes events and replies to standard output.
It exits at the end of its input. The testbed's side of this protocol is `fake_server_proxy.py`.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
import uvloop
from msgspec import Struct

from sprucenotch.testbed.checker.history import Event, Ran
from sprucenotch.testbed.discovery import Discovery
from sprucenotch.testbed.engine import Engine, WarmUp, Work

MAX_LINE = 1 << 24  # bytes


class EngineSpec(Struct, frozen=True):
    """The parameters of an engine."""

    name: str
    zone: str
    work: Mapping[str, Work]
    slots: int
    queue: int
    seed: int
    cold: WarmUp
    origin: float
    dial: str = ""  # its address before a restart
    life: int = 0


class Command(Struct, frozen=True):
    """A call of the method `do`."""

    number: int
    do: str
    args: Mapping[str, Any] = {}


class Reply(Struct, frozen=True):
    """The result of the command of that number, or its error."""

    number: int
    value: Any = None
    problem: str = ""


def emit(value: Event | Reply) -> None:
    """Write a line unbuffered, so that it is not lost if this process is killed right afterwards."""
    raw = msgspec.json.encode(value) + b"\n"
    while raw:
        raw = raw[os.write(1, raw) :]


def engine(spec: EngineSpec, on_event: Callable[[Ran], None]) -> Engine:
    """Create an engine from its parameters."""
    created = Engine(
        spec.name, spec.zone, {name.encode(): work for name, work in spec.work.items()}, spec.slots,
        spec.queue, spec.seed, spec.cold, on_event, spec.origin,
    )  # fmt: skip
    created.server.dial, created.life = spec.dial, spec.life
    return created


async def serve(first: str) -> None:
    """Create what `first` names, then execute commands one after another until the end of the input."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    kind, _, raw = first.partition(" ")
    target: Engine | Discovery
    if kind == "engine":
        target = engine(msgspec.json.decode(raw, type=EngineSpec), emit)
    else:
        target = Discovery(emit, float(raw))
    while line := await reader.readline():
        command = msgspec.json.decode(line, type=Command)
        try:
            value = await getattr(target, command.do)(**command.args)
            if command.do == "start":
                value = target.server.dial
            emit(Reply(command.number, value))
        except OSError as error:
            emit(Reply(command.number, problem=str(error)))


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1]))

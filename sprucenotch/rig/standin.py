"""`python -m sprucenotch.rig.standin`: an engine or discovery as a process of its own.

It reads commands on standard input, a JSON line each, and writes what it saw and its replies on standard
output. It ends with its input. Both sides of this stand in `remote.py`.
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

from sprucenotch.rig.discovery import Discovery
from sprucenotch.rig.engine import Cold, Engine, Work
from sprucenotch.rig.truth.history import Event, Ran

LINE_MOST = 1 << 24


class EngineSpec(Struct, frozen=True):
    name: str
    zone: str
    work: Mapping[str, Work]
    slots: int
    queue: int
    seed: int
    cold: Cold
    origin: float
    dial: str = ""  # where it listened before
    life: int = 0


class Command(Struct, frozen=True):
    number: int
    do: str
    args: Mapping[str, Any] = {}


class Reply(Struct, frozen=True):
    number: int
    value: Any = None
    problem: str = ""


def say(value: Event | Reply) -> None:
    """Written at once, so that it is known even if this process is killed in the next moment."""
    raw = msgspec.json.encode(value) + b"\n"
    while raw:
        raw = raw[os.write(1, raw) :]


def engine(spec: EngineSpec, witness: Callable[[Ran], None]) -> Engine:
    made = Engine(
        spec.name, spec.zone, {name.encode(): work for name, work in spec.work.items()}, spec.slots,
        spec.queue, spec.seed, spec.cold, witness, spec.origin,
    )  # fmt: skip
    made.server.dial, made.life = spec.dial, spec.life
    return made


async def serve(first: str) -> None:
    """Carry out one command after the other until there are no more."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE_MOST)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    kind, _, raw = first.partition(" ")
    thing: Engine | Discovery
    if kind == "engine":
        thing = engine(msgspec.json.decode(raw, type=EngineSpec), say)
    else:
        thing = Discovery(say, float(raw))
    while line := await reader.readline():
        command = msgspec.json.decode(line, type=Command)
        try:
            value = await getattr(thing, command.do)(**command.args)
            if command.do == "start":
                value = thing.server.dial
            say(Reply(command.number, value))
        except OSError as problem:
            say(Reply(command.number, problem=str(problem)))


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1]))

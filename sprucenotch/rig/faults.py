"""The faults that a plan can bring, as values. What carries them out is `actions.py`.

`on` names processes by pattern: `sidecar-0`, `sidecar-*`, `engine-[0-2]`, `engine-*@south` for those of a
zone, `discovery`. `share` takes that part of them, drawn by the seed. Links go from `source` to `target`,
patterns as well; clients are `client`. Times are in nanoseconds, as in all settings.
"""

from __future__ import annotations

from typing import Annotated, Literal, TypeAlias

from msgspec import Meta, Struct

from sprucenotch.settings import Share, Span, Time

Part: TypeAlias = Annotated[float, Meta(gt=0, le=1, description="a share above 0, at most 1")]
Chance: TypeAlias = Annotated[float, Meta(ge=0, le=1, description="a share from 0 to 1")]
Bytes: TypeAlias = Annotated[
    Annotated[int, Meta(ge=0)], Meta(description="a size such as 64kB", extra={"unit": "B"})
]
Pattern: TypeAlias = Annotated[str, Meta(min_length=1, description="a pattern such as sidecar-*")]
Directions: TypeAlias = Annotated[Literal["both", "there", "back"], Meta(description="both, there or back")]


class Fault(Struct, frozen=True, kw_only=True, tag_field="do", tag=str.lower):
    """Something that goes wrong and is healed later."""


class OnProcesses(Fault, frozen=True, kw_only=True, tag=None):
    on: Pattern
    share: Part = 1


class OnLinks(Fault, frozen=True, kw_only=True, tag=None):
    source: Pattern
    target: Pattern
    way: Directions = "both"


class Restart(OnProcesses, frozen=True, kw_only=True, tag="restart"):
    """End processes and start them again under the same names."""

    how: Annotated[
        Literal["kill", "term", "upgrade", "power"], Meta(description="kill, term, upgrade or power")
    ] = "kill"  # upgrade: a successor beside it first, then SIGTERM; power: what is not durable is lost too
    down: Span = 0  # between the end and the start
    stagger: Span = 0  # between one process and the next
    revision: str = ""  # of the program, from then on
    knowing: Annotated[Literal["last", "first", "nothing"], Meta(description="last, first or nothing")] = (
        "last"  # the list that it starts with: as it was last, as at the start of the run, or none
    )
    configured: Annotated[Literal["now", "first"], Meta(description="now or first")] = (
        "now"  # with the settings in force, or with those of the start of the run
    )


class Pause(OnProcesses, frozen=True, kw_only=True, tag="pause"):
    """SIGSTOP, and SIGCONT at the end."""


class SlowCpu(OnProcesses, frozen=True, kw_only=True, tag="slow cpu"):
    """Only this share of the time on a processor: stopped for the rest of each 20 ms."""

    cpu: Part = 0.2


class Retune(OnProcesses, frozen=True, kw_only=True, tag="retune"):
    """Other settings by SIGHUP, and the first ones again at the end."""

    attempts: Annotated[int, Meta(ge=1, le=10, description="1 to 10")]


class WrongClock(OnProcesses, frozen=True, kw_only=True, tag="wrong clock"):
    """The wall clock that these processes read from their next start on."""

    ahead: Span = 0
    behind: Span = 0
    drift_ppm: Annotated[float, Meta(ge=-1e5, le=1e5, description="a number from -100000 to 100000")] = 0


class SystemCalls(OnProcesses, frozen=True, kw_only=True, tag="system calls"):
    """One of every so many system calls of a kind fails, or moves a single byte."""

    call: Annotated[
        Literal[
            "accept", "socket", "connect", "connected", "read", "write", "shutdown", "wait", "open",
            "file_write", "sync", "rename", "datagram", "listen", "bind", "epoll_ctl",
        ],
        Meta(description="a kind of system call, such as accept"),
    ]  # fmt: skip
    error: Annotated[str, Meta(pattern="^(E[A-Z0-9]+|short)$", description="such as ENFILE, or short")]
    every: Annotated[int, Meta(ge=1, le=1000, description="1 to 1000")] = 3


class ClockStep(OnProcesses, frozen=True, kw_only=True, tag="clock step"):
    """The wall clock jumps, and jumps back at the end; the monotonic clock runs on."""

    ahead: Span = 0
    behind: Span = 0


class Reload(OnProcesses, frozen=True, kw_only=True, tag="reload"):
    """New configurations in a row by SIGHUP: other settings and the first ones in turn."""

    times: Annotated[int, Meta(ge=1, le=20, description="1 to 20")] = 4
    gap: Span = 30_000_000
    broken: bool = False  # between them, a file that is cut off


class RoughClients(OnProcesses, frozen=True, kw_only=True, tag="clients"):
    """Clients of these sidecars that write slowly, leave before their answer, stop within a request and stay,
    hold idle connections, or send several requests at once."""

    how: Annotated[
        Literal["slow", "leaving", "stuck", "idle", "pipelined"],
        Meta(description="slow, leaving, stuck, idle or pipelined"),
    ]
    per_second: Annotated[float, Meta(gt=0, le=200, description="a number above 0")] = 10  # of all together


class Cut(OnLinks, frozen=True, kw_only=True, tag="cut"):
    """Silence: nothing passes, nothing comes up, nobody is told."""


class Delay(OnLinks, frozen=True, kw_only=True, tag="delay"):
    by: Span
    jitter: Span = 0


class Rate(OnLinks, frozen=True, kw_only=True, tag="rate"):
    per_second: Bytes


class Reset(OnLinks, frozen=True, kw_only=True, tag="reset"):
    """Each connection, once it has passed so much more, and each after it."""

    after: Bytes = 0


class HalfOpen(OnLinks, frozen=True, kw_only=True, tag="half open"):
    """New connections are accepted and stay silent."""


class Datagrams(OnLinks, frozen=True, kw_only=True, tag="datagrams"):
    lost: Chance = 0
    doubled: Chance = 0
    overtaken: Chance = 0
    by: Span = 0


class Engines(OnProcesses, frozen=True, kw_only=True, tag="engines"):
    """Trouble of the engines themselves: they work slower, answer 500, die, go silent, answer a second time
    some milliseconds later, answer nonsense, or never end their answers."""

    trouble: Annotated[
        Literal["slow", "failing", "dead", "silent", "twice", "nonsense", "endless"],
        Meta(description="slow, failing, dead, silent, twice, nonsense or endless"),
    ]
    times: Annotated[float, Meta(ge=1, description="a number of at least 1")] = 6


class Replace(OnProcesses, frozen=True, kw_only=True, tag="replace"):
    """Drain engines, end each after the notice, and start new cold ones in their places."""

    stagger: Span = 0
    notice: Time = 1_000_000_000


class Discovery(Fault, frozen=True, kw_only=True, tag="discovery"):
    """Down, or its answers late by so much, or in its place a replica that is so far behind."""

    late: Span = 0
    behind: Span = 0


class Surge(Fault, frozen=True, kw_only=True, tag="surge"):
    times: Share = 3


KINDS: dict[str, type[Fault]] = {
    str(kind.__struct_config__.tag): kind
    for kind in (
        Restart, Pause, SlowCpu, Retune, WrongClock, Cut, Delay, Rate, Reset, HalfOpen, Datagrams, Engines,
        Replace, Discovery, Surge, SystemCalls, ClockStep, Reload, RoughClients,
    )
}  # fmt: skip
SELF_ENDING = (Restart, Replace, Reload)  # they last as long as they take

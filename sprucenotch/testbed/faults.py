"""The faults that a plan can contain. `injection.py` injects them.

`on` is a pattern of process names: `sidecar-0`, `sidecar-*`, `engine-[0-2]`, `engine-*@south` for a zone,
`discovery`. `share` selects a random part of them, determined by the seed. Links go from `source` to
`target`, which are patterns too; clients are `client`. Times are in nanoseconds, as in all settings.
"""

from __future__ import annotations

from typing import Annotated, Literal, TypeAlias

from msgspec import Meta, Struct

from sprucenotch.settings import Duration, Share, Time

PositiveShare: TypeAlias = Annotated[float, Meta(gt=0, le=1, description="a share above 0, at most 1")]
Probability: TypeAlias = Annotated[float, Meta(ge=0, le=1, description="a share from 0 to 1")]
ByteCount: TypeAlias = Annotated[
    Annotated[int, Meta(ge=0)], Meta(description="a size such as 64kB", extra={"unit": "B"})
]
Pattern: TypeAlias = Annotated[str, Meta(min_length=1, description="a pattern such as sidecar-*")]
Directions: TypeAlias = Annotated[Literal["both", "there", "back"], Meta(description="both, there or back")]


class Fault(Struct, frozen=True, kw_only=True, tag_field="do", tag=str.lower):
    """A failure that is healed later, or ends by itself."""


class OnProcesses(Fault, frozen=True, kw_only=True, tag=None):
    """A fault of processes."""

    on: Pattern
    share: PositiveShare = 1


class OnLinks(Fault, frozen=True, kw_only=True, tag=None):
    """A fault of network links between processes."""

    source: Pattern
    target: Pattern
    way: Directions = "both"


class Restart(OnProcesses, frozen=True, kw_only=True, tag="restart"):
    """End processes and start them again under the same names."""

    how: Annotated[
        Literal["kill", "term", "upgrade", "power"], Meta(description="kill, term, upgrade or power")
    ] = "kill"  # upgrade: start the successor, then SIGTERM; power: lose data that is not durable too
    down: Duration = 0  # time between the end and the start
    stagger: Duration = 0  # time between one process and the next
    revision: str = ""  # of the program to start, if it changes
    knowing: Annotated[Literal["last", "first", "nothing"], Meta(description="last, first or nothing")] = (
        "last"  # the server list it starts with: the last one, the one at the start of the run, or none
    )
    configured: Annotated[Literal["now", "first"], Meta(description="now or first")] = (
        "now"  # with the current settings, or those at the start of the run
    )


class Pause(OnProcesses, frozen=True, kw_only=True, tag="pause"):
    """SIGSTOP, and SIGCONT at the end."""


class SlowCpu(OnProcesses, frozen=True, kw_only=True, tag="slow cpu"):
    """Limits the share of processor time: the process is stopped for the rest of each 20 ms."""

    cpu: PositiveShare = 0.2


class Retune(OnProcesses, frozen=True, kw_only=True, tag="retune"):
    """Changes settings by SIGHUP, and restores the original ones at the end."""

    attempts: Annotated[int, Meta(ge=1, le=10, description="1 to 10")]


class WrongClock(OnProcesses, frozen=True, kw_only=True, tag="wrong clock"):
    """A wrong wall clock, effective from the next start of the process."""

    ahead: Duration = 0
    behind: Duration = 0
    drift_ppm: Annotated[float, Meta(ge=-1e5, le=1e5, description="a number from -100000 to 100000")] = 0


class SystemCalls(OnProcesses, frozen=True, kw_only=True, tag="system calls"):
    """Every n-th system call of a kind fails, or transfers a single byte."""

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
    """Steps the wall clock, and back at the end; the monotonic clock is unaffected."""

    ahead: Duration = 0
    behind: Duration = 0


class Reload(OnProcesses, frozen=True, kw_only=True, tag="reload"):
    """Repeated reloads by SIGHUP that alternate between changed and original settings."""

    times: Annotated[int, Meta(ge=1, le=20, description="1 to 20")] = 4
    gap: Duration = 30_000_000
    broken: bool = False  # truncate the configuration file before each reload


class MisbehavingClients(OnProcesses, frozen=True, kw_only=True, tag="clients"):
    """Clients that write slowly, leave before the answer, stop writing within a request, keep idle
    connections, or send several requests at once."""

    how: Annotated[
        Literal["slow", "leaving", "stuck", "idle", "pipelined"],
        Meta(description="slow, leaving, stuck, idle or pipelined"),
    ]
    per_second: Annotated[float, Meta(gt=0, le=200, description="a number above 0")] = 10  # of all together


class Cut(OnLinks, frozen=True, kw_only=True, tag="cut"):
    """No data passes and no connection is established; the ends get no error."""


class Delay(OnLinks, frozen=True, kw_only=True, tag="delay"):
    """Data arrives later."""

    by: Duration
    jitter: Duration = 0


class Rate(OnLinks, frozen=True, kw_only=True, tag="rate"):
    """Limits the throughput."""

    per_second: ByteCount


class Reset(OnLinks, frozen=True, kw_only=True, tag="reset"):
    """Resets each connection, open or new, once it has carried `after` more bytes."""

    after: ByteCount = 0


class HalfOpen(OnLinks, frozen=True, kw_only=True, tag="half open"):
    """New connections are accepted, but nothing passes on them."""


class Datagrams(OnLinks, frozen=True, kw_only=True, tag="datagrams"):
    """Datagrams are lost, duplicated or reordered, with these probabilities."""

    lost: Probability = 0
    doubled: Probability = 0
    overtaken: Probability = 0
    by: Duration = 0


class Engines(OnProcesses, frozen=True, kw_only=True, tag="engines"):
    """Failures of the engines: they work slower, answer 500, die, never answer, answer a second time some
    milliseconds later, send invalid answers, or never end their answers."""

    trouble: Annotated[
        Literal["slow", "failing", "dead", "silent", "twice", "nonsense", "endless"],
        Meta(description="slow, failing, dead, silent, twice, nonsense or endless"),
    ]
    times: Annotated[float, Meta(ge=1, description="a number of at least 1")] = 6


class Replace(OnProcesses, frozen=True, kw_only=True, tag="replace"):
    """Drain engines, stop each after the notice, and start cold replacements."""

    stagger: Duration = 0
    notice: Time = 1_000_000_000


class Discovery(Fault, frozen=True, kw_only=True, tag="discovery"):
    """Discovery is down; or it answers late; or a replica that is behind takes its place."""

    late: Duration = 0
    behind: Duration = 0


class Surge(Fault, frozen=True, kw_only=True, tag="surge"):
    """Multiplies the load."""

    times: Share = 3


KINDS: dict[str, type[Fault]] = {
    str(kind.__struct_config__.tag): kind
    for kind in (
        Restart, Pause, SlowCpu, Retune, WrongClock, Cut, Delay, Rate, Reset, HalfOpen, Datagrams, Engines,
        Replace, Discovery, Surge, SystemCalls, ClockStep, Reload, MisbehavingClients,
    )
}  # fmt: skip
SELF_ENDING = (Restart, Replace, Reload)  # have no duration in a plan

"""Draws a schedule by seed: a fleet, and overlapping faults of different kinds.

A pure function of seed and length. A schedule is written as a plan, which `rig check` and `rig run` accept.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any, TypeAlias

from msgspec import Struct, structs

FIRST_FAULT_AT = 1.5  # seconds after the first request
GROUP_INTERVAL = 3.2  # seconds between two groups of faults that overlap
QUIET_PERIOD = 3.0  # seconds without new faults at the end
GROUP_SPREAD = 0.8  # seconds within which the faults of a group begin
MIN_SIDECARS, MAX_SIDECARS = 10, 14
MIN_ENGINES, MAX_ENGINES = 8, 12

Table: TypeAlias = Mapping[str, Any]
Draw: TypeAlias = Callable[[random.Random], dict[str, Any]]


class Schedule(Struct, frozen=True):
    """A drawn plan: the fleet, the load and the faults."""

    seed: int
    length: float  # seconds
    fleet: Table
    load: Table
    steps: Sequence[Table]

    def text(self) -> str:
        """The schedule as a plan in TOML."""
        lines = [
            f'title = "hunt, seed {self.seed}"', f'length = "{self.length:g}s"', 'settle = "1500ms"',
            f"fleet = {_inline(self.fleet)}", f"load = {_inline(self.load)}", "classes = [",
            *(f"    {_inline(one)}," for one in CLASSES), "]", "step = [",
            *(f"    {_inline(step)}," for step in self.steps), "]",
        ]  # fmt: skip
        return "\n".join(lines) + "\n"

    def without(self, number: int) -> Schedule:
        """A copy without one of the faults."""
        return structs.replace(self, steps=[s for n, s in enumerate(self.steps) if n != number])


CLASSES: tuple[Table, ...] = (
    {"name": "read", "share": 0.6, "work": "25ms", "deadline": "1500ms", "aim": "400ms"},
    {"name": "order", "share": 0.25, "work": "40ms", "deadline": "3s", "aim": "600ms", "worth": 0.9,
     "effect": "dedup", "window": "2s"},
    {"name": "once", "share": 0.15, "work": "25ms", "deadline": "1s", "aim": "400ms", "worth": 0.8,
     "effect": "fragile"},
)  # fmt: skip


def kind(step: Table) -> str:
    """The kind of a step's fault, such as "system calls accept"."""
    if step["do"] == "discovery":
        return f"discovery {next((word for word in ('late', 'behind') if word in step), 'down')}"
    what = step.get("call") or step.get("how") or step.get("trouble") or ""
    return f"{step['do']} {what}".strip()


def _inline(table: Table) -> str:
    return "{ " + ", ".join(f"{key} = {json.dumps(value)}" for key, value in table.items()) + " }"


def schedule(seed: int, length: float) -> Schedule:
    """Draw the schedule of a seed, `length` seconds long."""
    rng = random.Random(f"hunt {seed}")
    fleet = {
        "sidecars": rng.randint(MIN_SIDECARS, MAX_SIDECARS),
        "engines": rng.randint(MIN_ENGINES, MAX_ENGINES),
        "queue": 6,
        "discovery": rng.choice(("pushed", "on_request")),
        "state": rng.choice(("none", "folder", "call")),
        "peers": rng.random() < 0.3,
        "engines_apart": rng.random() < 0.2,
        "connect_timeout": rng.choice(("200ms", "500ms")),
    }
    load = {
        "share": rng.choice((0.3, 0.45, 0.6)),
        "skew": rng.choice((0.0, 0.6)),
        "repeat": rng.choice(("never", "after")),
        "churn": 0.25,
    }
    steps: list[dict[str, Any]] = []
    at = FIRST_FAULT_AT + rng.uniform(0, 1)
    while at < length - QUIET_PERIOD:
        steps += _group(rng, at, length - QUIET_PERIOD / 2, str(fleet["state"]))
        at += GROUP_INTERVAL * rng.uniform(0.8, 1.3)
    return Schedule(seed, length, fleet, load, steps)


def _group(rng: random.Random, at: float, end: float, state: str) -> list[dict[str, Any]]:
    """Draw two or three overlapping faults of different families."""
    drawn = []
    for name in rng.sample(sorted(FAMILIES), rng.choice((2, 3, 3))):
        family = FAMILIES[name]
        step = rng.choice(family)(rng)
        if step.get("how") == "power" and state != "folder":
            step["how"] = "kill"
        begins = at + rng.uniform(0, GROUP_SPREAD)
        step["at"] = f"{begins * 1000:.0f}ms"
        if step["do"] not in ("restart", "replace", "reload"):
            lasts = min(step.pop("for", rng.uniform(0.6, 3.0)), end - begins)
            step["lasts"] = f"{max(lasts, 0.1) * 1000:.0f}ms"
        drawn.append(step)
    return _drop_indistinguishable(drawn)


def _drop_indistinguishable(drawn: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Drop link delays where engines answer twice.

    An answer does not name its request, so a second answer that is delayed for longer than the few
    milliseconds in the rules cannot be distinguished from the next answer on the connection.
    """
    answers_twice = any(step.get("trouble") == "twice" for step in drawn)
    return [step for step in drawn if not (answers_twice and step["do"] == "delay")]


def _restart(how: str) -> Draw:
    return lambda rng: {
        "do": "restart", "on": "sidecar-*", "share": rng.choice((0.1, 0.3, 0.6)), "how": how,
        "down": f"{rng.uniform(0, 600):.0f}ms", "stagger": f"{rng.choice((0, 30, 200))}ms",
        "knowing": rng.choice(("last", "first")),
    }  # fmt: skip


def _calls(call: str, *errors: str) -> Draw:
    return lambda rng: {
        "do": "system calls", "on": "sidecar-*", "share": rng.choice((0.3, 0.6, 1.0)), "call": call,
        "error": rng.choice(errors), "every": rng.choice((2, 3, 5, 9)),
    }  # fmt: skip


def _trouble(trouble: str) -> Draw:
    return lambda rng: {
        "do": "engines", "on": "engine-*", "share": rng.choice((0.15, 0.3)), "trouble": trouble,
    }  # fmt: skip


def _clients(how: str, per_second: float) -> Draw:
    return lambda rng: {"do": "clients", "on": "sidecar-*", "how": how, "per_second": per_second}


def _link(do: str, **more: Any) -> Draw:
    return lambda rng: {
        "do": do, "source": "sidecar-*", "target": f"engine-*@{rng.choice(('north', 'south'))}", **more,
    }  # fmt: skip


def _fixed(**step: Any) -> Draw:
    return lambda rng: dict(step)


# Fault generators by family; the faults of a group come from different families.
FAMILIES: dict[str, tuple[Draw, ...]] = {
    "end": (
        _restart("kill"), _restart("term"), _restart("term"), _restart("upgrade"), _restart("upgrade"),
        _restart("power"),
    ),
    "hold": (
        lambda rng: {"do": "pause", "on": "sidecar-*", "share": 0.3, "for": rng.uniform(0.1, 1.2)},
        lambda rng: {"do": "slow cpu", "on": "sidecar-*", "share": 0.3, "cpu": 0.3},
    ),
    "configuration": (
        lambda rng: {"do": "reload", "on": "sidecar-*", "times": rng.randint(2, 6),
                     "gap": f"{rng.choice((0, 10, 60))}ms", "broken": rng.random() < 0.5},
        _fixed(do="retune", on="sidecar-*", attempts=1),
    ),
    "discovery": (
        lambda rng: {"do": "discovery", "for": rng.uniform(1.0, 4.0)},
        lambda rng: {"do": "discovery", "late": f"{rng.uniform(300, 2500):.0f}ms"},
        lambda rng: {"do": "discovery", "behind": f"{rng.uniform(1000, 4000):.0f}ms"},
        _fixed(do="cut", source="sidecar-*", target="discovery"),
    ),
    "change": (
        lambda rng: {"do": "replace", "on": "engine-*", "share": rng.choice((0.2, 0.4)),
                     "stagger": f"{rng.choice((0, 150))}ms", "notice": f"{rng.choice((600, 1500))}ms"},
        _trouble("dead"),
    ),
    "engines": tuple(map(_trouble, ("slow", "failing", "silent", "twice", "nonsense", "endless"))),
    "links": (
        _link("reset", after="1500B"), _link("delay", by="15ms", jitter="25ms"), _link("half open"),
        _link("cut"), _link("cut", way="back"),
    ),
    "clients": (
        _clients("slow", 8), _clients("leaving", 40), _clients("stuck", 5), _clients("idle", 60),
        _clients("pipelined", 8), _fixed(do="surge", times=2),
    ),
    "calls": (
        _calls("accept", "ENFILE", "EMFILE", "ECONNABORTED", "ENOBUFS", "EPROTO"),
        _calls("accept", "ENFILE", "EMFILE", "EINTR"),
        _calls("socket", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"),
        _calls("connect", "ENOBUFS", "EADDRNOTAVAIL", "ENETUNREACH", "EAGAIN"),
        _calls("connected", "ETIMEDOUT", "EHOSTUNREACH"),
        _calls("read", "EINTR", "EAGAIN", "ENOBUFS", "ENOMEM", "short"),
        _calls("write", "EINTR", "EAGAIN", "ENOBUFS", "ENOMEM", "short"),
        _calls("epoll_ctl", "ENOMEM", "ENOSPC"),
        _calls("shutdown", "ENOBUFS"),
        _calls("wait", "EINTR"),
        _calls("open", "EMFILE", "ENFILE", "EINTR"),
        _calls("datagram", "ENOBUFS", "EAGAIN", "EPERM"),
        _calls("bind", "ENOBUFS", "EADDRINUSE"),
        _calls("listen", "EADDRINUSE"),
    ),
    "disk": (
        _calls("file_write", "ENOSPC", "EIO", "EINTR", "short"), _calls("sync", "EIO", "ENOSPC"),
        _calls("rename", "EIO", "ENOSPC"),
    ),
    "clock": (
        lambda rng: {"do": "clock step", "on": "sidecar-*", "share": 0.5,
                     rng.choice(("ahead", "behind")): rng.choice(("5s", "1h"))},
    ),
}  # fmt: skip

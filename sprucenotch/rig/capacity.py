"""Whether this machine holds the processes and sockets of a plan, judged before the first one starts.

A plan sets no bound on the number of sidecars or of engines: what bounds them is the memory that the machine
has available and the descriptors that it grants to the rig. Memory is in bytes.
"""

from __future__ import annotations

import resource
from pathlib import Path
from typing import NamedTuple

from sprucenotch.node.config import MEMORY_LEAST
from sprucenotch.rig.faults import Restart
from sprucenotch.rig.plan import Plan, chosen
from sprucenotch.rig.process import RigError

MEGABYTE = 1_000_000
# Of what is available. The rest is for the rig itself, which holds the history of all requests, and for what
# else runs on the machine.
MEMORY_SHARE = 0.75
STAND_IN_MEMORY = 32 * MEGABYTE  # of an engine or discovery in a process of its own: 30 MB resident, measured
SIDECAR_SOCKETS = 4  # of the rig for each: three reserved ports and its own listener of discovery


class CapacityError(RigError):
    """The plan asks for more than this machine holds."""


class Machine(NamedTuple):
    """What a run may take."""

    memory: int
    descriptors: int  # of the rig's own process


class Parts(NamedTuple):
    """What a plan is built of."""

    sidecars: int
    successors: int  # sidecar processes that may run beside the one before them
    stand_ins: int  # engines and discovery that are processes of their own
    engines: int
    relays: int  # links that a fault can hit, each with a listener of its own
    peers: bool


def this_machine() -> Machine:
    """What the kernel says is available at the moment, and grants at the most."""
    lines = Path("/proc/meminfo").read_text().splitlines()
    kilobytes = next(int(line.split()[1]) for line in lines if line.startswith("MemAvailable:"))
    _, descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)
    return Machine(int(kilobytes * 1024 * MEMORY_SHARE), descriptors)


def successors(plan: Plan) -> int:
    """How many sidecars may have two processes at a time."""
    upgrades = [fault for fault in plan.faults if isinstance(fault, Restart) and fault.how == "upgrade"]
    hit = {name for fault in upgrades for name in chosen(fault.on, plan.fleet)}
    return sum(name.startswith("sidecar") for name in hit)


def memory_needed(parts: Parts, limit: int) -> int:
    """Of the child processes; `limit` is the memory that each sidecar is told to keep within, and counts as
    the least that a deployment gives where it is less."""
    sidecar = max(limit, MEMORY_LEAST * MEGABYTE)
    return (parts.sidecars + parts.successors) * sidecar + parts.stand_ins * STAND_IN_MEMORY


def descriptors_needed(parts: Parts) -> int:
    """Of the rig before any request is sent: what listens, and a datagram socket for each pair of peers."""
    pairs = parts.sidecars * parts.sidecars if parts.peers else 0
    return parts.sidecars * SIDECAR_SOCKETS + parts.engines + parts.relays + pairs


def check(parts: Parts, limit: int, machine: Machine) -> None:
    """Raises CapacityError with all that is wanting."""
    wanting = []
    if (memory := memory_needed(parts, limit)) > machine.memory:
        free = machine.memory // MEGABYTE
        wanting.append(f"{memory // MEGABYTE} MB of memory, where {free} MB are free for it")
    descriptors = descriptors_needed(parts)
    if machine.descriptors != resource.RLIM_INFINITY and descriptors > machine.descriptors:
        wanting.append(f"{descriptors} descriptors, where {machine.descriptors} are granted")
    if wanting:
        raise CapacityError(f"the plan needs {' and '.join(wanting)}")

"""Checks that this machine has enough memory and descriptors for a plan, before any process is started.

Plans have no fixed limit on the number of sidecars or engines; the limits are the memory available on the
machine and the testbed's descriptor limit. Memory is in bytes.
"""

from __future__ import annotations

import resource
from pathlib import Path
from typing import NamedTuple

from sprucenotch.node.config import MIN_MEMORY_MB
from sprucenotch.testbed.faults import Restart
from sprucenotch.testbed.plan import Plan, matching_processes
from sprucenotch.testbed.process import RunError

MEGABYTE = 1_000_000
# Of the available memory. The rest is for the testbed itself, which holds the history of all requests, and
# for other processes on the machine.
MEMORY_SHARE = 0.75
FAKE_SERVER_MEMORY = 32 * MEGABYTE  # of an engine or discovery in its own process, which has 30 MB resident
SIDECAR_SOCKETS = 4  # of the testbed for each sidecar: three reserved ports and a listener of discovery


class CapacityError(RunError):
    """The plan needs more than this machine has."""


class Machine(NamedTuple):
    """The resources that a run may use."""

    memory: int
    descriptors: int  # limit of the testbed's own process; -1 for none


class Parts(NamedTuple):
    """The numbers of processes and sockets of a plan."""

    sidecars: int
    successors: int  # sidecar processes that may run alongside their predecessors
    fake_servers: int  # engines and discovery in separate processes
    engines: int
    relays: int  # links that a fault can affect, each with a listener
    peers: bool


def this_machine() -> Machine:
    """Read the available memory and the hard descriptor limit."""
    lines = Path("/proc/meminfo").read_text().splitlines()
    kilobytes = next(int(line.split()[1]) for line in lines if line.startswith("MemAvailable:"))
    _, descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)
    return Machine(int(kilobytes * 1024 * MEMORY_SHARE), descriptors)


def successors(plan: Plan) -> int:
    """The number of sidecars that may have two processes at a time."""
    upgrades = [fault for fault in plan.faults if isinstance(fault, Restart) and fault.how == "upgrade"]
    upgraded = {name for fault in upgrades for name in matching_processes(fault.on, plan.fleet)}
    return sum(name.startswith("sidecar") for name in upgraded)


def memory_needed(parts: Parts, limit: int) -> int:
    """Memory of the child processes. `limit` is the memory limit of each sidecar; a limit below the smallest
    that a deployment may set counts as that."""
    sidecar = max(limit, MIN_MEMORY_MB * MEGABYTE)
    return (parts.sidecars + parts.successors) * sidecar + parts.fake_servers * FAKE_SERVER_MEMORY


def descriptors_needed(parts: Parts) -> int:
    """Descriptors of the testbed before any request: listeners, and a socket for each pair of peers."""
    pairs = parts.sidecars * parts.sidecars if parts.peers else 0
    return parts.sidecars * SIDECAR_SOCKETS + parts.engines + parts.relays + pairs


def check(parts: Parts, limit: int, machine: Machine) -> None:
    """Raises CapacityError that names every shortage."""
    shortages = []
    if (memory := memory_needed(parts, limit)) > machine.memory:
        free = machine.memory // MEGABYTE
        shortages.append(f"{memory // MEGABYTE} MB of memory, but {free} MB are available")
    descriptors = descriptors_needed(parts)
    if machine.descriptors != resource.RLIM_INFINITY and descriptors > machine.descriptors:
        shortages.append(f"{descriptors} descriptors, but {machine.descriptors} are allowed")
    if shortages:
        raise CapacityError(f"the plan needs {' and '.join(shortages)}")

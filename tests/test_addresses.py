"""Addresses for the processes of a run."""

from __future__ import annotations

import socket
from pathlib import Path

from sprucenotch.testbed.process import PORTS, free_address


# Guards against: a connection of another process holds the port before the address is used.
def test_free_addresses_lie_outside_the_ports_of_connections() -> None:
    first, last = map(int, Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split())
    assert PORTS.stop <= first or last < PORTS.start
    assert int(free_address().rpartition(":")[2]) in PORTS


def test_taken_ports_are_passed_over() -> None:
    with socket.socket() as holder:
        holder.bind(("127.0.0.1", 0))
        taken = holder.getsockname()[1]
        free = int(free_address().rpartition(":")[2])
        drawn = iter((taken, free))
        assert free_address(lambda: next(drawn)) == f"127.0.0.1:{free}"

"""Listening sockets, bound so that a restarted or a successor process can use the same address."""

from __future__ import annotations

import array
import logging
import socket
import struct

from sprucenotch.node.config import Address
from sprucenotch.node.log import event
from sprucenotch.platform.system_errors import retry_local_failures

BACKLOG = 512  # connections in the kernel's queue
# Seconds in which a failed bind or listen is retried; a restarted process has 6 s to be ready.
BIND_TIMEOUT = 1.0
SO_ATTACH_REUSEPORT_CBPF = 51  # Linux's value; missing in Python's socket module
RETURN_1 = struct.pack("HBBI", 0x06, 0, 0, 1)  # a classic BPF program of one instruction: "ret #1"

log = logging.getLogger(__name__)


async def bound(address: Address, shared: bool = False) -> socket.socket:
    """Return a socket bound to the address; if `shared`, a successor process can bind it too. Transient local
    failures are retried for BIND_TIMEOUT. Raises OSError."""

    async def bind() -> socket.socket:
        return bind_once(address, shared)

    return await retry_local_failures(bind, BIND_TIMEOUT)


def bind_once(
    address: Address, shared: bool = False, kind: socket.SocketKind = socket.SOCK_STREAM
) -> socket.socket:
    """Like `bound`, without retries."""
    listener = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, kind)
    try:
        if kind == socket.SOCK_STREAM:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.bind(address)
    except OSError:
        listener.close()
        raise
    return listener


async def listening(listener: socket.socket) -> socket.socket:
    """Start listening and return the same socket. Retries and raises OSError as `bound` does."""

    async def listen() -> socket.socket:
        listener.listen(BACKLOG)
        return listener

    return await retry_local_failures(listen, BIND_TIMEOUT)


def steer_to_successor(listener: socket.socket) -> None:
    """Direct new connections to the second process that listens on the address, the successor.

    The kernel resets the connections in a listener's queue when it closes, so the queue has to be empty by
    then. While there is no second listener, the kernel gives all connections to the first, this process. The
    BPF program stays attached to the address: a later successor gets the new connections as soon as it
    listens, and can serve them.
    """
    code = array.array("B", RETURN_1)
    program = struct.pack("HxxxxxxP", 1, code.buffer_info()[0])
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError as problem:  # then both share them until this listener closes
        event(log, logging.WARNING, "new connections cannot be steered to a successor", why=str(problem))

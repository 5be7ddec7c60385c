"""Messages between sidecars: UDP datagrams, which may come late or not at all."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import select
import socket

from sprucenotch import api
from sprucenotch.node.config import Address, Config
from sprucenotch.node.host import Host
from sprucenotch.node.listener import BIND_TIMEOUT, bind_now
from sprucenotch.node.log import event
from sprucenotch.node.poller import Watch, running_poller
from sprucenotch.seams.system_errors import retried

MESSAGE_MOST = 256
MESSAGES_AT_ONCE = 16  # taken before connections have their turn
# Seconds between two looks whether the process before, which is told to stop once this one serves, has let go
# of the address.
ADDRESS_CHECK_INTERVAL = 0.1

log = logging.getLogger(__name__)


class Peers:
    """The socket of one sidecar for the messages of the others."""

    def __init__(self, config: Config, host: Host) -> None:
        self._peers, self._all = config.peers, config.peers_all
        self._numbers = {address: number for number, address in enumerate(config.peers)}
        self._host = host
        self._socket: socket.socket | None = None
        self._watch: Watch | None = None
        self._waiting: asyncio.Task[None] | None = None  # for the address

    async def listen(self, address: Address) -> None:
        """Bind the address; where the process before still holds it, as soon as it is free. Messages may be
        lost, so nothing waits for that. Raises OSError where the address cannot be had at all."""
        try:
            await retried(lambda: self._bind(address), BIND_TIMEOUT)
        except OSError as problem:
            if problem.errno != errno.EADDRINUSE:
                raise
            event(log, logging.INFO, "peers' address is taken, waited for", port=address[1])
            self._waiting = asyncio.get_running_loop().create_task(self._bind_once_free(address))

    async def _bind(self, address: Address) -> None:
        self._socket = bind_now(address, kind=socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._watch = running_poller().watch(self._socket.fileno(), self._receive)
        self._watch.want(select.EPOLLIN)
        self._host.tell = self.tell

    async def _bind_once_free(self, address: Address) -> None:
        while self._socket is None:
            await asyncio.sleep(ADDRESS_CHECK_INTERVAL)
            try:
                await self._bind(address)
            except OSError:
                continue

    def close(self) -> None:
        """Let go of the address: it is the successor's."""
        if self._waiting is not None:
            self._waiting.cancel()
        if self._watch is not None:
            self._watch.end()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def tell(self, peer: int, body: bytes) -> None:
        """Send a message to a sidecar by its number, or to all of them (-1). What cannot be sent is lost."""
        address = self._all if peer < 0 else self._peers[peer] if peer < len(self._peers) else None
        if self._socket is not None and address is not None and len(body) <= MESSAGE_MOST:
            with contextlib.suppress(OSError):
                self._socket.sendto(body, address)

    def _receive(self, events: int) -> None:
        """Take the messages that are there. What fails is a peer that is down, or passes: nothing is due."""
        for _ in range(MESSAGES_AT_ONCE):
            if self._socket is None:
                return
            try:
                data, sender = self._socket.recvfrom(MESSAGE_MOST + 1)
            except BlockingIOError:
                return
            except OSError:
                continue
            self._take(data, sender)

    def _take(self, data: bytes, addr: tuple[str, int]) -> None:
        number = self._numbers.get((addr[0], addr[1]))
        if number is not None and len(data) <= MESSAGE_MOST:  # else it is no peer's
            self._host.post(api.PeerMessage(number, data))

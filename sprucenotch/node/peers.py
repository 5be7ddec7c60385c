"""Messages between sidecars: UDP datagrams, which may be delayed or lost."""

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
from sprucenotch.node.listener import BIND_TIMEOUT, bind_once
from sprucenotch.node.log import event
from sprucenotch.node.poller import Watch, running_poller
from sprucenotch.platform.system_errors import retry_local_failures

MAX_MESSAGE_BYTES = 256
MAX_MESSAGES_PER_TURN = 16  # received in one iteration of the event loop, before other events are handled
# Seconds between attempts to bind the address while the previous process still holds it; that one is stopped
# once this process serves.
ADDRESS_CHECK_INTERVAL = 0.1

log = logging.getLogger(__name__)


class Peers:
    """The socket for messages from and to the other sidecars."""

    def __init__(self, config: Config, host: Host) -> None:
        self._peers, self._broadcast_address = config.peers, config.peers_all
        self._peer_numbers = {address: number for number, address in enumerate(config.peers)}
        self._host = host
        self._socket: socket.socket | None = None
        self._watch: Watch | None = None
        self._bind_task: asyncio.Task[None] | None = None  # waits for the address

    async def listen(self, address: Address) -> None:
        """Bind the address, in the background if the previous process still holds it.

        Messages may be lost anyway, so the start does not wait. Raises OSError if the address cannot be bound
        for another reason.
        """
        try:
            await retry_local_failures(lambda: self._bind(address), BIND_TIMEOUT)
        except OSError as problem:
            if problem.errno != errno.EADDRINUSE:
                raise
            event(log, logging.INFO, "peers' address is taken, waited for", port=address[1])
            self._bind_task = asyncio.get_running_loop().create_task(self._bind_once_free(address))

    async def _bind(self, address: Address) -> None:
        self._socket = bind_once(address, kind=socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._watch = running_poller().watch(self._socket.fileno(), self._receive)
        self._watch.set_events(select.EPOLLIN)
        self._host.tell = self.tell

    async def _bind_once_free(self, address: Address) -> None:
        while self._socket is None:
            await asyncio.sleep(ADDRESS_CHECK_INTERVAL)
            try:
                await self._bind(address)
            except OSError:
                continue

    def close(self) -> None:
        """Release the address for the successor."""
        if self._bind_task is not None:
            self._bind_task.cancel()
        if self._watch is not None:
            self._watch.end()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def tell(self, peer: int, body: bytes) -> None:
        """Send a message to a sidecar by its number, or to all (-1). Dropped if it cannot be sent."""
        address = (
            self._broadcast_address if peer < 0 else self._peers[peer] if peer < len(self._peers) else None
        )
        if self._socket is not None and address is not None and len(body) <= MAX_MESSAGE_BYTES:
            with contextlib.suppress(OSError):
                self._socket.sendto(body, address)

    def _receive(self, events: int) -> None:
        """Receive the waiting messages. Errors are ignored: temporary, or of a peer that is down."""
        for _ in range(MAX_MESSAGES_PER_TURN):
            if self._socket is None:
                return
            try:
                data, sender = self._socket.recvfrom(MAX_MESSAGE_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                continue
            self._deliver(data, sender)

    def _deliver(self, data: bytes, addr: tuple[str, int]) -> None:
        number = self._peer_numbers.get((addr[0], addr[1]))
        if number is not None and len(data) <= MAX_MESSAGE_BYTES:  # otherwise it is not from a peer
            self._host.post(api.PeerMessage(number, data))

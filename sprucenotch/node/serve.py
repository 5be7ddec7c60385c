"""One real sidecar: start, signals, exit."""

from __future__ import annotations

import array
import asyncio
import contextlib
import gc
import logging
import os
import signal
import socket
import struct
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop
from msgspec import structs

from sprucenotch.node.config import Address, Config, ConfigError, load
from sprucenotch.node.discovery import Discovery
from sprucenotch.node.frontend import ClientConnection, Frontend
from sprucenotch.node.host import Host
from sprucenotch.node.log import apply as logging_as
from sprucenotch.node.log import event, toggle
from sprucenotch.node.management import Management
from sprucenotch.node.peers import Peers
from sprucenotch.seams import clock

ACCEPT_ON = 0.6  # after SIGTERM new connections come for 0.2 to 0.4 s more
BACKLOG = 512
SO_ATTACH_REUSEPORT_CBPF = 51  # as Linux numbers it; Python has no name for it
RETURN_1 = struct.pack("HBBI", 0x06, 0, 0, 1)  # a classic BPF program of one instruction: "ret #1"

log = logging.getLogger(__name__)


async def serve(config: Config) -> None:
    """Serve until SIGTERM or SIGINT; then finish what was taken."""
    loop = asyncio.get_running_loop()
    amiss = config.clock
    time = clock.wrong(amiss.offset_ns, amiss.drift_ppm) if amiss else clock.Clock()
    host = Host(config, loop, time)
    frontend = Frontend(config, host, loop)
    recovery = None
    if config.state is not None:  # else nothing of it is loaded
        from sprucenotch.recovery.service import Recovery

        recovery = Recovery(config, config.state, time, loop)
    told_to_stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told_to_stop.set)
    if config.peer_listen is not None and config.settings.peers:
        await loop.create_datagram_endpoint(lambda: Peers(config, host), local_addr=config.peer_listen)
    if config.mgmt is not None:
        management = Management(
            lambda: host.standing.ready() if frontend.ready else "",
            host.standing.figures,
            lambda: rendered(host),
            config.callers_most,
        )
        if recovery is not None:
            management.offer(recovery.path, recovery.offer)
        await management.listen(loop, config.mgmt)
    recalled = None if recovery is None else await recovery.recall()
    if recalled is not None and recalled.hosts is not None:
        config = structs.replace(config, known=recalled.hosts)
        host.handed = recalled.verified
    if recovery is not None:
        recovery.keep(host, lambda: discovery.age)
    host.start(config.known)
    if recalled is not None and recalled.learned is not None:
        host.recall(recalled.learned, recalled.learned_age)
    discovery = Discovery(config, host, loop)
    host.standing.list_age = lambda: discovery.age
    discovery.start()
    taken = [config]  # the file in force
    loop.add_signal_handler(signal.SIGHUP, reconfigure, taken, host, frontend, discovery)
    loop.add_signal_handler(signal.SIGUSR1, lambda: toggle(taken[0].log.level))
    listener = shared_listener(config.listen)
    await first_of(told_to_stop.wait(), host.until_informed())
    if told_to_stop.is_set():
        listener.close()
        return

    def client() -> ClientConnection:
        return ClientConnection(frontend)

    server = await loop.create_server(client, sock=listener, backlog=BACKLOG)
    frontend.listening = True
    await told_to_stop.wait()
    # Answers close their connections from here on, so that clients leave as they are served.
    frontend.draining = True
    host.drain()
    steer_to_successor(listener)
    event(log, logging.INFO, "draining", in_progress=host.telemetry.in_progress)
    await asyncio.sleep(ACCEPT_ON)
    await stop_accepting(server, listener, client)
    frontend.close_idle()
    # No time limit here, as it would cut off long answers under way. Peers that neither send, nor read, nor
    # answer are given up by the rules for them, so this ends.
    await frontend.finished()
    if recovery is not None:
        recovery.close()
    event(log, logging.INFO, "drained")


async def first_of(*waits: Coroutine[Any, Any, object]) -> None:
    """Return once one of these is over; the others are cancelled."""
    tasks = [asyncio.ensure_future(wait) for wait in waits]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


def rendered(host: Host) -> bytes:
    """The metrics. Where nobody gathers them, nothing is loaded for it."""
    from sprucenotch.node import metrics

    return metrics.render(host.standing, host.budget)


def shared_listener(address: Address) -> socket.socket:
    """The clients' address, bound so that a successor can listen there too."""
    listener = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.bind(address)
    except OSError:
        listener.close()
        raise
    return listener


def steer_to_successor(listener: socket.socket) -> None:
    """Send new connections to the second process that listens here, which is the younger one.

    What waits in a listener's queue is reset when it closes, so the queue has to be empty by then. Alone,
    this process is the first and the kernel, finding no second, goes on giving it all. The program stays
    with the address: a later successor gets the new connections as soon as it listens, and can serve them.
    """
    code = array.array("B", RETURN_1)
    program = struct.pack("HxxxxxxP", 1, code.buffer_info()[0])
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError as problem:  # then both go on sharing them until this one's listener closes
        event(log, logging.WARNING, "new connections cannot be steered to a successor", why=str(problem))


async def stop_accepting(
    server: asyncio.Server, listener: socket.socket, client: Callable[[], ClientConnection]
) -> None:
    """Close the listener with its queue empty: the kernel resets what still waits there, though its client
    may have written a request by then. The loop takes one connection in a turn, and may have stood still
    over the end of the time for new ones, so all that wait are taken here: BACKLOG at most, as may wait.
    Each is the frontend's before the next is taken, so that one above the most clients has room made for it
    first, and the descriptors that are kept for other uses stay free."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):  # none is left, or no descriptor for one more
        for _ in range(BACKLOG):
            taken, _ = listener.accept()
            await loop.connect_accepted_socket(client, taken)
    server.close()


def reconfigure(taken: list[Config], host: Host, frontend: Frontend, discovery: Discovery) -> None:
    """Take up the replaced configuration file: settings, and where discovery is. All of it or nothing."""
    try:
        fresh = load(os.environ)
        fresh.check_complete(taken[0])
    except ConfigError as problem:
        host.telemetry.load_errors += 1
        event(log, logging.WARNING, "configuration turned down", why=str(problem))
        return
    host.telemetry.loads += 1
    taken[0] = fresh
    logging_as(fresh.log)
    frontend.retune(fresh)
    host.retune(fresh)
    discovery.retune(fresh)
    event(log, logging.INFO, "configuration taken", classes=[c.name for c in fresh.settings.classes])


def main() -> int:
    try:
        config = load(os.environ)
    except ConfigError as problem:
        print(f"sprucenotch: {problem}", file=sys.stderr)
        return 2
    logging_as(config.log)
    gc.freeze()  # what is loaded by now stays: the collector need not go over it again
    try:
        uvloop.run(serve(config))
    except OSError as problem:
        print(f"sprucenotch: {problem}", file=sys.stderr)
        return 3
    return 0


if __name__ == "__main__":
    sys.exit(main())

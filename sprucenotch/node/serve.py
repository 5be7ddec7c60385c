"""One real sidecar: start, signals, exit."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import threading
from collections.abc import Callable, Coroutine
from functools import partial
from time import monotonic, sleep
from typing import Any

import uvloop
from msgspec import structs

from sprucenotch.node.acceptor import Acceptor
from sprucenotch.node.config import Config, ConfigError, ConfigUnreadable, load
from sprucenotch.node.discovery import Discovery
from sprucenotch.node.frontend import ClientConnection, Frontend
from sprucenotch.node.host import Host
from sprucenotch.node.listener import bound, listening, steer_to_successor
from sprucenotch.node.log import apply as logging_as
from sprucenotch.node.log import event, toggle
from sprucenotch.node.management import Management
from sprucenotch.node.peers import Peers
from sprucenotch.node.poller import running_poller
from sprucenotch.node.reload import LOAD_TIMEOUT, Reload
from sprucenotch.seams import clock
from sprucenotch.seams.system_errors import is_exhaustion, pauses

ACCEPT_ON = 0.6  # after SIGTERM new connections come for 0.2 to 0.4 s more

log = logging.getLogger(__name__)
early_signal = threading.Event()  # SIGHUP came before the program could act on it


async def serve(config: Config) -> None:
    """Serve until SIGTERM or SIGINT; then finish what was taken."""
    loop = asyncio.get_running_loop()
    running_poller()  # before there is anything to watch: the event loop's own part, which must not fail
    event(log, logging.INFO, "starting", name=config.name, servers=len(config.known.hosts))
    amiss = config.clock
    time = clock.wrong(amiss.offset_ns, amiss.drift_ppm) if amiss else clock.Clock()
    host = Host(config, loop, time)
    frontend = Frontend(config, host, loop)
    host.upstream.make_room = frontend.make_room
    recovery = None
    if config.state is not None:  # else nothing of it is loaded
        from sprucenotch.recovery.service import Recovery

        recovery = Recovery(config, config.state, time, loop)
    told_to_stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        on_signal(loop, number, told_to_stop.set)
    peers = Peers(config, host) if config.settings.peers else None
    if peers is not None and config.peer_listen is not None:
        await peers.listen(config.peer_listen)
    if config.mgmt is not None:
        management = Management(
            lambda: host.standing.ready() if frontend.ready else "",
            host.standing.figures,
            lambda: rendered(host),
            config.callers_most,
        )
        if recovery is not None:
            management.offer(recovery.path, recovery.offer)
        management.serve(await listening(await bound(config.mgmt)), host.count)
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
    reload = Reload(config, host, frontend, discovery)
    on_signal(loop, signal.SIGHUP, reload.begin)
    on_signal(loop, signal.SIGUSR1, lambda: toggle(reload.config.log.level))
    if early_signal.is_set():  # the file may have changed since it was read for the start
        reload.begin()
    listener = await bound(config.listen, shared=True)
    await first_of(told_to_stop.wait(), host.until_informed())
    if told_to_stop.is_set():
        listener.close()
        return

    host.rules.started(host.may_take_clients)
    await listening(listener)
    acceptor = Acceptor(listener, partial(ClientConnection, frontend), frontend.make_room, host.count)
    frontend.listening = True
    event(log, logging.INFO, "ready")
    await told_to_stop.wait()
    # Answers close their connections from here on, so that clients leave as they are served.
    frontend.draining = True
    host.drain()
    if peers is not None:
        peers.close()
    steer_to_successor(listener)
    # What crosses these closes comes again on a new connection, which is still taken, here or by a successor.
    frontend.close_idle()
    event(log, logging.INFO, "draining", in_progress=host.telemetry.in_progress)
    await asyncio.sleep(ACCEPT_ON)
    await acceptor.close()
    frontend.close_idle()
    # No time limit here, as it would cut off long answers under way. Peers that neither send, nor read, nor
    # answer are given up by the rules for them, so this ends.
    await frontend.finished()
    if recovery is not None:
        recovery.close()
    event(log, logging.INFO, "drained")


async def serve_to_the_end(config: Config) -> None:
    """Serve, then end the tasks that go on by themselves. All in one run of the loop: each start of it
    registers descriptors with the kernel, which may fail, and there is nothing left to lose by then."""
    asyncio.get_running_loop().set_exception_handler(tell_failure)
    try:
        await serve(config)
    finally:
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


def tell_failure(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log what the event loop could not do. A signal's wake-up that cannot be read for want of memory is
    read in the next turn; whatever else is a fault."""
    problem = context.get("exception")
    if problem is not None and is_exhaustion(problem):
        event(log, logging.WARNING, "event loop, tried again", what=context["message"], why=str(problem))
    else:
        loop.default_exception_handler(context)


def on_signal(loop: asyncio.AbstractEventLoop, number: signal.Signals, act: Callable[[], object]) -> None:
    """Have the loop act on a signal. The loop's own handlers are told of it by a write to a socket alone, and
    one that fails loses the signal; the interpreter's handler runs with the next turn all the same, which the
    status timer brings within STATUS_EVERY."""
    signal.signal(number, lambda *_: loop.call_soon_threadsafe(act))


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


def main() -> int:
    # Its default action would end the process. What comes before the program has its handler is not lost.
    signal.signal(signal.SIGHUP, lambda number, frame: early_signal.set())
    try:
        config = load_at_start()
    except ConfigError as problem:
        print(f"sprucenotch: {problem}", file=sys.stderr)
        return 2
    logging_as(config.log)
    gc.freeze()  # what is loaded by now stays: the collector need not go over it again
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(serve_to_the_end(config))
    except OSError as problem:
        print(f"sprucenotch: {problem}", file=sys.stderr)
        return 3
    return 0


def load_at_start() -> Config:
    """The configuration; one that cannot be read for the moment is tried again. Raises ConfigError."""
    give_up_at = monotonic() + LOAD_TIMEOUT
    for pause in pauses():
        try:
            return load(os.environ)
        except ConfigUnreadable:
            if monotonic() + pause > give_up_at:
                raise
        sleep(pause)
    raise AssertionError("pauses have no end")


if __name__ == "__main__":
    sys.exit(main())

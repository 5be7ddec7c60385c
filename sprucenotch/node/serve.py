"""The sidecar process: start, signals and shutdown."""

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

from sprucenotch.node.acceptor import CLOSE_TIMEOUT, Acceptor
from sprucenotch.node.begun import TABLE_SIZE
from sprucenotch.node.client_connection import ClientConnection
from sprucenotch.node.config import SECOND, Config, ConfigError, ConfigUnreadable, load
from sprucenotch.node.discovery import Discovery
from sprucenotch.node.frontend import Frontend
from sprucenotch.node.host import Host
from sprucenotch.node.listener import bound, listening, steer_to_successor
from sprucenotch.node.log import configure_logging, event, toggle_debug
from sprucenotch.node.management import Management
from sprucenotch.node.peers import Peers
from sprucenotch.node.poller import running_poller
from sprucenotch.node.reload import LOAD_TIMEOUT, Reload
from sprucenotch.node.shared_memory import shared_memory
from sprucenotch.node.stop import StopRequest
from sprucenotch.platform import clock
from sprucenotch.platform.system_errors import is_exhaustion, retry_delays

log = logging.getLogger(__name__)
early_sighup = threading.Event()  # set by a SIGHUP that arrives before its handler is installed


async def serve(config: Config) -> None:
    """Serve until SIGTERM or SIGINT, then complete the accepted requests."""
    loop = asyncio.get_running_loop()
    running_poller()  # must not fail, so it is set up before there is any socket to watch
    event(log, logging.INFO, "starting", name=config.name, servers=len(config.known.hosts))
    wrong_clock = config.clock
    time = clock.skewed_clock(wrong_clock.offset_ns, wrong_clock.drift_ppm) if wrong_clock else clock.Clock()
    host = Host(config, loop, time, shared_memory(os.environ, config.name, TABLE_SIZE))
    frontend = Frontend(config, host, loop)
    host.upstream.free_descriptor = frontend.free_descriptor
    recovery = None
    if config.state is not None:  # otherwise the package is not imported
        from sprucenotch.recovery.service import Recovery

        recovery = Recovery(config, config.state, time, loop)
    stop = StopRequest(loop, host.now)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop.on_signal)
    peers = Peers(config, host) if config.settings.peers else None
    if peers is not None and config.peer_listen is not None:
        await peers.listen(config.peer_listen)
    if config.mgmt is not None:
        management = Management(
            lambda: host.status_report.ready() if frontend.ready else "",
            host.status_report.figures,
            lambda: render_metrics(host),
            config.max_management_connections,
        )
        if recovery is not None:
            management.add_call(recovery.path, recovery.handover_record)
        management.serve(await listening(await bound(config.mgmt)), host.count)
    recovered = None if recovery is None else await recovery.recover()
    if recovered is not None and recovered.hosts is not None:
        config = structs.replace(config, known=recovered.hosts)
        host.list_handed_over = recovered.verified
    if recovery is not None:
        recovery.start_recording(host, lambda: discovery.age)
    host.start(config.known)
    if recovered is not None and recovered.learned is not None:
        host.recall(recovered.learned, recovered.learned_age)
    discovery = Discovery(config, host, loop)
    host.status_report.list_age = lambda: discovery.age
    discovery.start()
    reload = Reload(config, host, frontend, discovery)
    on_signal(loop, signal.SIGHUP, reload.begin)
    on_signal(loop, signal.SIGUSR1, lambda: toggle_debug(reload.config.log.level))
    if early_sighup.is_set():  # the file may have changed since it was read
        reload.begin()
    listener = await bound(config.listen, shared=True)
    await first_of(stop.wait(), host.wait_until_may_take_clients())
    if stop.requested:
        listener.close()
        return

    host.rules.started(host.may_take_clients)
    await listening(listener)
    acceptor = Acceptor(
        listener, partial(ClientConnection, frontend), frontend.free_descriptor, host.count,
        frontend.seconds_until_room, frontend.has_room,
    )  # fmt: skip
    frontend.listening = True
    event(log, logging.INFO, "ready")
    await stop.wait()
    # From here on, answers close their connections, so that clients leave once they are served.
    frontend.draining = True
    times = host.drain(stop.told_at)

    def seconds_until(due: int) -> float:
        return max(0.0, (due - host.now()) / SECOND)

    if peers is not None:
        peers.close()
    steer_to_successor(listener)
    # A client whose request crosses a close repeats it on a new connection, accepted here or by the
    # successor.
    frontend.close_idle()
    event(log, logging.INFO, "draining", in_progress=host.telemetry.in_progress)
    await asyncio.sleep(seconds_until(times.accept_until))
    await acceptor.close(min(CLOSE_TIMEOUT, seconds_until(times.answer_by)))
    frontend.close_idle()
    await first_of(frontend.finished(), asyncio.sleep(seconds_until(times.answer_by)))
    frontend.end_waits()
    # No time limit here, as it would cut off long answers in progress. Peers that neither send, nor read,
    # nor answer are disconnected by their own timeouts, so this ends.
    await frontend.finished()
    if recovery is not None:
        recovery.close()
    event(log, logging.INFO, "drained")


async def serve_and_clean_up(config: Config) -> None:
    """Serve, then cancel the remaining tasks, all in one run of the event loop: each start of a loop
    registers descriptors with the kernel, which may fail."""
    asyncio.get_running_loop().set_exception_handler(log_loop_failure)
    try:
        await serve(config)
    finally:
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


def log_loop_failure(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an error that the event loop reports.

    A lack of descriptors or memory is logged as a warning: the loop repeats its own calls in the next
    iteration, such as reading the byte that wakes it for a signal. Errors of callbacks and tasks arrive here
    as well; those are not repeated, but a lack of resources is logged in the same way. Anything else is a
    programming error and goes to the default handler.
    """
    problem = context.get("exception")
    if problem is not None and is_exhaustion(problem):
        event(log, logging.WARNING, "event loop, tried again", what=context["message"], why=str(problem))
    else:
        loop.default_exception_handler(context)


def on_signal(loop: asyncio.AbstractEventLoop, number: signal.Signals, act: Callable[[], object]) -> None:
    """Call `act` in the event loop when a signal arrives.

    The loop's own signal handlers depend on a write to a socket, and a failed write loses the signal. The
    interpreter's handler always runs with the next iteration of the loop, which the status timer causes
    within STATUS_INTERVAL_S.
    """
    signal.signal(number, lambda *_: loop.call_soon_threadsafe(act))


async def first_of(*waits: Coroutine[Any, Any, object]) -> None:
    """Wait until one of the coroutines completes, then cancel the others."""
    tasks = [asyncio.ensure_future(wait) for wait in waits]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


def render_metrics(host: Host) -> bytes:
    """Render the metrics. The module is imported on first use, as not every deployment collects them."""
    from sprucenotch.node import metrics

    return metrics.render(host.status_report, host.budget)


def main() -> int:
    # The default action of SIGHUP would end the process. An early one is remembered and handled after the
    # start.
    signal.signal(signal.SIGHUP, lambda number, frame: early_sighup.set())
    try:
        config = load_with_retries()
    except ConfigError as problem:
        print(f"sprucenotch: {problem}", file=sys.stderr)
        return 2
    configure_logging(config.log)
    gc.freeze()  # modules stay loaded, so the garbage collector need not scan them
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(serve_and_clean_up(config))
    except OSError as problem:
        print(f"sprucenotch: {problem}", file=sys.stderr)
        return 3
    return 0


def load_with_retries() -> Config:
    """Load the configuration, retrying an unreadable file until LOAD_TIMEOUT. Raises ConfigError."""
    give_up_at = monotonic() + LOAD_TIMEOUT
    for pause in retry_delays():
        try:
            return load(os.environ)
        except ConfigUnreadable:
            if monotonic() + pause > give_up_at:
                raise
        sleep(pause)
    raise AssertionError("retry delays have no end")


if __name__ == "__main__":
    sys.exit(main())

"""Socket reads and writes that fail temporarily for lack of memory do not lose requests.

The kernel may lack memory for a transfer (ENOBUFS, ENOMEM; documented in recv(2) and send(2)). Guards against
the transport of the event loop library, which closes its connection at the first such error: answers to
clients were cut off or never begun, and answers of servers were dropped halfway, which is a 502 for a class
that must not be repeated. With one of 5 writes failing, 12 of 20 clients lost a request, with one of 5 reads
16 of 20. For reads the library printed `Fatal error on transport TCPTransport` and `unhandled error (or an
empty buffer) in get_buffer()`, for writes nothing.
"""

from __future__ import annotations

import errno
from pathlib import Path

from sprucenotch.testbed.syscalls import Call, Rule
from tests.failing_calls import mixed_load_failures, needs_compiler, sized_answer_sidecar
from tests.sidecar import run

pytestmark = needs_compiler
OUT_OF_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
EPOLL_CTL_ERRORS = (errno.ENOMEM, errno.ENOSPC)


async def check_no_request_is_lost(call: Call, errors: tuple[int, ...], folder: Path) -> None:
    async with sized_answer_sidecar(folder) as sidecar:
        for error in errors:
            for every in (5, 2):
                rule = Rule(call, error, every)
                sidecar.control.fail(rule)
                assert await mixed_load_failures(sidecar) == [], rule
                assert sidecar.control.failed(call) > 0
                sidecar.control.heal(call)


def test_writes_that_fail_for_lack_of_memory_lose_no_request(tmp_path: Path) -> None:
    run(check_no_request_is_lost(Call.WRITE, OUT_OF_MEMORY, tmp_path))


def test_reads_that_fail_for_lack_of_memory_lose_no_request(tmp_path: Path) -> None:
    run(check_no_request_is_lost(Call.READ, OUT_OF_MEMORY, tmp_path))


def test_failing_epoll_ctl_loses_no_request(tmp_path: Path) -> None:
    """epoll_ctl(2) fails with documented errors. The event loop library aborted the process (SIGABRT)."""
    run(check_no_request_is_lost(Call.EPOLL_CTL, EPOLL_CTL_ERRORS, tmp_path))


def test_interrupted_waits_lose_no_request(tmp_path: Path) -> None:
    """Every second wait returns EINTR. The program polls its own epoll once in each loop iteration, right
    after the wait of the loop: the second of two calls always failed, so that the program saw no events until
    the fault ended (hunt, seed 412: answers 0.4 s after their deadlines, and no status event for 2 s)."""

    async def test() -> None:
        async with sized_answer_sidecar(tmp_path) as sidecar:
            for at_once in (False, True):
                sidecar.control.fail(Rule(Call.WAIT, errno.EINTR, 2, at_once))
                assert await mixed_load_failures(sidecar) == []
                assert sidecar.control.failed(Call.WAIT) > 0

    run(test())


def test_shutdown_with_failing_epoll_ctl_exits_with_0(tmp_path: Path) -> None:
    """The runner of the event loop library starts its loop twice more at shutdown, for generators and
    threads, and each start registers a descriptor. When that failed, the exit code was 1 with `Cannot close a
    running event loop`."""

    async def test() -> None:
        async with sized_answer_sidecar(tmp_path) as sidecar:
            assert await mixed_load_failures(sidecar) == []
            sidecar.control.fail(Rule(Call.EPOLL_CTL, errno.ENOMEM, 1))
            sidecar.process.terminate()
            assert await sidecar.process.wait() == 0

    run(test())

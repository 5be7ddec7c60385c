"""Reads and writes on sockets that fail for want of memory: every request gets its whole answer.

What happens: the kernel has no memory for one of n transfers (ENOBUFS, ENOMEM; recv(2) and send(2)
document both). Why it lost requests: the event library's transport takes the first such failure for the
end of its connection. A client's answer was cut off or never began, and an answer of a server was thrown
away in the middle, which is a 502 for a class that may not be repeated. What showed it: with one of 5
writes failing, 12 of 20 clients lost a request, with one of 5 reads 16 of 20; for reads the library
printed `Fatal error on transport TCPTransport` and `unhandled error (or an empty buffer) in
get_buffer()`, for writes nothing.
"""

from __future__ import annotations

import errno
from pathlib import Path

from sprucenotch.rig.syscalls import Call, Rule
from tests.failing_calls import failures_of_a_mixed_load, needs_compiler, serving_sizes
from tests.sidecar import run

pytestmark = needs_compiler
OUT_OF_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
NO_WATCHES = (errno.ENOMEM, errno.ENOSPC)


async def no_request_is_lost_where(call: Call, errors: tuple[int, ...], folder: Path) -> None:
    async with serving_sizes(folder) as sidecar:
        for error in errors:
            for every in (5, 2):
                rule = Rule(call, error, every)
                sidecar.control.fail(rule)
                assert await failures_of_a_mixed_load(sidecar) == [], rule
                assert sidecar.control.failed(call) > 0
                sidecar.control.heal(call)


def test_no_request_is_lost_where_writes_fail_for_want_of_memory(tmp_path: Path) -> None:
    run(no_request_is_lost_where(Call.WRITE, OUT_OF_MEMORY, tmp_path))


def test_no_request_is_lost_where_reads_fail_for_want_of_memory(tmp_path: Path) -> None:
    run(no_request_is_lost_where(Call.READ, OUT_OF_MEMORY, tmp_path))


def test_no_request_is_lost_where_readiness_cannot_be_asked_for(tmp_path: Path) -> None:
    """epoll_ctl fails, as epoll_ctl(2) documents it. The event library ended the process with SIGABRT."""
    run(no_request_is_lost_where(Call.EPOLL_CTL, NO_WATCHES, tmp_path))


def test_no_request_is_lost_where_waits_are_interrupted(tmp_path: Path) -> None:
    """Every second wait returns EINTR. The program's own epoll was asked once in each turn of the loop,
    right after the loop's own wait: of two calls the second always failed, and the program was deaf until
    the fault ended (hunt, seed 412: answers 0.4 s after their deadlines, and no status event for 2 s)."""

    async def test() -> None:
        async with serving_sizes(tmp_path) as sidecar:
            for at_once in (False, True):
                sidecar.control.fail(Rule(Call.WAIT, errno.EINTR, 2, at_once))
                assert await failures_of_a_mixed_load(sidecar) == []
                assert sidecar.control.failed(Call.WAIT) > 0

    run(test())


def test_a_process_that_is_done_ends_with_0_though_nothing_can_be_watched_any_more(tmp_path: Path) -> None:
    """The runner of the event library started its loop twice more after the last answer, for generators and
    threads that there are none of, and each start registers a descriptor: exit code 1 and a trace, `Cannot
    close a running event loop`."""

    async def test() -> None:
        async with serving_sizes(tmp_path) as sidecar:
            assert await failures_of_a_mixed_load(sidecar) == []
            sidecar.control.fail(Rule(Call.EPOLL_CTL, errno.ENOMEM, 1))
            sidecar.process.terminate()
            assert await sidecar.process.wait() == 0

    run(test())

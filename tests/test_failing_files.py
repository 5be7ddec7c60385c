"""Files of the machine that cannot be opened for a moment: the start, the figures and the metrics go on."""

from __future__ import annotations

import builtins
import errno
import io
import logging
import os
from pathlib import Path
from typing import Any

import pytest

from sprucenotch.node import standing
from sprucenotch.node.log import LogHandler
from sprucenotch.seams import clock
from tests.sidecar import always_ok, dead_dial, endpoint, request, run, sidecar
from tests.test_management import managed


@pytest.fixture
def no_files(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """No file of the kernel can be opened or listed; which were asked for."""
    asked: list[str] = []
    original = builtins.open

    def fails(file: Any, *args: Any, **kwargs: Any) -> Any:
        if str(file).startswith("/proc/"):
            asked.append(str(file))
            raise OSError(errno.ENFILE, "planted")
        return original(file, *args, **kwargs)

    def cannot_list(path: str = ".") -> list[str]:
        asked.append(path)
        raise OSError(errno.EMFILE, "planted")

    monkeypatch.setattr(builtins, "open", fails)
    monkeypatch.setattr(os, "listdir", cannot_list)
    return asked


def test_memory_is_told_by_the_kernels_count_where_its_file_cannot_be_opened(no_files: list[str]) -> None:
    resident, own = standing.own_memory()
    assert no_files and 1_000_000 < own <= resident


def test_a_sidecar_starts_and_tells_its_metrics_without_the_kernels_files(no_files: list[str]) -> None:
    async def test() -> None:
        async with sidecar(dead_dial()) as node, managed(node) as operators:
            code, body = await operators.get("/metrics")
            assert code == 200 and b"sprucenotch_resident_memory_bytes" in body
            assert b"sprucenotch_open_descriptors" not in body  # unknown at the moment

    run(test())
    assert "/proc/self/fd" in no_files


def test_metrics_that_cannot_be_made_for_a_moment_are_told_so(monkeypatch: pytest.MonkeyPatch) -> None:
    """Their module is loaded with the first call, which needs a descriptor."""

    async def test() -> None:
        async with sidecar(dead_dial()) as node:

            def fails(*args: Any) -> bytes:
                raise OSError(errno.EMFILE, "planted")

            monkeypatch.setattr("sprucenotch.node.metrics.render", fails)
            async with managed(node) as operators:
                assert (await operators.get("/metrics"))[0] == 503
                assert (await operators.get("/api/telemetry"))[0] == 200

    run(test())


def test_the_boot_is_read_once_and_again_after_a_failure(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.setattr(clock, "_boot", "")
    with monkeypatch.context() as patch:
        patch.setattr(builtins, "open", lambda *args, **kwargs: (_ for _ in ()).throw(OSError(errno.ENFILE)))
        with pytest.raises(OSError):
            clock.moment(clock.Clock())
    first = clock.moment(clock.Clock())
    with monkeypatch.context() as patch:
        patch.setattr(builtins, "open", lambda *args, **kwargs: (_ for _ in ()).throw(OSError(errno.ENFILE)))
        assert clock.moment(clock.Clock()).boot == first.boot


def test_a_line_of_the_log_that_cannot_be_written_is_lost_and_counted(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The standard handler prints a trace for each, on the same full disk."""
    monkeypatch.setattr(LogHandler, "lost", 0)
    stream = io.StringIO()
    stream.close()
    lines = LogHandler(stream)
    lines.handle(logging.makeLogRecord({"msg": "full"}))
    assert LogHandler.lost == 1 and capsys.readouterr().err == ""


class FailingPoll:
    """Of a socket: the kernel has no memory for it at the moment."""

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        raise OSError(errno.ENOMEM, "planted")

    def register(self, descriptor: int, events: int) -> None:
        pass


def test_a_socket_that_cannot_be_asked_for_the_moment_costs_no_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nobody counts as gone, nothing is closed as unused, and a kept connection is not used again."""
    monkeypatch.setattr("select.poll", FailingPoll)

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            client = await node.client()
            for _ in range(3):
                assert (await client.ask(request()))[0] == 200
            [connection] = node.frontend._connections
            assert not connection.left and connection.connected()
            assert served.connections >= 3  # and perhaps one opened beside, while others rest

    run(test())

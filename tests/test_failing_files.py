"""System files that temporarily cannot be opened: start, figures and metrics still work."""

from __future__ import annotations

import builtins
import errno
import io
import logging
import os
from pathlib import Path
from typing import Any

import pytest

from sprucenotch.node import status
from sprucenotch.node.log import LogHandler
from sprucenotch.platform import clock
from tests.sidecar import always_ok, dead_dial, endpoint, request, run, sidecar
from tests.test_management import managed


@pytest.fixture
def no_files(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Make all files in /proc fail to open or list; return the paths that were requested."""
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


def test_own_memory_falls_back_to_peak_when_file_cannot_be_opened(no_files: list[str]) -> None:
    resident, own = status.own_memory()
    assert no_files and 1_000_000 < own <= resident


def test_sidecar_starts_and_serves_metrics_without_kernel_files(no_files: list[str]) -> None:
    async def test() -> None:
        async with sidecar(dead_dial()) as node, managed(node) as operators:
            code, body = await operators.get("/metrics")
            assert code == 200 and b"sprucenotch_resident_memory_bytes" in body
            assert b"sprucenotch_open_descriptors" not in body  # unknown while it fails

    run(test())
    assert "/proc/self/fd" in no_files


def test_metrics_call_gets_503_when_rendering_fails_temporarily(monkeypatch: pytest.MonkeyPatch) -> None:
    """The metrics module is imported with the first call, which needs a descriptor."""

    async def test() -> None:
        async with sidecar(dead_dial()) as node:

            def fails(*args: Any) -> bytes:
                raise OSError(errno.EMFILE, "planted")

            monkeypatch.setattr("sprucenotch.node.metrics.render", fails)
            async with managed(node) as operators:
                assert (await operators.get("/metrics"))[0] == 503
                assert (await operators.get("/api/telemetry"))[0] == 200

    run(test())


def test_boot_id_is_cached_and_read_again_after_failure(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.setattr(clock, "_boot", "")
    with monkeypatch.context() as patch:
        patch.setattr(builtins, "open", lambda *args, **kwargs: (_ for _ in ()).throw(OSError(errno.ENFILE)))
        with pytest.raises(OSError):
            clock.current_timestamp(clock.Clock())
    first = clock.current_timestamp(clock.Clock())
    with monkeypatch.context() as patch:
        patch.setattr(builtins, "open", lambda *args, **kwargs: (_ for _ in ()).throw(OSError(errno.ENFILE)))
        assert clock.current_timestamp(clock.Clock()).boot == first.boot


def test_unwritable_log_line_is_dropped_and_counted(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The standard handler would print a traceback for each to the same full disk."""
    monkeypatch.setattr(LogHandler, "lost", 0)
    stream = io.StringIO()
    stream.close()
    lines = LogHandler(stream)
    lines.handle(logging.makeLogRecord({"msg": "full"}))
    assert LogHandler.lost == 1 and capsys.readouterr().err == ""


class FailingPoll:
    """A poll object whose kernel call fails for lack of memory."""

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        raise OSError(errno.ENOMEM, "planted")

    def register(self, descriptor: int, events: int) -> None:
        pass


def test_failing_socket_poll_costs_no_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No client counts as gone, no connection is closed as unused, and an idle connection is not reused."""
    monkeypatch.setattr("select.poll", FailingPoll)

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            client = await node.client()
            for _ in range(3):
                assert (await client.ask(request()))[0] == 200
            [connection] = node.frontend._connections
            assert not connection.used_and_idle and connection.connected()
            assert served.connections >= 3  # possibly one more, opened in the background

    run(test())

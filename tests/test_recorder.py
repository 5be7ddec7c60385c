"""The record of disk operations, which simulated power cuts are based on, stays complete when writes fail.

Guards against a torn record: the process under test writes it, so that injected short writes truncated it,
and runs with a power cut crashed with `msgspec.DecodeError: Input data was truncated`.
"""

from __future__ import annotations

import errno
import os
import subprocess
import sys
from pathlib import Path

import pytest

from sprucenotch.platform.disk import RealDisk
from sprucenotch.platform.recording_disk import Operation, RecordingDisk
from sprucenotch.testbed import syscalls
from sprucenotch.testbed.revision import ROOT
from sprucenotch.testbed.simulated_disk import replay
from sprucenotch.testbed.syscalls import SHORT, Call, Control, Rule
from tests.failing_calls import needs_compiler

WRITES = 20
WRITER = """
import contextlib, sys
from pathlib import Path
from sprucenotch.platform.disk import RealDisk
from sprucenotch.platform.recording_disk import RecordingDisk
folder, record = map(Path, sys.argv[1:3])
disk = RecordingDisk(RealDisk(folder), record)
file = disk.open("journal")
for number in range(20):
    with contextlib.suppress(OSError):
        file.write(b"%04d" % number * 100)
disk.sync_directory()
"""


def test_record_is_complete_after_short_writes(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real_write = os.write
    recorded = RecordingDisk(RealDisk(tmp_path), tmp_path / "sidecar.operations")
    monkeypatch.setattr(os, "write", lambda fd, data: real_write(fd, bytes(data)[:7]))
    recorded.append(Operation("open", "journal"))
    for number in range(WRITES):
        recorded.append(Operation("write", "journal", data=b"%04d" % number))
    monkeypatch.undo()
    disk = replay((tmp_path / "sidecar.operations").read_bytes())
    assert disk.read("journal") == b"".join(b"%04d" % number for number in range(WRITES))


@needs_compiler
def test_record_is_complete_when_file_writes_of_the_process_fail(tmp_path: Path) -> None:
    control = Control(syscalls.build(tmp_path), tmp_path / "calls")
    environment = {**os.environ, **control.environment}
    for name, error in {"short": SHORT, "full": errno.ENOSPC, "broken": errno.EIO}.items():
        control.fail(Rule(Call.FILE_WRITE, error, 2))
        folder, record = tmp_path / name, tmp_path / f"{name}.operations"
        folder.mkdir()
        subprocess.run((sys.executable, "-c", WRITER, folder, record), env=environment, cwd=ROOT, check=True)
        assert replay(record.read_bytes()).read("journal") == (folder / "journal").read_bytes(), name
        assert control.failed(Call.FILE_WRITE) > 0
    control.close()

"""The list of tests that are known to fail: what CI makes of a planted line."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

CONFTEST = Path(__file__).parent / "conftest.py"
TESTS = """
def test_fails() -> None:
    assert False

def test_passes() -> None:
    pass
"""
RED = "test_it.py::test_fails | the cause of it | #7"
OTHER = "test_it.py::test_passes | said to fail | #7"


def played(folder: Path, lines: str) -> tuple[int, str]:
    """The exit code and the output of a run of these tests with this list."""
    shutil.copy(CONFTEST, folder)
    (folder / "test_it.py").write_text(TESTS)
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "KNOWN-RED.txt").write_text(lines)
    command = (sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "-rxX", str(folder))
    environ = {k: v for k, v in os.environ.items() if not k.startswith("PYTEST_")}
    ended = subprocess.run(command, cwd=folder, env=environ, capture_output=True, text=True)
    return ended.returncode, ended.stdout + ended.stderr


def test_a_listed_failure_lets_the_run_pass_and_is_printed(tmp_path: Path) -> None:
    code, said = played(tmp_path, f"# a comment\n\n{RED}\n")
    assert code == 0 and "XFAIL test_it.py::test_fails - the cause of it (#7)" in said


def test_a_command_by_hand_is_printed_and_not_played(tmp_path: Path) -> None:
    code, said = played(tmp_path, f"{RED}\n$ bench SITE --seed 41 | lost, 26 times | #7\n")
    assert code == 0 and "KNOWN RED, not played here: $ bench SITE --seed 41 - lost, 26 times (#7)" in said


@pytest.mark.parametrize(
    ("lines", "why"),
    [
        ("", "1 failed, 1 passed"),  # not listed
        (f"{RED}\n{OTHER}\n", "[XPASS(strict)] said to fail (#7)"),
        (f"{RED}\n" * 4, "4 lines, 3 at most"),
        ("test_it.py::test_fails | | #7", "not `test | cause | #issue`"),
        ("test_it.py::test_fails | the cause of it", "not `test | cause | #issue`"),
        ("test_it.py::test_fails | the cause of it | later", "not `test | cause | #issue`"),
        (f"{RED}\ntest_it.py::test_gone | of old | #7", "no such test: test_it.py::test_gone"),
    ],
)
def test_anything_else_fails_the_run_and_says_why(tmp_path: Path, lines: str, why: str) -> None:
    code, said = played(tmp_path, lines)
    assert code != 0 and why in said

"""The list of known failures: how a test run treats entries of KNOWN-RED.txt."""

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
FAILING = "test_it.py::test_fails | the cause of it | #7"
PASSING = "test_it.py::test_passes | said to fail | #7"


def run_tests(folder: Path, lines: str) -> tuple[int, str]:
    """Run these tests with this list; the exit code and the output."""
    shutil.copy(CONFTEST, folder)
    (folder / "test_it.py").write_text(TESTS)
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "KNOWN-RED.txt").write_text(lines)
    command = (sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "-rxX", str(folder))
    environ = {k: v for k, v in os.environ.items() if not k.startswith("PYTEST_")}
    ended = subprocess.run(command, cwd=folder, env=environ, capture_output=True, text=True)
    return ended.returncode, ended.stdout + ended.stderr


def test_listed_failure_is_printed_and_the_run_passes(tmp_path: Path) -> None:
    code, output = run_tests(tmp_path, f"# a comment\n\n{FAILING}\n")
    assert code == 0 and "XFAIL test_it.py::test_fails - the cause of it (#7)" in output


def test_listed_command_is_printed_and_not_run(tmp_path: Path) -> None:
    code, output = run_tests(tmp_path, f"{FAILING}\n$ bench SITE --seed 41 | lost, 26 times | #7\n")
    assert code == 0 and "KNOWN RED, not played here: $ bench SITE --seed 41 - lost, 26 times (#7)" in output


@pytest.mark.parametrize(
    ("lines", "why"),
    [
        ("", "1 failed, 1 passed"),  # not listed
        (f"{FAILING}\n{PASSING}\n", "[XPASS(strict)] said to fail (#7)"),
        (f"{FAILING}\n" * 4, "4 lines, 3 at most"),
        ("test_it.py::test_fails | | #7", "not `test | cause | #issue`"),
        ("test_it.py::test_fails | the cause of it", "not `test | cause | #issue`"),
        ("test_it.py::test_fails | the cause of it | later", "not `test | cause | #issue`"),
        (f"{FAILING}\ntest_it.py::test_gone | of old | #7", "no such test: test_it.py::test_gone"),
    ],
)
def test_invalid_or_outdated_list_fails_the_run_with_the_reason(tmp_path: Path, lines: str, why: str) -> None:
    code, output = run_tests(tmp_path, lines)
    assert code != 0 and why in output

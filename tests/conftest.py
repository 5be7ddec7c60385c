"""Marks the tests that KNOWN-RED.txt lists as expected failures (strict), and prints its other entries.

An entry that begins with "$ " is a command that is run by hand, such as a benchmark that CI does not have;
it is only printed."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

FILE = Path("KNOWN-RED.txt")  # in the root of the repository
MAX_ENTRIES = 3
COMMAND = "$ "  # prefix of an entry that is a command


class KnownFailure(NamedTuple):
    """One entry of KNOWN-RED.txt."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownFailure]:
    """Parse the lines that are not comments. Raises pytest.UsageError on a malformed line."""
    failures = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or not (parts[2][0] == "#" and parts[2][1:].isdigit()):
            raise pytest.UsageError(f"{FILE.name}: not `test | cause | #issue`: {line}")
        failures.append(KnownFailure(*parts))
    if len(failures) > MAX_ENTRIES:
        raise pytest.UsageError(f"{FILE.name}: {len(failures)} lines, {MAX_ENTRIES} at most")
    return failures


def known_failures(config: pytest.Config) -> list[KnownFailure]:
    path = config.rootpath / FILE
    return parse(path.read_text()) if path.exists() else []


def pytest_configure(config: pytest.Config) -> None:
    known_failures(config)  # an invalid file ends the run before any test


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    by_id = {item.nodeid: item for item in items}
    failures = known_failures(config)
    for failure in failures:
        if failure.test in by_id:
            # Strict: a listed test that passes fails the run.
            by_id[failure.test].add_marker(
                pytest.mark.xfail(reason=f"{failure.cause} ({failure.issue})", strict=True)
            )
    full_run = not config.getoption("keyword") and all(Path(arg).is_dir() for arg in config.args)
    tests = [failure.test for failure in failures if not failure.test.startswith(COMMAND)]
    if full_run and (unknown := [test for test in tests if test not in by_id]):
        raise pytest.UsageError(f"{FILE.name}: no such test: {', '.join(unknown)}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the commands that are known to fail and were not run here."""
    for failure in known_failures(config):
        if failure.test.startswith(COMMAND):
            terminalreporter.write_line(
                f"KNOWN RED, not played here: {failure.test} - {failure.cause} ({failure.issue})"
            )

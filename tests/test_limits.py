"""The audit's requirements for the decision module: its size, imports, and a reference to its interface."""

from __future__ import annotations

import re
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
POLICY = ROOT / "sprucenotch" / "policy"
TEXTS = {path: path.read_text() for path in POLICY.glob("*.py")}


def test_deployment_lists_every_policy_file() -> None:
    assert sorted(DEPLOY["policy"]) == sorted(str(path.relative_to(ROOT)) for path in TEXTS)


def test_policy_has_at_most_1200_lines_of_110_columns() -> None:
    lines = [line for text in TEXTS.values() for line in text.splitlines() if line.strip()]
    assert len(lines) <= 1200
    assert max(map(len, lines)) <= 110


def test_policy_docstring_names_interface() -> None:
    assert "sprucenotch/api.py" in (POLICY / "balance.py").read_text().split('"""')[1]


def test_policy_imports_no_io_and_no_clock() -> None:
    imported = re.findall(r"^(?:from|import) (\S+)", "\n".join(TEXTS.values()), re.MULTILINE)
    allowed = {
        "__future__", "collections.abc", "heapq", "math", "msgspec", "random", "struct", "sprucenotch",
        "sprucenotch.api",
    }  # fmt: skip
    assert {name for name in imported if not name.startswith("sprucenotch.policy.")} <= allowed


# Prints the project's files that are loaded when a sidecar starts.
LOADED = """
import sys
import sprucenotch.__main__, sprucenotch.node.serve
for name, module in sys.modules.items():
    if name.partition(".")[0] == "sprucenotch":
        print(module.__file__)
"""


def test_deployment_lists_exactly_the_loaded_files() -> None:
    result = subprocess.run(
        (sys.executable, "-c", LOADED), cwd=ROOT, capture_output=True, text=True, check=True
    )
    loaded = {Path(line).relative_to(ROOT) for line in result.stdout.splitlines()}
    named = [Path(path) for path in (*DEPLOY["policy"], *DEPLOY["node"])]
    assert all(any(file.is_relative_to(path) for path in named) for file in loaded)
    assert all(any(file.is_relative_to(path) for file in loaded) for path in named)


def test_deployment_run_command_uses_exec() -> None:
    *before, last = (command.strip() for command in DEPLOY["run"].split(";"))
    assert last.startswith("exec ")
    assert all(command.startswith("trap '' ") for command in before)  # a shell builtin: starts no process

"""`docs/constants.md` names every figure of the decisions and the node, under the value that the code has."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "sprucenotch"
PAGE = (ROOT / "docs" / "constants.md").read_text()
ROWS = [line for line in PAGE.splitlines() if line.startswith("| `")]
FILES = [path for part in ("policy", "node") for path in sorted((PACKAGE / part).glob("*.py"))]


def numeric(node: ast.expr) -> bool:
    """Whether an expression is made of numbers, and of names of constants among them."""
    if isinstance(node, ast.Constant):
        return isinstance(node.value, int | float) and not isinstance(node.value, bool)
    if isinstance(node, ast.BinOp):
        return numeric(node.left) and numeric(node.right)
    if isinstance(node, ast.Tuple):
        return all(map(numeric, node.elts))
    return isinstance(node, ast.Name) and node.id.isupper()


def figures(path: Path) -> dict[str, str]:
    """The names of a file's numeric constants, with the text of each value."""
    found = {}
    for statement in ast.parse(path.read_text()).body:
        if not isinstance(statement, ast.Assign) or not numeric(statement.value):
            continue
        [target] = statement.targets
        targets = target.elts if isinstance(target, ast.Tuple) else [target]
        values = statement.value.elts if isinstance(statement.value, ast.Tuple) else [statement.value]
        paired = len(targets) == len(values)
        for number, name in enumerate(targets):
            assert isinstance(name, ast.Name)
            found[name.id] = ast.unparse(values[number] if paired else statement.value)
    return found


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_every_constant_has_its_row_and_its_plain_value(path: Path) -> None:
    for name, value in figures(path).items():
        rows = [row.split("|") for row in ROWS if f"`{name}`" in row]
        rows = [row for row in rows if path.name in row[2] or "several" in row[2]]
        assert rows, f"{name} of {path.name} has no row"
        if re.fullmatch(r"[0-9.]+", value):  # others are written with their unit
            numbers = re.findall(r"[0-9][0-9_.]*", rows[-1][3])
            assert float(value) in [float(number) for number in numbers], f"{name} is {value}, not as told"

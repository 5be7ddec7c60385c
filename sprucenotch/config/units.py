"""Times and sizes with units: "400ms", "1.5s", "32MB"."""

from __future__ import annotations

import re

NANOSECONDS = {"ns": 1, "us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000,
               "h": 3_600_000_000_000}  # fmt: skip
BYTES = {"B": 1, "kB": 1_000, "MB": 1_000_000, "GB": 1_000_000_000, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}
_QUANTITY = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?([A-Za-z]+)", re.ASCII)


def parse(text: object, units: dict[str, int]) -> int | None:
    """Return the value in the smallest unit, rounded down; None if the text is no number with a unit."""
    match = _QUANTITY.fullmatch(text) if isinstance(text, str) else None
    if match is None or match[2] not in units:
        return None
    whole, _, decimals = str(match[1]).partition(".")
    scale = units[match[2]]
    return int(whole) * scale + int(decimals or 0) * scale // int(10 ** len(decimals))


def format_value(value: float, units: dict[str, int]) -> str:
    """Format a value in the largest unit in which it is a whole number."""
    if not value:
        return "0s" if units is NANOSECONDS else "0B"
    exact = [(scale, unit) for unit, scale in units.items() if not value % scale]
    if not exact:
        return f"{value:g}{min(units, key=units.__getitem__)}"
    scale, unit = max(exact)
    return f"{int(value // scale)}{unit}"

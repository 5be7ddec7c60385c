"""Times and sizes as people write them: "400ms", "1.5s", "32MB"."""

from __future__ import annotations

import re

NANOSECONDS = {"ns": 1, "us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000,
               "h": 3_600_000_000_000}  # fmt: skip
BYTES = {"B": 1, "kB": 1_000, "MB": 1_000_000, "GB": 1_000_000_000, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}
_WRITTEN = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?([A-Za-z]+)", re.ASCII)


def parse(text: object, units: dict[str, int]) -> int | None:
    """The number of the smallest unit, rounded down; None where the text is no such figure."""
    found = _WRITTEN.fullmatch(text) if isinstance(text, str) else None
    if found is None or found[2] not in units:
        return None
    whole, _, decimals = str(found[1]).partition(".")
    scale = units[found[2]]
    return int(whole) * scale + int(decimals or 0) * scale // int(10 ** len(decimals))


def spell(value: float, units: dict[str, int]) -> str:
    """The figure in the largest unit that leaves it whole."""
    if not value:
        return "0s" if units is NANOSECONDS else "0B"
    fitting = [(scale, unit) for unit, scale in units.items() if not value % scale]
    if not fitting:
        return f"{value:g}{min(units, key=units.__getitem__)}"
    scale, unit = max(fitting)
    return f"{int(value // scale)}{unit}"

"""What the store costs: appends a second by mode, a start with 10, 1,000 and 100,000 records, memory.

    python benchmarks/store.py [FOLDER]

Records are small maps, as a sidecar's would be. The folder decides which disk is measured; without one it is
a temporary one. Each figure is the median of the rounds.
"""

from __future__ import annotations

import statistics
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

from sprucenotch.seams.disk import RealDisk
from sprucenotch.store.reading import Owner, Schema, read
from sprucenotch.store.store import Mode, Store, open_store

OWNER = Owner("benchmark", "one")
SCHEMA = Schema(1, dict)
ROUNDS = 5
APPENDS: dict[Mode, int] = {"none": 20_000, "interval": 20_000, "always": 300}
SIZES = (10, 1_000, 100_000)


def record(number: int) -> dict[str, float]:
    return {"engine": number, "pace": number * 0.001, "failures": 0.0, "age": 1.5}


def filled(folder: Path, mode: Mode, records: int) -> tuple[Store[dict[str, float]], float]:
    """A store with so many appended, and the seconds that took."""
    store = open_store(RealDisk(folder), OWNER, SCHEMA, time.time_ns(), mode).store
    began = time.perf_counter()
    for number in range(records):
        store.append(record(number))
    store.sync()
    took = time.perf_counter() - began
    store.close()
    return store, took


def main() -> None:
    parent = sys.argv[1] if len(sys.argv) > 1 else None
    for mode, count in APPENDS.items():
        took = []
        for _ in range(ROUNDS):
            with tempfile.TemporaryDirectory(dir=parent) as folder:
                took.append(filled(Path(folder), mode, count)[1])
        each = statistics.median(took) / count
        print(f"append, {mode}: {1 / each:,.0f} a second, {each * 1e6:.1f} us each")
    for size in SIZES:
        with tempfile.TemporaryDirectory(dir=parent) as folder:
            filled(Path(folder), "none", size)
            took = []
            for _ in range(ROUNDS):
                began = time.perf_counter()
                found = read(RealDisk(Path(folder)), OWNER, SCHEMA, time.time_ns())
                took.append(time.perf_counter() - began)
            assert len(found.records) == size
            tracemalloc.start()
            found = read(RealDisk(Path(folder)), OWNER, SCHEMA, time.time_ns())
            peak = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
        spent = statistics.median(took) * 1000
        print(f"start with {size:,} records: {spent:.2f} ms, at most {peak / 1e6:.1f} MB")


if __name__ == "__main__":
    main()

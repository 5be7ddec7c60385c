"""Measures the store: appends a second by mode, and time and memory of a start with 10 to 100,000 records.

    python benchmarks/store.py [FOLDER]

Records are small maps, like those of a sidecar. FOLDER selects the disk; the default is a temporary folder.
Each figure is the median over the rounds.
"""

from __future__ import annotations

import statistics
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

from sprucenotch.platform.disk import RealDisk
from sprucenotch.store.reader import Owner, Schema, read
from sprucenotch.store.store import Mode, Store, open_store

OWNER = Owner("benchmark", "one")
SCHEMA = Schema(1, dict)
ROUNDS = 5
APPENDS: dict[Mode, int] = {"none": 20_000, "interval": 20_000, "always": 300}
SIZES = (10, 1_000, 100_000)


def record(number: int) -> dict[str, float]:
    return {"engine": number, "pace": number * 0.001, "failures": 0.0, "age": 1.5}


def filled(folder: Path, mode: Mode, records: int) -> tuple[Store[dict[str, float]], float]:
    """Create a store with so many records, and return it with the seconds that the appends took."""
    store = open_store(RealDisk(folder), OWNER, SCHEMA, time.time_ns(), mode).store
    began = time.perf_counter()
    for number in range(records):
        store.append(record(number))
    store.sync()
    seconds = time.perf_counter() - began
    store.close()
    return store, seconds


def main() -> None:
    parent = sys.argv[1] if len(sys.argv) > 1 else None
    for mode, count in APPENDS.items():
        seconds = []
        for _ in range(ROUNDS):
            with tempfile.TemporaryDirectory(dir=parent) as folder:
                seconds.append(filled(Path(folder), mode, count)[1])
        seconds_each = statistics.median(seconds) / count
        print(f"append, {mode}: {1 / seconds_each:,.0f} a second, {seconds_each * 1e6:.1f} us each")
    for size in SIZES:
        with tempfile.TemporaryDirectory(dir=parent) as folder:
            filled(Path(folder), "none", size)
            seconds = []
            for _ in range(ROUNDS):
                began = time.perf_counter()
                found = read(RealDisk(Path(folder)), OWNER, SCHEMA, time.time_ns())
                seconds.append(time.perf_counter() - began)
            assert len(found.records) == size
            tracemalloc.start()
            found = read(RealDisk(Path(folder)), OWNER, SCHEMA, time.time_ns())
            peak = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
        milliseconds = statistics.median(seconds) * 1000
        print(f"start with {size:,} records: {milliseconds:.2f} ms, at most {peak / 1e6:.1f} MB")


if __name__ == "__main__":
    main()

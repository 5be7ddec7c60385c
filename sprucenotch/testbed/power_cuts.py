"""Power cuts at every operation of a store's workload: checks that recovery meets the durability guarantees.

    python -m sprucenotch.testbed.power_cuts [SEEDS]

Appends, syncs and compactions run on a model of a disk that loses power after the n-th operation, for every
n, with one outcome of each cut per seed; then the first start after the cut loses power too. The next start
must succeed, and its records must be a prefix of those appended, with all that the mode guarantees.
"""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from sprucenotch.platform.disk import File
from sprucenotch.store import frame
from sprucenotch.store.reader import Owner, Schema
from sprucenotch.store.store import Mode, open_store
from sprucenotch.testbed.simulated_disk import SimulatedDisk

MODES: tuple[Mode, ...] = ("none", "interval", "always")
SKIPPED_STEPS = ("sync", "sync names", "checksum")
OWNER, SCHEMA, NOW = Owner("cuts", "one"), Schema(1, bytes), 10**18
APPENDS = 14
KILLED_BEFORE = (7, 11)  # appends before which the process is killed and another one continues
RECORD_SIZE = 700  # bytes, so that records cross sector boundaries


class PowerCut(Exception):
    """Power was lost before this operation."""


class PowerCutDisk:
    """A disk that loses power after a number of operations, and may skip one kind of them."""

    def __init__(self, disk: SimulatedDisk, operations: int, skipped: str = "") -> None:
        self._disk, self._left, self._skipped = disk, operations, skipped

    def take_operation(self, operation: str) -> bool:
        """Count an operation; return whether to perform it. Raises PowerCut when none is left."""
        if self._left <= 0:
            raise PowerCut
        self._left -= 1
        return operation != self._skipped

    def names(self) -> list[str]:
        return self._disk.names()

    def read(self, name: str) -> bytes:
        return self._disk.read(name)

    def open(self, name: str, truncate: bool = False) -> File:
        self.take_operation("open")
        return _PowerCutFile(self, self._disk.open(name, truncate))

    def rename(self, old: str, new: str) -> None:
        self.take_operation("rename")
        self._disk.rename(old, new)

    def remove(self, name: str) -> None:
        self.take_operation("remove")
        self._disk.remove(name)

    def lock(self, name: str) -> None:
        self._disk.lock(name)

    def unlock(self) -> None:
        self._disk.unlock()

    def sync_directory(self) -> None:
        if self.take_operation("sync names"):
            self._disk.sync_directory()


class _PowerCutFile:
    def __init__(self, disk: PowerCutDisk, file: File) -> None:
        self._disk, self._file = disk, file

    def write(self, data: bytes) -> None:
        self._disk.take_operation("write")
        self._file.write(data)

    def sync(self) -> None:
        if self._disk.take_operation("sync"):
            self._file.sync()

    def truncate(self, size: int) -> None:
        self._disk.take_operation("truncate")
        self._file.truncate(size)

    def close(self) -> None:
        self._file.close()


def record_bytes(number: int) -> bytes:
    return b"%d " % number * (RECORD_SIZE // len(b"%d " % number))


class Progress:
    """The progress of a workload up to the power cut."""

    def __init__(self) -> None:
        self.appended: list[bytes] = []
        self.promised = 0  # records that must survive
        self.finished = False


def run_workload(disk: PowerCutDisk, mode: Mode, progress: Progress) -> None:
    store = open_store(disk, OWNER, SCHEMA, NOW, mode).store
    steps: Iterator[None] = iter(())
    for number in range(APPENDS):
        if number in KILLED_BEFORE:  # data not synced stays visible, but is not durable
            disk.unlock()
            store, steps = open_store(disk, OWNER, SCHEMA, NOW, mode).store, iter(())
        if number % 5 == 4:
            steps = store.compact(list(progress.appended), NOW)
        progress.appended.append(record_bytes(number))
        store.append(progress.appended[-1])
        if mode == "always":
            progress.promised = len(progress.appended)
        next(steps, None)
        if number % 4 == 3:
            store.sync()
            if mode != "none":
                progress.promised = len(progress.appended)
    progress.finished = True


class Explored(NamedTuple):
    """The cases tried and the violations found."""

    cases: int
    broken: list[str]  # a line each, with mode, cut and seed


def explore_power_cuts(mode: Mode, seeds: Iterable[int], skipped: str = "") -> Explored:
    """Cut power at each operation of the workload and in the start after it, with these seeds."""
    cases, broken, seeds = 0, list[str](), tuple(seeds)
    with _without_checksums() if skipped == "checksum" else contextlib.nullcontext():
        for at in range(10_000):
            finished = False
            for seed in seeds:
                progress, disk = Progress(), SimulatedDisk()
                with contextlib.suppress(PowerCut):
                    run_workload(PowerCutDisk(disk, at, skipped), mode, progress)
                disk.crash(seed)
                with contextlib.suppress(PowerCut):  # the first start loses power as well
                    open_store(PowerCutDisk(disk, seed % 13, skipped), OWNER, SCHEMA, NOW, mode)
                disk.crash(seed + 1)
                cases += 1
                finished |= progress.finished
                if (wrong := _violation(disk, progress)) is not None:
                    broken.append(f"{mode}, cut after {at}, seed {seed}: {wrong}")
            if finished:
                return Explored(cases, broken)
    raise AssertionError("the workload does not end")


def _violation(disk: SimulatedDisk, progress: Progress) -> str | None:
    opened = open_store(disk, OWNER, SCHEMA, NOW)
    recovered = list(opened.found.records)
    if opened.problem:
        return f"the store cannot be opened: {opened.problem}"
    if recovered != progress.appended[: len(recovered)]:
        return f"{len(recovered)} records are not a prefix of the {len(progress.appended)} appended"
    if len(recovered) < progress.promised:
        return f"{len(recovered)} records, but {progress.promised} were guaranteed"
    return None


@contextlib.contextmanager
def _without_checksums() -> Iterator[None]:
    """Disable checksums: all are 0."""
    original, frame.checksum = frame.checksum, lambda sequence, payload: 0
    try:
        yield
    finally:
        frame.checksum = original


def main() -> int:
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 100)
    wrong = 0
    for mode in MODES:
        found = explore_power_cuts(mode, seeds)
        wrong += len(found.broken)
        print(f"{mode}: {found.cases} cases, {len(found.broken)} broken", *found.broken[:5], sep="\n  ")
    for skipped in SKIPPED_STEPS:
        found = explore_power_cuts("always", seeds, skipped)
        print(f"without {skipped}: {len(found.broken)} of {found.cases} cases are detected as broken")
        wrong += not found.broken
    return int(wrong > 0)


if __name__ == "__main__":
    sys.exit(main())

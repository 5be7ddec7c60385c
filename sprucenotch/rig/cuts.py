"""Power cuts at every operation of a store's workload: what a start finds, against what was promised.

    python -m sprucenotch.rig.cuts [SEEDS]

Appends, syncs and compactions run on the model of a disk that loses power after the n-th operation, for
every n, with as many outcomes of each cut as there are seeds; then the same befalls the start that
follows. Afterwards there must be a start, its records a prefix of what was appended, and no shorter than
the mode promises.
"""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from sprucenotch.rig.volume import Volume
from sprucenotch.seams.disk import File
from sprucenotch.store import frame
from sprucenotch.store.reading import Owner, Schema
from sprucenotch.store.store import Mode, open_store

MODES: tuple[Mode, ...] = ("none", "interval", "always")
FORGOTTEN = ("sync", "sync names", "checksum")
OWNER, SCHEMA, NOW = Owner("cuts", "one"), Schema(1, bytes), 10**18
APPENDS = 14
KILLED = (7, 11)  # before these the process ends, however it does, and another goes on
LONG = 700  # bytes: records that reach over sectors


class PowerCut(Exception):
    """Nothing after this operation was done."""


class Cut:
    """A disk that works for so many operations more, and may forget one kind of them."""

    def __init__(self, volume: Volume, operations: int, forgotten: str = "") -> None:
        self._volume, self._left, self._forgotten = volume, operations, forgotten

    def spend(self, operation: str) -> bool:
        """Whether to carry it out. Raises PowerCut."""
        if self._left <= 0:
            raise PowerCut
        self._left -= 1
        return operation != self._forgotten

    def names(self) -> list[str]:
        return self._volume.names()

    def read(self, name: str) -> bytes:
        return self._volume.read(name)

    def open(self, name: str, anew: bool = False) -> File:
        self.spend("open")
        return _CutFile(self, self._volume.open(name, anew))

    def rename(self, old: str, new: str) -> None:
        self.spend("rename")
        self._volume.rename(old, new)

    def remove(self, name: str) -> None:
        self.spend("remove")
        self._volume.remove(name)

    def lock(self, name: str) -> None:
        self._volume.lock(name)

    def unlock(self) -> None:
        self._volume.unlock()

    def sync_names(self) -> None:
        if self.spend("sync names"):
            self._volume.sync_names()


class _CutFile:
    def __init__(self, disk: Cut, file: File) -> None:
        self._disk, self._file = disk, file

    def write(self, data: bytes) -> None:
        self._disk.spend("write")
        self._file.write(data)

    def sync(self) -> None:
        if self._disk.spend("sync"):
            self._file.sync()

    def truncate(self, size: int) -> None:
        self._disk.spend("truncate")
        self._file.truncate(size)

    def close(self) -> None:
        self._file.close()


def record(number: int) -> bytes:
    return b"%d " % number * (LONG // len(b"%d " % number))


class Progress:
    """What a workload has done by the time that it is cut."""

    def __init__(self) -> None:
        self.appended: list[bytes] = []
        self.promised = 0  # records
        self.over = False


def work(disk: Cut, mode: Mode, did: Progress) -> None:
    store = open_store(disk, OWNER, SCHEMA, NOW, mode).store
    steps: Iterator[None] = iter(())
    for number in range(APPENDS):
        if number in KILLED:  # what it had not synced is still there, and not durable
            disk.unlock()
            store, steps = open_store(disk, OWNER, SCHEMA, NOW, mode).store, iter(())
        if number % 5 == 4:
            steps = store.compact(list(did.appended), NOW)
        did.appended.append(record(number))
        store.append(did.appended[-1])
        if mode == "always":
            did.promised = len(did.appended)
        next(steps, None)
        if number % 4 == 3:
            store.sync()
            if mode != "none":
                did.promised = len(did.appended)
    did.over = True


class Explored(NamedTuple):
    cases: int
    broken: list[str]  # what was found to be wrong, by mode, cut and seed


def explore(mode: Mode, seeds: Iterable[int], forgotten: str = "") -> Explored:
    """All cuts of the workload, and of the start after each, with these outcomes."""
    cases, broken, seeds = 0, list[str](), tuple(seeds)
    with _unchecked() if forgotten == "checksum" else contextlib.nullcontext():
        for at in range(10_000):
            over = False
            for seed in seeds:
                did, volume = Progress(), Volume()
                with contextlib.suppress(PowerCut):
                    work(Cut(volume, at, forgotten), mode, did)
                volume.crash(seed)
                with contextlib.suppress(PowerCut):  # the first start loses power as well
                    open_store(Cut(volume, seed % 13, forgotten), OWNER, SCHEMA, NOW, mode)
                volume.crash(seed + 1)
                cases += 1
                over |= did.over
                if (wrong := _judge(volume, did)) is not None:
                    broken.append(f"{mode}, cut after {at}, seed {seed}: {wrong}")
            if over:
                return Explored(cases, broken)
    raise AssertionError("the workload does not end")


def _judge(volume: Volume, did: Progress) -> str | None:
    opened = open_store(volume, OWNER, SCHEMA, NOW)
    kept = list(opened.found.records)
    if opened.problem:
        return f"no start: {opened.problem}"
    if kept != did.appended[: len(kept)]:
        return f"{len(kept)} records are no prefix of the {len(did.appended)} appended"
    if len(kept) < did.promised:
        return f"{len(kept)} records, where {did.promised} were promised"
    return None


@contextlib.contextmanager
def _unchecked() -> Iterator[None]:
    """Checksums that say nothing."""
    kept, frame.checksum = frame.checksum, lambda sequence, payload: 0
    try:
        yield
    finally:
        frame.checksum = kept


def main() -> int:
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 100)
    wrong = 0
    for mode in MODES:
        found = explore(mode, seeds)
        wrong += len(found.broken)
        print(f"{mode}: {found.cases} cases, {len(found.broken)} broken", *found.broken[:5], sep="\n  ")
    for forgotten in FORGOTTEN:
        found = explore("always", seeds, forgotten)
        print(f"without {forgotten}: {len(found.broken)} of {found.cases} cases are found")
        wrong += not found.broken
    return int(wrong > 0)


if __name__ == "__main__":
    sys.exit(main())

"""Reading a store: all intact records, and a reason for everything that is refused.

The base is the intact snapshot of the highest generation. The journals of the same and of later generations
follow, as long as their sequence has no gap. Reading changes nothing.
"""

from __future__ import annotations

import errno
import re
from collections.abc import Callable, Mapping
from typing import Generic, Literal, NamedTuple, TypeAlias, TypeVar

import msgspec

from sprucenotch.platform.disk import Disk
from sprucenotch.platform.system_errors import is_exhaustion
from sprucenotch.store.frame import FORMAT, MAGIC, PREAMBLE, Damage, Frame, Header, SnapshotEnd, read_frames

SECOND = 1_000_000_000
MAX_CLOCK_AHEAD = 60 * SECOND  # by which the clock of another machine may be ahead
R = TypeVar("R")

Reason: TypeAlias = Literal[
    "torn", "checksum", "hole", "length", "not whole", "no store file", "newer format", "newer schema",
    "unknown schema", "another owner", "another deployment", "from the future", "too old", "not a file",
    "not readable", "record",
]  # fmt: skip
# Others, such as .new and .broken-1, are not read.
FILE_NAME = re.compile(r"(snapshot|journal)\.([0-9]{1,18})")


class Owner(NamedTuple):
    """The owner of the files; those of other owners are refused."""

    deployment: str
    name: str


class Schema(NamedTuple, Generic[R]):
    """The type of the records. `older` has a decoder for each older version that can still be read."""

    version: int
    kind: type[R]
    older: Mapping[int, Callable[[bytes], R]] = {}


class Refusal(NamedTuple):
    """A file, or the rest of one, that is refused."""

    name: str
    reason: Reason
    at: int = 0  # offset in bytes at which the refused part begins

    def __str__(self) -> str:
        where = f" from byte {self.at} on" if self.at else ""
        return f"{self.name}{where}: {self.reason}"


class Found(NamedTuple, Generic[R]):
    """The contents of a store."""

    records: tuple[R, ...]  # those of the snapshot, then those of the journals
    sequence: int  # of the last record; 0 if there is none
    generation: int  # the highest of any file, so that no file name is reused
    refused: tuple[Refusal, ...]
    files: tuple[str, ...]  # all files of the store, refused or not


class _File(NamedTuple):
    header: Header
    sequence_before: int  # the sequence of the record before its first one
    frames: list[Frame]
    damage: Damage | None


def read(
    disk: Disk,
    owner: Owner,
    schema: Schema[R],
    now: int,
    oldest: int | None = None,
    future: int | None = MAX_CLOCK_AHEAD,
) -> Found[R]:
    """Read and verify everything in the folder.

    Times are in nanoseconds: `now` is Unix time, `oldest` the age above which files are too old, and `future`
    by how much they may be ahead (None: no limit). Raises OSError if the folder cannot be read, or if
    descriptors or memory are exhausted.
    """
    refused: list[Refusal] = []
    snapshots, journals = dict[int, _File](), dict[int, _File]()
    names = sorted(name for name in disk.names() if FILE_NAME.fullmatch(name))
    for name in names:
        file = _read_file(disk, name, refused)
        if file is None or not _is_acceptable(name, file, owner, schema, now, oldest, future, refused):
            continue
        found = FILE_NAME.fullmatch(name)
        assert found is not None
        (snapshots if found[1] == "snapshot" else journals)[int(found[2])] = file
    records, sequence, base = list[R](), 0, 0
    for generation in sorted(snapshots, reverse=True):
        whole = _snapshot_records(f"snapshot.{generation}", snapshots[generation], schema, refused)
        if whole is not None:
            records, sequence, base = whole, snapshots[generation].sequence_before, generation
            break
    ended = False
    for generation in sorted(journals):
        if generation < base:
            continue
        name, file = f"journal.{generation}", journals[generation]
        if ended or file.sequence_before > sequence:
            refused.append(Refusal(name, "hole"))
            ended = True
            continue
        sequence, ended = _append_journal(name, file, schema, records, sequence, refused)
    highest = max((int(name.partition(".")[2]) for name in names), default=0)
    return Found(tuple(records), sequence, highest, tuple(refused), tuple(names))


def headers(disk: Disk) -> dict[str, Header]:
    """Return the readable headers by file name. Raises OSError if the folder cannot be read."""
    files = {name: _read_file(disk, name, []) for name in disk.names() if FILE_NAME.fullmatch(name)}
    return {name: file.header for name, file in files.items() if file is not None}


def _read_file(disk: Disk, name: str, refused: list[Refusal]) -> _File | None:
    try:
        raw = disk.read(name)
    except IsADirectoryError:
        refused.append(Refusal(name, "not a file"))
        return None
    except OSError as problem:
        if is_exhaustion(problem):  # not a property of the file
            raise
        reason: Reason = "not a file" if problem.errno in (errno.ELOOP, errno.ENOTDIR) else "not readable"
        refused.append(Refusal(name, reason))
        return None
    if len(raw) < PREAMBLE.size:
        refused.append(Refusal(name, "torn"))
        return None
    magic, version = PREAMBLE.unpack_from(raw)
    if magic != MAGIC:
        refused.append(Refusal(name, "no store file"))
        return None
    if version > FORMAT:
        refused.append(Refusal(name, "newer format"))
        return None
    read = list(read_frames(raw))
    damage = read.pop() if read and isinstance(read[-1], Damage) else None
    whole = [frame for frame in read if isinstance(frame, Frame)]
    if not whole:
        refused.append(Refusal(name, damage.reason if isinstance(damage, Damage) else "torn"))
        return None
    try:
        header = msgspec.msgpack.decode(whole[0].payload, type=Header)
    except msgspec.MsgspecError:
        refused.append(Refusal(name, "no store file"))
        return None
    return _File(header, whole[0].sequence, whole[1:], damage if isinstance(damage, Damage) else None)


def _is_acceptable(
    name: str,
    file: _File,
    owner: Owner,
    schema: Schema[R],
    now: int,
    oldest: int | None,
    future: int | None,
    refused: list[Refusal],
) -> bool:
    header = file.header
    reason: Reason | None = None
    if f"{header.kind}.{header.generation}" != name:
        reason = "no store file"
    elif header.deployment != owner.deployment:
        reason = "another deployment"
    elif header.owner != owner.name:
        reason = "another owner"
    elif header.schema > schema.version:
        reason = "newer schema"
    elif header.schema != schema.version and header.schema not in schema.older:
        reason = "unknown schema"
    elif future is not None and header.at > now + future:
        reason = "from the future"
    elif oldest is not None and header.at < now - oldest:
        reason = "too old"
    if reason is not None:
        refused.append(Refusal(name, reason))
    return reason is None


def _decode(payload: bytes, version: int, schema: Schema[R]) -> R:
    """Decode a record. Raises msgspec.MsgspecError, or ValueError from the decoder of an older version."""
    if version != schema.version:
        return schema.older[version](payload)
    return msgspec.msgpack.decode(payload, type=schema.kind)


def _snapshot_records(name: str, file: _File, schema: Schema[R], refused: list[Refusal]) -> list[R] | None:
    """Return the records of a snapshot, or None if any of it is broken."""
    if file.damage is not None:
        refused.append(Refusal(name, file.damage.reason, file.damage.at))
        return None
    try:
        trailer = msgspec.msgpack.decode(file.frames[-1].payload, type=SnapshotEnd) if file.frames else None
        if trailer is None or trailer.records != len(file.frames) - 1:
            raise ValueError
    except (msgspec.MsgspecError, ValueError):
        refused.append(Refusal(name, "not whole"))
        return None
    try:
        return [_decode(frame.payload, file.header.schema, schema) for frame in file.frames[:-1]]
    except (msgspec.MsgspecError, ValueError):
        refused.append(Refusal(name, "record"))
        return None


def _append_journal(
    name: str, file: _File, schema: Schema[R], records: list[R], sequence: int, refused: list[Refusal]
) -> tuple[int, bool]:
    """Append the journal's records after `sequence`.

    Returns the sequence of the last record, and whether reading must stop there.
    """
    for frame in file.frames:
        if frame.sequence <= sequence:
            continue  # contained in the snapshot
        try:
            records.append(_decode(frame.payload, file.header.schema, schema))
        except (msgspec.MsgspecError, ValueError):
            refused.append(Refusal(name, "record"))
            return sequence, True
        sequence = frame.sequence
    if file.damage is not None:
        refused.append(Refusal(name, file.damage.reason, file.damage.at))
    return sequence, file.damage is not None

"""The file format of the store: preamble, header, frames of length, sequence, checksum and payload."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Literal, NamedTuple

import msgspec
import xxhash
from msgspec import Struct

MAGIC = b"SPRN"
FORMAT = 1  # of the files; the payloads have a schema version of their own
PREAMBLE = struct.Struct("<4sHxx")  # magic, format
FRAME = struct.Struct("<IQQ")  # length of the payload, sequence, checksum of both
MAX_RECORD_BYTES = 1 << 20  # of a payload


class Header(Struct, frozen=True, array_like=True):
    """The first frame of a file. Its sequence is the one before the first record."""

    kind: Literal["snapshot", "journal"]
    generation: int
    schema: int  # of the records
    deployment: str
    owner: str
    at: int  # creation of the file, in nanoseconds of Unix time


class SnapshotEnd(Struct, frozen=True, array_like=True):
    """The last frame of a snapshot; without it the snapshot is incomplete."""

    records: int


class Frame(NamedTuple):
    sequence: int
    payload: bytes


class Damage(NamedTuple):
    """Where and why reading stopped before the end of the file."""

    at: int  # offset in bytes
    reason: Literal["torn", "checksum", "hole", "length"]


def checksum(sequence: int, payload: bytes) -> int:
    return xxhash.xxh3_64_intdigest(payload, seed=sequence)


def encode(sequence: int, payload: bytes) -> bytes:
    """Encode a frame. Raises ValueError if the payload is too long."""
    if len(payload) > MAX_RECORD_BYTES:
        raise ValueError(f"record of {len(payload)} bytes exceeds the limit of {MAX_RECORD_BYTES}")
    return FRAME.pack(len(payload), sequence, checksum(sequence, payload)) + payload


def file_start(header: Header, sequence: int) -> bytes:
    """Encode preamble and header of a file whose first record follows `sequence`."""
    return PREAMBLE.pack(MAGIC, FORMAT) + encode(sequence, msgspec.msgpack.encode(header))


def read_frames(raw: bytes) -> Iterator[Frame | Damage]:
    """Yield the frames after the preamble, in contiguous sequence, and finally the damage if there is any."""
    at, expected = PREAMBLE.size, -1
    while at < len(raw):
        if at + FRAME.size > len(raw):
            yield Damage(at, "torn")
            return
        length, sequence, stored_checksum = FRAME.unpack_from(raw, at)
        if length > MAX_RECORD_BYTES:
            yield Damage(at, "length")
            return
        payload = raw[at + FRAME.size : at + FRAME.size + length]
        if len(payload) < length:
            yield Damage(at, "torn")
            return
        if stored_checksum != checksum(sequence, payload):
            yield Damage(at, "checksum")
            return
        if expected not in (-1, sequence):
            yield Damage(at, "hole")
            return
        yield Frame(sequence, payload)
        at, expected = at + FRAME.size + length, sequence + 1

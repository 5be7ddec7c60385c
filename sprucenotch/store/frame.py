"""A file of the store: a preamble, a header, and frames of length, sequence, checksum and payload."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Literal, NamedTuple

import msgspec
import xxhash
from msgspec import Struct

MAGIC = b"SPRN"
FORMAT = 1  # of these files; what is in the payloads has a schema of its own
PREAMBLE = struct.Struct("<4sHxx")  # magic, format
FRAME = struct.Struct("<IQQ")  # length of the payload, sequence, checksum of all of it
RECORD_MOST = 1 << 20  # bytes of a payload


class Header(Struct, frozen=True, array_like=True):
    """The first frame of a file, with the sequence before its first record."""

    kind: Literal["snapshot", "journal"]
    generation: int
    schema: int  # of the records
    deployment: str
    owner: str
    at: int  # nanoseconds of Unix time at which it was begun


class End(Struct, frozen=True, array_like=True):
    """The last frame of a snapshot: without it the snapshot is not whole."""

    records: int


class Frame(NamedTuple):
    sequence: int
    payload: bytes


class Damage(NamedTuple):
    """Where reading ended before the end of the file, and why."""

    at: int  # bytes
    reason: Literal["torn", "checksum", "hole", "length"]


def checksum(sequence: int, payload: bytes) -> int:
    return xxhash.xxh3_64_intdigest(payload, seed=sequence)


def encode(sequence: int, payload: bytes) -> bytes:
    """Raises ValueError for a payload that is too long."""
    if len(payload) > RECORD_MOST:
        raise ValueError(f"a record of {len(payload)} bytes, at most {RECORD_MOST} are kept")
    return FRAME.pack(len(payload), sequence, checksum(sequence, payload)) + payload


def begin(header: Header, sequence: int) -> bytes:
    """How a file begins whose first record comes after that sequence."""
    return PREAMBLE.pack(MAGIC, FORMAT) + encode(sequence, msgspec.msgpack.encode(header))


def frames(raw: bytes) -> Iterator[Frame | Damage]:
    """The frames after the preamble, in contiguous sequence; damage, if there is any, comes last."""
    at, expected = PREAMBLE.size, -1
    while at < len(raw):
        if at + FRAME.size > len(raw):
            yield Damage(at, "torn")
            return
        length, sequence, told = FRAME.unpack_from(raw, at)
        if length > RECORD_MOST:
            yield Damage(at, "length")
            return
        payload = raw[at + FRAME.size : at + FRAME.size + length]
        if len(payload) < length:
            yield Damage(at, "torn")
            return
        if told != checksum(sequence, payload):
            yield Damage(at, "checksum")
            return
        if expected not in (-1, sequence):
            yield Damage(at, "hole")
            return
        yield Frame(sequence, payload)
        at, expected = at + FRAME.size + length, sequence + 1

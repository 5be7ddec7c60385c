"""Remembers the ids of requests that a server may run, so that none of them runs a second time.

A client that has left may come again with the same id, on another connection or at the other process of an
upgrade. The table lies in memory that both processes map. There is no lock: an id comes to two processes one
after the other, never at the same moment. There is no clock here.
"""

from __future__ import annotations

import mmap
from hashlib import blake2b
from struct import Struct
from zlib import crc32

KEY_SIZE = 16  # bytes
BUCKETS = 1024  # an id has its place in one of them
BUCKET_ENTRIES = 8
ENTRY = Struct(f"={KEY_SIZE}sq")  # the key of an id; until when it is remembered, in nanoseconds
ENTRY_SIZE = KEY_SIZE + 8  # bytes
UNTIL = Struct(f"={KEY_SIZE}xq")  # the second field of an entry
BUCKET_SIZE = BUCKET_ENTRIES * ENTRY_SIZE  # bytes
NEXT_ENTRIES = BUCKETS * BUCKET_SIZE  # offset of a byte for each bucket: its entry that is used next
TABLE_SIZE = NEXT_ENTRIES + BUCKETS  # bytes


def key_of(req_id: bytes) -> bytes:
    """Return what the table holds of an id: the id itself if it has KEY_SIZE bytes, else a digest."""
    if len(req_id) == KEY_SIZE:
        return req_id
    return blake2b(req_id, digest_size=KEY_SIZE).digest()


class BegunRequests:
    """A table of ids, each until a time of its own. Times are in nanoseconds.

    The entries of a bucket are used in turn, so that a full one forgets the id that came first.
    """

    def __init__(self, memory: mmap.mmap) -> None:
        """Use a memory of TABLE_SIZE bytes, all zero if it is new."""
        self._memory = memory

    def claim(self, key: bytes, now: int, until: int) -> bool:
        """Remember an id until that time. False if it is remembered already."""
        bucket = crc32(key) % BUCKETS
        start = bucket * BUCKET_SIZE
        at = self._memory.find(key, start, start + BUCKET_SIZE)
        if at < 0:
            number = self._memory[NEXT_ENTRIES + bucket]
            self._memory[NEXT_ENTRIES + bucket] = (number + 1) % BUCKET_ENTRIES
            at = start + number * ENTRY_SIZE
        elif UNTIL.unpack_from(self._memory, at)[0] > now:
            return False
        ENTRY.pack_into(self._memory, at, key, until)
        return True

    def hold(self, key: bytes, now: int, until: int) -> None:
        """Remember an id at least until that time, whether or not it is remembered already."""
        if not self.claim(key, now, until):
            at = self._find(key)
            ENTRY.pack_into(self._memory, at, key, max(until, UNTIL.unpack_from(self._memory, at)[0]))

    def release(self, key: bytes) -> None:
        """Forget an id."""
        if (at := self._find(key)) >= 0:
            ENTRY.pack_into(self._memory, at, b"", 0)

    def _find(self, key: bytes) -> int:
        """The offset of an id's entry; -1 if there is none."""
        start = crc32(key) % BUCKETS * BUCKET_SIZE
        return self._memory.find(key, start, start + BUCKET_SIZE)

"""The records that are stored and handed over, and their age when they are read. Times are in nanoseconds."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec
from msgspec import Struct

from sprucenotch import api
from sprucenotch.node.config import HostList
from sprucenotch.platform.clock import Timestamp

SECOND = 1_000_000_000
# By the documented rules, changes in discovery bind a successor 2 s after it is ready.
MAX_VERIFIED_AGE = 2 * SECOND
FORMAT = 1  # of a record; also the schema version of the store


class StateRecord(Struct, frozen=True, array_like=True):
    """One record of the state. A field that is None has the value of the previous record."""

    format: int
    at: Timestamp
    confirmed: Timestamp | None  # when discovery last confirmed the list as the newest
    hosts: HostList | None
    learned: api.Learned | None


def merge(earlier: StateRecord | None, later: StateRecord) -> StateRecord:
    """Combine two consecutive records into one."""
    if earlier is None:
        return later
    return StateRecord(
        later.format, later.at, later.confirmed or earlier.confirmed,
        later.hosts if later.hosts is not None else earlier.hosts,
        later.learned if later.learned is not None else earlier.learned,
    )  # fmt: skip


class RecoveredState(NamedTuple):
    """The state that a start continues from. Ages are those at the time of reading."""

    hosts: HostList | None = None
    list_age: int = 0
    learned: api.Learned | None = None
    learned_age: int = 0

    @property
    def verified(self) -> bool:
        """Whether the list is fresh enough to serve with before discovery has answered this process."""
        return self.hosts is not None and bool(self.hosts.hosts) and self.list_age <= MAX_VERIFIED_AGE


def age(then: Timestamp, now: Timestamp) -> int | None:
    """Return how long before `now` the moment `then` was; None if it is in the future.

    Within one boot the wall clock is not used; across boots the age is at least the time since boot.
    """
    if then.boot == now.boot:
        return now.at - then.at if now.at >= then.at else None
    return max(now.wall - then.wall, now.at) if now.wall >= then.wall else None


def earlier_by(now: Timestamp, by: int) -> Timestamp:
    """Return the moment `by` nanoseconds before `now`."""
    return Timestamp(now.boot, now.at - by, now.wall - by)


def recover(records: Iterable[StateRecord], now: Timestamp, oldest: int) -> tuple[RecoveredState, list[str]]:
    """Return the last list and learned values no older than `oldest`, and why others were rejected."""
    state, rejected = fold(records, now)
    if state is None:
        return RecoveredState(), rejected
    learned_age = age(state.at, now) or 0
    # A list that was never confirmed gets the greatest age.
    list_age = oldest if state.confirmed is None else age(state.confirmed, now) or 0
    hosts, learned = state.hosts, state.learned
    if hosts is not None and list_age > oldest:
        hosts = None
        rejected.append("list too old")
    if learned is not None and learned_age > oldest:
        learned = None
        rejected.append("learned too old")
    return RecoveredState(hosts, list_age, learned, learned_age), rejected


def fold(records: Iterable[StateRecord], now: Timestamp) -> tuple[StateRecord | None, list[str]]:
    """Combine all records into one; also return why some were rejected."""
    state: StateRecord | None = None
    rejected: dict[str, None] = {}
    for record in records:
        if record.format != FORMAT:
            rejected[f"format {record.format}"] = None
        elif any(then is not None and age(then, now) is None for then in (record.at, record.confirmed)):
            rejected["from the future"] = None
        else:
            state = merge(state, record)
    return state, list(rejected)


def decode(raw: bytes) -> StateRecord:
    """Decode a record. Raises ValueError if it is malformed."""
    try:
        return msgspec.msgpack.decode(raw, type=StateRecord)
    except msgspec.MsgspecError as problem:
        raise ValueError(str(problem)) from None

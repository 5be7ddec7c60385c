"""What is kept and handed over, and how old it is by the time that somebody reads it. Times: nanoseconds."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec
from msgspec import Struct

from sprucenotch import api
from sprucenotch.node.config import HostList
from sprucenotch.seams.clock import Moment

SECOND = 1_000_000_000
VERIFIED = 2 * SECOND  # what discovery tells binds a successor 2 s after its yes, as the users' page has it
FORMAT = 1  # of a record; it is the schema of the store too


class Kept(Struct, frozen=True, array_like=True):
    """One record. What is None is as it was in the record before."""

    format: int
    at: Moment
    confirmed: Moment | None  # when discovery last said that the list is the newest
    hosts: HostList | None
    learned: api.Learned | None


def merged(earlier: Kept | None, later: Kept) -> Kept:
    """One record in the place of two."""
    if earlier is None:
        return later
    return Kept(
        later.format, later.at, later.confirmed or earlier.confirmed,
        later.hosts if later.hosts is not None else earlier.hosts,
        later.learned if later.learned is not None else earlier.learned,
    )  # fmt: skip


class Recalled(NamedTuple):
    """What a start goes on from. Ages are at the time of reading."""

    hosts: HostList | None = None
    list_age: int = 0
    learned: api.Learned | None = None
    learned_age: int = 0

    @property
    def verified(self) -> bool:
        """Whether the list is fresh enough to serve by before discovery has told this process anything."""
        return self.hosts is not None and bool(self.hosts.hosts) and self.list_age <= VERIFIED


def age(then: Moment, now: Moment) -> int | None:
    """How long ago that was; None where it lies in the future. Within one boot no wall clock matters;
    across boots it is at least the time since the last."""
    if then.boot == now.boot:
        return now.at - then.at if now.at >= then.at else None
    return max(now.wall - then.wall, now.at) if now.wall >= then.wall else None


def back(now: Moment, by: int) -> Moment:
    """The moment so long before."""
    return Moment(now.boot, now.at - by, now.wall - by)


def recall(records: Iterable[Kept], now: Moment, oldest: int) -> tuple[Recalled, list[str]]:
    """The last list and the last value that are not older than `oldest`; and why others were left."""
    state, left = fold(records, now)
    if state is None:
        return Recalled(), left
    learned_age = age(state.at, now) or 0
    # A list that nobody confirmed is as old as one can be.
    list_age = oldest if state.confirmed is None else age(state.confirmed, now) or 0
    hosts, learned = state.hosts, state.learned
    if hosts is not None and list_age > oldest:
        hosts = None
        left.append("list too old")
    if learned is not None and learned_age > oldest:
        learned = None
        left.append("learned too old")
    return Recalled(hosts, list_age, learned, learned_age), left


def fold(records: Iterable[Kept], now: Moment) -> tuple[Kept | None, list[str]]:
    """All records as one, and why some were left."""
    state: Kept | None = None
    left: dict[str, None] = {}
    for kept in records:
        if kept.format != FORMAT:
            left[f"format {kept.format}"] = None
        elif any(then is not None and age(then, now) is None for then in (kept.at, kept.confirmed)):
            left["from the future"] = None
        else:
            state = merged(state, kept)
    return state, list(left)


def decode(raw: bytes) -> Kept:
    """Raises ValueError where it is no record."""
    try:
        return msgspec.msgpack.decode(raw, type=Kept)
    except msgspec.MsgspecError as problem:
        raise ValueError(str(problem)) from None

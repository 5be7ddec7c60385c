"""Chooses the incomplete request that is refused if connections or memory run out.

A request is taken with its last byte: one that is still arriving may be refused, and its client may repeat
it. Requests are given as the seconds since the first byte of each.
"""

from __future__ import annotations

from collections.abc import Sequence

# Seconds in which a request arrives whole, unless its client writes slowly or has stopped.
MAX_USUAL_ARRIVAL = 0.25
# The same while others have been waiting for longer than that: all of a queue has to get its turn in time.
MIN_USUAL_ARRIVAL = 0.05
# Seconds between a connect and the first byte of a request, if others wait for the connection.
MAX_USUAL_START = 0.02
# Seconds until heads that wait to be read are looked at again.
UNREAD_HEAD_WAIT = 0.005
# Seconds for which others wait for heads to be read, as long as nothing else makes room.
MAX_UNREAD_HEAD_WAIT = 0.25


def patience(others_waiting_for: float) -> float:
    """Return for how many seconds a request may arrive if others have been waiting for so many."""
    return MAX_USUAL_ARRIVAL if others_waiting_for < MAX_USUAL_ARRIVAL else MIN_USUAL_ARRIVAL


def choose_to_give_up(arriving_for: Sequence[float], others_waiting_for: float = 0.0) -> int | None:
    """Return the index of the request to refuse: the oldest. None if all may be complete in a moment."""
    longest = max(arriving_for, default=0.0)
    return arriving_for.index(longest) if longest >= patience(others_waiting_for) else None


def seconds_until_choice(
    arriving_for: Sequence[float],
    others_waiting_for: float = 0.0,
    unused_for: Sequence[float] = (),
    unread_heads: bool = False,
) -> float:
    """Return in how many seconds a request may be refused or an unused connection closed for others; 0 also
    if waiting does not help. `unread_heads`: requests whose head has yet to be read may make room too."""
    waits = [patience(others_waiting_for) - max(arriving_for)] if arriving_for else []
    waits += [MAX_USUAL_START - max(unused_for)] if unused_for else []
    if not waits and unread_heads and others_waiting_for < MAX_UNREAD_HEAD_WAIT:
        return UNREAD_HEAD_WAIT
    return max(0.0, min(waits, default=0.0))

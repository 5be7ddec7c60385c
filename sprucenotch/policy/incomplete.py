"""Chooses the incomplete request that is refused if connections or memory run out.

A request is taken with its last byte: one that is still arriving may be refused, and its client may repeat
it. Requests are given as the seconds since the first byte of each.
"""

from __future__ import annotations

from collections.abc import Sequence

# Seconds in which a request arrives whole, unless its client writes slowly or has stopped: network delay and
# a client that is held up.
MAX_USUAL_ARRIVAL = 0.25
# The same while others have been waiting for longer than that: all of a queue has to get its turn in time.
MIN_USUAL_ARRIVAL = 0.05


def patience(others_waiting_for: float) -> float:
    """Return for how many seconds a request may arrive if others have been waiting for so many."""
    return MAX_USUAL_ARRIVAL if others_waiting_for < MAX_USUAL_ARRIVAL else MIN_USUAL_ARRIVAL


def choose_to_give_up(arriving_for: Sequence[float], others_waiting_for: float = 0.0) -> int | None:
    """Return the index of the request to refuse: the oldest. None if all may be complete in a moment."""
    longest = max(arriving_for, default=0.0)
    return arriving_for.index(longest) if longest >= patience(others_waiting_for) else None


def seconds_until_choice(arriving_for: Sequence[float], others_waiting_for: float = 0.0) -> float | None:
    """Return in how many seconds one may be refused, if none is complete before; None if there is none."""
    return max(0.0, patience(others_waiting_for) - max(arriving_for)) if arriving_for else None

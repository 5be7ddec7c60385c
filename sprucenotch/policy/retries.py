"""The retry rules: whether a request gets a further attempt. Implements the table in docs/retries.md."""

from __future__ import annotations

from sprucenotch.api import Effect, Outcome, Reason
from sprucenotch.policy.state import PendingRequest


def reason_against_retry(
    request: PendingRequest, outcome: int, now: int, budget: float, overload: bool
) -> Reason | None:
    """Return why a request gets no further attempt after this outcome, or None if it is retried.

    `budget` is the number of retries available; `overload` is whether the servers' queues count as overload.
    """
    if outcome == Outcome.MOOT:
        return Reason.CALLED_OFF
    if request.attempts >= request.max_attempts:
        return Reason.ATTEMPTS
    if now >= request.expires_at:
        return Reason.EXPIRED
    if outcome == Outcome.LOCAL_FAILURE:  # no server did any work
        return None
    if budget < 1:
        return Reason.RETRY_BUDGET
    cls = request.cls
    repeatable = cls.effect == Effect.KEYED and now < request.first_run_at + cls.window
    if request.first_run_member is not None and cls.effect != Effect.SAFE and not repeatable:
        return Reason.MAY_HAVE_RUN
    if outcome != Outcome.CONNECT_FAILED and overload:
        return Reason.OVERLOAD
    useful = request.expires_at if cls.late_worth else min(request.arrived_at + cls.aim, request.expires_at)
    return None if now + request.class_state.base < useful else Reason.EXPIRED

"""Run-time checks of the rules on sending, repeating, closing and starting; counts violations.

Each rule is enforced in one place: `Attempt._write` for sending, `Host._send` for repeating,
`ClientConnection.close_connection` for closing, `serve` for accepting clients. The checks here run after the
fact, with the clock read again, and so also detect a process that was delayed in between or a code path
around the place that enforces the rule. A count above zero is a defect of the program or of its machine.
"""

from __future__ import annotations

import logging
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from sprucenotch.api import NEVER_RAN, Effect, Health
from sprucenotch.node.log import event

if TYPE_CHECKING:
    from sprucenotch.node.ledger import OpenRequest
    from sprucenotch.node.pool import Pool
    from sprucenotch.node.telemetry import Telemetry

log = logging.getLogger(__name__)

# Nanoseconds by which a deadline or a repeat window may be exceeded before it counts as a violation: the
# process may be delayed for that long between reading the clock and writing.
MAX_SEND_DELAY_NS = 150_000_000


class Rule(StrEnum):
    """Rules that must never be broken; the value is the text of the violation."""

    SENT_WITHDRAWN = "sent to a server that drains or is gone"
    SENT_OVERDUE = "sent after its time"
    SENT_DEADLINE = "sent with a deadline beyond the time left"
    SENT_SECOND = "sent while an attempt is out"
    REPEATED_TOO_OFTEN = "repeated more often than allowed"
    REPEATED_HARMFUL = "repeated though it may have run"
    REPEATED_LATE = "repeated after its window"
    CLOSED_OWED = "closed a client that is owed an answer"
    CLOSED_ASKING = "closed a new client over its unread request"
    STARTED_UNINFORMED = "took clients before it knew its servers"


class CloseReason(StrEnum):
    """Why the sidecar closes a client's connection."""

    LAST_ANSWER = "last answer"  # the client, HTTP or the drain ends the connection after it
    DRAIN = "drain"  # it is idle, and the process is stopping
    ROOM = "room"  # another connection needs its descriptor
    UNUSED = "unused"  # no request arrived in time
    CLIENT_LEFT = "client left"
    ANSWER_BROKE = "answer broke"  # the answer cannot be completed, and the client has to see that
    NOT_READING = "not reading"  # the client does not read its answers
    UNREADABLE = "unreadable"  # the client goes on with input that is no request, after its error


# Reasons with which a client cannot get the answer to a pending request.
UNANSWERABLE = frozenset((CloseReason.CLIENT_LEFT, CloseReason.ANSWER_BROKE, CloseReason.NOT_READING))

# Reasons with which a connection is closed although its client may be about to use it.
FORCED_CLOSES = frozenset((CloseReason.DRAIN, CloseReason.ROOM, CloseReason.UNUSED))


class Rules:
    """Checks the rules, and counts and logs violations."""

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry

    def broken(self, rule: Rule, **ids: Any) -> None:
        """Count and log a violation."""
        self._telemetry.violations[rule] += 1
        event(log, logging.ERROR, "rule broken", rule=rule.value, **ids)

    def may_repeat(self, request: OpenRequest, send_before: int) -> bool:
        """Whether another attempt of a request is allowed; reports a violation if it is not."""
        effect = request.effect
        if request.attempts >= request.max_attempts:
            rule = Rule.REPEATED_TOO_OFTEN
        elif request.may_have_run and (
            effect == Effect.UNSAFE or (effect == Effect.KEYED and not send_before)
        ):
            rule = Rule.REPEATED_HARMFUL
        else:
            return True
        self.broken(rule, request=request.id, req_id=request.req_id, attempts=request.attempts)
        return False

    def sent(self, request: OpenRequest, pool: Pool, now: int) -> None:
        """Check an attempt whose first byte has just been sent."""
        if pool.health != Health.READY:
            self._report_send_violation(Rule.SENT_WITHDRAWN, request, pool)
        if request.retry_before and now >= request.retry_before + MAX_SEND_DELAY_NS:
            self._report_send_violation(Rule.REPEATED_LATE, request, pool)
        if request.uploading:
            return
        if now >= request.expires_at + MAX_SEND_DELAY_NS:
            self._report_send_violation(Rule.SENT_OVERDUE, request, pool)
        if now + request.sent_deadline > request.expires_at + MAX_SEND_DELAY_NS:
            self._report_send_violation(Rule.SENT_DEADLINE, request, pool)

    def _report_send_violation(self, rule: Rule, request: OpenRequest, pool: Pool) -> None:
        told_ms = request.sent_deadline // 1_000_000
        self.broken(
            rule, request=request.id, req_id=request.req_id, attempt=request.attempts, server=pool.name,
            told_ms=told_ms,
        )  # fmt: skip

    def client_closed(
        self, reason: CloseReason, owes_answer: bool, has_unread_request: bool, connection: int
    ) -> None:
        """Count a closed connection, and check that no client loses its answer by it."""
        self._telemetry.client_closes[reason] += 1
        event(log, logging.DEBUG, "client closed", connection=connection, reason=reason.value)
        if owes_answer and reason not in UNANSWERABLE:
            self.broken(Rule.CLOSED_OWED, connection=connection, reason=reason.value)
        if has_unread_request:
            self.broken(Rule.CLOSED_ASKING, connection=connection, reason=reason.value)

    def started(self, may_take_clients: bool) -> None:
        """Check that clients may be accepted from now on."""
        if not may_take_clients:
            self.broken(Rule.STARTED_UNINFORMED)


def may_have_run(outcome: int) -> bool:
    """Whether a server may have run an attempt with that outcome."""
    return outcome not in NEVER_RAN

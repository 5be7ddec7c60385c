"""A request in the ledger, its parsed head and the interface to its client."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple, Protocol

from sprucenotch import api
from sprucenotch.node.attempt import Attempt
from sprucenotch.node.begun import key_of
from sprucenotch.node.budget import Reservation
from sprucenotch.node.config import SECOND
from sprucenotch.node.connection import Answer
from sprucenotch.node.pool import Pool
from sprucenotch.node.stream import Stream


class Client(Protocol):
    """The receiver of a request's final answer. It calls `Host.finish_request` once that has been sent."""

    id: int  # of the request in the ledger
    unread_for: float  # seconds for which the last byte of its request may have waited to be read

    def serve(self, answer: Answer) -> None: ...

    def refuse(self, retry_after: int) -> None: ...

    def fail(self, timed_out: bool) -> None: ...

    def connected(self) -> bool:
        """Check the socket for the client's end; if it left, call `Host.client_gone`, then return False."""


class Incoming(NamedTuple):
    """A request as the client sent it, validated."""

    req_id: bytes
    cls: str
    tenant: int
    key: int
    deadline: int  # nanoseconds from when the request is complete
    hint: int
    repeat: bool
    head: bytes  # the request line and the forwarded headers, without the deadline and the empty line
    body: bytes  # empty if it is streamed


class OpenRequest:
    """A request in the ledger: its answer is not fully sent yet, or an attempt is still under way."""

    __slots__ = (
        "_on_sent",
        "answered",
        "attempt",
        "attempt_deadline",
        "attempt_timer",
        "attempts",
        "claimed",
        "client",
        "deadline_timer",
        "effect",
        "endpoint",
        "expires_at",
        "finished",
        "held_size",
        "id",
        "incoming",
        "last_outcome",
        "max_attempts",
        "may_have_run",
        "outcome_counts",
        "outgoing_size",
        "received",
        "received_at",
        "reservation",
        "retry_before",
        "sent_at",
        "sent_deadline",
        "table_key",
        "timeout",
        "upload",
        "uploading",
    )  # fmt: skip

    def __init__(
        self,
        rid: int,
        client: Client,
        incoming: Incoming,
        expires_at: int,
        max_attempts: int,
        reservation: Reservation,
        upload: Stream | None,
        effect: int,
        on_sent: Callable[[OpenRequest, Pool], None],
    ) -> None:
        self.effect = effect  # of its class when it arrived
        self._on_sent = on_sent
        self.table_key = key_of(incoming.req_id)
        self.claimed = False  # its id is remembered: it is open, or a server may have run it
        self.may_have_run = False
        self.sent_deadline = 0  # nanoseconds, as sent to the server with the last attempt
        self.id, self.client, self.incoming, self.expires_at = rid, client, incoming, expires_at
        self.reservation = reservation
        self.held_size = reservation.size  # bytes for the request itself, as long as it is in work
        self.upload = upload
        self.max_attempts = max_attempts  # by the settings in force when it arrived
        self.uploading = upload is not None  # its last byte has not arrived: the deadline does not count yet
        self.received = False  # completely
        self.received_at = 0  # when its last byte arrived
        self.answered = self.finished = False
        self.outcome_counts: Counter[str] | None = None  # counts final answers of its kind by class
        self.outgoing_size = 0  # bytes held by the answer that is being sent
        self.attempts = self.sent_at = self.attempt_deadline = self.timeout = self.retry_before = 0
        self.attempt: Attempt | None = None
        self.endpoint: api.EndpointId = b""
        self.last_outcome = -1  # the outcome of the last attempt
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.attempt_timer: asyncio.TimerHandle | None = None

    def on_first_byte_sent(self, pool: Pool) -> None:
        """Report that the first byte of an attempt has been sent to that server."""
        self._on_sent(self, pool)

    def drop_content(self) -> None:
        """Forget what was to be sent to a server: no attempt follows."""
        self.incoming = self.incoming._replace(head=b"", body=b"")

    @property
    def req_id(self) -> str:
        """The Req-Id header that the client sent."""
        return self.incoming.req_id.decode("latin-1")

    def may_send(self, now: int) -> bool:
        """Whether an attempt may be sent now: the deadline is not over, a repeat is still harmless, and the
        client is still connected. The socket is checked, as the loop may not have seen the client's end."""
        if self.answered or (now >= self.expires_at and not self.uploading):
            return False
        return (not self.retry_before or now < self.retry_before) and self.client.connected()

    def request_bytes(self, now: Callable[[], int]) -> bytes:
        """Build the bytes of an attempt: the head with the time left, and a buffered body."""
        time_left = self.incoming.deadline if self.uploading else max(0, self.attempt_deadline - now())
        self.sent_deadline = time_left
        return b"%sReq-Deadline: %.3f\r\n\r\n%s" % (
            self.incoming.head,
            time_left / SECOND,
            self.incoming.body,
        )

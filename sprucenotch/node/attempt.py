"""An attempt: one request sent to one endpoint, from the decision to send it until its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Protocol

from sprucenotch.api import Health, Outcome
from sprucenotch.node.connection import NEVER, Answer, Connection
from sprucenotch.node.pool import Pool
from sprucenotch.node.stream import Stream
from sprucenotch.platform.system_errors import is_exhaustion

if TYPE_CHECKING:
    from sprucenotch.node.upstream import Upstream


class Purpose(Protocol):
    """What an attempt is made for: it can cancel the attempt before the request is sent."""

    def may_send(self, now: int) -> bool:
        """Return whether the request may still be sent. `now` is in nanoseconds."""
        ...

    def on_first_byte_sent(self, pool: Pool) -> None:
        """Called once the first byte of the request has been sent."""
        ...


class AlwaysWanted:
    """A purpose that never cancels the attempt."""

    def may_send(self, now: int) -> bool:
        return True

    def on_first_byte_sent(self, pool: Pool) -> None:
        pass


ALWAYS_WANTED = AlwaysWanted()


class Attempt:
    """One request sent to one endpoint.

    It completes exactly once: with the whole answer, or when a streamed answer begins.
    """

    __slots__ = (
        "__weakref__", "_connect", "_connection", "_done", "_failed_locally", "_location", "_payload",
        "_pool", "_purpose", "_reuse_timer", "_stream_from", "_upload", "_upstream", "_written",
    )  # fmt: skip

    def __init__(
        self,
        upstream: Upstream,
        pool: Pool,
        payload: Callable[[], bytes],
        done: Callable[[int, Answer | None], None],
        written: Callable[[], None],
        purpose: Purpose,
        upload: Stream | None,
    ) -> None:
        self._upstream, self._pool, self._payload = upstream, pool, payload
        self._location = pool.location  # at the time of the decision
        self._written, self._purpose, self._upload = written, purpose, upload
        self._done: Callable[[int, Answer | None], None] | None = done
        self._connection: Connection | None = None
        self._connect: asyncio.Task[None] | None = None
        # While it waits until an idle connection may be reused.
        self._reuse_timer: asyncio.TimerHandle | None = None
        self._stream_from = NEVER
        self._failed_locally = False  # whether the last connect failed on this machine

    def start(self) -> None:
        connection = self._upstream.take_idle(self._pool)
        if connection is not None:
            self._write(connection)
        elif self._pool.idle and self._reuse_timer is None:  # at most one wait, bounded by REUSE_DELAY_NS
            self._upstream.note_reuse_wait(self._pool)
            self._reuse_timer = self._upstream.loop.call_later(
                self._upstream.reuse_timer_delay(self._pool), self._on_reuse_delay_over
            )
        elif self._upstream.ensure_capacity():
            self._connect = self._upstream.loop.create_task(self._open())
        else:
            self._end(Outcome.LOCAL_FAILURE, None)

    def _on_reuse_delay_over(self) -> None:
        if not self._purpose.may_send(self._upstream.now()):
            self._end(Outcome.MOOT, None)
        elif self._pool.health != Health.READY:
            self._end(Outcome.CONNECT_FAILED, None)
        else:
            self.start()

    def release_answers_from(self, at: int) -> None:
        """Stop holding back answers from `at` on, in nanoseconds of the monotonic clock.

        An answer is held back so that the request can still be retried; after `at` there is no time for
        another attempt.
        """
        self._stream_from = at
        if self._connection is not None:
            self._connection.stream_answer_from(at)

    @property
    def fully_sent(self) -> bool:
        """Whether the last byte of the request has been sent: the server may run it."""
        return self._connection is not None and self._connection.request_sent

    @property
    def partially_sent(self) -> bool:
        """Whether only a part of the request has been sent. Closed now, it is never executed."""
        return self._connection is not None and not self.fully_sent

    def abandon(self, outcome: int) -> None:
        """Cancel the attempt and close its connection, before anything else is done for the request.

        A request whose last byte has not been sent was never executed, so a timeout is then reported as a
        failure to connect.
        """
        if outcome == Outcome.TIMEOUT and not self.fully_sent:
            outcome = Outcome.LOCAL_FAILURE if self._failed_locally else Outcome.CONNECT_FAILED
        if self._reuse_timer is not None:
            self._reuse_timer.cancel()
        if self._connect is not None:
            self._connect.cancel()
        if self._connection is not None:
            self._connection.close()
        self._end(outcome, None)

    async def _open(self) -> None:
        """Open a connection and send the request on it, or end the attempt.

        Running out of descriptors or memory ends it as LOCAL_FAILURE. Other failures do so as CONNECT_FAILED,
        also those on this machine (lack of ports or routes) that lasted until the connect timeout.
        """
        connection, failure = None, Outcome.CONNECT_FAILED
        try:
            connection = await self._upstream.connect(self._pool, self._note_local_failure)
        except OSError as problem:  # includes TimeoutError
            if is_exhaustion(problem):
                failure = Outcome.LOCAL_FAILURE
        self._failed_locally = False
        self._connect = None
        if self._done is None:  # the attempt has ended meanwhile
            if connection is not None:
                self._upstream.release(self._pool, connection)
        elif connection is None:
            self._end(failure, None)
        else:
            self._write(connection)

    def _note_local_failure(self, problem: OSError) -> None:
        """Called for each failure on this machine that is retried; until the connect ends, a timeout of the
        attempt is then reported as LOCAL_FAILURE."""
        self._failed_locally = True

    def _write(self, connection: Connection) -> None:
        """Send the request. This is the only place where the first byte of a request is sent.

        Everything that may have changed since the decision is checked again: the endpoint may be draining,
        removed or moved to another address, zone or cell (where retries are not deduplicated with earlier
        attempts), the client may have left, the deadline may have passed.
        """
        may_send = self._purpose.may_send(self._upstream.now())
        if not (may_send and self._pool.accepts(connection) and self._pool.location == self._location):
            self._upstream.release(self._pool, connection)
            self._end(Outcome.CONNECT_FAILED if may_send else Outcome.MOOT, None)
            return
        self._connection = connection
        free = partial(self._upstream.release, self._pool, connection)
        if not connection.send(self._payload(), self._answered, self._written, free, self._upload):
            self._end(Outcome.CONNECT_FAILED, None)
        else:
            connection.stream_answer_from(self._stream_from)
            self._purpose.on_first_byte_sent(self._pool)

    def _answered(self, answer: Answer | None) -> None:
        if answer is None and self._connection is not None and not self._connection.request_sent:
            self._end(Outcome.CONNECT_FAILED, None)  # closed before the last byte was sent: never executed
        else:
            self._end(outcome_of(answer), answer)

    def _end(self, outcome: int, answer: Answer | None) -> None:
        done, self._done = self._done, None
        self._connection = self._connect = None
        if done is not None:
            done(outcome, answer)


def outcome_of(answer: Answer | None) -> int:
    """Return the outcome of an answer; None means that the connection broke.

    Unless the server declined the request explicitly (FULL), it may have been executed.
    """
    if answer is None:
        return Outcome.RESET
    if answer.status == 200:
        return Outcome.OK
    if answer.status in (503, 504) and answer.header(b"srv-declined") == b"1":
        return Outcome.FULL
    return Outcome.ERROR

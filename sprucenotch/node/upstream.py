"""Connection pools of the endpoints, and the start of attempts and probes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from sprucenotch.api import EndpointId, Health, Outcome
from sprucenotch.node.attempt import ALWAYS_WANTED, Attempt, Purpose
from sprucenotch.node.config import SECOND, Config, Host
from sprucenotch.node.connection import Answer, Connection, ServerCloseReason
from sprucenotch.node.pool import Pool
from sprucenotch.node.stream import Stream, no_op
from sprucenotch.node.transport import connect
from sprucenotch.platform.system_errors import ConsecutiveFailures, ignore_failure, retry_local_failures

PROBE_TIMEOUT = 0.5  # seconds
MAX_IDLE_SHARE = 0.9  # of the endpoint's idle limit; a connection idle for longer is not reused
# Nanoseconds after which an idle connection left over from a burst is closed. Each open connection takes a
# part of the endpoint's capacity; a handshake costs as much work as holding a connection for two to six
# seconds.
SURPLUS_IDLE_TIMEOUT_NS = 4 * SECOND

# Nanoseconds for which a connection is not reused after an answer. A faulty engine may answer twice, the
# second time 1 to 4 ms late. HTTP/1.1 answers carry no request id, so on a connection that is already reused
# the second answer would be delivered to the client of the next request. The delay does not depend on
# the duration of the answer: of 8,318 sends on kept connections, 370 came within this time of the previous
# answer. An attempt waits at most once, for REUSE_DELAY_NS and MAX_TIMER_EARLY_S.
REUSE_DELAY_NS = 6_000_000
# Seconds by which a timer of the event loop may fire early. The loop counts whole milliseconds: it starts at
# the millisecond that has begun and rounds the delay to the nearest.
MAX_TIMER_EARLY_S = 0.0015


class Upstream:
    """The connections to all endpoints, with the limit on their number."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], int],
        count: Callable[[str], None],
    ) -> None:
        self.loop, self.now, self._count = loop, now, count
        self.retune(config)
        self._max_connections = config.max_upstream_connections
        self._open = 0
        self._pools: dict[EndpointId, Pool] = {}
        self._probes: set[Attempt] = set()
        # Closes the connection of an idle client; set by the owner of the frontend.
        self.free_descriptor = no_op

    def retune(self, config: Config) -> None:
        self._max_idle_ns = int(config.idle_limit * MAX_IDLE_SHARE)
        self._connect_timeout = config.connect_timeout / SECOND
        self._fields = config.settings.report_fields
        path = "/metrics/load" if config.reports else "/alive"
        self._probe = f"GET {path} HTTP/1.1\r\nHost: backend.local\r\n\r\n".encode()

    # ---- the list

    def update_hosts(self, hosts: Iterable[Host], whole: bool) -> None:
        """Apply a host list (`whole`) or changes to it.

        With `whole`, endpoints that are not listed are removed. Endpoints that changed their address or are
        not ready lose their idle connections. Called before the balancer sees the list, so that an attempt
        that is still connecting does not send its request to an endpoint that drains.
        """
        listed = set()
        for host in hosts:
            listed.add(host.endpoint.id)
            pool = self._pools.get(host.endpoint.id)
            if pool is None:
                self._pools[host.endpoint.id] = Pool(host)
                continue
            if pool.dial != host.dial:
                self._drop_idle(pool)
            pool.update(host)
            if pool.health != Health.READY:
                self._drop_idle(pool)
        if whole:
            for endpoint, pool in self._pools.items():
                if endpoint not in listed:
                    pool.health = Health.GONE
                    self._drop_idle(pool)
        self._pools = {key: pool for key, pool in self._pools.items() if pool.health != Health.GONE}

    def __contains__(self, endpoint: object) -> bool:
        """Whether the endpoint is listed; a draining one is."""
        return endpoint in self._pools

    def name(self, endpoint: EndpointId) -> str:
        """The endpoint's name in discovery; "gone" if it is no longer listed."""
        pool = self._pools.get(endpoint)
        return "gone" if pool is None else pool.name

    def disconnect(self, endpoint: EndpointId) -> None:
        if (pool := self._pools.get(endpoint)) is not None:
            self._drop_idle(pool)

    def _drop_idle(self, pool: Pool) -> None:
        idle, pool.idle = pool.idle, []
        for connection in idle:
            connection.close(ServerCloseReason.WITHDRAWN)

    # ---- attempts and probes

    def attempt(
        self,
        endpoint: EndpointId,
        payload: Callable[[], bytes],
        done: Callable[[int, Answer | None], None],
        written: Callable[[], None] = no_op,
        purpose: Purpose = ALWAYS_WANTED,
        upload: Stream | None = None,
    ) -> Attempt | None:
        """Create an attempt without starting it; None if the endpoint is not ready.

        `purpose.may_send` is checked immediately before the first byte is sent.
        """
        pool = self._pools.get(endpoint)
        if pool is None or pool.health != Health.READY:
            return None
        return Attempt(self, pool, payload, done, written, purpose, upload)

    def probe(self, endpoint: EndpointId, done: Callable[[int, int, tuple[float, ...]], None]) -> None:
        started_at = self.now()

        def ended(outcome: int, answer: Answer | None) -> None:
            timer.cancel()
            self._probes.discard(attempt)
            if answer is not None and answer.body_stream is not None:
                answer.body_stream.drop()
            if answer is not None and answer.status == 503:
                outcome = Outcome.FULL
            done(outcome, self.now() - started_at, self.report(answer, body=True))

        attempt = self.attempt(endpoint, lambda: self._probe, ended)
        if attempt is None:
            done(Outcome.CONNECT_FAILED, 0, ())
            return
        self._probes.add(attempt)
        timer = self.loop.call_later(PROBE_TIMEOUT, attempt.abandon, Outcome.TIMEOUT)
        attempt.start()

    def report(self, answer: Answer | None, body: bool = False) -> tuple[float, ...]:
        """The load report in an answer, in the order of the settings; () if there is none."""
        if answer is None or not self._fields:
            return ()
        text = answer.header(b"srv-load") or (answer.body if body and answer.status == 200 else b"")
        return parse_report(text, self._fields)

    # ---- connections

    @property
    def connections(self) -> int:
        return self._open

    def ensure_capacity(self) -> bool:
        """Whether one more connection may be opened; at the limit, closes the longest idle one first."""
        if self._open < self._max_connections:
            return True
        pools = [pool for pool in self._pools.values() if pool.idle]
        if not pools:
            return False
        oldest = min(pools, key=lambda pool: pool.idle[0].idle_since)
        oldest.idle.pop(0).close(ServerCloseReason.ROOM)
        return True

    def take_idle(self, pool: Pool) -> Connection | None:
        """Take the most recently used idle connection that may be reused and is still usable.

        Connections that are too old or unusable are closed. If this returns None, all that remain idle are
        still within their reuse delay.
        """
        now, idle = self.now(), pool.idle
        for index in range(len(idle) - 1, -1, -1):
            connection = idle[index]
            if connection.reusable_at > now:
                continue
            del idle[index]
            if connection.idle_since > now - self._max_idle_ns and connection.usable():
                return connection
            connection.close(ServerCloseReason.STALE)
        return None

    def note_reuse_wait(self, pool: Pool) -> None:
        """Record that an attempt waits until an idle connection may be reused.

        If the last such wait was within SURPLUS_IDLE_TIMEOUT_NS, another connection is worth its handshake.
        It is opened in the background, one at a time, for later attempts: opening may take longer than the
        reuse delay.
        """
        now, previous_wait = self.now(), pool.last_wait_at
        pool.last_wait_at = now
        waited_recently = previous_wait is not None and previous_wait >= now - SURPLUS_IDLE_TIMEOUT_NS
        if waited_recently and pool.spare_task is None and self._open < self._max_connections:
            pool.spare_task = self.loop.create_task(self._open_spare(pool))

    async def _open_spare(self, pool: Pool) -> None:
        try:
            connection = await self.connect(pool)
        except OSError:  # includes TimeoutError
            return
        finally:
            pool.spare_task = None
        self.release(pool, connection)
        connection.reusable_at = 0  # no answer yet, so no reuse delay

    def reuse_timer_delay(self, pool: Pool) -> float:
        """Seconds until the first idle connection may be reused, as the delay of a timer."""
        until = min(connection.reusable_at for connection in pool.idle)
        return max(0, until - self.now()) / SECOND + MAX_TIMER_EARLY_S

    def release(self, pool: Pool, connection: Connection) -> None:
        """Return a connection to its pool, or close it if the endpoint no longer takes requests on it."""
        # Unread input does not count: it is reported later, or found by `take_idle`.
        if pool.accepts(connection) and connection.open:
            connection.idle_since = now = self.now()
            connection.reusable_at = now + REUSE_DELAY_NS
            pool.idle.append(connection)
            # The most recently used is taken first, so surplus connections collect at the start of the list.
            # The one just appended stays.
            while pool.idle[0].idle_since < now - SURPLUS_IDLE_TIMEOUT_NS:
                pool.idle.pop(0).close(ServerCloseReason.SURPLUS)
        else:
            connection.close(ServerCloseReason.WITHDRAWN)

    async def connect(self, pool: Pool, on_retry: Callable[[OSError], None] = ignore_failure) -> Connection:
        """Open a connection. It counts against the limit until it is lost, which may be before this returns.

        A failure on this machine is reported to `on_retry` and retried. The connect timeout limits each try,
        and also the time until the last one begins, so a connect may take up to twice as long. Raises
        OSError, which includes TimeoutError.
        """

        def on_lost(connection: Connection) -> None:
            if connection.counted:
                connection.counted = False
                self._open -= 1
            if connection in pool.idle:
                pool.idle.remove(connection)

        connection = Connection(on_lost)
        connection.may_stream = connection.counted = True
        connection.dial = pool.dial

        async def open_connection() -> None:
            async with asyncio.timeout(self._connect_timeout):
                await connect(connection, pool.dial)

        shortage = ConsecutiveFailures()

        def on_local_failure(problem: OSError) -> None:
            self._count("connect_failed_here")
            if shortage.count_failure(problem):
                self.free_descriptor()
            on_retry(problem)

        self._open += 1
        self._count("handshakes")
        try:
            await retry_local_failures(open_connection, self._connect_timeout, on_local_failure)
        except BaseException:
            # A connection cancelled in the loop iteration in which it was established has not called on_lost.
            connection.close()
            on_lost(connection)
            raise
        return connection


def parse_report(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Parse `TEXT name=value, ...` into values in the order of `fields`; () if incomplete or malformed."""
    values: dict[str, float] = {}
    try:
        for part in text.decode("ascii").strip().removeprefix("TEXT").split(","):
            name, _, value = part.strip().partition("=")
            values[name] = float(value)
        return tuple(values[field] for field in fields)
    except (ValueError, KeyError):
        return ()

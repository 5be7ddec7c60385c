"""Connections to endpoints: which there are, how many, which is used next; attempts and probes begin here."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from sprucenotch.api import EndpointId, Health, Outcome
from sprucenotch.node.attempt import ALWAYS, Attempt, Purpose
from sprucenotch.node.config import SECOND, Config, Host
from sprucenotch.node.connection import Answer, Connection
from sprucenotch.node.pool import Pool
from sprucenotch.node.stream import Stream, nothing
from sprucenotch.node.transport import connect
from sprucenotch.seams.system_errors import Shortage, ignore, retried

PROBE_TIMEOUT = 0.5
IDLE_SHARE = 0.9  # a connection idle for this share of the endpoint's limit is not used again
# A surplus connection, left by a burst, is closed once idle for so long. Each takes a part of the endpoint's
# capacity; a new handshake costs as much work as holding one for two to six seconds.
SURPLUS_IDLE = 4 * SECOND

# An engine that misbehaves may answer twice, the second time some milliseconds late (1 to 4 ms as seen). An
# answer names no request: on a connection that is used again by then, it would be taken for the next one's.
# So one that has just come back rests, whatever its answer took: of 8,318 sends on kept connections 370 came
# within this time of the answer before, and a second answer with the next request out goes to its client.
# Bound of the wait: REST and TIMER_EARLY, once an attempt.
REST = 6_000_000
# A timer of the loop counts in whole milliseconds: from the last one begun, over its delay rounded to the
# nearest. So it comes up to 1.5 ms early.
TIMER_EARLY = 0.0015


class Upstream:
    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], int],
        count: Callable[[str], None],
    ) -> None:
        self.loop, self.now, self._count = loop, now, count
        self.retune(config)
        self._most = config.upstream_most
        self._open = 0
        self._pools: dict[EndpointId, Pool] = {}
        self._probes: set[Attempt] = set()
        self.make_room = nothing  # closes an idle client's connection; set where clients are held

    def retune(self, config: Config) -> None:
        self._idle_most = int(config.idle_limit * IDLE_SHARE)
        self._connect_timeout = config.connect_timeout / SECOND
        self._fields = config.settings.report_fields
        path = "/metrics/load" if config.reports else "/alive"
        self._probe = f"GET {path} HTTP/1.1\r\nHost: backend.local\r\n\r\n".encode()

    # ---- the list

    def learn(self, hosts: Iterable[Host], whole: bool) -> None:
        """Take up the list before the decisions see it, so that connections on their way up see a drain."""
        named = set()
        for host in hosts:
            named.add(host.endpoint.id)
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
                if endpoint not in named:
                    pool.health = Health.GONE
                    self._drop_idle(pool)
        self._pools = {key: pool for key, pool in self._pools.items() if pool.health != Health.GONE}

    def __contains__(self, endpoint: object) -> bool:
        """Whether it is listed, or was and drains."""
        return endpoint in self._pools

    def name(self, endpoint: EndpointId) -> str:
        """What discovery calls it; "gone" once it is not listed any more."""
        pool = self._pools.get(endpoint)
        return "gone" if pool is None else pool.name

    def disconnect(self, endpoint: EndpointId) -> None:
        if (pool := self._pools.get(endpoint)) is not None:
            self._drop_idle(pool)

    def _drop_idle(self, pool: Pool) -> None:
        idle, pool.idle = pool.idle, []
        for connection in idle:
            connection.close()

    # ---- attempts and probes

    def attempt(
        self,
        endpoint: EndpointId,
        payload: Callable[[], bytes],
        done: Callable[[int, Answer | None], None],
        written: Callable[[], None] = nothing,
        purpose: Purpose = ALWAYS,
        upload: Stream | None = None,
    ) -> Attempt | None:
        """A new attempt, not yet started; None where the endpoint wants nothing new. Its purpose is asked
        whether it is still wanted when its first byte is about to go out."""
        pool = self._pools.get(endpoint)
        if pool is None or pool.health != Health.READY:
            return None
        return Attempt(self, pool, payload, done, written, purpose, upload)

    def probe(self, endpoint: EndpointId, done: Callable[[int, int, tuple[float, ...]], None]) -> None:
        began = self.now()

        def ended(outcome: int, answer: Answer | None) -> None:
            timer.cancel()
            self._probes.discard(attempt)
            if answer is not None and answer.rest is not None:
                answer.rest.drop()
            if answer is not None and answer.status == 503:
                outcome = Outcome.FULL
            done(outcome, self.now() - began, self.report(answer, body=True))

        attempt = self.attempt(endpoint, lambda: self._probe, ended)
        if attempt is None:
            done(Outcome.CONNECT_FAILED, 0, ())
            return
        self._probes.add(attempt)
        timer = self.loop.call_later(PROBE_TIMEOUT, attempt.abandon, Outcome.TIMEOUT)
        attempt.start()

    def report(self, answer: Answer | None, body: bool = False) -> tuple[float, ...]:
        """The load report that came with an answer, in the order of the settings; () if there is none."""
        if answer is None or not self._fields:
            return ()
        text = answer.header(b"srv-load") or (answer.body if body and answer.status == 200 else b"")
        return parse_report(text, self._fields)

    # ---- connections

    @property
    def connections(self) -> int:
        return self._open

    def room(self) -> bool:
        """Whether one more connection may be opened; the longest idle one makes room if need be."""
        if self._open < self._most:
            return True
        pools = [pool for pool in self._pools.values() if pool.idle]
        if not pools:
            return False
        oldest = min(pools, key=lambda pool: pool.idle[0].idle_since)
        oldest.idle.pop(0).close()
        return True

    def take(self, pool: Pool) -> Connection | None:
        """The most recently used idle connection that has rested and is still good; others grow old and are
        closed. If there is none, those left are resting."""
        now, idle = self.now(), pool.idle
        for place in range(len(idle) - 1, -1, -1):
            connection = idle[place]
            if connection.rests_until > now:
                continue
            del idle[place]
            if connection.idle_since > now - self._idle_most and connection.usable():
                return connection
            connection.close()
        return None

    def rest_awaited(self, pool: Pool) -> None:
        """An attempt waits for one of the pool's idle connections to rest. Where the last wait was within
        SURPLUS_IDLE, another connection is worth its handshake. It is opened beside, one at a time, for the
        attempts to come: it may come up late, and the rest is short."""
        now, before = self.now(), pool.waited_at
        pool.waited_at = now
        often = before is not None and before >= now - SURPLUS_IDLE
        if often and pool.opening is None and self._open < self._most:
            pool.opening = self.loop.create_task(self._open_spare(pool))

    async def _open_spare(self, pool: Pool) -> None:
        try:
            connection = await self.connect(pool)
        except OSError:  # a time-out is one
            return
        finally:
            pool.opening = None
        self.give(pool, connection)
        connection.rests_until = 0  # it has answered nothing yet

    def rests(self, pool: Pool) -> float:
        """The delay of a timer that comes once the first of its idle connections has rested, in seconds."""
        until = min(connection.rests_until for connection in pool.idle)
        return max(0, until - self.now()) / SECOND + TIMER_EARLY

    def give(self, pool: Pool, connection: Connection) -> None:
        if pool.takes(connection) and connection.open:  # what lies unread is heard of, or seen by take
            connection.idle_since = now = self.now()
            connection.rests_until = now + REST
            pool.idle.append(connection)
            # The newest is used first, so the surplus gathers at the old end; the last one stays.
            while pool.idle[0].idle_since < now - SURPLUS_IDLE:
                pool.idle.pop(0).close()
        else:
            connection.close()

    async def connect(self, pool: Pool, failed: Callable[[OSError], None] = ignore) -> Connection:
        """A new connection. It is counted until it is lost, which may be before this returns.

        One that fails on this machine is tried again, for as long as a connection may take to come up;
        `failed` hears of it. Raises OSError, of which a time-out is one.
        """

        def lost(connection: Connection) -> None:
            if connection.counted:
                connection.counted = False
                self._open -= 1
            if connection in pool.idle:
                pool.idle.remove(connection)

        connection = Connection(lost)
        connection.streams = connection.counted = True
        connection.dial = pool.dial

        async def come_up() -> None:
            async with asyncio.timeout(self._connect_timeout):
                await connect(connection, pool.dial)

        shortage = Shortage()

        def failed_here(problem: OSError) -> None:
            self._count("connect_failed_here")
            if shortage.lasts(problem):
                self.make_room()
            failed(problem)

        self._open += 1
        self._count("handshakes")
        try:
            await retried(come_up, self._connect_timeout, failed_here)
        except BaseException:
            # Given up in the turn in which it came up, it has not said that it is lost.
            connection.close()
            lost(connection)
            raise
        return connection


def parse_report(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """`TEXT name=value, ...` as values in the order of `fields`; () where any is missing or malformed."""
    values: dict[str, float] = {}
    try:
        for part in text.decode("ascii").strip().removeprefix("TEXT").split(","):
            name, _, value = part.strip().partition("=")
            values[name] = float(value)
        return tuple(values[field] for field in fields)
    except (ValueError, KeyError):
        return ()

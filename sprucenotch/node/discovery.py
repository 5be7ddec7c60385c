"""The list of endpoints: called for, and watched, as the settings allow."""

from __future__ import annotations

import asyncio
import logging
import random

import msgspec
from msgspec import structs

from sprucenotch import api
from sprucenotch.node.config import SECOND, Address, Config, HostList, host_list
from sprucenotch.node.connection import Answer, Connection
from sprucenotch.node.host import Host
from sprucenotch.node.log import event
from sprucenotch.node.transport import connect
from sprucenotch.node.withdrawals import Withdrawals
from sprucenotch.policy import discovery as schedule
from sprucenotch.seams.clock import http_date
from sprucenotch.seams.system_errors import retried

log = logging.getLogger(__name__)

LIST_MOST = 16 * 1024 * 1024
# Where discovery is asked, each call costs a service that all sidecars share, so a watch waits for long: up
# to MAX_HOLD, and by a drawn share less, as watches that end together come again together. What a watch
# misses that falls silent counts as told 6 s after that, or SILENT_WATCH_DEADLINE after its wait is over if
# that is later, which it is for a wait of 4 s or more. It is given up HOLD_GRACE after its wait, and the
# next call goes out at once, without a wait. Its answer has what is left:
#     HOLD_GRACE + MAX_GAP + answer <= SILENT_WATCH_DEADLINE + drain grace
MAX_HOLD, MIN_HOLD_SHARE = 20.0, 0.7
# An answer is late by so much before its call is given up: answers of no entries come at once.
HOLD_GRACE = 0.5
SILENT_WATCH_DEADLINE = 2.0
CONNECT_TIMEOUT = 1.0  # for a connection to come up, whatever the call may wait for then
# What the agent has counts as told, also while a call to it hangs: a hung one must end, and the next begin,
# within the grace that a drain leaves. Calls to it cost nothing.
HOLD_PUSHED, HOLD_GRACE_PUSHED = 0.25, 0.2
AGENT_TIMEOUT = 5.0
OVERDUE_TIMEOUT = 10.0  # of one that stays open beside the next, counted anew: longer than services let wait
PAUSE = 0.05  # between watches that brought nothing new: well under the 200 ms that end a watch
RETRY_PUSHED = 0.05  # after a failed call to the agent
# One that does not answer may be slow and not hung: the oldest of the calls stay open beside the next, so
# that none loses its place in a queue, and the first that is answered counts. These are within the
# descriptors that are kept for the program's own use.
MAX_OVERDUE = 4
WHOLE_LIST = ""  # the query of a call that names no version: whatever its answer says, it is whole


class CallFailed(Exception):
    """A call to discovery brought no list."""


class CallSilent(CallFailed):
    """Nor did discovery say anything else in time, though the connection was there."""


class Discovery:
    """Calls discovery when the decisions say so, or, where lists are pushed, the agent all the time."""

    def __init__(self, config: Config, host: Host, loop: asyncio.AbstractEventLoop) -> None:
        self._host, self._loop = host, loop
        self._random = random.Random(config.seed).random
        self._address = config.discovery
        self._adopt(config)
        self._seq = config.known.seq
        self._withdrawals = Withdrawals(config.known, host.now())
        self._connection: Connection | None = None
        self._watcher: asyncio.Task[None] | None = None
        self._overdue: set[asyncio.Task[HostList]] = set()
        self._answered: int | None = None  # when discovery last said what is the newest
        self._goes_on = False  # whether a watch is out that began right after an answer
        host.watch = self.watch

    def _adopt(self, config: Config) -> None:
        self._names = config.names
        self._pushed = not config.settings.discovery_on_request
        self._response_timeout = schedule.response_timeout(config.settings) / SECOND

    @property
    def age(self) -> int | None:
        """Nanoseconds since the list in hand was last known to be the newest; None: not to this process."""
        if self._goes_on:  # a change would have ended it
            return 0
        return None if self._answered is None else self._host.now() - self._answered

    def start(self) -> None:
        if self._pushed:
            self.watch(True)

    def retune(self, config: Config) -> None:
        self._adopt(config)
        self.move(config.discovery)
        self.start()

    def watch(self, on: bool) -> None:
        if self._watcher is not None and not on:
            self._goes_on = False
            self._watcher.cancel()
            self._watcher = None
        elif on and (self._watcher is None or self._watcher.done()):
            self._watcher = self._loop.create_task(self._watch())
            self._watcher.add_done_callback(self._watch_over)

    def move(self, address: Address) -> None:
        """Go on at another address. The old one hangs up soon, and need not answer until then."""
        if address == self._address:
            return
        event(log, logging.INFO, "discovery moved", host=address[0], port=address[1])
        self._address = address
        self._give_up_overdue()
        if self._connection is not None:
            self._connection.close()
        self.watch(False)
        if not self._pushed:
            self._host.post(api.DiscoveryMoved())
        self.start()

    async def _watch(self) -> None:
        """One watch after the other. Where discovery is asked, one that fails is the last: the decisions call
        again when that is due."""
        while True:
            asked = self._seq
            try:
                told = await (self._call_agent() if self._pushed else self._call_service())
            except CallFailed as problem:
                self._goes_on = False
                event(log, logging.DEBUG, "discovery failed", why=str(problem))
                self._count("lists_failed")
                if not self._pushed:
                    self._watcher = None
                    silent = isinstance(problem, CallSilent)
                    kind = api.ListKind.SILENT if silent else api.ListKind.FAILED
                    self._host.post(api.EndpointList(kind, ()))
                    return
                await asyncio.sleep(RETRY_PUSHED)
                continue
            self._give_up_overdue()  # they were asked earlier: what they still might tell is older
            if asked != self._seq and told.seq <= self._seq:
                continue  # an overdue call was answered meanwhile, and told more
            new = self._take(told)
            self._goes_on = not self._pushed
            if not new:
                await asyncio.sleep(PAUSE)

    def _watch_over(self, watcher: asyncio.Task[None]) -> None:
        """One that a fault in the program ended is a failed one: else nobody would ever ask again."""
        if watcher.cancelled() or (fault := watcher.exception()) is None:
            return
        log.error("fault", exc_info=fault, extra={"fields": {"handling": "watch"}})
        self._goes_on = False
        if self._pushed:
            self._loop.call_later(RETRY_PUSHED, self.watch, True)
        else:
            self._host.post(api.EndpointList(api.ListKind.FAILED, ()))

    async def _call_agent(self) -> HostList:
        """A call to the agent: the first asks what is new by now, the others wait for something new."""
        query = self._query(0.0 if self._answered is None else HOLD_PUSHED)
        if self._withdrawals.whole_list_due(self._host.now()):
            query = WHOLE_LIST
        return await self._call_beside(query, HOLD_PUSHED + HOLD_GRACE_PUSHED, AGENT_TIMEOUT)

    async def _call_service(self) -> HostList:
        """A call to the service: a watch that waits for something new if it follows on an answer.

        Else it asks what is new by now, as a watch on a list that is the newest would say nothing for as long
        as it holds, and nobody would know that it is.
        """
        whole_list_due = self._withdrawals.whole_list_due(self._host.now())
        if whole_list_due or not self._goes_on:
            query = WHOLE_LIST if whole_list_due else self._query(0.0)
            return await self._call_beside(query, self._response_timeout, OVERDUE_TIMEOUT)
        hold = MAX_HOLD * (1 - (1 - MIN_HOLD_SHARE) * self._random())
        return await self._call(self._query(hold), hold + HOLD_GRACE)

    def _query(self, hold: float) -> str:
        return f"?from={self._seq}&hold_ms={hold * 1000:.0f}"

    async def _call_beside(self, query: str, patience: float, timeout: float) -> HostList:
        """A call that is left open beside the next if it is not answered within its patience."""
        call = self._loop.create_task(self._call(query, timeout))
        try:
            done, _ = await asyncio.wait((call,), timeout=patience)
        except asyncio.CancelledError:
            call.cancel()
            raise
        if done:
            return call.result()
        if len(self._overdue) < MAX_OVERDUE:
            self._overdue.add(call)
            call.add_done_callback(self._answered_late)
        else:
            call.cancel()
        raise CallSilent("overdue")

    def _give_up_overdue(self) -> None:
        for call in self._overdue:
            call.cancel()

    def _answered_late(self, call: asyncio.Task[HostList]) -> None:
        self._overdue.discard(call)
        if call.cancelled() or call.exception() is not None:
            return
        told = call.result()
        # Where discovery is asked, an answer with nothing new confirms the list in hand.
        if told.seq > self._seq or (told.seq == self._seq and not self._pushed):
            self._take(told)
            # If the next call has failed meanwhile, no watch is out, where the decisions take this for one.
            if self._watcher is None:
                self._goes_on = True
                self.watch(True)

    def _count(self, name: str) -> None:
        if not self._pushed:  # calls to an agent of its own cost the fleet nothing
            self._host.count(name)

    def _take(self, told: HostList) -> bool:
        """Pass a list on; whether it held anything new."""
        self._answered = now = self._host.now()
        whole_list_due = self._withdrawals.whole_list_due(now)
        told = self._withdrawals.reconcile(told, now)
        if not told.whole and not told.hosts:
            if not self._pushed:
                # The decisions wait for an answer to their call, even for an empty one.
                self._host.learn(told, api.ListKind.DELTA)
            self._seq = told.seq
            self._host.confirm()
            return False
        if told.whole and told.seq == self._seq and self._pushed and not whole_list_due:
            self._host.confirm()
            return False
        self._host.learn(told, api.ListKind.FULL if told.whole else api.ListKind.DELTA)
        self._seq = told.seq  # only now: what a fault kept from being learned is asked for again
        return True

    async def _call(self, query: str, timeout: float) -> HostList:
        host, port = self._address
        self._count("lists_asked")
        request = f"GET /discovery/hosts{query} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()
        answer = await self._exchange(request, timeout)
        if answer is None or answer.status != 200:
            raise CallFailed("no answer" if answer is None else f"status {answer.status}")
        try:
            told = host_list(msgspec.json.decode(answer.body), self._names)
            return structs.replace(told, whole=told.whole or query == WHOLE_LIST)
        except (ValueError, RecursionError) as problem:
            raise CallFailed(f"malformed list: {problem}") from None

    async def _exchange(self, request: bytes, timeout: float) -> Answer | None:
        """Send a call and wait for its answer. Until then the connection is this call's alone."""
        connection, self._connection = self._connection, None
        address = self._address
        try:
            if connection is None or not connection.usable():
                if connection is not None:
                    connection.close()
                connection = await self._connect(address)
            connection.body_most = LIST_MOST
            async with asyncio.timeout(timeout):
                answer = await connection.ask(request)
        except BaseException as problem:
            if connection is not None:
                connection.close()
            if isinstance(problem, TimeoutError):
                raise CallSilent("no answer in time") from None
            raise
        self._compare_clocks(answer)
        kept = self._connection is None and address == self._address
        if answer is not None and answer.status == 200 and kept:
            self._connection = connection
        else:
            connection.close()
        return answer

    def _compare_clocks(self, answer: Answer | None) -> None:
        """Pass on by how much this machine's clock differs from discovery's, by which births are told."""
        told = http_date(answer.header(b"date") or b"") if answer is not None else None
        if told is not None:
            self._host.post(api.ClockSkew(self._host.now() - told))

    async def _connect(self, address: Address) -> Connection:
        async def come_up() -> Connection:
            connection = Connection()
            await connect(connection, address)
            return connection

        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                return await retried(come_up, CONNECT_TIMEOUT)
        except OSError as problem:  # a time-out is one
            raise CallFailed(f"{type(problem).__name__} {problem}") from None

"""The discovery client: fetches the list of endpoints and watches it for changes."""

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
from sprucenotch.platform.clock import http_date
from sprucenotch.platform.system_errors import retry_local_failures
from sprucenotch.policy import discovery as schedule

log = logging.getLogger(__name__)

MAX_LIST_BYTES = 16 * 1024 * 1024
# Times are in seconds. In the on-request mode every call loads a service shared by all sidecars, so a watch
# (a long poll) holds for up to MAX_HOLD, shortened by a random share so that watches that end together don't
# all return together. The deadline for a change missed by a watch that stops answering is 6 s after it
# stopped, or SILENT_WATCH_DEADLINE after the end of its hold if that is later, as it is for a hold of 4 s or
# more. Such a watch is cancelled HOLD_TIMEOUT_MARGIN after the end of its hold, and the next call is sent at
# once, without a hold. Its answer has the time that remains:
#     HOLD_TIMEOUT_MARGIN + MAX_GAP + answer <= SILENT_WATCH_DEADLINE + drain grace
MAX_HOLD, MIN_HOLD_SHARE = 20.0, 0.7
# Added to the hold for the timeout of a watch; an answer without entries is sent as soon as the hold ends.
HOLD_TIMEOUT_MARGIN = 0.5
SILENT_WATCH_DEADLINE = 2.0
CONNECT_TIMEOUT = 1.0  # to open a connection, independent of the timeout of the call
# In the pushed mode the sidecar must act on what its local agent knows, even while a call to the agent hangs.
# A hung call must therefore time out, and the next one begin, within the drain grace. Calls to the agent are
# cheap.
AGENT_HOLD, AGENT_HOLD_TIMEOUT_MARGIN = 0.25, 0.2
AGENT_TIMEOUT = 5.0
OVERDUE_TIMEOUT = 10.0  # of a call left open, from sending its request: longer than a service holds it
UNCHANGED_LIST_PAUSE = 0.05  # between watches without changes; well below the 200 ms that end a watch
AGENT_RETRY_INTERVAL = 0.05  # after a failed call to the agent
# A call without an answer may be slow rather than hung. The oldest calls stay open while later ones are made,
# so that they keep their place in the queue of the service; the first answer counts. Their sockets are
# included in config.OWN_DESCRIPTORS.
MAX_OVERDUE = 4
WHOLE_LIST_QUERY = ""  # no version in the query: the answer is always a whole list


class CallFailed(Exception):
    """A call to discovery returned no list."""


class CallTimedOut(CallFailed):
    """Discovery sent no answer in time, though the connection was established."""


class Discovery:
    """Calls the discovery service on request of the balancer, or the agent all the time in pushed mode."""

    def __init__(self, config: Config, host: Host, loop: asyncio.AbstractEventLoop) -> None:
        self._host, self._loop = host, loop
        self._random = random.Random(config.seed).random
        self._address = config.discovery
        self._apply_config(config)
        self._seq = config.known.seq
        self._withdrawals = Withdrawals(config.known, host.now())
        self._connection: Connection | None = None
        self._watcher: asyncio.Task[None] | None = None
        self._overdue: set[asyncio.Task[HostList]] = set()
        self._last_answer_at: int | None = None  # when discovery last sent or confirmed the newest list
        self._watch_continues = False  # whether a watch is open that directly followed an answer
        host.watch = self.watch

    def _apply_config(self, config: Config) -> None:
        self._names = config.names
        self._pushed = not config.settings.discovery_on_request
        self._response_timeout = schedule.response_timeout(config.settings) / SECOND

    @property
    def age(self) -> int | None:
        """Nanoseconds since the current list was last known to be the newest; None: not in this process."""
        if self._watch_continues:  # a change would have ended the watch
            return 0
        return None if self._last_answer_at is None else self._host.now() - self._last_answer_at

    def start(self) -> None:
        if self._pushed:
            self.watch(True)

    def retune(self, config: Config) -> None:
        self._apply_config(config)
        self.change_address(config.discovery)
        self.start()

    def watch(self, on: bool) -> None:
        if self._watcher is not None and not on:
            self._watch_continues = False
            self._watcher.cancel()
            self._watcher = None
        elif on and (self._watcher is None or self._watcher.done()):
            self._watcher = self._loop.create_task(self._watch())
            self._watcher.add_done_callback(self._on_watch_done)

    def change_address(self, address: Address) -> None:
        """Continue at another address. The old one soon closes its connections and may not answer."""
        if address == self._address:
            return
        event(log, logging.INFO, "discovery moved", host=address[0], port=address[1])
        self._address = address
        self._cancel_overdue()
        if self._connection is not None:
            self._connection.close()
        self.watch(False)
        if not self._pushed:
            self._host.post(api.DiscoveryMoved())
        self.start()

    async def _watch(self) -> None:
        """Run one watch after the other. In the on-request mode a failed watch ends the loop: the balancer
        schedules the next call."""
        while True:
            seq_before = self._seq
            try:
                update = await (self._call_agent() if self._pushed else self._call_service())
            except CallFailed as problem:
                self._watch_continues = False
                event(log, logging.DEBUG, "discovery failed", why=str(problem))
                self._count("lists_failed")
                if not self._pushed:
                    self._watcher = None
                    silent = isinstance(problem, CallTimedOut)
                    kind = api.ListKind.SILENT if silent else api.ListKind.FAILED
                    self._host.post(api.EndpointList(kind, ()))
                    return
                await asyncio.sleep(AGENT_RETRY_INTERVAL)
                continue
            self._cancel_overdue()  # their answers could only be older
            if seq_before != self._seq and update.seq <= self._seq:
                continue  # an overdue call has brought a newer list meanwhile
            changed = self._apply_list(update)
            self._watch_continues = not self._pushed
            if not changed:
                await asyncio.sleep(UNCHANGED_LIST_PAUSE)

    def _on_watch_done(self, watcher: asyncio.Task[None]) -> None:
        """Treat a watch that ended with an unexpected exception as failed, so that calls continue."""
        if watcher.cancelled() or (fault := watcher.exception()) is None:
            return
        log.error("fault", exc_info=fault, extra={"fields": {"handling": "watch"}})
        self._watch_continues = False
        if self._pushed:
            self._loop.call_later(AGENT_RETRY_INTERVAL, self.watch, True)
        else:
            self._host.post(api.EndpointList(api.ListKind.FAILED, ()))

    async def _call_agent(self) -> HostList:
        """Call the agent. The first call returns at once, later ones hold until there is a change."""
        query = self._query(0.0 if self._last_answer_at is None else AGENT_HOLD)
        if self._withdrawals.whole_list_due(self._host.now()):
            query = WHOLE_LIST_QUERY
        return await self._call_or_leave_open(query, AGENT_HOLD + AGENT_HOLD_TIMEOUT_MARGIN, AGENT_TIMEOUT)

    async def _call_service(self) -> HostList:
        """Call the service, with a hold if this call directly follows an answer.

        Otherwise the call has no hold: on an unchanged list a watch gets no answer until its hold ends, and
        until then the list is not confirmed as the newest.
        """
        whole_list_due = self._withdrawals.whole_list_due(self._host.now())
        if whole_list_due or not self._watch_continues:
            query = WHOLE_LIST_QUERY if whole_list_due else self._query(0.0)
            return await self._call_or_leave_open(query, self._response_timeout, OVERDUE_TIMEOUT)
        hold = MAX_HOLD * (1 - (1 - MIN_HOLD_SHARE) * self._random())
        return await self._call(self._query(hold), hold + HOLD_TIMEOUT_MARGIN)

    def _query(self, hold: float) -> str:
        return f"?from={self._seq}&hold_ms={hold * 1000:.0f}"

    async def _call_or_leave_open(self, query: str, response_timeout: float, timeout: float) -> HostList:
        """Make a call. If not answered within `response_timeout`, leave it open and raise CallTimedOut."""
        call = self._loop.create_task(self._call(query, timeout))
        try:
            done, _ = await asyncio.wait((call,), timeout=response_timeout)
        except asyncio.CancelledError:
            call.cancel()
            raise
        if done:
            return call.result()
        if len(self._overdue) < MAX_OVERDUE:
            self._overdue.add(call)
            call.add_done_callback(self._on_overdue_done)
        else:
            call.cancel()
        raise CallTimedOut("overdue")

    def _cancel_overdue(self) -> None:
        for call in self._overdue:
            call.cancel()

    def _on_overdue_done(self, call: asyncio.Task[HostList]) -> None:
        self._overdue.discard(call)
        if call.cancelled() or call.exception() is not None:
            return
        update = call.result()
        # In the on-request mode an answer without changes confirms the current list.
        if update.seq > self._seq or (update.seq == self._seq and not self._pushed):
            self._apply_list(update)
            # If the next call has failed meanwhile, no watch is open, but the balancer takes this answer for
            # the start of one.
            if self._watcher is None:
                self._watch_continues = True
                self.watch(True)

    def _count(self, name: str) -> None:
        if not self._pushed:  # calls to the local agent put no load on a shared service
            self._host.count(name)

    def _apply_list(self, update: HostList) -> bool:
        """Apply a list and return whether it held any change."""
        self._last_answer_at = now = self._host.now()
        whole_list_due = self._withdrawals.whole_list_due(now)
        update = self._withdrawals.reconcile(update, now)
        if not update.whole and not update.hosts:
            if not self._pushed:
                # The balancer waits for the answer to its call, even an empty one.
                self._host.learn(update, api.ListKind.DELTA)
            self._seq = update.seq
            self._host.confirm()
            return False
        if update.whole and update.seq == self._seq and self._pushed and not whole_list_due:
            self._host.confirm()
            return False
        self._host.learn(update, api.ListKind.FULL if update.whole else api.ListKind.DELTA)
        self._seq = update.seq  # only now, so that a list whose processing failed is requested again
        return True

    async def _call(self, query: str, timeout: float) -> HostList:
        host, port = self._address
        self._count("lists_asked")
        request = f"GET /discovery/hosts{query} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()
        answer = await self._exchange(request, timeout)
        if answer is None or answer.status != 200:
            raise CallFailed("no answer" if answer is None else f"status {answer.status}")
        try:
            update = host_list(msgspec.json.decode(answer.body), self._names)
            return structs.replace(update, whole=update.whole or query == WHOLE_LIST_QUERY)
        except (ValueError, RecursionError) as problem:
            raise CallFailed(f"malformed list: {problem}") from None

    async def _exchange(self, request: bytes, timeout: float) -> Answer | None:
        """Send a call and wait for its answer. Until then no other call uses the connection."""
        connection, self._connection = self._connection, None
        address = self._address
        try:
            if connection is None or not connection.usable():
                if connection is not None:
                    connection.close()
                connection = await self._connect(address)
            connection.max_body_size = MAX_LIST_BYTES
            async with asyncio.timeout(timeout):
                answer = await connection.ask(request)
        except BaseException as problem:
            if connection is not None:
                connection.close()
            if isinstance(problem, TimeoutError):
                raise CallTimedOut("no answer in time") from None
            raise
        self._compare_clocks(answer)
        reusable = self._connection is None and address == self._address
        if answer is not None and answer.status == 200 and reusable:
            self._connection = connection
        else:
            connection.close()
        return answer

    def _compare_clocks(self, answer: Answer | None) -> None:
        """Report the difference of this machine's clock to that of discovery, which dates server starts."""
        server_time = http_date(answer.header(b"date") or b"") if answer is not None else None
        if server_time is not None:
            self._host.post(api.ClockSkew(self._host.now() - server_time))

    async def _connect(self, address: Address) -> Connection:
        async def open_connection() -> Connection:
            connection = Connection()
            await connect(connection, address)
            return connection

        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                return await retry_local_failures(open_connection, CONNECT_TIMEOUT)
        except OSError as problem:  # includes TimeoutError
            raise CallFailed(f"{type(problem).__name__} {problem}") from None

"""The list of endpoints: called for, and watched, as the settings allow."""

from __future__ import annotations

import asyncio
import logging

import msgspec

from sprucenotch import api
from sprucenotch.node.config import Address, Config, HostList, host_list
from sprucenotch.node.host import Host
from sprucenotch.node.log import event
from sprucenotch.node.upstream import Answer, Connection

log = logging.getLogger(__name__)

LIST_MOST = 16 * 1024 * 1024
# Where discovery is asked, each call costs a service that all sidecars share, so a watch waits for long. What
# one misses that falls silent counts as told 6 s after that, or 2 s after its wait is over if that is later,
# which it is for a wait of 4 s or more. No request may go out later than that by more than a drain's grace.
# So one is given up at `hold + GRACE` and opened anew at once, without a wait. The answer has what is left:
#     hold + GRACE + answer <= hold + SILENCE_TOLD + drain's grace, of 0.5 s or more:  answer <= 2 s
# The decisions would ask only after 0.1 to 0.4 of the time to ask in, as after a refusal: too late.
HOLD = 20.0
GRACE = 0.5  # an answer is late by so much before its call is given up: answers of no entries come at once
SILENCE_TOLD = 2.0
# A call that does not wait stands in line with those of the whole fleet, some seconds at the most. What a
# silent one misses counts as told after 6 s: ANSWER_WITHIN + answer <= 6 s + drain's grace.
ANSWER_WITHIN = 4.0
CONNECT_WITHIN = 1.0  # for a connection to come up, whatever the call may wait for then
# While something missed is about to count as told, a refused call is made again soon, not at the decisions'
# pace: at most SILENCE_TOLD / RETRY_OWED calls more after a silence, MOVED_TOLD / RETRY_OWED after a move.
MOVED_TOLD = 4.0  # after SIGHUP, all that discovery has to tell counts as told
RETRY_OWED = 0.25
# What the agent has counts as told, also while a call to it hangs: a hung one must end, and the next begin,
# within the grace that a drain leaves. Calls to it cost nothing.
HOLD_PUSHED, GRACE_PUSHED = 0.25, 0.2
CALL_TIMEOUT = 5.0
PAUSE = 0.05  # between watches that brought nothing new: well under the 200 ms that end a watch
RETRY = 0.05  # after a failed call to the agent
# One that does not answer may be slow and not hung: the oldest of the calls to it stay open beside the
# next, and the first that is answered counts. These are within the descriptors that are kept for the
# program's own use.
OVERDUE_MOST = 4


class CallFailed(Exception):
    """A call to discovery brought no list."""


class Silent(CallFailed):
    """Nor did discovery say anything else, though the connection was there: what it had to tell is missed."""


class Discovery:
    def __init__(self, config: Config, host: Host, loop: asyncio.AbstractEventLoop) -> None:
        self._host, self._loop = host, loop
        self._address = config.discovery
        self._adopt(config)
        self._seq = config.known.seq
        self._connection: Connection | None = None
        self._watcher: asyncio.Task[None] | None = None
        self._fetcher: asyncio.Task[None] | None = None
        self._overdue: set[asyncio.Task[HostList]] = set()
        self._owed_until = 0.0  # by the loop's clock: until then, what was missed does not count as told yet
        self._answered: int | None = None  # when discovery last said what is the newest
        self._goes_on = False  # whether a watch is out that began right after an answer
        host.watch, host.fetch = self.watch, self.fetch

    def _adopt(self, config: Config) -> None:
        self._names = config.names
        self._pushed = not config.settings.discovery_on_request
        self._hold, self._grace = (HOLD_PUSHED, GRACE_PUSHED) if self._pushed else (HOLD, GRACE)

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
        self._owed_until = self._loop.time() + MOVED_TOLD
        self.watch(False)
        self.watch(True)
        if self._fetcher is not None and not self._fetcher.done():
            self._fetcher.cancel()
            self._fetcher = self._loop.create_task(self._fetch())

    def fetch(self) -> None:
        if self._fetcher is None or self._fetcher.done():
            self._fetcher = self._loop.create_task(self._fetch())

    async def _watch(self) -> None:
        """One watch after the other. Where discovery is asked, one that is refused or breaks is the last: the
        decisions ask anew. One that fell silent is opened anew at once, as what it missed counts as told."""
        silent = False
        while True:
            asked = self._seq
            # A process that nothing has been told yet asks what is new by now: a watch on a list that is the
            # newest would say nothing for as long as it holds, and the process would not know that it is.
            # After a silence the same holds.
            hold = self._hold if self._host.told and not silent else 0.0
            query = f"?from={asked}&hold_ms={hold * 1000:.0f}"
            try:
                if self._pushed:
                    told = await self._call_agent(query)
                else:
                    told = await self._call(query, hold + self._grace if hold else ANSWER_WITHIN)
            except Silent as problem:
                self._goes_on = False
                self._failed(problem)
                silent = True
                self._owed_until = self._loop.time() + SILENCE_TOLD
                continue
            except CallFailed as problem:
                self._goes_on = False
                self._failed(problem)
                if not self._pushed and self._loop.time() >= self._owed_until:
                    self._watcher = None
                    self._host.post(api.EndpointList(api.ListKind.FAILED, ()))
                    return
                await asyncio.sleep(RETRY if self._pushed else RETRY_OWED)
                continue
            silent = False
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
            self._loop.call_later(RETRY, self.watch, True)
        else:
            self._host.post(api.EndpointList(api.ListKind.FAILED, ()))

    async def _call_agent(self, query: str) -> HostList:
        """A call to the agent, left open beside the next if it does not answer in time."""
        call = self._loop.create_task(self._call(query, CALL_TIMEOUT))
        try:
            done, _ = await asyncio.wait((call,), timeout=self._hold + self._grace)
        except asyncio.CancelledError:
            call.cancel()
            raise
        if done:
            return call.result()
        if len(self._overdue) < OVERDUE_MOST:
            self._overdue.add(call)
            call.add_done_callback(self._answered_late)
        else:
            call.cancel()
        raise CallFailed("overdue")

    def _give_up_overdue(self) -> None:
        for call in self._overdue:
            call.cancel()

    def _answered_late(self, call: asyncio.Task[HostList]) -> None:
        self._overdue.discard(call)
        if not call.cancelled() and call.exception() is None and call.result().seq > self._seq:
            self._take(call.result())

    async def _fetch(self) -> None:
        try:
            self._take(await self._call("", CALL_TIMEOUT))
        except CallFailed as problem:
            self._failed(problem)
            self._host.post(api.EndpointList(api.ListKind.FAILED, ()))

    def _failed(self, problem: CallFailed) -> None:
        event(log, logging.DEBUG, "discovery failed", why=str(problem))
        self._count("lists_failed")

    def _count(self, name: str) -> None:
        if not self._pushed:  # calls to an agent of its own cost the fleet nothing
            self._host.count(name)

    def _take(self, told: HostList) -> bool:
        """Pass a list on; whether it held anything new."""
        self._answered = self._host.now()
        if not told.whole and not told.hosts:
            if not self._pushed:
                # The decisions wait for an answer to their call, even for an empty one.
                self._host.learn(told, api.ListKind.DELTA)
            self._seq = told.seq
            self._host.confirm()
            return False
        if told.whole and told.seq == self._seq and self._pushed:
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
            return host_list(msgspec.json.decode(answer.body), self._names)
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
            answered: asyncio.Future[Answer | None] = self._loop.create_future()

            def done(answer: Answer | None) -> None:
                if not answered.done():
                    answered.set_result(answer)

            async with asyncio.timeout(timeout):
                answer = await answered if connection.send(request, done) else None
        except BaseException as problem:
            if connection is not None:
                connection.close()
            if isinstance(problem, TimeoutError):
                raise Silent("no answer in time") from None
            raise
        kept = self._connection is None and address == self._address
        if answer is not None and answer.status == 200 and kept:
            self._connection = connection
        else:
            connection.close()
        return answer

    async def _connect(self, address: Address) -> Connection:
        try:
            async with asyncio.timeout(CONNECT_WITHIN):
                _, connection = await self._loop.create_connection(Connection, *address)
        except OSError as problem:  # a time-out is one
            raise CallFailed(f"{type(problem).__name__} {problem}") from None
        return connection

"""Drives the decisions: events in as they come, actions out; keeps the ledger of requests and attempts.

It decides nothing. Events are taken one at a time: all actions of one are carried out before the next.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import Any

from sprucenotch import api
from sprucenotch.api import Outcome
from sprucenotch.node.attempt import Attempt
from sprucenotch.node.config import SECOND, Config, HostList
from sprucenotch.node.connection import Answer
from sprucenotch.node.ledger import Client, Incoming, Open
from sprucenotch.node.log import AccessLog
from sprucenotch.node.log import event as tell
from sprucenotch.node.pool import Pool
from sprucenotch.node.rules import Rule, Rules, may_have_run
from sprucenotch.node.standing import MS, STATUS_EVERY, Standing, own_memory
from sprucenotch.node.stream import READ_MOST, Budget, Stream
from sprucenotch.node.telemetry import OUTCOMES, Telemetry
from sprucenotch.node.upstream import TIMER_EARLY, Upstream
from sprucenotch.policy.balance import Balancer
from sprucenotch.seams.clock import Clock

log = logging.getLogger(__name__)

DEADLINE_MARGIN = 10 * MS  # the client's time ends this much earlier here: for loop lag and the way back
# A process that discovery has told nothing yet may hold a list that is stale, and what changed since may
# count as told already. So it takes no requests until then; with discovery down it serves by that list in
# the end. A restarted process has 6 s to be ready, of which the rest is for its start.
START_TIMEOUT = 5 * SECOND
# After SIGTERM the process is killed no sooner than the longest deadline, taken for 3 s where it is longer,
# and 0.7 s. What comes later than 0.7 s after the signal, on a connection still open, may have less than its
# own time: it is answered so long before the end, for the way to the client and a late loop.
DRAIN_LONGEST, DRAIN_BEYOND, DRAIN_MARGIN = 3 * SECOND, 700 * MS, 100 * MS
HELD_SHARE = 0.5  # of an attempt's time: later, an answer of unknown length is not held to be tried again


class Host:
    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self._settings = config.settings
        self._loop, self.now = loop, clock.now
        self._balancer = Balancer(config.settings, config.seed)
        self.budget = Budget(config.bodies_most(own_memory()[1]))
        self.telemetry = Telemetry()
        self.rules = Rules(self.telemetry)
        self.upstream = Upstream(config, loop, clock.now, self.count)
        self.standing = Standing(self._balancer, self.telemetry, self.upstream, clock.now)
        self._access = AccessLog(config.log.access_per_s)
        self._open: dict[int, Open] = {}
        self._last_id = 0
        self._events: deque[api.Event] = deque()
        self._busy = False
        self._actions: dict[type, Callable[[Any], None]] = {
            api.Send: self._send, api.Refuse: self._refuse, api.Fail: self._fail, api.Cancel: self._cancel,
            api.SetTimer: self._set_timer, api.Probe: self._probe, api.Log: self._log,
            api.Disconnect: lambda a: self.upstream.disconnect(a.endpoint),
            api.Watch: lambda a: self.watch(a.on),
            api.Tell: lambda a: self.tell(a.peer, a.body),
        }  # fmt: skip
        self._know_classes()
        # Set by the parts that do them.
        self.watch: Callable[[bool], None] = lambda on: None
        self.tell: Callable[[int, bytes], None] = lambda peer, body: None
        self.listed = False  # whether any endpoint has been named yet
        self.heard: Callable[[HostList, int], None] = lambda told, kind: None
        self._told = asyncio.Event()  # set once discovery has told or confirmed the list to this process
        self.handed = False  # whether the process before has handed over a list that is fresh
        self._start_deadline = self.now() + START_TIMEOUT
        self._killed_at: int | None = None  # once told to stop: all is answered by then

    # ---- events

    def start(self, known: HostList) -> None:
        self._status_at(self._loop.time() + STATUS_EVERY)
        self.post(api.Attached())
        self.learn(known, api.ListKind.CACHED)

    def _status_at(self, due: float) -> None:
        def status() -> None:
            now = self._loop.time()
            self._status_at(now + STATUS_EVERY)
            self.standing.status(now - due)

        self._loop.call_at(due, status)

    def _know_classes(self) -> None:
        self._numbers = {c.name: number for number, c in enumerate(self._settings.classes)}
        self.telemetry.know(self._settings.classes)

    def retune(self, config: Config) -> None:
        """Take up other settings, for the requests to come."""
        self._settings = config.settings
        self._know_classes()
        self.upstream.retune(config)
        self._access = AccessLog(config.log.access_per_s)
        self.post(api.Retuned(config.settings))

    def drain(self) -> None:
        """The process was told to stop, and will be killed."""
        longest = max(cls.limit for cls in self._settings.classes)
        self._killed_at = self.now() + min(longest, DRAIN_LONGEST) + DRAIN_BEYOND - DRAIN_MARGIN

    def _expiry(self, now: int, deadline: int) -> int:
        """When a request that is whole now has to be answered."""
        expires = now + deadline - DEADLINE_MARGIN if deadline > DEADLINE_MARGIN else now
        return expires if self._killed_at is None else min(expires, self._killed_at)

    def learn(self, told: HostList, kind: int) -> None:
        self.listed = self.listed or bool(told.hosts)
        if kind != api.ListKind.CACHED:
            self._told.set()
        self.upstream.learn(told.hosts, whole=kind != api.ListKind.DELTA)
        self.telemetry.keep_engines(self.upstream)
        self.heard(told, kind)
        self.post(api.EndpointList(kind, tuple(host.endpoint for host in told.hosts)))

    def recall(self, learned: api.Learned, age: int) -> None:
        """Go on from what the process before had learned, so many nanoseconds ago."""
        self.post(api.Recalled(learned, age))

    def learned(self) -> api.Learned:
        return self._balancer.learned(self.now())

    def confirm(self) -> None:
        """Discovery has answered that the list in hand is the newest."""
        self._told.set()

    @property
    def informed(self) -> bool:
        """Whether engines are known, by a list from discovery unless that is long in coming."""
        return self.listed and self.may_take_clients

    @property
    def may_take_clients(self) -> bool:
        """Whether discovery, or the process before, has told the list, or is too long in telling it."""
        return self._told.is_set() or self.handed or self.now() >= self._start_deadline

    async def until_informed(self) -> None:
        """Wait until clients may be taken. A timer may come a moment early, so the clock is asked again."""
        while not self.may_take_clients:
            left = (self._start_deadline - self.now()) / SECOND
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._told.wait(), left + TIMER_EARLY)

    def post(self, event: api.Event) -> None:
        """Take an event. What an action brings about at once waits until the other actions are done."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._busy = False

    def _step(self, event: api.Event) -> None:
        try:
            actions = self._balancer.handle(self.now(), event)
        except Exception:
            # A fault in one decision must not take the others down. Its request fails at the deadline.
            log.exception("fault", extra={"fields": {"handling": type(event).__name__}})
            return
        for action in actions:
            try:
                self._actions[type(action)](action)
            except Exception:
                # The others are carried out all the same: among them may be the timer of the decisions.
                log.exception("fault", extra={"fields": {"doing": type(action).__name__}})

    def count(self, name: str) -> None:
        """Count what the fleet pays for together, such as a handshake or a call to discovery."""
        self.telemetry.events[name] += 1

    # ---- requests

    def request(self, client: Client, incoming: Incoming, room: int, upload: Stream | None = None) -> None:
        """Take a request; the client is answered once, unless `gone` tells that it left.

        The memory reserved for it is the ledger's from here on. That of a long one is not yet whole:
        `uploaded` tells when it is.
        """
        self.count("requests")
        self._last_id += 1
        rid, now = self._last_id, self.now()
        expires = self._expiry(now, incoming.deadline)
        cls = self._settings.classes[self._numbers[incoming.cls]]
        request = self._open[rid] = Open(
            rid, client, incoming, expires, self._settings.max_attempts, room, upload, cls.effect,
            self._sent,
        )  # fmt: skip
        client.id = rid
        if upload is None:
            self._take(request)
        self.post(
            api.Request(
                rid,
                self._numbers[incoming.cls],
                incoming.tenant,
                incoming.key,
                expires,
                incoming.hint,
                incoming.repeat,
                request.coming,
            )
        )

    def _take(self, request: Open) -> None:
        """Its last byte has come."""
        request.taken, request.began = True, self.now()
        self.telemetry.in_progress += 1
        if log.isEnabledFor(logging.DEBUG):
            tell(log, logging.DEBUG, "taken", request=request.id, req_id=request.name)
        left = (request.expires - request.began) / SECOND
        request.deadline = self._loop.call_later(left, self._at_deadline, request)

    def uploaded(self, rid: int) -> None:
        """The last byte of a long request has come, and its time runs from now."""
        request = self._open.get(rid)
        if request is None or request.answered:
            return
        now, request.coming = self.now(), False
        request.sent_at, request.expires = now, self._expiry(now, request.incoming.deadline)
        request.until = request.expires
        self._take(request)
        if request.attempt is not None:
            self._wait(request, request.attempt)
        self.post(api.Uploaded(rid, request.expires))

    def gone(self, rid: int) -> None:
        """The client left. An attempt whose request is out goes on: ending it would only cost a connection.
        One that waits for its connection ends once that is up, for others to use (`Open.wanted`); one that is
        out in part ends at once, so that it never runs."""
        if (request := self._conclude(rid)) is not None:
            self.ended(rid)
            self.post(api.Gone(rid))
            if request.attempt is not None and request.attempt.partial:
                request.attempt.abandon(Outcome.CANCELLED)

    def ended(self, rid: int, broken: bool = False) -> None:
        """The final answer has left, or broke on the way here, or nobody is there to get it."""
        request = self._open.get(rid)
        if request is None or request.ended:
            return
        request.ended, request.leaving = True, 0
        if log.isEnabledFor(logging.DEBUG):
            tell(log, logging.DEBUG, "ended", request=request.id, req_id=request.name, broken=broken)
        self.telemetry.in_progress -= request.taken
        tally = self.telemetry.bad_gateway if broken else request.tally
        if tally is not None:
            tally[request.incoming.cls] += 1
        now = self.now()
        if tally is self.telemetry.passed:
            self.telemetry.latency[request.incoming.cls].observe(now - request.began)
        if self._access.on and self._access.wants(now):
            self._tell_access(request, now, tally)
        self._settle(request)

    def _tell_access(self, request: Open, now: int, tally: Counter[str] | None) -> None:
        told = self.telemetry
        outcomes = ((told.passed, "served"), (told.dropped, "refused"), (told.bad_gateway, "failed"))
        self._access.tell(
            request=request.id,
            req_id=request.name,
            cls=request.incoming.cls,
            outcome=next((name for counter, name in outcomes if counter is tally), "client gone"),
            attempts=request.attempts,
            engine=self.upstream.name(request.endpoint) if request.attempts else "",
            took_ms=round((now - request.began) / MS, 1),
            attempt_ms=round((now - request.sent_at) / MS, 1) if request.attempts else 0.0,
        )

    def turn_down(self, incoming: Incoming) -> None:
        """Count a request refused for want of memory, which never came into the ledger."""
        self.count("no_room")
        self.telemetry.dropped[incoming.cls] += 1

    def _at_deadline(self, request: Open) -> None:
        request.deadline = None
        # Timers count in milliseconds, so this may be early by one: for the decisions too, time is over now.
        request.expires = min(request.expires, self.now())
        if request.attempt is not None:
            request.attempt.abandon(Outcome.TIMEOUT)
        if not request.answered:
            # The decisions answer each request by now; whatever keeps them from it, none is lost.
            tell(log, logging.ERROR, "request left unanswered until its deadline", request=request.id)
            self._fail(api.Fail(request.id, api.Reason.EXPIRED))
            self.post(api.Gone(request.id))

    def _settle(self, request: Open) -> None:
        """Keep the memory that is still needed; drop what has ended and has no attempt out."""
        active = not request.answered or request.attempt is not None
        room = (request.room if active else 0) + request.leaving
        self.budget.give(request.held - room)
        request.held = room
        if active:
            return
        if request.deadline is not None:
            request.deadline.cancel()
            request.deadline = None
        if request.ended:
            self._open.pop(request.id, None)

    def _conclude(self, rid: int) -> Open | None:
        """The request if it is still owed its final answer, which the caller then gives."""
        request = self._open.get(rid)
        if request is None or request.answered:
            return None
        request.answered = True
        return request

    # ---- actions

    def _send(self, action: api.Send) -> None:
        request, now = self._open.get(action.id), self.now()
        if request is not None and request.attempt is not None:
            self.rules.broken(Rule.SENT_SECOND, request=request.id, req_id=request.name)
            self._moot(action, request)
            return
        if request is None or request.answered:
            self._moot(action, request)
            return
        spent = request.upload is not None and request.upload.started  # what was handed on is held no more
        late = not request.coming and now >= request.expires
        if spent or late or not self.rules.may_repeat(request, action.before):
            self._moot(action, request)
            return
        if request.attempts:
            self._tell_retry(request, action)
        number, request.attempts = request.attempts, request.attempts + 1
        request.sent_at, request.endpoint, request.until = now, action.endpoint, request.expires
        request.before = action.before
        if self.standing.is_cold(action.endpoint):
            self.count("cold_sends")
        done = partial(self._completed, request, number)
        attempt = self.upstream.attempt(
            action.endpoint,
            partial(request.payload, self.now),
            done,
            partial(self._written, request),
            request,
            request.upload,
        )
        if attempt is None:
            done(Outcome.CONNECT_FAILED, None)
            return
        request.attempt, request.timeout = attempt, action.timeout
        if not request.coming:
            self._wait(request, attempt)
        attempt.start()

    def _tell_retry(self, request: Open, action: api.Send) -> None:
        self.telemetry.retries[request.last] += 1
        if log.isEnabledFor(logging.DEBUG):
            tell(
                log, logging.DEBUG, "retry", request=request.id, req_id=request.name,
                attempt=request.attempts + 1, after=OUTCOMES[request.last],
                server=self.upstream.name(action.endpoint),
            )  # fmt: skip

    def _sent(self, request: Open, pool: Pool) -> None:
        """The first byte of an attempt has gone out."""
        self.rules.sent(request, pool, self.now())

    def _wait(self, request: Open, attempt: Attempt) -> None:
        """Wait for this attempt no longer than was decided; half of that for the whole of a short answer."""
        if request.timeout and request.sent_at + request.timeout < request.expires:
            request.until = request.sent_at + request.timeout
            request.patience = self._loop.call_later(
                request.timeout / SECOND, attempt.abandon, Outcome.TIMEOUT
            )
        attempt.hasten(time.monotonic_ns() + int((request.until - request.sent_at) * HELD_SHARE))

    def _written(self, request: Open) -> None:
        """The last byte of an attempt has gone out."""
        self.telemetry.upstream_tries += 1
        if log.isEnabledFor(logging.DEBUG):
            tell(
                log, logging.DEBUG, "sent", request=request.id, req_id=request.name,
                attempt=request.attempts, server=self.upstream.name(request.endpoint),
            )  # fmt: skip

    def _moot(self, action: api.Send, request: Open | None) -> None:
        over = request is None or request.answered
        number = request.attempts if request else 0
        self.post(api.Completed(action.id, number, action.endpoint, Outcome.MOOT, 0, over, ()))

    def _completed(self, request: Open, number: int, outcome: int, answer: Answer | None) -> None:
        request.attempt, request.last = None, outcome
        request.may_have_run = request.may_have_run or may_have_run(outcome)
        self.count(OUTCOMES[outcome])
        if request.patience is not None:
            request.patience.cancel()
            request.patience = None
        if outcome == Outcome.OK and answer is not None and self._conclude(request.id) is not None:
            request.tally = self.telemetry.passed
            request.leaving = len(answer.body) if answer.rest is None else READ_MOST
            if log.isEnabledFor(logging.DEBUG):
                size = None if answer.rest is None else answer.rest.length
                tell(
                    log, logging.DEBUG, "answer begins", request=request.id, req_id=request.name,
                    long=answer.rest is not None, size=size,
                )  # fmt: skip
            request.client.serve(answer)
        elif answer is not None and answer.rest is not None:
            answer.rest.drop()  # the client has left meanwhile
        over = request.answered
        self._settle(request)
        took, report = self.now() - request.sent_at, self.upstream.report(answer)
        if answer is not None and answer.rest is not None:
            # Of a long one the time to its head: how long it was held here is no wait there.
            took -= time.monotonic_ns() - answer.headed
        self.telemetry.attempt_ended(request.endpoint, outcome, took)
        self.post(api.Completed(request.id, number, request.endpoint, outcome, took, over, report))

    def _refuse(self, action: api.Refuse) -> None:
        if (request := self._conclude(action.id)) is not None:
            request.tally = self.telemetry.dropped
            self._tell_refusal(request, action.why)
            self.count("refused_late" if request.attempts else "refused_unsent")
            request.client.refuse(action.stay_away)
            self._settle(request)

    def _fail(self, action: api.Fail) -> None:
        if (request := self._conclude(action.id)) is not None:
            request.tally = self.telemetry.bad_gateway
            self._tell_refusal(request, action.why)
            request.client.fail(request.last == Outcome.TIMEOUT)
            self._settle(request)

    def _tell_refusal(self, request: Open, why: api.Reason) -> None:
        """Count a request that is refused or failed here."""
        self.telemetry.refusals[why] += 1
        if log.isEnabledFor(logging.DEBUG):
            tell(
                log, logging.DEBUG, "turned down", request=request.id, req_id=request.name, reason=why.value,
                attempts=request.attempts,
            )  # fmt: skip

    def _cancel(self, action: api.Cancel) -> None:
        request = self._open.get(action.id)
        if request is not None and request.attempt is not None and request.attempts - 1 == action.attempt:
            request.attempt.abandon(Outcome.CANCELLED)

    def _set_timer(self, action: api.SetTimer) -> None:
        self._loop.call_later(action.delay / SECOND, self.post, api.Timer(action.token))

    def _probe(self, action: api.Probe) -> None:
        self.upstream.probe(
            action.endpoint,
            lambda outcome, took, report: self.post(api.Probed(action.endpoint, outcome, took, report)),
        )

    def _log(self, action: api.Log) -> None:
        tell(log, logging.INFO, "decision", text=action.text)

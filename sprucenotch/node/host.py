"""Drives the decisions: events in as they come, actions out; keeps the ledger of requests and attempts.

It decides nothing. Events are taken one at a time: all actions of one are carried out before the next.
"""

from __future__ import annotations

import asyncio
import logging
import resource
import time
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple, Protocol

from sprucenotch import api
from sprucenotch.api import Outcome
from sprucenotch.balance import Balancer, Member
from sprucenotch.node.config import SECOND, Config, HostList
from sprucenotch.node.stream import READ_MOST, Budget, Stream
from sprucenotch.node.telemetry import Telemetry
from sprucenotch.node.upstream import Answer, Attempt, Upstream

log = logging.getLogger(__name__)

MS = 1_000_000
DEADLINE_MARGIN = 10 * MS  # the client's time ends this much earlier here: for loop lag and the way back
# A process not yet told may take over with its last list, which can be stale, but no sooner: what discovery
# has told binds it from then on. Much later, and a replacement would not come in time.
TOLD_WITHIN = 3 * SECOND
HELD_SHARE = 0.5  # of an attempt's time: later, an answer of unknown length is not held to be tried again
STATUS_EVERY = 1.0  # seconds between two status lines: cuts and queues turn within a few


def own_memory() -> int:
    """What this process holds by itself, in bytes."""
    with open("/proc/self/statm", "rb") as file:
        _, resident, shared, *_ = map(int, file.read().split())
    return (resident - shared) * resource.getpagesize()


class Clock:
    """Monotonic time, anchored once to the wall clock so that all sidecars agree on hours and births."""

    def __init__(self) -> None:
        self._anchor = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return time.monotonic_ns() + self._anchor


class Client(Protocol):
    """Where the final answer of a request goes. It says when that has left, by `Host.ended`."""

    id: int  # the request's, here

    def serve(self, answer: Answer) -> None: ...

    def refuse(self, stay_away: int) -> None: ...

    def fail(self, timed_out: bool) -> None: ...


class Incoming(NamedTuple):
    """A request as the client sent it, checked."""

    cls: str
    tenant: int
    key: int
    deadline: int
    hint: int
    repeat: bool
    head: bytes  # the request line and the headers that go on, but for the deadline and the empty line
    body: bytes  # empty where it comes as a stream


class Open:
    """A request in the ledger: owed its final answer or the rest of it, or with an attempt still out."""

    __slots__ = (
        "answered", "attempt", "attempts", "client", "coming", "deadline", "ended", "endpoint", "expires",
        "haste", "held", "id", "incoming", "last", "leaving", "patience", "room", "sent", "taken", "tally",
        "timeout", "tries", "until", "upload",
    )  # fmt: skip

    def __init__(
        self,
        rid: int,
        client: Client,
        incoming: Incoming,
        expires: int,
        tries: int,
        room: int,
        upload: Stream | None,
    ) -> None:
        self.id, self.client, self.incoming, self.expires = rid, client, incoming, expires
        self.room = self.held = room  # memory reserved at its head, and what of it is held now
        self.upload = upload
        self.tries = tries  # as many as the settings allowed when it came
        self.coming = upload is not None  # its last byte has not come: its time does not run yet
        self.taken = False
        self.answered = self.ended = False
        self.tally: Counter[str] | None = None  # what its final answer counts as
        self.leaving = 0  # memory that the answer on its way out holds
        self.attempts = self.sent = self.until = self.timeout = 0
        self.attempt: Attempt | None = None
        self.endpoint: api.EndpointId = b""
        self.last = -1  # the outcome of the last attempt
        self.deadline: asyncio.TimerHandle | None = None
        self.patience: asyncio.TimerHandle | None = None
        self.haste: asyncio.TimerHandle | None = None

    def payload(self, now: Callable[[], int]) -> bytes:
        left = self.incoming.deadline if self.coming else max(0, self.until - now())
        return b"%sReq-Deadline: %.3f\r\n\r\n%s" % (self.incoming.head, left / SECOND, self.incoming.body)


class Host:
    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self._settings = config.settings
        self._loop, self.now = loop, clock.now
        self._balancer = Balancer(config.settings, config.seed)
        self.budget = Budget(config.bodies_most(own_memory()))
        self.telemetry = Telemetry()
        self.upstream = Upstream(config, loop, clock.now, self.count)
        self._open: dict[int, Open] = {}
        self._last_id = 0
        self._events: deque[api.Event] = deque()
        self._busy = False
        self._actions: dict[type, Callable[[Any], None]] = {
            api.Send: self._send, api.Refuse: self._refuse, api.Fail: self._fail, api.Cancel: self._cancel,
            api.SetTimer: self._set_timer, api.Probe: self._probe, api.Log: self._log,
            api.Disconnect: lambda a: self.upstream.disconnect(a.endpoint),
            api.Watch: lambda a: self.watch(a.on), api.Fetch: lambda a: self.fetch(),
            api.Tell: lambda a: self.tell(a.peer, a.body),
        }  # fmt: skip
        self._know_classes()
        # Set by the parts that do them.
        self.watch: Callable[[bool], None] = lambda on: None
        self.fetch: Callable[[], None] = lambda: None
        self.tell: Callable[[int, bytes], None] = lambda peer, body: None
        self.listed = False  # whether any endpoint has been named yet
        self._told = False  # whether discovery has, since the start
        self._patient_until = self.now() + TOLD_WITHIN
        self._took = 0  # by the attempts served since then

    # ---- events

    def start(self, known: HostList) -> None:
        self._loop.call_later(STATUS_EVERY, self._status)
        self.post(api.Attached())
        self.learn(known, api.ListKind.CACHED)

    def _know_classes(self) -> None:
        self._numbers = {c.name: number for number, c in enumerate(self._settings.classes)}
        self.telemetry.know(self._numbers)

    def retune(self, config: Config) -> None:
        """Take up other settings, for the requests to come."""
        self._settings = config.settings
        self._know_classes()
        self.upstream.retune(config)
        self.post(api.Retuned(config.settings))

    def learn(self, told: HostList, kind: int) -> None:
        self.listed = self.listed or bool(told.hosts)
        self._told = self._told or kind != api.ListKind.CACHED
        self.upstream.learn(told.hosts, whole=kind != api.ListKind.DELTA)
        self.post(api.EndpointList(kind, tuple(host.endpoint for host in told.hosts)))

    @property
    def informed(self) -> bool:
        """Whether engines are known, by a list from discovery unless that is long in coming."""
        return self.listed and (self._told or self.now() >= self._patient_until)

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
            log.exception("fault in handling %s", type(event).__name__)
            return
        for action in actions:
            self._actions[type(action)](action)

    def count(self, name: str) -> None:
        """Count what the fleet pays for together, such as a handshake or a call to discovery."""
        self.telemetry.events[name] += 1

    def figures(self) -> dict[str, Any]:
        members = [m for m in self._balancer.members.values() if m.health != api.Health.GONE]
        return self.telemetry.figures(len(members), sum(map(self._avoided, members)))

    def _avoided(self, member: Member) -> bool:
        """Whether an engine that is listed gets nothing now: it drains, or is ejected and not kept for want
        of others."""
        if member.health != api.Health.READY:
            return True
        return member.out_until > self.now() and not any(member in side for side in self._balancer.subset)

    def _status(self) -> None:
        """One line for on-call: what came and went since the last, and how the decisions stand."""
        self._loop.call_later(STATUS_EVERY, self._status)
        counts = self.telemetry.growth()
        took, self._took = self._took / MS / max(1, counts["ok"]), 0
        if counts:
            said = " ".join(f"{name}={count}" for name, count in sorted(counts.items()))
            log.info(
                "status: %s ok_ms=%.1f open=%d connections=%d | %s",
                said, took, len(self._open), self.upstream.connections, self._stand(),
            )  # fmt: skip

    def _is_cold(self, endpoint: api.EndpointId) -> bool:
        member = self._balancer.members.get(endpoint)
        return member is not None and self._balancer.warmth(member, self.now()) < 1

    def _stand(self) -> str:
        b = self._balancer
        ready, used = (sum(map(len, sides)) for sides in (b.order, b.subset))
        cold = sum(self._is_cold(member.id) for side in b.order for member in side)
        base, mean = (
            "/".join(f"{t / MS:.0f}" for t in times)
            for times in ([k.base for k in b.kinds], [k.mean for k in b.kinds])
        )
        return (
            f"cut={b.cut:.0f}/{b.top} pressure={b.pressure:.2f}/{b.over:.2f} crossing={b.crossing:.2f} "
            f"flying={b.flying} peak={b.peak:.1f} ready={ready} cold={cold} used={used} "
            f"budget={b.budget:.1f} base_ms={base} mean_ms={mean}"
        )

    # ---- requests

    def request(self, client: Client, incoming: Incoming, room: int, upload: Stream | None = None) -> None:
        """Take a request; the client is answered once, unless `gone` tells that it left.

        The memory reserved for it is the ledger's from here on. That of a long one is not yet whole:
        `uploaded` tells when it is.
        """
        self.count("requests")
        self._last_id += 1
        rid, now = self._last_id, self.now()
        expires = now + max(0, incoming.deadline - DEADLINE_MARGIN)
        request = self._open[rid] = Open(
            rid, client, incoming, expires, self._settings.max_attempts, room, upload
        )
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
        request.taken = True
        self.telemetry.in_progress += 1
        left = (request.expires - self.now()) / SECOND
        request.deadline = self._loop.call_later(left, self._at_deadline, request)

    def uploaded(self, rid: int) -> None:
        """The last byte of a long request has come, and its time runs from now."""
        request = self._open.get(rid)
        if request is None or request.answered:
            return
        now, request.coming = self.now(), False
        request.sent, request.expires = now, now + max(0, request.incoming.deadline - DEADLINE_MARGIN)
        request.until = request.expires
        self._take(request)
        if request.attempt is not None:
            self._wait(request, request.attempt)
        self.post(api.Uploaded(rid, request.expires))

    def gone(self, rid: int) -> None:
        """The client left. An attempt that is out goes on, as ending it would only cost a connection; but not
        without the rest of its request."""
        if (request := self._conclude(rid)) is not None:
            self.ended(rid)
            self.post(api.Gone(rid))
            if request.coming and request.attempt is not None:
                request.attempt.abandon(Outcome.CANCELLED)

    def ended(self, rid: int, broken: bool = False) -> None:
        """The final answer has left, or broke on the way here, or nobody is there to get it."""
        request = self._open.get(rid)
        if request is None or request.ended:
            return
        request.ended, request.leaving = True, 0
        self.telemetry.in_progress -= request.taken
        tally = self.telemetry.bad_gateway if broken else request.tally
        if tally is not None:
            tally[request.incoming.cls] += 1
        self._settle(request)

    def turn_down(self, incoming: Incoming) -> None:
        """Count a request refused for want of memory, which never came into the ledger."""
        self.count("no_room")
        self.telemetry.dropped[incoming.cls] += 1

    def _at_deadline(self, request: Open) -> None:
        request.deadline = None
        if request.attempt is not None:
            request.attempt.abandon(Outcome.TIMEOUT)
        if not request.answered:
            # The decisions answer each request by now; whatever keeps them from it, none is lost.
            log.error("request %d was left unanswered until its deadline", request.id)
            self._fail(api.Fail(request.id))
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
        if request is None or request.answered or request.attempt is not None:
            self._moot(action, request)
            return
        spent = request.upload is not None and request.upload.started  # what was handed on is held no more
        late = not request.coming and now >= request.expires
        if spent or late or request.attempts >= request.tries:
            self._moot(action, request)
            return
        number, request.attempts = request.attempts, request.attempts + 1
        request.sent, request.endpoint, request.until = now, action.endpoint, request.expires
        if self._is_cold(action.endpoint):
            self.count("cold_sends")
        done = partial(self._completed, request, number)
        attempt = self.upstream.attempt(
            action.endpoint, partial(request.payload, self.now), done, self._written, request.upload
        )
        if attempt is None:
            done(Outcome.CONNECT_FAILED, None)
            return
        request.attempt, request.timeout = attempt, action.timeout
        if not request.coming:
            self._wait(request, attempt)
        attempt.start()

    def _wait(self, request: Open, attempt: Attempt) -> None:
        """Wait for this attempt no longer than was decided; half of that for the whole of a short answer."""
        if request.timeout and request.sent + request.timeout < request.expires:
            request.until = request.sent + request.timeout
            request.patience = self._loop.call_later(
                request.timeout / SECOND, attempt.abandon, Outcome.TIMEOUT
            )
        left = (request.until - request.sent) / SECOND
        request.haste = self._loop.call_later(left * HELD_SHARE, attempt.hasten)

    def _written(self) -> None:
        self.telemetry.upstream_tries += 1

    def _moot(self, action: api.Send, request: Open | None) -> None:
        over = request is None or request.answered
        number = request.attempts if request else 0
        self.post(api.Completed(action.id, number, action.endpoint, Outcome.MOOT, 0, over, ()))

    def _completed(self, request: Open, number: int, outcome: int, answer: Answer | None) -> None:
        request.attempt, request.last = None, outcome
        self.count(Outcome(outcome).name.lower())
        for timer in (request.patience, request.haste):
            if timer is not None:
                timer.cancel()
        request.patience = request.haste = None
        if outcome == Outcome.OK and answer is not None and self._conclude(request.id) is not None:
            request.tally = self.telemetry.passed
            request.leaving = len(answer.body) if answer.rest is None else READ_MOST
            request.client.serve(answer)
        elif answer is not None and answer.rest is not None:
            answer.rest.drop()  # the client has left meanwhile
        over = request.answered
        self._settle(request)
        took, report = self.now() - request.sent, self.upstream.report(answer)
        if answer is not None and answer.rest is not None:
            # Of a long one the time to its head: how long it was held here is no wait there.
            took -= time.monotonic_ns() - answer.headed
        self._took += took * (outcome == Outcome.OK)
        self.post(api.Completed(request.id, number, request.endpoint, outcome, took, over, report))

    def _refuse(self, action: api.Refuse) -> None:
        if (request := self._conclude(action.id)) is not None:
            request.tally = self.telemetry.dropped
            self.count("refused_late" if request.attempts else "refused_unsent")
            request.client.refuse(action.stay_away)
            self._settle(request)

    def _fail(self, action: api.Fail) -> None:
        if (request := self._conclude(action.id)) is not None:
            request.tally = self.telemetry.bad_gateway
            request.client.fail(request.last == Outcome.TIMEOUT)
            self._settle(request)

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
        log.info("%s", action.text)

"""Feeds events to the balancer and carries out its actions; keeps the ledger of requests and attempts.

The host makes no decisions. It handles one event at a time: all actions of an event are carried out before
the next event.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import mmap
import time
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import Any

from sprucenotch import api
from sprucenotch.api import Outcome
from sprucenotch.node.attempt import Attempt
from sprucenotch.node.begun import TABLE_SIZE, BegunRequests
from sprucenotch.node.budget import Budget, Reservation, unusual_size
from sprucenotch.node.config import SECOND, Config, HostList
from sprucenotch.node.connection import Answer
from sprucenotch.node.ledger import Client, Incoming, OpenRequest
from sprucenotch.node.log import AccessLog
from sprucenotch.node.log import event as tell
from sprucenotch.node.pool import Pool
from sprucenotch.node.rules import Rule, Rules, may_have_run
from sprucenotch.node.status import MS, STATUS_INTERVAL_S, StatusReport, own_memory
from sprucenotch.node.stop import StopTimes, stop_times
from sprucenotch.node.stream import MAX_READ_SIZE, Stream
from sprucenotch.node.telemetry import OUTCOMES, Telemetry
from sprucenotch.node.upstream import MAX_TIMER_EARLY_S, Upstream
from sprucenotch.platform.clock import Clock
from sprucenotch.policy.balance import Balancer

log = logging.getLogger(__name__)

DEADLINE_MARGIN = 10 * MS  # subtracted from the client's deadline: for loop lag and the way back
# Until discovery answers, the process may have a stale host list, and discovery may regard the changes since
# as delivered. So the process accepts no requests before that answer, or before this timeout if discovery is
# down. A restarted process has 6 s to be ready; the remainder is for starting up.
START_TIMEOUT = 5 * SECOND
# Fraction of an attempt's timeout in which an answer of unknown length is buffered, so that the request can
# still be retried; later it is streamed.
MAX_BUFFERING_SHARE = 0.5


def outgoing_size(answer: Answer) -> int:
    """The bytes that an answer holds until it has been sent; the usual size of a head is not counted."""
    stream = answer.body_stream
    body_size = len(answer.body) if stream is None else max(MAX_READ_SIZE, stream.buffered_size)
    return body_size + unusual_size(answer.head_size)


class Host:
    """Connects the balancer to client connections, servers, discovery, peers, timers and telemetry."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        begun_memory: mmap.mmap | None = None,  # shared with the other process of an upgrade
    ) -> None:
        self._settings = config.settings
        self._loop, self.now = loop, clock.now
        self._balancer = Balancer(config.settings, config.seed)
        self.budget = Budget(config.max_body_bytes(own_memory()[1]))
        self.telemetry = Telemetry()
        self.rules = Rules(self.telemetry)
        self.upstream = Upstream(config, loop, clock.now, self.count)
        self.status_report = StatusReport(self._balancer, self.telemetry, self.upstream, clock.now)
        self._access = AccessLog(config.log.access_per_s)
        self._open: dict[int, OpenRequest] = {}
        self._begun = BegunRequests(begun_memory or mmap.mmap(-1, TABLE_SIZE))
        self._last_id = 0
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._actions: dict[type, Callable[[Any], None]] = {
            api.Send: self._send, api.Refuse: self._refuse, api.Fail: self._fail, api.Cancel: self._cancel,
            api.SetTimer: self._set_timer, api.Probe: self._probe, api.Log: self._log,
            api.Disconnect: lambda a: self.upstream.disconnect(a.endpoint),
            api.Watch: lambda a: self.watch(a.on),
            api.Tell: lambda a: self.tell(a.peer, a.body),
        }  # fmt: skip
        self._set_classes()
        # Callbacks that are set by discovery, peers and recovery.
        self.watch: Callable[[bool], None] = lambda on: None
        self.tell: Callable[[int, bytes], None] = lambda peer, body: None
        self.has_endpoints = False  # whether any endpoint is known yet
        self.on_host_list: Callable[[HostList, int], None] = lambda host_list, kind: None
        self._list_received = asyncio.Event()  # set once discovery has sent or confirmed the list
        self.list_handed_over = False  # whether the previous process has handed over a fresh list
        self._start_deadline = self.now() + START_TIMEOUT
        self._drain_deadline: int | None = None  # set on SIGTERM: every request is answered by then

    # ---- events

    def start(self, known: HostList) -> None:
        """Start the balancer with the host list known from before."""
        self._schedule_status(self._loop.time() + STATUS_INTERVAL_S)
        self.post(api.Attached())
        self.learn(known, api.ListKind.CACHED)

    def _schedule_status(self, due: float) -> None:
        def status() -> None:
            now = self._loop.time()
            self._schedule_status(now + STATUS_INTERVAL_S)
            self.status_report.status(now - due)

        self._loop.call_at(due, status)

    def _set_classes(self) -> None:
        self._class_numbers = {c.name: number for number, c in enumerate(self._settings.classes)}
        self.telemetry.register_classes(self._settings.classes)
        # Time in which a request that was sent may still run, or its repeats are dropped by servers.
        self._begun_for = max(cls.limit + cls.window for cls in self._settings.classes)

    def retune(self, config: Config) -> None:
        """Apply changed settings to requests that arrive from now on."""
        self._settings = config.settings
        self._set_classes()
        self.upstream.retune(config)
        self._access = AccessLog(config.log.access_per_s)
        self.post(api.Retuned(config.settings))

    def drain(self, told_at: int) -> StopTimes:
        """Start the drain: the process learned at that time that it has to stop, and will be killed. All
        requests are answered before, also those with a longer deadline that have come already."""
        times = stop_times(told_at, max(cls.limit for cls in self._settings.classes))
        self._drain_deadline = times.answer_by
        for request in list(self._open.values()):
            if request.received and not request.answered and request.expires_at > times.answer_by:
                self._shorten(request, times.answer_by)
        return times

    def _shorten(self, request: OpenRequest, expires_at: int) -> None:
        """Set an earlier deadline of a request that has been received."""
        request.expires_at = expires_at
        self._set_deadline_timer(request)
        if request.attempt is not None:
            request.attempt_deadline = min(request.attempt_deadline, expires_at)
            self._release_answers(request.attempt, request.attempt_deadline - self.now())
        self.post(api.Shortened(request.id, expires_at))

    def answer_deadline(self, arrived_at: int, deadline: int) -> int:
        """Return when a request whose last byte came at that time has to be answered, in nanoseconds of
        `now`."""
        expires_at = arrived_at + max(0, deadline - DEADLINE_MARGIN)
        return expires_at if self._drain_deadline is None else min(expires_at, self._drain_deadline)

    def learn(self, host_list: HostList, kind: int) -> None:
        """Apply a host list of that `api.ListKind`."""
        self.has_endpoints = self.has_endpoints or bool(host_list.hosts)
        if kind != api.ListKind.CACHED:
            self._list_received.set()
        self.upstream.update_hosts(host_list.hosts, whole=kind != api.ListKind.DELTA)
        self.telemetry.set_listed_engines(self.upstream)
        self.on_host_list(host_list, kind)
        self.post(api.EndpointList(kind, tuple(host.endpoint for host in host_list.hosts)))

    def recall(self, learned: api.Learned, age: int) -> None:
        """Continue from what the previous process had learned `age` nanoseconds ago."""
        self.post(api.Recalled(learned, age))

    def learned(self) -> api.Learned:
        """Return what the balancer has learned so far, to be stored or handed over."""
        return self._balancer.learned(self.now())

    def confirm(self) -> None:
        """Note that discovery has confirmed the current list as the newest."""
        self._list_received.set()

    @property
    def informed(self) -> bool:
        """Whether engines are known, from a confirmed list or because START_TIMEOUT has passed."""
        return self.has_endpoints and self.may_take_clients

    @property
    def may_take_clients(self) -> bool:
        """Whether discovery or the previous process has provided a list, or START_TIMEOUT has passed."""
        return self._list_received.is_set() or self.list_handed_over or self.now() >= self._start_deadline

    async def wait_until_may_take_clients(self) -> None:
        """Wait until clients may be accepted. Timers can fire slightly early, so the clock is read again."""
        while not self.may_take_clients:
            seconds_left = (self._start_deadline - self.now()) / SECOND
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._list_received.wait(), seconds_left + MAX_TIMER_EARLY_S)

    def post(self, event: api.Event) -> None:
        """Handle an event. Events that its actions cause are queued until all its actions are done."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._handling = False

    def _step(self, event: api.Event) -> None:
        try:
            actions = self._balancer.handle(self.now(), event)
        except Exception:
            # An exception in one decision must not affect others. Its request fails at the deadline.
            log.exception("fault", extra={"fields": {"handling": type(event).__name__}})
            return
        for action in actions:
            try:
                self._actions[type(action)](action)
            except Exception:
                # The remaining actions are still carried out: the balancer's timer may be among them.
                log.exception("fault", extra={"fields": {"doing": type(action).__name__}})

    def count(self, name: str) -> None:
        """Count an event that loads the whole fleet, such as a handshake or a call to discovery."""
        self.telemetry.events[name] += 1

    # ---- requests

    def request(
        self, client: Client, incoming: Incoming, reservation: Reservation, upload: Stream | None = None
    ) -> None:
        """Add a request to the ledger; its client is answered exactly once unless `client_gone` is called
        first.

        The ledger takes over `reservation` and releases it. With `upload` the body is still
        arriving: `uploaded` is called once it is complete.
        """
        self.count("requests")
        self._last_id += 1
        rid, now = self._last_id, self.now()
        expires_at = self.answer_deadline(now - int(client.unread_for * SECOND), incoming.deadline)
        cls = self._settings.classes[self._class_numbers[incoming.cls]]
        request = self._open[rid] = OpenRequest(
            rid, client, incoming, expires_at, self._settings.max_attempts, reservation, upload, cls.effect,
            self._first_byte_sent,
        )  # fmt: skip
        client.id = rid
        if upload is None:
            self._request_received(request)
        request.claimed = self._claim(request) or self._claim_if_left(request)
        if not request.claimed:
            self._turn_down_repeated(request)
            return
        self.post(
            api.Request(
                rid,
                self._class_numbers[incoming.cls],
                incoming.tenant,
                incoming.key,
                expires_at,
                incoming.hint,
                incoming.repeat,
                request.uploading,
            )
        )

    def _claim(self, request: OpenRequest) -> bool:
        """Remember the id of a new request. False if the same id came before, here or at the other process of
        an upgrade, and a server may have run it or may run it still."""
        now = time.monotonic_ns()  # the same clock for both processes; `now` may have been set between starts
        return self._begun.claim(request.table_key, now, now + self._begun_for)

    def _claim_if_left(self, request: OpenRequest) -> bool:
        """Remember the id of a request that is open already, if the client of that one has left and no server
        can have run it."""
        for earlier in list(self._open.values()):
            if earlier.claimed and not earlier.answered and earlier.table_key == request.table_key:
                earlier.client.connected()  # calls `client_gone` if its client has left
        return self._claim(request)

    def _turn_down_repeated(self, request: OpenRequest) -> None:
        """Answer a request whose id may run already: refused where that does no harm, else failed."""
        if request.effect == api.Effect.SAFE:
            self._refuse(api.Refuse(request.id, 0, api.Reason.MAY_HAVE_RUN))
        else:
            self._fail(api.Fail(request.id, api.Reason.MAY_HAVE_RUN))

    def _hold_claim(self, request: OpenRequest) -> None:
        """Remember for the whole time from now that a server may run a request."""
        if request.claimed:
            now = time.monotonic_ns()
            self._begun.hold(request.table_key, now, now + self._begun_for)

    def _settle_claim(self, request: OpenRequest) -> None:
        """Hold the id of a request that is not answered if a server may run it, else release it."""
        out = request.attempt is not None and request.attempt.fully_sent
        if request.may_have_run or out:
            self._hold_claim(request)
        else:
            self._release_claim(request)

    def _release_claim(self, request: OpenRequest) -> None:
        """Forget the id of a request that no server has run: it may be sent again."""
        if request.claimed:
            request.claimed = False
            self._begun.release(request.table_key)

    def _request_received(self, request: OpenRequest) -> None:
        """Note that the last byte of a request has arrived, and start its deadline timer."""
        request.received, request.received_at = True, self.now()
        self.telemetry.in_progress += 1
        if log.isEnabledFor(logging.DEBUG):
            tell(log, logging.DEBUG, "taken", request=request.id, req_id=request.req_id)
        self._set_deadline_timer(request)

    def _set_deadline_timer(self, request: OpenRequest) -> None:
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        seconds_left = (request.expires_at - self.now()) / SECOND
        request.deadline_timer = self._loop.call_later(seconds_left, self._at_deadline, request)

    def uploaded(self, rid: int) -> None:
        """Note that the last byte of a streamed request has arrived, or that it may have arrived so long ago
        that its time is over. Its deadline counts from then."""
        request = self._open.get(rid)
        if request is None or request.answered or request.received:
            return
        now, request.uploading = self.now(), False
        arrived_at = now - int(request.client.unread_for * SECOND)
        request.sent_at, request.expires_at = (
            now,
            self.answer_deadline(arrived_at, request.incoming.deadline),
        )
        request.attempt_deadline = request.expires_at
        self._request_received(request)
        if request.attempt is not None:
            self._set_attempt_timeout(request, request.attempt)
        self.post(api.Uploaded(rid, request.expires_at))

    def client_gone(self, rid: int) -> None:
        """Handle a client that left. An attempt whose request has been sent completely goes on: ending it
        would only cost a connection. One that waits for a connection ends once that is open, so that others
        can use it (`OpenRequest.may_send`); one that is partly sent ends at once, so that the server never
        runs it."""
        if (request := self._mark_answered(rid)) is not None:
            self._settle_claim(request)
            self.finish_request(rid)
            self.post(api.Gone(rid))
            if request.attempt is not None and request.attempt.partially_sent:
                request.attempt.abandon(Outcome.CANCELLED)

    def finish_request(self, rid: int, broken: bool = False) -> None:
        """Finish a request whose final answer has been sent, was cut short (`broken`) or has no receiver."""
        request = self._open.get(rid)
        if request is None or request.finished:
            return
        request.finished, request.outgoing_size = True, 0
        if log.isEnabledFor(logging.DEBUG):
            tell(
                log,
                logging.DEBUG,
                "ended",
                request=request.id,
                req_id=request.req_id,
                broken=broken,
            )
        self.telemetry.in_progress -= request.received
        outcome_counts = self.telemetry.bad_gateway if broken else request.outcome_counts
        if outcome_counts is not None:
            outcome_counts[request.incoming.cls] += 1
        now = self.now()
        if outcome_counts is self.telemetry.passed:
            self.telemetry.latency[request.incoming.cls].observe(now - request.received_at)
        if self._access.on and self._access.should_log(now):
            self._log_access(request, now, outcome_counts)
        self._release(request)

    def _log_access(self, request: OpenRequest, now: int, outcome_counts: Counter[str] | None) -> None:
        telemetry = self.telemetry
        outcomes = (
            (telemetry.passed, "served"),
            (telemetry.dropped, "refused"),
            (telemetry.bad_gateway, "failed"),
        )
        self._access.tell(
            request=request.id,
            req_id=request.req_id,
            cls=request.incoming.cls,
            outcome=next((name for counter, name in outcomes if counter is outcome_counts), "client gone"),
            attempts=request.attempts,
            engine=self.upstream.name(request.endpoint) if request.attempts else "",
            took_ms=round((now - request.received_at) / MS, 1),
            attempt_ms=round((now - request.sent_at) / MS, 1) if request.attempts else 0.0,
        )

    def count_memory_refusal(self, incoming: Incoming) -> None:
        """Count a request that was refused for lack of memory and never entered the ledger."""
        self.count("no_room")
        self.telemetry.dropped[incoming.cls] += 1

    def _at_deadline(self, request: OpenRequest) -> None:
        request.deadline_timer = None
        # Timers have millisecond resolution, so this may be 1 ms early; the balancer must see it as expired.
        request.expires_at = min(request.expires_at, self.now())
        if request.attempt is not None:
            request.attempt.abandon(Outcome.TIMEOUT)
        if not request.answered:
            # The balancer should have answered by now; this catches every case in which it did not.
            tell(log, logging.ERROR, "request left unanswered until its deadline", request=request.id)
            self._fail(api.Fail(request.id, api.Reason.EXPIRED))
            self.post(api.Gone(request.id))

    def _release(self, request: OpenRequest) -> None:
        """Release memory that is no longer needed; drop a request that has finished and has no attempt."""
        active = not request.answered or request.attempt is not None
        request.reservation.resize((request.held_size if active else 0) + request.outgoing_size)
        if active:
            return
        if not request.finished:  # its answer waits for earlier ones, or for its client to read
            request.drop_content()
        if not request.may_have_run:
            self._release_claim(request)
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
            request.deadline_timer = None
        if request.finished:
            self._open.pop(request.id, None)

    def _mark_answered(self, rid: int) -> OpenRequest | None:
        """Mark a request as answered and return it; None if it already was. The caller sends the answer."""
        request = self._open.get(rid)
        if request is None or request.answered:
            return None
        request.answered = True
        return request

    # ---- actions

    def _send(self, action: api.Send) -> None:
        request, now = self._open.get(action.id), self.now()
        if request is not None and request.attempt is not None:
            self.rules.broken(Rule.SENT_SECOND, request=request.id, req_id=request.req_id)
            self._complete_as_moot(action, request)
            return
        if request is None or request.answered:
            self._complete_as_moot(action, request)
            return
        # What was forwarded is not buffered any more.
        body_forwarded = request.upload is not None and request.upload.started
        expired = not request.uploading and now >= request.expires_at
        if body_forwarded or expired or not self.rules.may_repeat(request, action.send_before):
            self._complete_as_moot(action, request)
            return
        if request.attempts:
            self._record_retry(request, action)
        number, request.attempts = request.attempts, request.attempts + 1
        request.sent_at, request.endpoint, request.attempt_deadline = now, action.endpoint, request.expires_at
        request.retry_before = action.send_before
        if self.status_report.is_cold(action.endpoint):
            self.count("cold_sends")
        done = partial(self._completed, request, number)
        attempt = self.upstream.attempt(
            action.endpoint,
            partial(request.request_bytes, self.now),
            done,
            partial(self._last_byte_sent, request),
            request,
            request.upload,
        )
        if attempt is None:
            done(Outcome.CONNECT_FAILED, None)
            return
        request.attempt, request.timeout = attempt, action.timeout
        if not request.uploading:
            self._set_attempt_timeout(request, attempt)
        attempt.start()

    def _record_retry(self, request: OpenRequest, action: api.Send) -> None:
        self.telemetry.retries[request.last_outcome] += 1
        if log.isEnabledFor(logging.DEBUG):
            tell(
                log, logging.DEBUG, "retry", request=request.id, req_id=request.req_id,
                attempt=request.attempts + 1, after=OUTCOMES[request.last_outcome],
                server=self.upstream.name(action.endpoint),
            )  # fmt: skip

    def _first_byte_sent(self, request: OpenRequest, pool: Pool) -> None:
        """Check the rules once the first byte of an attempt has been sent."""
        self.rules.sent(request, pool, self.now())

    def _set_attempt_timeout(self, request: OpenRequest, attempt: Attempt) -> None:
        """Limit the attempt to the timeout that was decided, and set from when its answer is streamed."""
        if request.timeout and request.sent_at + request.timeout < request.expires_at:
            request.attempt_deadline = request.sent_at + request.timeout
            request.attempt_timer = self._loop.call_later(
                request.timeout / SECOND, attempt.abandon, Outcome.TIMEOUT
            )
        self._release_answers(attempt, request.attempt_deadline - request.sent_at)

    def _release_answers(self, attempt: Attempt, time_left: int) -> None:
        """Stream an answer of unknown length once a share of the time that is left has passed."""
        attempt.release_answers_from(time.monotonic_ns() + int(time_left * MAX_BUFFERING_SHARE))

    def _last_byte_sent(self, request: OpenRequest) -> None:
        """Count an attempt whose last byte has been sent."""
        self.telemetry.upstream_tries += 1
        if request.upload is not None:  # sending it may have taken long
            self._hold_claim(request)
        if log.isEnabledFor(logging.DEBUG):
            tell(
                log, logging.DEBUG, "sent", request=request.id, req_id=request.req_id,
                attempt=request.attempts, server=self.upstream.name(request.endpoint),
            )  # fmt: skip

    def _complete_as_moot(self, action: api.Send, request: OpenRequest | None) -> None:
        answered = request is None or request.answered
        number = request.attempts if request else 0
        self.post(api.Completed(action.id, number, action.endpoint, Outcome.MOOT, 0, answered, ()))

    def _completed(self, request: OpenRequest, number: int, outcome: int, answer: Answer | None) -> None:
        request.attempt, request.last_outcome = None, outcome
        request.may_have_run = request.may_have_run or may_have_run(outcome)
        self.count(OUTCOMES[outcome])
        if request.attempt_timer is not None:
            request.attempt_timer.cancel()
            request.attempt_timer = None
        if outcome == Outcome.OK and answer is not None and self._mark_answered(request.id) is not None:
            request.outcome_counts = self.telemetry.passed
            request.outgoing_size = outgoing_size(answer)
            if log.isEnabledFor(logging.DEBUG):
                size = None if answer.body_stream is None else answer.body_stream.length
                tell(
                    log, logging.DEBUG, "answer begins", request=request.id, req_id=request.req_id,
                    long=answer.body_stream is not None, size=size,
                )  # fmt: skip
            request.client.serve(answer)
        elif answer is not None and answer.body_stream is not None:
            answer.body_stream.drop()  # the client has left in the meantime
        answered = request.answered
        self._release(request)
        took, report = self.now() - request.sent_at, self.upstream.report(answer)
        if answer is not None and answer.body_stream is not None:
            # For a streamed answer, count only the time to its head, not the time it was buffered here.
            took -= time.monotonic_ns() - answer.head_time_ns
        self.telemetry.attempt_ended(request.endpoint, outcome, took)
        self.post(api.Completed(request.id, number, request.endpoint, outcome, took, answered, report))

    def _refuse(self, action: api.Refuse) -> None:
        if (request := self._mark_answered(action.id)) is not None:
            request.outcome_counts = self.telemetry.dropped
            self._record_refusal(request, action.why)
            self.count("refused_late" if request.attempts else "refused_unsent")
            request.client.refuse(action.retry_after)
            self._release(request)

    def _fail(self, action: api.Fail) -> None:
        if (request := self._mark_answered(action.id)) is not None:
            request.outcome_counts = self.telemetry.bad_gateway
            self._record_refusal(request, action.why)
            self._settle_claim(request)  # its client may leave without having read the answer
            request.client.fail(request.last_outcome == Outcome.TIMEOUT)
            self._release(request)

    def _record_refusal(self, request: OpenRequest, why: api.Reason) -> None:
        """Count and log a request that is refused or failed here."""
        self.telemetry.refusals[why] += 1
        if log.isEnabledFor(logging.DEBUG):
            tell(
                log, logging.DEBUG, "turned down", request=request.id, req_id=request.req_id,
                reason=why.value, attempts=request.attempts,
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

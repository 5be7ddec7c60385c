"""The standard invariants. Source: the protocol's page, "The rules on sockets" and "Figures"."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise

from sprucenotch.testbed.checker.client_checks import client_and_log_invariants
from sprucenotch.testbed.checker.history import Figures, Left, Listed, Process, Sent, Surplus
from sprucenotch.testbed.checker.ledger import Finding, Invariant, Ledger
from sprucenotch.testbed.checker.recovery_checks import RestoredState

RESTART_OVERLAP = 0.2  # seconds around a kill within which a connection may belong to either process
REFUSED_STATUSES = (429, 503)


class LostRequest:
    """A request that a sidecar accepted gets a complete answer, unless the process was killed."""

    rule = "lost"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        for id, sent in ledger.sent.items():
            ended = ledger.ended.get(id)
            if ended is not None and ended.how in ("whole", "refused", "silent"):
                ledger.judged[self.rule] += 1  # a request that got no answer at all is checked by `overdue`
                yield from self._check_earlier_sends(ledger, id)
                continue
            until = ended.at if ended is not None else sent.at + sent.deadline
            if self._excused(ledger, sent, until):
                ledger.excused[self.rule] += 1
                continue
            ledger.judged[self.rule] += 1
            how = (
                "its connection ended without a complete answer"
                if ended is not None
                else "its end was not recorded"
            )
            yield ledger.finding(self.rule, id, f"{id} to {sent.sidecar}: {how}")

    def _check_earlier_sends(self, ledger: Ledger, id: str) -> Iterator[Finding]:
        """Check the sends of a request whose connection closed before an answer.

        A close that crosses the request on the wire is allowed; it is a loss if an engine had received the
        request.
        """
        for first, second in pairwise(ledger.sends[id]):
            received = any(first.at <= r.at < second.at for r in ledger.ran.get(id, ()))
            if received and not self._excused(ledger, first, second.at):
                message = f"{id} to {first.sidecar}: dropped after an engine had received it"
                yield ledger.finding(self.rule, id, message)

    def _excused(self, ledger: Ledger, sent: Sent, until: float) -> bool:
        name = sent.sidecar
        if ledger.has_process_event(name, "killed", sent.at - RESTART_OVERLAP, until + RESTART_OVERLAP):
            return True
        term = ledger.rules.accepted_after_term
        if ledger.has_process_event(name, "told to end", 0.0, sent.at - term, sent.life):
            return True
        return ledger.disturbed(sent.at, until, f"client>{name}")


class Overdue:
    """The final answer arrives by the deadline, plus `Rules.answer_slack`."""

    rule = "overdue"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        for id, sent in ledger.sent.items():
            ended = ledger.ended.get(id)
            if ended is None or ended.how not in ("whole", "silent"):
                continue
            took = ended.at - sent.at
            if ended.how == "whole" and took <= sent.deadline + ledger.rules.answer_slack:
                ledger.judged[self.rule] += 1
            elif ledger.disturbed(sent.at, ended.at, sent.sidecar, f"client>{sent.sidecar}"):
                ledger.excused[self.rule] += 1
            else:
                ledger.judged[self.rule] += 1
                late = f"{(took - sent.deadline) * 1000:.0f} ms after its deadline"
                what = f"answered {late}" if ended.how == "whole" else "not answered"
                yield ledger.finding(self.rule, id, f"{id} to {sent.sidecar}: {what}")


class DuplicateAnswer:
    """Each request gets one final answer; no further bytes follow it on the connection."""

    rule = "answered twice"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        ledger.judged[self.rule] += len(ledger.ended)
        for surplus in ledger.events_of(Surplus):
            message = (
                f"{surplus.sidecar} sent more bytes after the answer to {surplus.id}: {surplus.data[:40]!r}"
            )
            yield ledger.finding(self.rule, surplus.id, message)


class ForeignAnswer:
    """Every answer with status 200 was produced by an engine for the same request."""

    rule = "not made"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        for id, ended in ledger.ended.items():
            if ended.status != 200 or ended.how != "whole":
                continue
            ledger.judged[self.rule] += 1
            engine, _, made_for = ended.body.partition(" ")
            completed = any(r.step == "done" and r.engine == engine for r in ledger.ran.get(made_for, ()))
            if made_for != id or not completed:
                yield ledger.finding(self.rule, id, f"{id} was served with {ended.body[:60]!r}")


class ExcessRun:
    """No request runs more often than its class allows, and none that may have run is reported as refused."""

    rule = "run twice"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        for id, sent in ledger.sent.items():
            ledger.judged[self.rule] += 1
            ran = ledger.ran.get(id, [])
            begun = [r for r in ran if r.step == "begun"]
            attempts = len([r for r in ran if r.step == "taken"])
            terms = ledger.terms[sent.cls]
            sends = len(ledger.sends[id])
            if attempts > ledger.rules.attempts * sends:
                yield ledger.finding(self.rule, id, f"{id} was attempted {attempts} times")
            if terms.effect == "fragile" and len(begun) > sends:
                yield ledger.finding(self.rule, id, f"{id}, fragile, ran {len(begun)} times")
            if terms.effect == "dedup" and begun:
                elapsed = begun[-1].at - begun[0].at
                if elapsed > terms.window + ledger.rules.answer_slack:
                    yield ledger.finding(self.rule, id, f"{id}, keyed, ran again after {elapsed:.2f} s")
            ended = ledger.ended.get(id)
            if terms.effect == "fragile" and begun and ended is not None and ended.status in REFUSED_STATUSES:
                yield ledger.finding(
                    self.rule, id, f"{id}, fragile, was reported as refused although it had run"
                )


class SentToDrained:
    """No request goes to an engine later than `Rules.drain_grace` after discovery announced its drain."""

    rule = "sent to a drained engine"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        changes: dict[str, list[Listed]] = defaultdict(list)
        for listed in ledger.events_of(Listed):
            changes[listed.engine].append(listed)
        grace = ledger.rules.drain_grace
        for id, ran in ledger.ran.items():
            sent = ledger.sent.get(id)
            for attempt in ran:
                if sent is None or attempt.step != "taken":
                    continue
                known = sent_version = ledger.version_sent(sent.sidecar, attempt.at - grace)
                if (push_delay := ledger.rules.max_push_delay) is not None:
                    known = max(known, ledger.version_listed(attempt.at - grace - push_delay))
                later = ledger.versions_sent_between(sent.sidecar, attempt.at - grace, attempt.at)
                versions = (known, *(version for version in later if version > known))
                ledger.judged[self.rule] += 1
                if not all(_health(changes[attempt.engine], version) != "up" for version in versions):
                    continue
                begin = attempt.at - 2 * grace - (0.0 if known == sent_version else push_delay or 0.0)
                # Without the suffix of an engine that replaced another.
                place = attempt.engine.partition(".")[0]
                names = (sent.sidecar, f"{sent.sidecar}>discovery", f"{sent.sidecar}>{place}", "discovery")
                started = ledger.has_process_event(sent.sidecar, "started", begin, attempt.at)
                if started or ledger.disturbed(begin, attempt.at, *names):
                    ledger.excused[self.rule] += 1
                    continue
                message = f"{sent.sidecar} sent {id} to {attempt.engine}, drained in list version {known}"
                yield ledger.finding(self.rule, id, message)


def _health(changes: list[Listed], version: int) -> str:
    """The health of an engine in that version of the list; "up" if it is not listed yet."""
    health = "up"
    for change in changes:
        if change.version <= version:
            health = change.health
    return health


class TelemetryMismatch:
    """The telemetry of a sidecar agrees with what its clients and the engines recorded."""

    rule = "telemetry untrue"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        for figures in ledger.events_of(Figures):
            name, life = figures.sidecar, figures.life
            sent = [
                s for sends in ledger.sends.values() for s in sends if (s.sidecar, s.life) == (name, life)
            ]
            if self._processes_overlap(ledger, name, life):
                ledger.excused[self.rule] += 1
                continue
            ledger.judged[self.rule] += 1
            yield from self._check_answers(ledger, figures, sent)
            yield from self._check_attempts(ledger, figures, sent)

    def _processes_overlap(self, ledger: Ledger, name: str, life: int) -> bool:
        """Whether another process of that name listened at the same time.

        Requests cannot be attributed to one of them then.
        """
        started = next(p.at for p in ledger.processes[name] if p.life == life and p.what == "started")
        others = [p for p in ledger.processes[name] if p.life != life]
        ended = {p.life for p in others if p.what in ("killed", "ended") and p.at <= started}
        return any(p.life not in ended for p in others)

    def _check_answers(self, ledger: Ledger, figures: Figures, sent: list[Sent]) -> Iterator[Finding]:
        for cls in ledger.terms:
            seen = {"passed": 0, "dropped": 0}
            # Without a complete answer the counter that the sidecar increased is unknown, so any is accepted.
            process = (figures.sidecar, figures.life)
            unknown = sum(
                left.cls == cls and (left.sidecar, left.life) == process for left in ledger.events_of(Left)
            )
            for one in sent:
                ended = ledger.ended.get(one.id)
                if one.cls != cls:
                    continue
                if ended is None or ended.how != "whole":
                    unknown += ended is None or ended.how != "refused"
                elif one is not ledger.sends[one.id][-1]:
                    unknown += 1
                elif ended.status == 200:
                    seen["passed"] += 1
                elif ended.status in REFUSED_STATUSES:
                    seen["dropped"] += 1
            for figure, count in seen.items():
                reported = figures.told.get(figure, {}).get(cls, 0)
                if not count <= reported <= count + unknown:
                    message = (
                        f"{figures.sidecar} reports {figure} {reported} for {cls}; its clients saw {count}"
                    )
                    if unknown:
                        message += f" and {unknown} with an unknown end"
                    yield Finding(self.rule, figures.sidecar, figures.at, message)

    def _check_attempts(self, ledger: Ledger, figures: Figures, sent: list[Sent]) -> Iterator[Finding]:
        """Compare the attempts that the sidecar sent completely with those that engines accepted.

        A connection reset can hide some of the latter.
        """
        reported = figures.told.get("upstream_tries", 0)
        # Requests that a client sent again, or whose client left, cannot be attributed to one process.
        seen = sum(self._count_taken(ledger, s.id) for s in sent if len(ledger.sends[s.id]) == 1)
        resent = {s.id for s in sent if len(ledger.sends[s.id]) > 1}
        left = {one.id for one in ledger.events_of(Left) if one.sidecar == figures.sidecar}
        unattributed = sum(self._count_taken(ledger, id) for id in resent | left)
        first = min((s.at for s in sent), default=0.0)
        links = [f"{figures.sidecar}>{name}" for name in {r.engine for rs in ledger.ran.values() for r in rs}]
        died = any(
            isinstance(p, Process) and p.what != "ready" and p.at > first for p in ledger.events_of(Process)
        )
        hidden = died or ledger.disturbed(first, figures.at, *links) or self._engine_died(ledger)
        if reported < seen or (reported > seen + unattributed and not hidden):
            message = f"{figures.sidecar} reports upstream_tries {reported}; engines saw {seen}"
            yield Finding(self.rule, figures.sidecar, figures.at, message)

    def _count_taken(self, ledger: Ledger, id: str) -> int:
        return sum(r.step == "taken" for r in ledger.ran.get(id, ()))

    def _engine_died(self, ledger: Ledger) -> bool:
        return any(r.step == "lost" for ran in ledger.ran.values() for r in ran)


def standard_invariants() -> tuple[Invariant, ...]:
    """The invariants that every run is checked against by default."""
    return (
        LostRequest(),
        Overdue(),
        DuplicateAnswer(),
        ForeignAnswer(),
        ExcessRun(),
        SentToDrained(),
        TelemetryMismatch(),
        RestoredState(),
        *client_and_log_invariants(),
    )

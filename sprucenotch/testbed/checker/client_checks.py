"""Invariants on clients that leave or misbehave, on deadlines, and on what processes report in their logs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Literal

from sprucenotch.testbed.checker.history import Left, Process, Ran, Said, Sent, Stuck, Wrote
from sprucenotch.testbed.checker.ledger import Finding, Ledger

LEFT_GRACE = 0.1  # seconds after the client's close within which an attempt may still begin
DEADLINE_SLACK = 0.15  # seconds by which a deadline sent to a server may exceed the time left
MAX_TRANSFER_TIME = 0.05  # seconds for a request to pass between two processes of one machine
MAX_STALL = 3.0  # seconds within which a stalled request must get an error or a close
SIGNAL_WAKEUP_WARNING = "Exception ignored when trying to write to the signal wakeup fd"
MAX_LINE_LENGTH = 600  # characters of a log line in a finding
MAX_START_TIME = 10.0  # seconds within which a restarted process is ready


class SentAfterClientLeft:
    """No attempt begins for a client that has left."""

    rule = "sent after its client left"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        for left in ledger.events_of(Left):
            late = [
                ran
                for ran in ledger.ran.get(left.id, ())
                if ran.step == "taken" and ran.at > left.at + LEFT_GRACE + MAX_TRANSFER_TIME
            ]
            places = {f"{left.sidecar}>{ran.engine.partition('.')[0]}" for ran in late}
            last = max((ran.at for ran in late), default=left.at)
            if late and ledger.disturbed(left.at, last, left.sidecar, f"client>{left.sidecar}", *places):
                ledger.excused[self.rule] += 1
                continue
            ledger.judged[self.rule] += 1
            if late:
                message = f"{left.sidecar} sent {left.id} {last - left.at:.2f} s after its client had left"
                line = ledger.time_line(left.id, left.sidecar, left.at - 1, last + 1)
                yield Finding(self.rule, left.sidecar, last, message, line)


class DeadlineTooLong:
    """The deadline sent to a server is at most the time that its client has left."""

    rule = "deadline beyond the time left"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        for id, ran in ledger.ran.items():
            sends = ledger.sends.get(id, [])
            for attempt in ran:
                if attempt.step != "taken" or len(sends) != 1 or not attempt.deadline:
                    continue
                sent = sends[0]
                left = sent.at + sent.deadline - attempt.at
                if attempt.deadline <= left + DEADLINE_SLACK + MAX_TRANSFER_TIME:
                    ledger.judged[self.rule] += 1
                elif self._disturbed(ledger, sent, attempt):
                    ledger.excused[self.rule] += 1
                else:
                    ledger.judged[self.rule] += 1
                    excess = (attempt.deadline - left) * 1000
                    yield ledger.finding(
                        self.rule, id, f"{id}: {attempt.engine} got a deadline {excess:.0f} ms too long"
                    )

    def _disturbed(self, ledger: Ledger, sent: Sent, attempt: Ran) -> bool:
        name, place = sent.sidecar, attempt.engine.partition(".")[0]
        return ledger.disturbed(sent.at, attempt.at, name, f"client>{name}", f"{name}>{place}", place)


class StalledClientKept:
    """A client that stops writing within a request gets an error or a close in time."""

    rule = "bad client kept"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        for stuck in ledger.events_of(Stuck):
            took = stuck.at - stuck.began
            if not stuck.ended or took > MAX_STALL + MAX_TRANSFER_TIME:
                if ledger.disturbed(stuck.began, stuck.at, stuck.sidecar, f"client>{stuck.sidecar}"):
                    ledger.excused[self.rule] += 1
                    continue
                message = f"{stuck.sidecar} kept a client that stopped within its request for {took:.2f} s"
                yield Finding(self.rule, stuck.sidecar, stuck.at, message)
            ledger.judged[self.rule] += 1


class LateStart:
    """A started process becomes ready in time."""

    rule = "late start"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        for name, seen in ledger.processes.items():
            for started in (p for p in seen if p.what == "started"):
                ready = next((p for p in seen if p.what == "ready" and p.life == started.life), None)
                if ready is None:
                    continue  # killed before it was ready, or the run ended first
                if ready.at - started.at <= MAX_START_TIME:
                    ledger.judged[self.rule] += 1
                elif ledger.disturbed(started.at, ready.at, name):
                    ledger.excused[self.rule] += 1
                else:
                    ledger.judged[self.rule] += 1
                    message = f"{name}.{started.life} was ready after {ready.at - started.at:.1f} s"
                    yield Finding(self.rule, name, ready.at, message)


class UnloggedAttempt:
    """An engine gets no attempt that its sidecar does not count as sent.

    The sidecar would take such an attempt for one that never ran, and repeat it. Checked only where sidecars
    log each attempt.
    """

    rule = "attempt untold"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        wrote = Counter((one.sidecar, one.life, one.id) for one in ledger.events_of(Wrote))
        traced = {(sidecar, life) for sidecar, life, _ in wrote}
        for id, ran in ledger.ran.items():
            sends = ledger.sends.get(id, [])
            if len(sends) != 1 or (sends[0].sidecar, sends[0].life) not in traced:
                continue
            sent = sends[0]
            taken = sum(one.step == "taken" for one in ran)
            logged = wrote[sent.sidecar, sent.life, id]
            if taken > logged and self._unsure(ledger, sent):
                ledger.excused[self.rule] += 1
                continue
            ledger.judged[self.rule] += 1
            if taken > logged:
                message = f"{id}: engines took {taken} attempts, {sent.sidecar} logged {logged}"
                yield ledger.finding(self.rule, id, message)

    def _unsure(self, ledger: Ledger, sent: Sent) -> bool:
        """Whether the process was killed before it could log, or another of its name got the request."""
        return any(p.life != sent.life or p.what == "killed" for p in ledger.processes[sent.sidecar])


class SelfReportedFault:
    """No process logs a rule that it broke itself, or an internal fault."""

    rule = "broken by its own word"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        ledger.judged[self.rule] += sum(
            isinstance(p, Process) and p.what == "started" for p in ledger.history
        )
        for report in ledger.events_of(Said):
            text = f"{report.sidecar}.{report.life}: {report.what}: {report.text}"
            yield Finding(self.rule, report.sidecar, report.at, text)


def logged_faults(logs: Mapping[str, str], started: Mapping[tuple[str, int], float]) -> Iterator[Said]:
    """The broken rules and faults in the log of each process. `started`: start times by name and life."""
    for process, text in logs.items():
        name, _, number = process.rpartition(".")
        if not number.isdecimal() or (name, int(number)) not in started:
            continue
        last = ""
        for line in text.splitlines():
            previous, last = last, line
            if previous.startswith(SIGNAL_WAKEUP_WARNING):
                continue  # printed by the interpreter for an injected fault; the signal is still handled
            if not ('"rule broken"' in line or '"fault"' in line or line.startswith("Traceback")):
                continue
            life = int(number)
            what: Literal["rule broken", "fault"] = "rule broken" if '"rule broken"' in line else "fault"
            yield Said(
                at=started[name, life], sidecar=name, life=life, what=what, text=line[:MAX_LINE_LENGTH]
            )


def client_and_log_invariants() -> tuple[
    SentAfterClientLeft, DeadlineTooLong, StalledClientKept, LateStart, UnloggedAttempt, SelfReportedFault
]:
    """The invariants of this module."""
    return (
        SentAfterClientLeft(),
        DeadlineTooLong(),
        StalledClientKept(),
        LateStart(),
        UnloggedAttempt(),
        SelfReportedFault(),
    )

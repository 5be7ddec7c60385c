"""Invariants on clients that leave or misbehave, on deadlines, and on what processes say of themselves."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Literal

from sprucenotch.rig.truth.history import Left, Process, Ran, Said, Sent, Stuck, Wrote
from sprucenotch.rig.truth.ledger import Finding, Ledger

LEFT_GRACE = 0.1  # seconds after a close in which an attempt may still begin
DEADLINE_SLACK = 0.15  # seconds by which a deadline told to a server may exceed the time left
TRANSFER = 0.05  # seconds that a request may take between two processes of one machine
STUCK_MOST = 3.0  # seconds within which one that stops in a request is owed an end
SIGNAL_WRITE = "Exception ignored when trying to write to the signal wakeup fd"
SHOWN = 600  # characters of a line of a log
READY_MOST = 10.0  # seconds within which a restarted process is ready


class Abandoned:
    """No attempt begins for a client that has left."""

    rule = "sent after its client left"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        for left in ledger.of(Left):
            late = [
                ran
                for ran in ledger.ran.get(left.id, ())
                if ran.step == "taken" and ran.at > left.at + LEFT_GRACE + TRANSFER
            ]
            places = {f"{left.sidecar}>{ran.engine.partition('.')[0]}" for ran in late}
            last = max((ran.at for ran in late), default=left.at)
            if late and ledger.disturbed(left.at, last, left.sidecar, f"client>{left.sidecar}", *places):
                ledger.excused[self.rule] += 1
                continue
            ledger.judged[self.rule] += 1
            if late:
                said = f"{left.sidecar} sent {left.id} {last - left.at:.2f} s after its client had left"
                line = ledger.time_line(left.id, left.sidecar, left.at - 1, last + 1)
                yield Finding(self.rule, left.sidecar, last, said, line)


class Deadlines:
    """The deadline told to a server is at most what its client has left."""

    rule = "deadline beyond the time left"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        for id, ran in ledger.ran.items():
            sends = ledger.sends.get(id, [])
            for attempt in ran:
                if attempt.step != "taken" or len(sends) != 1 or not attempt.deadline:
                    continue
                sent = sends[0]
                left = sent.at + sent.deadline - attempt.at
                if attempt.deadline <= left + DEADLINE_SLACK + TRANSFER:
                    ledger.judged[self.rule] += 1
                elif self._disturbed(ledger, sent, attempt):
                    ledger.excused[self.rule] += 1
                else:
                    ledger.judged[self.rule] += 1
                    over = (attempt.deadline - left) * 1000
                    yield ledger.finding(self.rule, id, f"{id}: {attempt.engine} was told {over:.0f} ms more")

    def _disturbed(self, ledger: Ledger, sent: Sent, attempt: Ran) -> bool:
        name, place = sent.sidecar, attempt.engine.partition(".")[0]
        return ledger.disturbed(sent.at, attempt.at, name, f"client>{name}", f"{name}>{place}", place)


class Unended:
    """One that stops in the middle of a request gets its error or its close."""

    rule = "bad client kept"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        for stuck in ledger.of(Stuck):
            took = stuck.at - stuck.began
            if not stuck.ended or took > STUCK_MOST + TRANSFER:
                if ledger.disturbed(stuck.began, stuck.at, stuck.sidecar, f"client>{stuck.sidecar}"):
                    ledger.excused[self.rule] += 1
                    continue
                said = f"{stuck.sidecar} kept one that stopped in its request for {took:.2f} s"
                yield Finding(self.rule, stuck.sidecar, stuck.at, said)
            ledger.judged[self.rule] += 1


class Ready:
    """A process that is started takes clients within the time for it."""

    rule = "late start"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        for name, seen in ledger.processes.items():
            for started in (p for p in seen if p.what == "started"):
                ready = next((p for p in seen if p.what == "ready" and p.life == started.life), None)
                if ready is None:
                    continue  # killed before it was, or the run ended with it
                if ready.at - started.at <= READY_MOST:
                    ledger.judged[self.rule] += 1
                elif ledger.disturbed(started.at, ready.at, name):
                    ledger.excused[self.rule] += 1
                else:
                    ledger.judged[self.rule] += 1
                    said = f"{name}.{started.life} was ready after {ready.at - started.at:.1f} s"
                    yield Finding(self.rule, name, ready.at, said)


class Untold:
    """No engine takes an attempt that its sidecar does not know to have gone out whole: it would count as one
    that never ran, and be sent again. Judged where sidecars log each attempt."""

    rule = "attempt untold"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        wrote = Counter((one.sidecar, one.life, one.id) for one in ledger.of(Wrote))
        traced = {(sidecar, life) for sidecar, life, _ in wrote}
        for id, ran in ledger.ran.items():
            sends = ledger.sends.get(id, [])
            if len(sends) != 1 or (sends[0].sidecar, sends[0].life) not in traced:
                continue
            sent = sends[0]
            taken = sum(one.step == "taken" for one in ran)
            told = wrote[sent.sidecar, sent.life, id]
            if taken > told and self._unsure(ledger, sent):
                ledger.excused[self.rule] += 1
                continue
            ledger.judged[self.rule] += 1
            if taken > told:
                said = f"{id}: engines took {taken} attempts, {sent.sidecar} tells of {told}"
                yield ledger.finding(self.rule, id, said)

    def _unsure(self, ledger: Ledger, sent: Sent) -> bool:
        """Whether the process was killed before it could tell, or another of its name had the request."""
        return any(p.life != sent.life or p.what == "killed" for p in ledger.processes[sent.sidecar])


class OwnWords:
    """No process tells of a rule that it broke, or of a fault in itself."""

    rule = "broken by its own word"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        ledger.judged[self.rule] += sum(
            isinstance(p, Process) and p.what == "started" for p in ledger.history
        )
        for said in ledger.of(Said):
            text = f"{said.sidecar}.{said.life}: {said.what}: {said.text}"
            yield Finding(self.rule, said.sidecar, said.at, text)


def said(logs: Mapping[str, str], started: Mapping[tuple[str, int], float]) -> Iterator[Said]:
    """What each process told in its log of broken rules and faults. `started`: when, by name and life."""
    for process, text in logs.items():
        name, _, number = process.rpartition(".")
        if not number.isdecimal() or (name, int(number)) not in started:
            continue
        before = ""
        for line in text.splitlines():
            earlier, before = before, line
            if earlier.startswith(SIGNAL_WRITE):
                continue  # the interpreter's own words on a fault that was drawn; the signal is acted on
            if not ('"rule broken"' in line or '"fault"' in line or line.startswith("Traceback")):
                continue
            life = int(number)
            what: Literal["rule broken", "fault"] = "rule broken" if '"rule broken"' in line else "fault"
            yield Said(at=started[name, life], sidecar=name, life=life, what=what, text=line[:SHOWN])


def more() -> tuple[Abandoned, Deadlines, Unended, Ready, Untold, OwnWords]:
    return (Abandoned(), Deadlines(), Unended(), Ready(), Untold(), OwnWords())

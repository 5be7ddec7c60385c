"""Checks the state that a restarted sidecar restores: no loss beyond the guarantee, no invented version, and
no list whose recorded age is too low.

The guarantee: a list that discovery sent to a process survives the end of the process `STORED_WITHIN`
seconds later, and a power cut `SYNCED_WITHIN` seconds after that. A list is at least as old as the end of the
last process that could confirm it.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import msgspec

from sprucenotch.testbed.checker.history import Recalled, Told
from sprucenotch.testbed.checker.ledger import Finding, Ledger

STORED_WITHIN = 0.5  # seconds
SYNCED_WITHIN = 1.5
CLOCK_TOLERANCE = 0.1  # seconds of tolerance for lag of the testbed and for clock readings in two processes
END_EVENTS = ("killed", "ended")


class RestoredState:
    """Checks every start but the first of each sidecar."""

    rule = "recovery"

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        for one in ledger.events_of(Recalled):
            if one.life:
                yield from self._check_start(ledger, one)

    def _check_start(self, ledger: Ledger, one: Recalled) -> Iterator[Finding]:
        processes = [p for p in ledger.processes[one.sidecar] if p.what != "ready" or p.life < one.life]
        began = next(p.at for p in processes if p.what == "started" and p.life == one.life)
        before = [p for p in processes if p.at <= began and p.life < one.life]
        cuts = [p.at for p in before if p.what == "lost power"]
        alive = {p.life for p in before if p.what == "started"} - {
            p.life for p in before if p.what in END_EVENTS
        }
        ready = [p.at for p in before if p.what == "ready"]
        last = max((p.at for p in before if p.what in END_EVENTS), default=began)
        until = began if alive else last
        promised = until - STORED_WITHIN - (SYNCED_WITHIN if cuts else 0.0)
        if ledger.faulted(min(ready, default=began), began, one.sidecar):
            ledger.excused[self.rule] += 1
            return
        ledger.judged[self.rule] += 1
        ready_at = next(
            (p.at for p in ledger.processes[one.sidecar] if p.what == "ready" and p.life == one.life), began
        )
        updates = [e for e in ledger.events_of(Told) if e.sidecar == one.sidecar and e.at <= ready_at]
        known = [p.version for p in before if p.what == "started"]
        required = max((e.version for e in updates if e.at <= promised), default=0)
        message = f"{one.sidecar}, life {one.life}:"
        # A process that has ended cannot pass its state by a call.
        can_pass_state = alive or ledger.rules.state == "folder"
        if can_pass_state and ready and min(ready) <= promised and (one.version < 0 or not one.learned):
            yield self._finding(one, f"{message} it restored nothing of the stored state")
        elif one.version >= 0 and one.version < required:
            yield self._finding(
                one, f"{message} it restored version {one.version}, but {required} was stored"
            )
        if one.version >= 0 and one.version not in (*known, *(e.version for e in updates)):
            yield self._finding(
                one, f"{message} it restored version {one.version}, which discovery never sent"
            )
        if one.version >= 0 and not alive and one.list_age < began - last - CLOCK_TOLERANCE:
            yield self._finding(
                one, f"{message} a list {one.list_age:.3f} s old, {began - last:.3f} s after the end"
            )
        # A process can end after it created a file and before it wrote to it.
        refused = [why for why in one.refused if not why.endswith(": torn")]
        if refused and not cuts and not alive:
            yield self._finding(one, f"{message} refused without a power cut: {'; '.join(refused)}")

    def _finding(self, one: Recalled, message: str) -> Finding:
        return Finding(self.rule, one.sidecar, one.at, message)


def restored_states(logs: Mapping[str, str], started: Mapping[tuple[str, int], float]) -> Iterator[Recalled]:
    """The restored state in the log of each process. `started`: start times by name and life."""
    for process, text in logs.items():
        name, _, number = process.rpartition(".")
        restored, refused = None, list[str]()
        for line in text.splitlines():
            if '"recalled"' not in line and '"not recalled"' not in line:
                continue
            try:
                event = msgspec.json.decode(line)
            except msgspec.DecodeError:
                continue  # truncated by the size limit of the log
            if event["event"] == "recalled":
                restored = event
            else:
                refused.append(str(event["why"]))
        if restored is not None and (name, int(number)) in started:
            yield Recalled(
                at=started[name, int(number)], sidecar=name, life=int(number), version=restored["version"],
                list_age=restored["list_age_ms"] / 1000, learned=restored["learned"], refused=tuple(refused),
            )  # fmt: skip

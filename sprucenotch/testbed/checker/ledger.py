"""Matches the events of a history and checks invariants over it.

An invariant sees the whole history and yields findings. A case that it cannot decide because a fault
overlapped it is counted as excused, so that an invariant that excuses everything shows in the results.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Literal, NamedTuple, Protocol, TypeVar

from msgspec import Struct

from sprucenotch.testbed.checker.history import (
    Ended,
    Event,
    Fault,
    Lag,
    Listed,
    Process,
    Ran,
    Sent,
    Told,
    line,
)

MAX_TIME_LINE_EVENTS = 40  # events shown with a finding
MIN_LAG = 0.02  # seconds that the testbed may lag before its observations are in doubt
FAULT_AFTER_EFFECT = 0.5  # seconds for which a healed fault still has effects: retransmissions, queues

E = TypeVar("E", bound=Event)


class Terms(NamedTuple):
    """The guarantees of a request class. Source: the protocol's page, "The rules on sockets"."""

    effect: Literal["retryable", "dedup", "fragile"] = "retryable"
    window: float = 0.0  # seconds within which a keyed request may be sent again


class Rules(NamedTuple):
    """Limits of the rules; times in seconds, for sockets 50 ms longer than for the simulator."""

    attempts: int = 3
    answer_slack: float = 0.07
    drain_grace: float = 0.55
    # With pushed discovery: a change counts as known to the sidecars after this, whether or not it arrived.
    max_push_delay: float | None = 6.0
    state: Literal["none", "folder", "call"] = "folder"  # how a process passes state to its successor
    accepted_after_term: float = 0.7  # requests that arrive later after a SIGTERM may be lost


class Finding(Struct, frozen=True):
    """A violation of a rule, with the events around it."""

    rule: str
    who: str  # the process that violated it
    at: float
    said: str
    time_line: tuple[str, ...] = ()


class Intervals:
    """Time intervals by name, with a test for overlap."""

    def __init__(self) -> None:
        self._intervals: dict[str, list[tuple[float, float]]] = defaultdict(list)

    def add(self, name: str, begin: float, end: float) -> None:
        self._intervals[name].append((begin, end))

    def overlaps(self, name: str, begin: float, end: float) -> bool:
        return any(first <= end and last >= begin for first, last in self._intervals.get(name, ()))


class Ledger:
    """A history with indexes by request, process and time."""

    def __init__(self, history: Iterable[Event], terms: Mapping[str, Terms], rules: Rules) -> None:
        self.history: Sequence[Event] = sorted(history, key=lambda event: event.at)
        self.terms, self.rules = terms, rules
        self.sent = {e.id: e for e in self.events_of(Sent)}
        # More than one where a request crossed the close of its connection and the client sent it again.
        self.sends: dict[str, list[Sent]] = defaultdict(list)
        for one in self.events_of(Sent):
            self.sends[one.id].append(one)
        self.ended = {e.id: e for e in self.events_of(Ended)}
        self.ran: dict[str, list[Ran]] = defaultdict(list)
        for event in self.events_of(Ran):
            self.ran[event.id].append(event)
        self.processes: dict[str, list[Process]] = defaultdict(list)
        for process in self.events_of(Process):
            self.processes[process.name].append(process)
        self.judged = Counter[str]()  # by rule: cases decided
        self.excused = Counter[str]()
        self._faults = list(self.events_of(Fault))
        self._disturbed = self._fault_intervals()
        self._lags = [(e.at, e.late) for e in self.events_of(Lag) if e.late >= MIN_LAG]
        listed = list(self.events_of(Listed))
        self._listed_versions = [e.at for e in listed], [e.version for e in listed]
        self._of_id: dict[str, list[Event]] = defaultdict(list)
        for seen in self.history:
            if (id := getattr(seen, "id", None)) is not None:
                self._of_id[id].append(seen)
        self._sent_versions: dict[str, tuple[list[float], list[int]]] = {}
        for update in self.events_of(Told):
            times, versions = self._sent_versions.setdefault(update.sidecar, ([], []))
            times.append(update.at)
            versions.append(max(update.version, versions[-1] if versions else 0))

    def events_of(self, kind: type[E]) -> Iterator[E]:
        return (event for event in self.history if isinstance(event, kind))

    def _fault_intervals(self) -> Intervals:
        """The intervals, in seconds, in which findings about a process or link are excused by a fault.

        The names are those of `Fault.hits`. An interval ends FAULT_AFTER_EFFECT after the fault is healed;
        for a fault that is not healed, at the last event.
        """
        intervals, begun = Intervals(), dict[int, Fault]()
        last = self.history[-1].at if self.history else 0.0
        for fault in self._faults:
            if fault.on:
                begun[fault.number] = fault
            elif (start := begun.pop(fault.number, None)) is not None:
                for name in start.hits:
                    intervals.add(name, start.at, fault.at + FAULT_AFTER_EFFECT)
        for fault in begun.values():
            for name in fault.hits:
                intervals.add(name, fault.at, last)
        return intervals

    # ---- queries for invariants

    def disturbed(self, begin: float, end: float, *names: str) -> bool:
        """Whether a fault affected one of these processes or links meanwhile, or the testbed lagged."""
        if any(at - late <= end and at >= begin for at, late in self._lags):
            return True
        return self.faulted(begin, end, *names)

    def faulted(self, begin: float, end: float, *names: str) -> bool:
        """Whether a fault affected one of them in the interval; ignores the testbed's own lag."""
        return any(self._disturbed.overlaps(name, begin, end) for name in names)

    def version_sent(self, sidecar: str, at: float) -> int:
        """The latest version of the list that discovery had written to that sidecar by then; -1 for none."""
        return _latest(*self._sent_versions.get(sidecar, ([], [])), at)

    def version_listed(self, at: float) -> int:
        """The latest version that discovery had by then; -1 for none."""
        return _latest(*self._listed_versions, at)

    def versions_sent_between(self, sidecar: str, begin: float, end: float) -> list[int]:
        """The versions of the list that discovery wrote to that sidecar in the interval."""
        times, versions = self._sent_versions.get(sidecar, ([], []))
        return versions[bisect_left(times, begin) : bisect_right(times, end)]

    def has_process_event(
        self, name: str, what: str, begin: float, end: float, life: int | None = None
    ) -> bool:
        """Whether the process had such an event meanwhile; `life` selects one process of that name."""
        return any(
            p.what == what and begin <= p.at <= end and life in (None, p.life)
            for p in self.processes.get(name, ())
        )

    def time_line(self, id: str, sidecar: str, begin: float, end: float) -> tuple[str, ...]:
        """All events of that request, with faults and events of the sidecar's processes around it."""
        context: tuple[Event, ...] = (*self._faults, *self.processes.get(sidecar, ()))
        shown = [*self._of_id.get(id, ()), *(event for event in context if begin <= event.at <= end)]
        return tuple(map(line, sorted(shown, key=lambda event: event.at)[:MAX_TIME_LINE_EVENTS]))

    def finding(self, rule: str, id: str, message: str) -> Finding:
        """Make a finding about one request, with its time line."""
        sent = self.sent.get(id)
        ended = self.ended.get(id)
        at = ended.at if ended is not None else sent.at if sent is not None else 0.0
        begin = sent.at if sent is not None else at
        sidecar = sent.sidecar if sent is not None else ""
        return Finding(rule, sidecar, at, message, self.time_line(id, sidecar, begin - 1, at + 1))

    def check(self, invariants: Iterable[Invariant]) -> list[Finding]:
        """The findings of all invariants, sorted by time."""
        findings = [finding for invariant in invariants for finding in invariant.check(self)]
        return sorted(findings, key=lambda finding: finding.at)


def _latest(times: Sequence[float], versions: Sequence[int], at: float) -> int:
    """The version of the last entry not after `at`; -1 for none."""
    count = bisect_right(times, at)
    return versions[count - 1] if count else -1


class Invariant(Protocol):
    """A rule that a history satisfies or violates. Any class with these members can be added."""

    rule: str

    def check(self, ledger: Ledger) -> Iterator[Finding]:
        """Yield violations; count decided cases in `ledger.judged`, undecidable ones in `ledger.excused`."""
        ...

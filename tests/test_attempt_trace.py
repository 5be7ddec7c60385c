"""The checker that compares the attempts that engines received with those that the sidecar logged."""

from __future__ import annotations

import pytest

from sprucenotch.testbed.checker.client_checks import UnloggedAttempt
from sprucenotch.testbed.checker.history import Event, Process, Ran, Sent, Wrote
from sprucenotch.testbed.checker.ledger import Finding, Ledger, Rules, Terms

STARTED = Process(at=0.0, name="sidecar-0", what="started", life=0)
SENT = Sent(at=1.0, id="c0-1", call="c0-1", cls="read", sidecar="sidecar-0", due=1.0, deadline=1.0)


def wrote(id: str, attempt: int) -> Wrote:
    return Wrote(at=0.0, sidecar="sidecar-0", life=0, id=id, attempt=attempt)


def taken(at: float) -> Ran:
    return Ran(at=at, engine="engine-1", life=0, id="c0-1", step="taken")


def check(*events: Event) -> tuple[list[Finding], Ledger]:
    ledger = Ledger([STARTED, SENT, *events], {"read": Terms()}, Rules())
    return list(UnloggedAttempt().check(ledger)), ledger


def test_unlogged_attempt_checker_accepts_attempts_that_were_logged() -> None:
    found, ledger = check(wrote("c0-1", 1), wrote("c0-1", 2), taken(1.1), taken(1.4))
    assert not found and ledger.judged["attempt untold"] == 1


def test_unlogged_attempt_checker_reports_the_request_of_an_attempt_missing_from_the_log() -> None:
    found, _ = check(wrote("c0-1", 1), taken(1.1), taken(1.4))
    assert [(one.who, one.said) for one in found] == [
        ("sidecar-0", "c0-1: engines took 2 attempts, sidecar-0 logged 1")
    ]


@pytest.mark.parametrize("what", ["killed", "started"])
def test_unlogged_attempt_checker_excuses_a_killed_or_replaced_process(what: str) -> None:
    other = Process(at=1.5, name="sidecar-0", what=what, life=int(what == "started"))  # type: ignore[arg-type]
    found, ledger = check(wrote("c0-0", 1), taken(1.1), other)
    assert not found and ledger.excused["attempt untold"] == 1

"""The decisions against each cell of the retry table in `docs/retries.md`."""

from __future__ import annotations

from pathlib import Path

import pytest

from sprucenotch import api
from sprucenotch.api import NEVER_RAN, Effect, Outcome
from tests.helpers import MS, Bench, request_class, settings

PAGE = Path(__file__).parent.parent / "docs" / "retries.md"
EFFECTS = {"retryable": Effect.SAFE, "dedup": Effect.KEYED, "fragile": Effect.UNSAFE}


def cells() -> list[tuple[Outcome, bool, Effect, str]]:
    lines = PAGE.read_text().splitlines()
    start = next(n for n, line in enumerate(lines) if line.startswith("| the attempt |"))
    names = [cell.strip() for cell in lines[start].strip("|").split("|")][2:]
    found = []
    for line in lines[start + 2 :]:
        if not line.startswith("|"):
            break
        name, ran, *rules = (cell.strip() for cell in line.strip("|").split("|"))
        never = {"never": True, "perhaps": False}[ran]
        found += [(Outcome[name.upper()], never, EFFECTS[n], r) for n, r in zip(names, rules, strict=True)]
    return found


def test_retry_table_covers_every_outcome() -> None:
    table = cells()
    assert {outcome for outcome, *_ in table} == set(Outcome) - {Outcome.OK}
    assert {outcome for outcome, never, *_ in table if never} == NEVER_RAN


@pytest.mark.parametrize(("outcome", "never_ran", "effect", "rule"), cells())
@pytest.mark.parametrize("overload", [False, True])
@pytest.mark.parametrize("spent", [False, True])
def test_retry_follows_table(
    outcome: Outcome, never_ran: bool, effect: Effect, rule: str, overload: bool, spent: bool
) -> None:
    b = Bench(settings(request_class(effect=effect, late_worth=0.5)), servers=8)
    for _ in range(30):
        b.answer(b.sent())
    send = b.sent()
    b.now += 50 * MS
    if overload:
        b.balancer.pressure = 9.0
    if spent:
        b.balancer.budget = 0.5
    [action] = b.answer(send, outcome, 50 * MS)
    if rule == "free" or (not spent and (rule == "always" or (rule == "calm" and not overload))):
        assert isinstance(action, api.Send) and action.endpoint != send.endpoint
    elif never_ran or effect == Effect.SAFE:
        assert isinstance(action, api.Refuse)  # a repeat is harmless
    else:
        assert isinstance(action, api.Fail)

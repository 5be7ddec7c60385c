"""The settings as typed values: what is wrong is told whole, by path, in one line."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucenotch.node import config
from tests.sidecar import configuration

# A value that is wrong at its place, by path, and what its complaint has to say.
WRONG: dict[str, tuple[Any, str]] = {
    "listen": ("here", "an address"),
    "peers": (3, "a list of addresses"),
    "settings.Limits.MaxAttempts": (0, "a number of at least 1"),
    "settings.Limits.Probes": (float("nan"), ""),  # a flag is never wrong
    "settings.Rules": (7, "an object"),
    "settings.Deductions.Waste": (True, "a number of at least 0"),
    "settings.Categories[0].Effect": ("odd", "retryable, dedup or fragile"),
    "settings.Categories[1].AimNs": ("9", "a number of at least 1"),
}


def put(told: Any, path: str, value: Any) -> None:
    *parts, last = path.replace("]", "").replace("[", ".").split(".")
    for part in parts:
        told = told[int(part)] if isinstance(told, list) else told.setdefault(part, {})
    told[last] = value


@given(st.sets(st.sampled_from(sorted(WRONG))))
def test_all_that_is_wrong_is_told_at_once_and_nothing_else(paths: set[str]) -> None:
    told = json.loads(json.dumps(configuration("127.0.0.1:9")))
    for path in paths:
        put(told, path, WRONG[path][0])
    wrong = {path for path in paths if WRONG[path][1]}
    if not wrong:
        config.parse(told)
        return
    with pytest.raises(config.ConfigError) as caught:
        config.parse(told)
    said = str(caught.value).split("; ")
    assert {line.split(" ")[0] for line in said} == wrong
    assert all(WRONG[line.split(" ")[0]][1] in line and "\n" not in line for line in said)


@pytest.mark.parametrize("key", ["ConnectTimeoutNs", "ConnIdleNs", "MaxRetryAfterNs"])
def test_a_limit_is_judged_where_it_is_gone_by(key: str) -> None:
    told = json.loads(json.dumps(configuration("127.0.0.1:9")))
    put(told, f"settings.Limits.{key}", -1)
    put(told, "settings.Limits.RetryAfter", True)
    with pytest.raises(config.ConfigError, match=f"settings.Limits.{key} is -1"):
        config.parse(told)

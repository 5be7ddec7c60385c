"""The typed settings: an error lists all problems by path in one line."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucenotch.node import config
from tests.sidecar import configuration

# By path: an invalid value, and the text that its message must contain (empty: the value is valid).
WRONG: dict[str, tuple[Any, str]] = {
    "listen": ("here", "an address"),
    "peers": (3, "a list of addresses"),
    "settings.Limits.MaxAttempts": (0, "a number of at least 1"),
    "settings.Limits.Probes": (float("nan"), ""),  # any value is a valid flag
    "settings.Rules": (7, "an object"),
    "settings.Deductions.Waste": (True, "a number of at least 0"),
    "settings.Categories[0].Effect": ("odd", "retryable, dedup or fragile"),
    "settings.Categories[1].AimNs": ("9", "a number of at least 1"),
}


def set_value(raw: Any, path: str, value: Any) -> None:
    *parts, last = path.replace("]", "").replace("[", ".").split(".")
    for part in parts:
        raw = raw[int(part)] if isinstance(raw, list) else raw.setdefault(part, {})
    raw[last] = value


@given(st.sets(st.sampled_from(sorted(WRONG))))
def test_config_error_lists_exactly_all_problems(paths: set[str]) -> None:
    raw = json.loads(json.dumps(configuration("127.0.0.1:9")))
    for path in paths:
        set_value(raw, path, WRONG[path][0])
    wrong = {path for path in paths if WRONG[path][1]}
    if not wrong:
        config.parse(raw)
        return
    with pytest.raises(config.ConfigError) as caught:
        config.parse(raw)
    messages = str(caught.value).split("; ")
    assert {line.split(" ")[0] for line in messages} == wrong
    assert all(WRONG[line.split(" ")[0]][1] in line and "\n" not in line for line in messages)


@pytest.mark.parametrize("key", ["ConnectTimeoutNs", "ConnIdleNs", "MaxRetryAfterNs"])
def test_limit_is_checked_where_it_is_used(key: str) -> None:
    raw = json.loads(json.dumps(configuration("127.0.0.1:9")))
    set_value(raw, f"settings.Limits.{key}", -1)
    set_value(raw, "settings.Limits.RetryAfter", True)
    with pytest.raises(config.ConfigError, match=f"settings.Limits.{key} is -1"):
        config.parse(raw)

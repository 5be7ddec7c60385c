"""Settings of several customers: names of classes, zones and tenants influence no decision and no head."""

from __future__ import annotations

import json
import random
import tomllib
from pathlib import Path
from typing import Any

import pytest

from sprucenotch import api
from sprucenotch.node import config
from sprucenotch.node.head import METHODS, HeadRules
from sprucenotch.policy.balance import Balancer
from sprucenotch.testbed.site import SITES, Rename
from sprucenotch.testbed.site import settings as site_settings
from tests.sidecar import entry

MS, SECOND = 1_000_000, 1_000_000_000


def platform_config(site: dict[str, Any], name: Rename) -> dict[str, Any]:
    """Return the platform's configuration for a sidecar of this site, with names changed by `name`."""
    settings = site_settings(site, name)
    zones = settings["Azs"]
    hosts = [entry(f"e-{i}", f"127.0.0.1:{9000 + i}") | {"site": zones[i % len(zones)]} for i in range(9)]
    return {"name": name("n1"), "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "2b",
            "limits": {"sockets": 512, "memory_mb": 80}, "settings": settings,
            "known": {"seq": 1, "whole": True, "hosts": hosts}}  # fmt: skip


def configured(path: Path, name: Rename) -> config.Config:
    return config.parse(json.loads(json.dumps(platform_config(tomllib.loads(path.read_text()), name))))


def actions_under_load(site_config: config.Config, seed: int) -> list[api.Action]:
    """Return all actions over twenty seconds of load with random outcomes of every kind."""
    rng, balancer, now = random.Random(seed), Balancer(site_config.settings, site_config.seed), 50 * SECOND
    due: list[tuple[int, int, api.Event]] = []
    actions: list[api.Action] = []
    number = 0

    def give(event: api.Event) -> None:
        nonlocal number
        for action in balancer.handle(now, event):
            actions.append(action)
            number += 1
            took = int(rng.expovariate(1 / 60) * MS)
            match action:
                case api.Send():
                    outcome = rng.choices(list(api.Outcome)[:6], (80, 3, 5, 5, 4, 3))[0]
                    over = outcome == api.Outcome.OK
                    done = api.Completed(action.id, 0, action.endpoint, outcome, took, over, ())
                    due.append((now + took, number, done))
                case api.Probe():
                    due.append((now + took, number, api.Probed(action.endpoint, api.Outcome.OK, took, ())))
                case api.SetTimer():
                    due.append((now + action.delay, number, api.Timer(action.token)))

    give(api.Attached())
    give(api.EndpointList(api.ListKind.CACHED, tuple(host.endpoint for host in site_config.known.hosts)))
    for rid in range(1, 1500):
        now += int(rng.expovariate(75) * SECOND)
        for at, order, event in sorted(due, key=lambda one: one[:2]):
            if at <= now:
                due.remove((at, order, event))
                give(event)
        cls = rng.randrange(len(site_config.settings.classes))
        tenant = rng.randrange(max(1, len(site_config.settings.tenants)))
        left = site_config.settings.classes[cls].limit
        give(api.Request(rid, cls, tenant, rng.getrandbits(60), now + left, 0, rng.random() < 0.1))
        if rng.random() < 0.05:
            give(api.Gone(rng.randint(1, rid)))
    return actions


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_names_do_not_change_decisions(path: Path) -> None:
    original, renamed = configured(path, str), configured(path, lambda name: f"zz-{name[::-1]}")
    assert {c.name for c in original.settings.classes}.isdisjoint(c.name for c in renamed.settings.classes)
    for seed in range(3):
        one = actions_under_load(original, seed)
        assert one == actions_under_load(renamed, seed)
        kinds = {type(action) for action in one}
        assert {api.Send, api.Refuse} <= kinds  # both sends and refusals occur
        assert api.Probe not in kinds or original.settings.probes


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_names_do_not_change_request_heads(path: Path) -> None:
    """The forwarded head is the client's own for any name; method and key depend on the effect."""
    for name in (str, lambda text: f"zz-{text}-é"):
        settings = configured(path, name).settings
        for cls in settings.classes:
            method, keyed = METHODS[cls.effect]
            tenant = settings.tenants[-1].name.encode() if settings.tenants else b"anyone"
            headers = {b"req-kind": cls.name.encode(), b"req-id": b"7", b"req-deadline": b"0.5",
                       b"req-owner": tenant} | ({b"idempotency-key": b"k"} if keyed else {})  # fmt: skip
            lines = [b"%s: %s" % header for header in headers.items() if header[0] != b"req-deadline"]
            ended_lines = b"".join(line + b"\r\n" for line in lines)
            incoming = HeadRules(settings).check(method, b"/api?k=1", ended_lines, headers)
            assert incoming.head == b"\r\n".join((method + b" /api?k=1 HTTP/1.1", *lines, b""))
            assert incoming.cls == cls.name
            assert incoming.tenant == max(0, len(settings.tenants) - 1)


def test_customer_sites_cover_different_settings() -> None:
    by_name = {path.stem: configured(path, str).settings for path in SITES}
    one, other = by_name["plain-zones"], by_name["unsafe-short"]
    assert one.zones != other.zones and bool(one.tenants) != bool(other.tenants)
    assert one.probes != other.probes and bool(one.retry_after_max) != bool(other.retry_after_max)
    assert any(c.effect == api.Effect.UNSAFE for c in (*one.classes, *other.classes))
    assert one.max_attempts != other.max_attempts and one.cross_price != other.cross_price
    assert {s.discovery_on_request for s in by_name.values()} == {True, False}
    assert len({s.drain_grace for s in by_name.values()}) > 1

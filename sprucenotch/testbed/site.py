"""The settings of a sidecar, in the platform's format, from a customer's site file."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeAlias

MS, SECOND = 1_000_000, 1_000_000_000
SITES = sorted((Path(__file__).resolve().parents[2] / "deploy" / "sites").glob("*/*.toml"))
EFFECTS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
MODES = {"ask": "on_request", "push": "pushed"}
Rename: TypeAlias = Callable[[str], str]


def load(path: Path) -> dict[str, Any]:
    """Read a site file."""
    return tomllib.loads(path.read_text())


def settings(site: dict[str, Any], name: Rename = str) -> dict[str, Any]:
    """Return the settings for a sidecar of this site, with names changed by `name`."""
    allow, conn, rules = site["allow"], site["tier"][0]["conn"], site["rules"]
    return {
        "Azs": [name(zone) for zone in site["net"]["zones"]],
        "Kinds": [name(kind["name"]) for kind in site["tier"][0]["kind"]],
        "Categories": [
            {"Name": name(c["name"]), "AimNs": c["aim_ms"] * MS, "HardLimitNs": c["deadline_ms"] * MS,
             "Importance": c["worth"], "LateWorth": c["late_worth"], "Effect": EFFECTS[c["effect"]],
             "KeyScope": c.get("group", "all"), "WindowNs": c.get("window_ms", 5000) * MS}
            for c in site["class"]
        ],
        "Orgs": [{"Name": name(t["name"]), "Portion": t["share"], "QuotaPerS": 100 * t["share"]}
                 for t in site.get("tenant", ())],
        "Limits": {"Cancel": allow["cancel"], "Probes": allow["probes"], "Peers": allow["peers"],
                   "RetryAfter": allow["retry_after"], "ParallelTries": allow["second_copies"],
                   "MaxAttempts": allow["max_attempts"], "ConnIdleNs": conn["idle_s"] * SECOND,
                   "MaxRetryAfterNs": site["clients"]["max_retry_after_ms"] * MS,
                   "ConnectTimeoutNs": conn["connect_timeout_ms"] * MS},
        "Rules": {"DrainGraceNs": rules["drain_grace_ms"] * MS, "ColdFrom": 0.2, "ColdNs": 20 * SECOND,
                  "FallMultiple": rules["fall_multiple"], "FallNs": rules["fall_ms"] * MS},
        "Deductions": {"CrossZone": site["prices"]["cross_zone"], "Waste": site["prices"]["waste"],
                       "Probe": site["prices"]["probe"]},
        "Discovery": MODES[site["discovery"]["mode"]], "NInstances": 4, "Position": 1, "Zone": 1,
        "OverShareWorth": site["load"].get("over_share_worth", 1),
    }  # fmt: skip

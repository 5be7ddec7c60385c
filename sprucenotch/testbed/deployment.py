"""The deployment settings of the sidecars of a plan, in the platform's format."""

from __future__ import annotations

from typing import Any

from sprucenotch.testbed.plan import SECOND, Class, Plan


def settings(plan: Plan, number: int, attempts: int) -> dict[str, Any]:
    """Build the settings of one sidecar; `number` is its index in the fleet."""
    fleet, tenants = plan.fleet, plan.load.tenants
    total = sum(t.share for t in tenants)
    return {
        "Azs": list(fleet.zones), "Zone": number % len(fleet.zones), "Kinds": [],
        "NInstances": fleet.sidecars, "Position": number, "Discovery": fleet.discovery,
        "Categories": [_category(cls) for cls in plan.classes],
        "Orgs": [{"Name": t.name, "Portion": t.share / total, "QuotaPerS": plan.rate * t.share / total}
                 for t in tenants],
        "Limits": {"MaxAttempts": attempts, "Cancel": True, "Probes": True, "RetryAfter": True,
                   "Peers": fleet.peers, "MaxRetryAfterNs": SECOND,
                   "ConnectTimeoutNs": fleet.connect_timeout, "ConnIdleNs": 10 * SECOND},
        "Deductions": {"Waste": 0.15, "Probe": 0.01},
        "Rules": {"ColdFrom": fleet.cold_share, "ColdNs": fleet.cold_for, "FallMultiple": 3.0},
    }  # fmt: skip


def _category(cls: Class) -> dict[str, Any]:
    return {
        "Name": cls.name, "AimNs": cls.aim, "HardLimitNs": cls.deadline, "Importance": cls.worth,
        "LateWorth": 0.0, "Effect": cls.effect, "KeyScope": "all",
        "WindowNs": cls.window if cls.effect == "dedup" else 0,
    }  # fmt: skip

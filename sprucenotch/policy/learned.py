"""What was learned as a value: exported, and taken up by another process, by its age.

Nothing of it is trusted further than it can harm: a figure that makes no sense is left out, and what the time
since has outdated fades as it would have in a process that saw nothing meanwhile. Times are nanoseconds.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from sprucenotch import api
from sprucenotch.policy.admission import HISTOGRAM_KEEP, USER_LEVELS, Admission, moved_cut
from sprucenotch.policy.engines import EJECT_MOST, FORGET, SUBSET_SHRINK, Engines
from sprucenotch.policy.state import CYCLE, Kind, Member

EASED = 0.9  # of the cut is kept a cycle without evidence: as fast as lasting calm would lower it
COUNT_MOST = 1e9  # of anything; a larger figure is a fault


def export(now: int, engines: Engines, kinds: Sequence[Kind], admission: Admission) -> api.Learned:
    """All but the figures of the balancer itself, which stand at 0."""
    return api.Learned(
        engines=tuple(
            api.LearnedEngine(
                m.id, m.started, m.pace, m.fails, now - m.heard if m.heard else -1, m.streak, m.ejections,
                max(0, m.out_until - now),
            )
            for m in engines.members.values()
        ),
        classes=tuple(
            api.LearnedClass(
                k.cls.name, k.cls.aim, k.business, k.base, k.mean, (k.latency[0], k.latency[1])
            )
            for k in kinds
        ),
        histogram=dict(admission.histogram), spread=tuple(admission.spread), cut=admission.cut,
        crossing=0.0, budget=0.0, peak=engines.peak,
    )  # fmt: skip


def within(value: float, low: float, high: float, otherwise: float) -> float:
    """The value where it is one of these; else, and for what is no number, the other."""
    return value if low <= value <= high else otherwise


def take_up(now: int, age: int, learned: api.Learned, engines: Engines, kinds: Sequence[Kind],
            admission: Admission) -> None:  # fmt: skip
    """Go on from there, `age` later; what was learned since by this process stays."""
    for known in learned.engines:
        member = engines.members.get(known.id)
        if member is not None and member.started == known.started and not member.heard:
            recall(now, age, known, member, engines.aim)
    cycles = age / (CYCLE * engines.aim)
    by_name = {known.name: known for known in learned.classes}
    for kind in kinds:
        if (old := by_name.get(kind.cls.name)) is not None and old.aim > 0:
            recall_class(kind, old, age, engines.aim)
    # Levels move with the classes that have them, as at a change of the settings.
    moved = {by_name[k.cls.name].level: k.business for k in kinds if k.cls.name in by_name}
    recall_cut(admission, learned, moved, cycles)
    engines.peak = max(engines.peak, within(learned.peak, 0, 1e5, 0.0) * SUBSET_SHRINK**cycles)
    engines.dirty = True


def recall(now: int, age: int, known: api.LearnedEngine, member: Member, aim: float) -> None:
    if known.heard >= 0:
        member.heard = max(1, now - known.heard - age)  # old news fade by themselves
        member.pace = within(known.pace, 0.0, 1e3, 1.0)
        member.fails = within(known.fails, 0.0, 1.0, 0.0)
    fresh = age < FORGET * aim
    member.streak = int(within(known.streak, 0, 1e6, 0)) if fresh else 0
    member.ejections = int(within(known.ejections, 0, 64, 0)) if fresh else 0
    left = min(known.out, int(1.25 * EJECT_MOST * aim)) - age
    if left > 0:
        member.out_until = now + left


def recall_class(kind: Kind, old: api.LearnedClass, age: int, mean_aim: float) -> None:
    """Latencies count in aims, so that another aim brings no jump."""
    scale, aim = kind.cls.aim / old.aim, kind.cls.aim
    if not kind.base:
        kind.base = within(old.base * scale, 0.0, aim / 2, 0.0)
    total, count = old.latency
    if age < FORGET * mean_aim and not kind.latency[1] and 0 <= total <= COUNT_MOST and 0 <= count <= 1e6:
        keep = 1 / (1 + age / mean_aim)
        kind.latency = [total * keep, count * keep]
        kind.mean = kind.mean or within(old.mean * scale, 0.0, 1e3 * aim, 0.0)


def recall_cut(admission: Admission, learned: api.Learned, moved: Mapping[int, int], cycles: float) -> None:
    keep = HISTOGRAM_KEEP**cycles
    for level, mass in learned.histogram.items():
        business, user = divmod(level, USER_LEVELS)
        if business in moved:
            at = moved[business] * USER_LEVELS + user
            admission.histogram[at] = admission.histogram.get(at, 0.0) + within(mass, 0, 1e9, 0) * keep
    for business, mass in enumerate(learned.spread):
        if business in moved:
            admission.spread[moved[business]] += within(mass, 0, COUNT_MOST, 0) * keep
    cut = moved_cut(within(learned.cut, 0, 1e6, 0.0), moved) * EASED**cycles
    admission.cut = max(admission.cut, min(cut, float(admission.top)))

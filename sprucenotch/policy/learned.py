"""Export of the learned state as a value, and its restoration in another process. Times are nanoseconds.

Restored values are checked: values out of range are ignored, and the rest decays with its age as it would
have in a process that saw no traffic in the meantime.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from sprucenotch import api
from sprucenotch.policy.admission import HISTOGRAM_RETENTION, USER_LEVELS, Admission, remap_cut
from sprucenotch.policy.engines import ESTIMATE_FADE_AIMS, MAX_EJECTION_AIMS, PEAK_RETENTION, Engines
from sprucenotch.policy.state import CYCLE_AIMS, ClassState, Member

CUT_RETENTION = 0.9  # of the cut, per cycle of age: as fast as a long time without overload lowers it
MAX_COUNT = 1e9  # upper bound of any restored count or sum


def export(
    now: int, engines: Engines, class_states: Sequence[ClassState], admission: Admission
) -> api.Learned:
    """Return the learned state. The fields that the balancer itself holds are left at 0."""
    return api.Learned(
        engines=tuple(
            api.LearnedEngine(
                m.id, m.started, m.relative_latency, m.failure_rate,
                now - m.last_answer_at if m.last_answer_at else -1,
                m.consecutive_failures, m.ejections, max(0, m.ejected_until - now),
            )
            for m in engines.members.values()
        ),
        classes=tuple(
            api.LearnedClass(
                s.cls.name, s.cls.aim, s.business_level, s.base, s.mean, (s.latency[0], s.latency[1])
            )
            for s in class_states
        ),
        histogram=dict(admission.histogram), keyless_arrivals=tuple(admission.keyless_arrivals),
        cut=admission.cut, crossing_share=0.0, budget=0.0, peak_in_flight=engines.peak_in_flight,
    )  # fmt: skip


def in_range_or(value: float, low: float, high: float, otherwise: float) -> float:
    """Return the value if it is between `low` and `high`, else (and for NaN) `otherwise`."""
    return value if low <= value <= high else otherwise


def restore(now: int, age: int, learned: api.Learned, engines: Engines, class_states: Sequence[ClassState],
            admission: Admission) -> None:  # fmt: skip
    """Restore a state exported `age` ago. Values that this process has already learned itself are kept."""
    for saved in learned.engines:
        member = engines.members.get(saved.id)
        if member is not None and member.started == saved.started and not member.last_answer_at:
            restore_engine(now, age, saved, member, engines.aim)
    cycles = age / (CYCLE_AIMS * engines.aim)
    by_name = {saved.name: saved for saved in learned.classes}
    for class_state in class_states:
        if (old := by_name.get(class_state.cls.name)) is not None and old.aim > 0:
            restore_class(class_state, old, age, engines.aim)
    # Business levels are mapped by class name, as at a change of the settings.
    new_levels = {by_name[s.cls.name].level: s.business_level for s in class_states if s.cls.name in by_name}
    restore_cut(admission, learned, new_levels, cycles)
    engines.peak_in_flight = max(
        engines.peak_in_flight, in_range_or(learned.peak_in_flight, 0, 1e5, 0.0) * PEAK_RETENTION**cycles
    )
    engines.subset_stale = True


def restore_engine(now: int, age: int, saved: api.LearnedEngine, member: Member, aim: float) -> None:
    if saved.last_answer_age >= 0:
        member.last_answer_at = max(1, now - saved.last_answer_age - age)  # estimates decay with this age
        member.relative_latency = in_range_or(saved.relative_latency, 0.0, 1e3, 1.0)
        member.failure_rate = in_range_or(saved.failure_rate, 0.0, 1.0, 0.0)
    fresh = age < ESTIMATE_FADE_AIMS * aim
    member.consecutive_failures = int(in_range_or(saved.consecutive_failures, 0, 1e6, 0)) if fresh else 0
    member.ejections = int(in_range_or(saved.ejections, 0, 64, 0)) if fresh else 0
    remaining = min(saved.ejected_for, int(1.25 * MAX_EJECTION_AIMS * aim)) - age
    if remaining > 0:
        member.ejected_until = now + remaining


def restore_class(class_state: ClassState, saved: api.LearnedClass, age: int, mean_aim: float) -> None:
    """Scale latencies with the aim of the class, so that a changed aim causes no jump."""
    scale, aim = class_state.cls.aim / saved.aim, class_state.cls.aim
    if not class_state.base:
        class_state.base = in_range_or(saved.base * scale, 0.0, aim / 2, 0.0)
    total, count = saved.latency
    if (
        age < ESTIMATE_FADE_AIMS * mean_aim
        and not class_state.latency[1]
        and 0 <= total <= MAX_COUNT
        and 0 <= count <= 1e6
    ):
        retained = 1 / (1 + age / mean_aim)
        class_state.latency = [total * retained, count * retained]
        class_state.mean = class_state.mean or in_range_or(saved.mean * scale, 0.0, 1e3 * aim, 0.0)


def restore_cut(
    admission: Admission, learned: api.Learned, new_levels: Mapping[int, int], cycles: float
) -> None:
    retained = HISTOGRAM_RETENTION**cycles
    for level, count in learned.histogram.items():
        business, user = divmod(level, USER_LEVELS)
        if business in new_levels:
            at = new_levels[business] * USER_LEVELS + user
            admission.histogram[at] = (
                admission.histogram.get(at, 0.0) + in_range_or(count, 0, 1e9, 0) * retained
            )
    for business, count in enumerate(learned.keyless_arrivals):
        if business in new_levels:
            admission.keyless_arrivals[new_levels[business]] += in_range_or(count, 0, MAX_COUNT, 0) * retained
    cut = remap_cut(in_range_or(learned.cut, 0, 1e6, 0.0), new_levels) * CUT_RETENTION**cycles
    admission.cut = max(admission.cut, min(cut, float(admission.max_level)))

"""Replaceable clocks and disks: the disk model against a real disk, the effects of a power cut."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucenotch.platform import clock
from sprucenotch.platform.disk import Disk, RealDisk
from sprucenotch.platform.recording_disk import RecordingDisk
from sprucenotch.testbed.simulated_disk import SECTOR, SimulatedDisk, replay

NAMES = st.sampled_from("abc")
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("write"), NAMES, st.binary(max_size=1500)),
        st.tuples(st.just("anew"), NAMES, st.binary(max_size=20)),
        st.tuples(st.just("truncate"), NAMES, st.integers(0, 2000)),
        st.tuples(st.just("rename"), NAMES, NAMES),
        st.tuples(st.just("remove"), NAMES, st.none()),
        st.tuples(st.just("sync"), NAMES, st.none()),
    ),
    max_size=20,
)


def carry_out(disk: Disk, steps: list[tuple[str, str, Any]]) -> list[object]:
    """The outcome of each step, and all files at the end."""
    outcomes: list[object] = []
    for do, name, argument in steps:
        try:
            if do == "rename":
                disk.rename(name, argument)
            elif do == "remove":
                disk.remove(name)
            else:
                file = disk.open(name, truncate=do == "anew")
                if do == "truncate":
                    file.truncate(argument)
                elif do == "sync":
                    file.sync()
                else:
                    file.write(argument)
                file.close()
            outcomes.append("done")
        except OSError as problem:
            outcomes.append(problem.errno)
    return [*outcomes, {name: disk.read(name) for name in disk.names()}]


@settings(deadline=None, max_examples=50)  # no deadline: the time of a real disk varies
@given(STEPS)
def test_disk_model_and_replayed_record_match_a_real_disk(
    steps: list[tuple[str, str, Any]],
) -> None:
    with TemporaryDirectory() as folder, TemporaryDirectory() as beside:
        recorded = RecordingDisk(RealDisk(Path(folder)), Path(beside, "record"))
        expected = carry_out(recorded, steps)
        assert carry_out(SimulatedDisk(), steps) == expected
        disk = replay(Path(beside, "record").read_bytes())
        assert {name: disk.read(name) for name in disk.names()} == expected[-1]


@given(STEPS, st.integers(0, 2**32))
def test_simulated_disk_synced_files_survive_a_power_cut(
    steps: list[tuple[str, str, Any]], seed: int
) -> None:
    disk = SimulatedDisk()
    carry_out(disk, steps)
    for name in disk.names():
        disk.open(name).sync()
    disk.sync_directory()
    before = {name: disk.read(name) for name in disk.names()}
    more = disk.open("more")
    more.write(b"x" * 3 * SECTOR)
    disk.crash(seed)
    after = {name: disk.read(name) for name in disk.names()}
    torn = after.pop("more", b"")
    assert after == before
    sectors = [torn[at : at + SECTOR] for at in range(0, len(torn), SECTOR)]
    assert all(set(sector) in ({0}, {ord("x")}) for sector in sectors)


def replace(disk: SimulatedDisk, data: bytes, leave_out: str) -> None:
    """Replace a file by another, leaving out one of the required steps."""
    file = disk.open("new", truncate=True)
    file.write(data)
    if leave_out != "sync":
        file.sync()
    file.close()
    if leave_out == "rename":
        held = disk.open("held", truncate=True)
        held.write(data)
        held.sync()
        return
    disk.rename("new", "held")
    if leave_out != "sync names":
        disk.sync_directory()


@pytest.mark.parametrize("leave_out", ["nothing", "sync", "sync names", "rename"])
def test_simulated_disk_power_cut_reveals_the_step_left_out_of_a_replacement(leave_out: str) -> None:
    old, new = b"o" * 2000, b"n" * 2000
    outcomes = set()
    for seed in range(60):
        disk = SimulatedDisk()
        replace(disk, old, "nothing")
        replace(disk, new, leave_out)
        if leave_out == "rename":  # power is lost before the last sync
            disk.open("held", truncate=True).write(new)
        disk.crash(seed)
        outcomes.add(disk.read("held"))
    if leave_out == "nothing":
        assert outcomes == {new}
    elif leave_out == "sync names":  # acknowledged as durable, but may be lost
        assert outcomes == {old, new}
    else:
        assert outcomes - {old, new}


def test_simulated_disk_writes_a_part_when_full_and_later_syncs_repair_no_failed_one() -> None:
    found = set()
    for seed in range(40):
        disk = SimulatedDisk()
        file = disk.open("a")
        disk.sync_directory()
        disk.free_bytes = 700
        with pytest.raises(OSError, match="No space"):
            file.write(b"x" * 1000)
        assert disk.read("a") == b"x" * 700
        disk.free_bytes, disk.failing = None, {"sync"}
        with pytest.raises(OSError, match="Input/output"):
            file.sync()
        disk.failing = set()
        file.sync()  # succeeds, but does not write the data of the failed sync
        disk.crash(seed)
        found.add(len(disk.read("a").strip(b"\0")))
    assert found > {0}


def test_wrong_clock_has_the_configured_offset_and_drift() -> None:
    times = [1000]
    correct = clock.Clock(lambda: times[0] + 70, lambda: times[0])
    fast = clock.skewed_clock(500, 100_000.0, lambda: times[0] + 70, lambda: times[0])
    assert (correct.now(), fast.now()) == (1070, 1570)
    times[0] = 2000
    assert (correct.now(), fast.now()) == (2070, 2670)

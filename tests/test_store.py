"""The store: power cuts at every operation, broken files of every kind, a single writer."""

from __future__ import annotations

import json
import random
from collections.abc import Iterator
from pathlib import Path
from unittest.mock import ANY

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucenotch.platform.disk import RealDisk
from sprucenotch.store.frame import FORMAT, PREAMBLE, Header, encode, file_start
from sprucenotch.store.reader import Owner, Schema, read
from sprucenotch.store.store import Bounds, Store, StoreLocked, open_store
from sprucenotch.testbed.power_cuts import MODES, SKIPPED_STEPS, explore_power_cuts
from sprucenotch.testbed.simulated_disk import SimulatedDisk
from tests.test_command_line import run_command

OWNER, NOW = Owner("lab", "sidecar-0"), 1_000_000_000_000
SCHEMA = Schema(2, int, {1: lambda payload: int(payload)})


def filled(disk: SimulatedDisk, *values: int) -> None:
    opened = open_store(disk, OWNER, SCHEMA, NOW)
    for value in values:
        opened.store.append(value)
    opened.store.close()
    disk.unlock()


def test_power_cut_loses_no_durable_record_and_start_succeeds() -> None:
    for mode in MODES:
        found = explore_power_cuts(mode, range(20))
        assert found.cases > 800 and found.broken == []


@pytest.mark.parametrize("skipped", SKIPPED_STEPS)
def test_exploration_detects_each_omitted_precaution(skipped: str) -> None:
    assert explore_power_cuts("always", range(12), skipped).broken


@settings(max_examples=150, deadline=None)
@given(st.data())
def test_corrupted_file_leaves_prefix_of_records_and_is_not_deleted(
    data: st.DataObject,
) -> None:
    disk = SimulatedDisk()
    filled(disk, *range(20))
    name = data.draw(st.sampled_from([n for n in disk.names() if n != "lock"]))
    before = disk.read(name)
    raw = bytearray(before)
    at = data.draw(st.integers(0, len(raw) - 1))
    if data.draw(st.booleans()):
        raw[at] ^= 1 << data.draw(st.integers(0, 7))
    else:
        del raw[at:]
    disk.open(name, truncate=True).write(bytes(raw))
    opened = open_store(disk, OWNER, SCHEMA, NOW)
    kept = list(opened.found.records)
    assert kept == list(range(len(kept))) and opened.problem == ""
    whole = len(kept) == 20
    # Only a cut between two records, or in skipped data, cannot be distinguished from a shorter file.
    if opened.found.refused:
        assert any(disk.read(aside) == bytes(raw) for aside in opened.set_aside)
    assert whole or opened.found.refused or len(raw) < len(before)
    opened.store.append(99)
    opened.store.close()
    disk.unlock()
    assert list(open_store(disk, OWNER, SCHEMA, NOW).found.records) == [*kept, 99]


def header(**changes: object) -> Header:
    fields = {
        "kind": "journal",
        "generation": 1,
        "schema": 2,
        "deployment": "lab",
        "owner": "sidecar-0",
        "at": NOW,
    }
    return Header(**fields | changes)  # type: ignore[arg-type]


FILES = {
    "newer format": PREAMBLE.pack(b"SPRN", FORMAT + 1),
    "no store file": b"something else entirely",
    "torn": b"SP",
    "another owner": file_start(header(owner="sidecar-1"), 0),
    "another deployment": file_start(header(deployment="other"), 0),
    "newer schema": file_start(header(schema=3), 0),
    "unknown schema": file_start(header(schema=0), 0),
    "from the future": file_start(header(at=NOW + 3600 * 10**9), 0),
    "too old": file_start(header(at=0), 0),
    "hole": file_start(header(), 5),
    "record": file_start(header(), 0) + encode(1, b"\xc1"),
    "checksum": file_start(header(), 0)[:-1] + b"\xff",
}


@pytest.mark.parametrize("reason", FILES)
def test_refused_file_is_set_aside_with_reason_and_store_opens(reason: str) -> None:
    disk = SimulatedDisk()
    disk.open("journal.1").write(FILES[reason])
    opened = open_store(disk, OWNER, SCHEMA, NOW, oldest=500 * 10**9)
    assert [(refusal.name, refusal.reason) for refusal in opened.found.refused] == [("journal.1", reason)]
    assert opened.set_aside == ("journal.1.broken-1",) and disk.read("journal.1.broken-1") == FILES[reason]
    opened.store.append(7)
    opened.store.close()
    disk.unlock()
    assert open_store(disk, OWNER, SCHEMA, NOW).found.records == (7,)


def test_records_of_older_schema_are_read_and_rewritten_by_compaction() -> None:
    disk = SimulatedDisk()
    disk.open("journal.1").write(file_start(header(schema=1), 0) + encode(1, b"41") + encode(2, b"42"))
    opened = open_store(disk, OWNER, SCHEMA, NOW)
    assert opened.found.records == (41, 42) and not opened.found.refused
    for _ in opened.store.compact(opened.found.records, NOW):
        pass
    assert read(disk, OWNER, Schema(2, int), NOW).records == (41, 42)


@pytest.mark.parametrize("trouble", ["names", "open", "write", "sync", "lock"])
def test_failing_disk_is_reported_and_does_not_prevent_start(trouble: str) -> None:
    disk = SimulatedDisk()
    filled(disk, 1, 2)
    disk.failing = {trouble}
    opened = open_store(disk, OWNER, SCHEMA, NOW)
    opened.store.append(3)
    assert opened.problem == "Input/output error" and opened.store.dropped_records == 1
    assert opened.found.records == (() if trouble == "names" else (1, 2))


def test_full_disk_drops_records_and_start_finds_all_intact_ones() -> None:
    disk = SimulatedDisk()
    opened = open_store(disk, OWNER, SCHEMA, NOW, "always")
    disk.free_bytes = 100
    for value in range(10):
        opened.store.append(value)
    assert opened.store.problem == "No space left on device" and opened.store.dropped_records > 0
    disk.crash(1)
    found = open_store(disk, OWNER, SCHEMA, NOW).found.records
    assert found == tuple(range(10 - opened.store.dropped_records))


def test_second_writer_is_locked_out_and_odd_files_are_set_aside(
    tmp_path: Path,
) -> None:
    first = open_store(RealDisk(tmp_path), OWNER, SCHEMA, NOW)
    first.store.append(5)
    first.store.close()
    with pytest.raises(StoreLocked):
        open_store(RealDisk(tmp_path), OWNER, SCHEMA, NOW)
    first_disk = first.store._disk
    assert isinstance(first_disk, RealDisk)
    first_disk.unlock()
    (tmp_path / "journal.7").mkdir()
    (tmp_path / "journal.8").symlink_to("/etc/hostname")
    opened = open_store(RealDisk(tmp_path), OWNER, SCHEMA, NOW)
    assert opened.found.records == (5,) and {r.reason for r in opened.found.refused} == {"not a file"}
    assert sorted(opened.set_aside) == ["journal.7.broken-1", "journal.8.broken-1"]


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 2**32))
def test_any_mix_of_appends_compactions_and_restarts_keeps_records_in_order(seed: int) -> None:
    rng, disk, wrote = random.Random(seed), SimulatedDisk(), list[int]()
    steps: Iterator[None] = iter(())
    store: Store[int] = open_store(disk, OWNER, SCHEMA, NOW, bounds=Bounds(files=3)).store
    for _ in range(rng.randrange(60)):
        done = rng.random()
        if done < 0.6:
            wrote.append(len(wrote))
            store.append(wrote[-1])
        elif done < 0.85:
            if next(steps, "over") == "over":
                steps = store.compact(wrote, NOW)
        else:  # killed, possibly during a compaction
            disk.unlock()
            store, steps = open_store(disk, OWNER, SCHEMA, NOW).store, iter(())
    disk.unlock()
    found = open_store(disk, OWNER, SCHEMA, NOW).found
    assert list(found.records) == wrote and not found.refused


def test_store_commands_report_and_repair_broken_store(tmp_path: Path) -> None:
    for value in (1, 2, 3):
        opened = open_store(RealDisk(tmp_path), OWNER, SCHEMA, NOW)
        opened.store.append(value)
        opened.store.close()
        opened.store._disk.unlock()
    assert run_command("store", "check", str(tmp_path))[:2] == (
        0,
        "sidecar-0 of lab: 3 records, last 3\nall is whole\n",
    )
    with (tmp_path / "journal.3").open("ab") as file:
        file.write(b"torn")
    code, said, _ = run_command("store", "check", "--json", str(tmp_path))
    assert code == 1 and json.loads(said)["refused"] == [{"name": "journal.3", "reason": "torn", "at": ANY}]
    assert run_command("store", "repair", str(tmp_path))[1].endswith("set aside: journal.3.broken-1\n")
    assert json.loads(run_command("store", "show", "--json", str(tmp_path))[1])["records"] == [1, 2, 3]
    assert run_command("store", "check", str(tmp_path))[0] == 0
    (tmp_path / "empty").mkdir()
    code, _, complaint = run_command("store", "show", str(tmp_path / "empty"))
    assert code == 2 and complaint.count("\n") == 1
    open_store(RealDisk(tmp_path), OWNER, SCHEMA, NOW)
    assert run_command("store", "repair", str(tmp_path))[0] == 6

"""Recovery in a sidecar: the state it starts from, and the records it stores for its successor."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from pathlib import Path

import msgspec

from sprucenotch import api
from sprucenotch.node.config import Config, HostList, address
from sprucenotch.node.config import Host as HostEntry
from sprucenotch.node.host import Host
from sprucenotch.node.log import event
from sprucenotch.platform.clock import Clock, current_timestamp
from sprucenotch.platform.disk import Disk, RealDisk
from sprucenotch.platform.system_errors import retry_local_failures
from sprucenotch.recovery import predecessor
from sprucenotch.recovery.records import FORMAT, SECOND, RecoveredState, StateRecord, earlier_by, recover
from sprucenotch.recovery.writer import Writer
from sprucenotch.settings import State
from sprucenotch.store.reader import Owner, Schema
from sprucenotch.store.store import Bounds, Opened, open_store

log = logging.getLogger(__name__)

BOOT_TIMEOUT = 0.5  # seconds to read the machine's boot id, which all stored times refer to
# Seconds to the first record; by then, in the pushed mode, the agent has been called.
FIRST_RECORD_DELAY = 0.1
RECORD_INTERVAL = 1.0  # seconds between records while the list is unchanged
BOUNDS = Bounds(journal_bytes=1 << 20, journal_records=2000)
CLOSE_TIMEOUT = 0.5  # seconds for the last record; a hung disk must not delay the exit
SCHEMA: Schema[StateRecord] = Schema(FORMAT, StateRecord)


class Recovery:
    """Recovers and records the state; used if the configuration has `state`."""

    def __init__(self, config: Config, state: State, clock: Clock, loop: asyncio.AbstractEventLoop) -> None:
        self._configured_hosts, self._state, self._clock, self._loop = config.known, state, clock, loop
        self._owner = Owner(state.deployment, config.name)
        self._disk = self._open_disk(config) if state.dir else None
        self._writer: Writer | None = None
        self._entries: dict[str, HostEntry] = {}  # of the list from discovery, by name
        self._seq = 0
        self._changed = False  # whether the list differs from the one recorded last
        self._learned: Callable[[], api.Learned | None] = lambda: None
        self._list_age: Callable[[], int | None] = lambda: None

    def _open_disk(self, config: Config) -> Disk:
        with contextlib.suppress(OSError):  # reported when it is opened
            Path(self._state.dir).mkdir(mode=0o700, exist_ok=True)
        disk: Disk = RealDisk(Path(self._state.dir))
        if config.disk is not None and config.disk.record:
            from sprucenotch.platform.recording_disk import RecordingDisk

            return RecordingDisk(disk, Path(config.disk.record))
        return disk

    # ---- the start

    async def recover(self) -> RecoveredState:
        """Return the state that the previous process left or answers with; empty if none is valid."""
        await retry_local_failures(self._read_boot, BOOT_TIMEOUT)
        now, found = current_timestamp(self._clock), RecoveredState()
        if self._disk is not None:
            result = await predecessor.read_folder(self._disk, self._owner, SCHEMA, self._clock.now())
            found = self._evaluate("folder", result)
        if not found.verified and self._state.predecessor:
            from_call = self._evaluate(
                "call", await predecessor.call_predecessor(address(self._state.predecessor))
            )
            if from_call.hosts is not None and (found.hosts is None or from_call.list_age <= found.list_age):
                found = from_call
        outdated = (
            found.hosts is not None and found.hosts.seq < self._configured_hosts.seq and not found.verified
        )
        ms = 1_000_000
        event(
            log, logging.INFO, "recalled", version=-1 if found.hosts is None else found.hosts.seq,
            outdated=outdated, verified=found.verified, list_age_ms=found.list_age // ms,
            learned=found.learned is not None,
            learned_age_ms=found.learned_age // ms,
            took_ms=(current_timestamp(self._clock).at - now.at) // ms,
        )  # fmt: skip
        return found._replace(hosts=None) if outdated else found  # the configured list is newer

    async def _read_boot(self) -> None:
        current_timestamp(self._clock)

    def _evaluate(self, by: str, result: predecessor.HandoverResult) -> RecoveredState:
        found, rejected = recover(result.records, current_timestamp(self._clock), int(self._state.oldest_ns))
        for why in (*result.problems, *rejected):
            event(log, logging.WARNING, "not recalled", by=by, why=why)
        return found

    # ---- recording

    def start_recording(self, host: Host, list_age: Callable[[], int | None]) -> None:
        """Record the state of `host` from now on.

        `list_age` returns nanoseconds since the list was confirmed to this process, None if it never was.
        """
        self._learned, self._list_age, host.on_host_list = host.learned, list_age, self._on_list
        if self._disk is not None:
            self._writer = Writer(
                self._open_store, self._state.sync_ns / SECOND, lambda: current_timestamp(self._clock)
            )
            self._writer.start()
            self._loop.call_later(FIRST_RECORD_DELAY, self._tick)

    def _open_store(self) -> Opened[StateRecord]:
        assert self._disk is not None
        now, mode = self._clock.now(), self._state.mode
        return open_store(self._disk, self._owner, SCHEMA, now, mode, BOUNDS, future=None)

    def _on_list(self, update: HostList, kind: int) -> None:
        """Handle a new list or changes to it."""
        if kind != api.ListKind.DELTA:
            self._entries = {}
        for entry in update.hosts:
            if entry.endpoint.health == api.Health.GONE:
                self._entries.pop(entry.name, None)
            else:
                self._entries[entry.name] = entry
        self._seq = update.seq
        self._changed = True
        if kind != api.ListKind.CACHED:
            self._write_record()

    def _tick(self) -> None:
        if self._writer is not None:
            self._loop.call_later(RECORD_INTERVAL, self._tick)
            self._write_record()

    def _write_record(self) -> None:
        if self._writer is not None:
            record = self._record(with_list=self._changed)
            self._changed &= record.hosts is None
            self._writer.put(record)

    def _record(self, with_list: bool) -> StateRecord:
        """Return the current state as a record.

        It contains the list only once discovery has sent or confirmed it to this process; a list from another
        source is already stored.
        """
        now, old = current_timestamp(self._clock), self._list_age()
        confirmed, hosts = (None if old is None else earlier_by(now, old)), None
        if with_list and confirmed is not None:
            hosts = HostList(self._seq, True, tuple(self._entries.values()))
        return StateRecord(FORMAT, now, confirmed, hosts, self._learned())

    path = predecessor.PATH.encode()

    def handover_record(self) -> bytes:
        """Return the encoded record for a hand-over call."""
        return msgspec.msgpack.encode(self._record(with_list=True))

    def close(self) -> None:
        """Write the last record. The successor takes over the folder once this process has ended."""
        if self._writer is not None:
            writer, self._writer = self._writer, None
            writer.put(self._record(with_list=self._changed))
            if not writer.close(CLOSE_TIMEOUT):
                event(log, logging.WARNING, "state not closed in time")

"""Recovery as a sidecar uses it: what it starts from, and what it keeps for the next process."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from pathlib import Path

import msgspec

from sprucenotch import api
from sprucenotch.node.config import Config, HostList, address
from sprucenotch.node.config import Host as Entry
from sprucenotch.node.host import Host
from sprucenotch.node.log import event
from sprucenotch.recovery import predecessor
from sprucenotch.recovery.memory import FORMAT, SECOND, Kept, Recalled, back, recall
from sprucenotch.recovery.writer import Writer
from sprucenotch.seams.clock import Clock, moment
from sprucenotch.seams.disk import Disk, RealDisk
from sprucenotch.seams.system_errors import retried
from sprucenotch.settings import State
from sprucenotch.store.reading import Owner, Schema
from sprucenotch.store.store import Bounds, Opened, open_store

log = logging.getLogger(__name__)

BOOT_TIMEOUT = 0.5  # seconds for which the machine's boot is asked for, as all that is kept is dated by it
FIRST = 0.1  # seconds to the first record: by then discovery has been asked where it is pushed
EVERY = 1.0  # seconds between two records where no list changes
BOUNDS = Bounds(journal_bytes=1 << 20, journal_records=2000)
CLOSE_WITHIN = 0.5  # seconds for the last record: a disk that hangs must not hold up the end
SCHEMA: Schema[Kept] = Schema(FORMAT, Kept)


class Recovery:
    """Of a configuration that has `state`."""

    def __init__(self, config: Config, state: State, clock: Clock, loop: asyncio.AbstractEventLoop) -> None:
        self._known, self._state, self._clock, self._loop = config.known, state, clock, loop
        self._owner = Owner(state.deployment, config.name)
        self._disk = self._open_disk(config) if state.dir else None
        self._writer: Writer | None = None
        self._entries: dict[str, Entry] = {}  # of the list as discovery told it, by name
        self._seq = 0
        self._changed = False  # whether the list is another than was kept last
        self._learned: Callable[[], api.Learned | None] = lambda: None
        self._list_age: Callable[[], int | None] = lambda: None

    def _open_disk(self, config: Config) -> Disk:
        with contextlib.suppress(OSError):  # told once it is opened
            Path(self._state.dir).mkdir(mode=0o700, exist_ok=True)
        disk: Disk = RealDisk(Path(self._state.dir))
        if config.disk is not None and config.disk.record:
            from sprucenotch.seams.recorded import Recorded

            return Recorded(disk, Path(config.disk.record))
        return disk

    # ---- the start

    async def recall(self) -> Recalled:
        """What the process before left or says; nothing where it has nothing that holds."""
        await retried(self._read_boot, BOOT_TIMEOUT)
        now, found = moment(self._clock), Recalled()
        if self._disk is not None:
            told = await predecessor.by_folder(self._disk, self._owner, SCHEMA, self._clock.now())
            found = self._judged("folder", told)
        if not found.verified and self._state.predecessor:
            called = self._judged("call", await predecessor.by_call(address(self._state.predecessor)))
            if called.hosts is not None and (found.hosts is None or called.list_age <= found.list_age):
                found = called
        outdated = found.hosts is not None and found.hosts.seq < self._known.seq and not found.verified
        ms = 1_000_000
        event(
            log, logging.INFO, "recalled", version=-1 if found.hosts is None else found.hosts.seq,
            outdated=outdated, verified=found.verified, list_age_ms=found.list_age // ms,
            learned=found.learned is not None,
            learned_age_ms=found.learned_age // ms, took_ms=(moment(self._clock).at - now.at) // ms,
        )  # fmt: skip
        return found._replace(hosts=None) if outdated else found  # what the configuration has is newer

    async def _read_boot(self) -> None:
        moment(self._clock)

    def _judged(self, by: str, told: predecessor.Told) -> Recalled:
        found, left = recall(told.records, moment(self._clock), int(self._state.oldest_ns))
        for why in (*told.why_not, *left):
            event(log, logging.WARNING, "not recalled", by=by, why=why)
        return found

    # ---- from then on

    def keep(self, host: Host, list_age: Callable[[], int | None]) -> None:
        """Keep what it learns from now on. `list_age`: nanoseconds since the list was confirmed, None where
        it was not to this process."""
        self._learned, self._list_age, host.heard = host.learned, list_age, self._heard
        if self._disk is not None:
            self._writer = Writer(self._opened, self._state.sync_ns / SECOND, lambda: moment(self._clock))
            self._writer.start()
            self._loop.call_later(FIRST, self._tick)

    def _opened(self) -> Opened[Kept]:
        assert self._disk is not None
        now, mode = self._clock.now(), self._state.mode
        return open_store(self._disk, self._owner, SCHEMA, now, mode, BOUNDS, future=None)

    def _heard(self, told: HostList, kind: int) -> None:
        """A list, or changes of it, has come."""
        if kind != api.ListKind.DELTA:
            self._entries = {}
        for entry in told.hosts:
            if entry.endpoint.health == api.Health.GONE:
                self._entries.pop(entry.name, None)
            else:
                self._entries[entry.name] = entry
        self._seq = told.seq
        self._changed = True
        if kind != api.ListKind.CACHED:
            self._put()

    def _tick(self) -> None:
        if self._writer is not None:
            self._loop.call_later(EVERY, self._tick)
            self._put()

    def _put(self) -> None:
        if self._writer is not None:
            kept = self._kept(with_list=self._changed)
            self._changed &= kept.hosts is None
            self._writer.put(kept)

    def _kept(self, with_list: bool) -> Kept:
        """How things stand. The list goes with it only once discovery has told or confirmed it to this
        process: what others said of it is kept already."""
        now, old = moment(self._clock), self._list_age()
        confirmed, hosts = (None if old is None else back(now, old)), None
        if with_list and confirmed is not None:
            hosts = HostList(self._seq, True, tuple(self._entries.values()))
        return Kept(FORMAT, now, confirmed, hosts, self._learned())

    path = predecessor.PATH.encode()

    def handover_record(self) -> bytes:
        """What a call for the handover gets."""
        return msgspec.msgpack.encode(self._kept(with_list=True))

    def close(self) -> None:
        """The last record. The folder is the successor's once this process has ended."""
        if self._writer is not None:
            writer, self._writer = self._writer, None
            writer.put(self._kept(with_list=self._changed))
            if not writer.close(CLOSE_WITHIN):
                event(log, logging.WARNING, "state not closed in time")

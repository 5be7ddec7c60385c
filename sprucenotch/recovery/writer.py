"""The thread that writes to the store, so that a slow disk never delays a request.

It opens the store as soon as the previous process releases it, and writes records in order. Records that
arrive while the disk is slow are merged into one.
"""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable

from sprucenotch.node.log import event
from sprucenotch.platform.clock import Timestamp
from sprucenotch.recovery.records import StateRecord, fold, merge
from sprucenotch.store.store import Opened, Store, StoreLocked

log = logging.getLogger(__name__)

REOPEN_INTERVAL = 1.0  # seconds between attempts to write again after a disk failure
LOCK_RETRY_INTERVAL = 0.1  # seconds between attempts to lock the store, held by the previous process


class Writer:
    """Writes records to a store. `open_store` opens it, or raises StoreLocked."""

    def __init__(
        self, open_store: Callable[[], Opened[StateRecord]], sync_every: float, now: Callable[[], Timestamp]
    ) -> None:
        self._open_store, self._sync_every, self._now = open_store, sync_every, now
        self._pending: StateRecord | None = None
        self._state: StateRecord | None = None  # everything stored, as one record
        self._condition = threading.Condition()
        self._closing = False
        self.store: Store[StateRecord] | None = None
        self._open_error = ""
        self._thread = threading.Thread(target=self._run, name="state", daemon=True)

    def start(self) -> None:
        self._thread.start()

    @property
    def problem(self) -> str:
        """Why nothing can be stored; empty if it can, or while the previous process still writes."""
        return self._open_error if self.store is None else self.store.problem

    def put(self, record: StateRecord) -> None:
        """Queue a record for writing. Never waits for the disk."""
        with self._condition:
            self._pending = merge(self._pending, record)
            self._condition.notify()

    def close(self, within: float) -> bool:
        """Write the queued record and close the store; whether that was done within `within` seconds."""
        with self._condition:
            self._closing = True
            self._condition.notify()
        self._thread.join(within)
        return not self._thread.is_alive()

    def _run(self) -> None:
        while self.store is None:
            pause = LOCK_RETRY_INTERVAL
            try:
                self._open()
                pause = REOPEN_INTERVAL
            except StoreLocked:
                pass
            with self._condition:
                if self.store is None and self._condition.wait_for(lambda: self._closing, pause):
                    return
        synced = reopened = time.monotonic()
        while True:
            with self._condition:
                until_sync = max(0.0, synced + self._sync_every - time.monotonic())
                self._condition.wait_for(lambda: self._pending is not None or self._closing, until_sync)
                record, self._pending, ending = self._pending, None, self._closing
            if record is not None:
                self._write(record)
            if self.store.problem and time.monotonic() - reopened >= REOPEN_INTERVAL:
                reopened = time.monotonic()
                self._rewrite_state()
            if ending:
                self.store.close()
                return
            if time.monotonic() - synced >= self._sync_every:
                self.store.sync()
                synced = time.monotonic()

    def _open(self) -> None:
        """Open the store and restore the stored state. Raises StoreLocked.

        If the disk fails, `store` stays None, so that nothing that could not be read is overwritten.
        """
        opened = self._open_store()
        if opened.problem:
            if not self._open_error:
                event(log, logging.WARNING, "state cannot be kept", why=opened.problem)
            self._open_error = opened.problem
            return
        self._open_error = ""
        for refusal in opened.found.refused:
            event(log, logging.WARNING, "state not taken", why=str(refusal))
        for name in opened.set_aside:
            event(log, logging.WARNING, "state set aside", file=name)
        # What the previous process stored remains until this one replaces it, separately for each field. Why
        # `fold` rejects a record (its second result) is not logged here.
        self._state, _ = fold(opened.found.records, self._now())
        self.store = opened.store

    def _rewrite_state(self) -> None:
        """Write the whole state again, after a disk failure."""
        assert self.store is not None and self._state is not None
        self.store.start_new_generation((self._state,), self._now().wall)
        if not self.store.problem:
            event(log, logging.INFO, "state is kept again")

    def _write(self, record: StateRecord) -> None:
        assert self.store is not None
        failed = bool(self.store.problem)
        self._state = merge(self._state, record)
        self.store.append(record)
        if self.store.compaction_due:
            for _ in self.store.compact((self._state,), self._now().wall):
                pass
        if self.store.problem and not failed:
            event(log, logging.WARNING, "state cannot be kept", why=self.store.problem)

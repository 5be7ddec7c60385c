"""Many runs: over seeds, over revisions in turns, each a process of its own that writes to one store."""

from __future__ import annotations

import asyncio
import re
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

from sprucenotch.rig import revision
from sprucenotch.rig.process import Child
from sprucenotch.rig.store import Row, Store

TRACE = "trace.txt"  # beside the logs of a run that could not be played to its end
FRAME = " |+-"  # drawn around the members of a group of errors
ERROR = re.compile(r"[A-Za-z_][\w.]*(Error|Exception|Interrupt|Exit)\b")


class Job(NamedTuple):
    plan: str  # a file or a shipped scenario, as it was named
    source: str  # its text
    seed: int
    revision: str = ""  # empty for this tree
    command: str = ""  # that starts a sidecar, where it is not the revision's own


class Failed(NamedTuple):
    """A run that could not be played to its end."""

    job: Job
    code: int
    said: str  # the error, in one line
    crashed: bool = False  # by a fault of the testbed itself, and no process under test


def open_jobs(store: Store, jobs: Sequence[Job]) -> list[Job]:
    """Those that have no run that counts: a sweep that was ended goes on with these."""
    keys = _keys(jobs)
    done = {key: store.done(*key) for key in set(keys.values())}
    return [job for job in jobs if job.seed not in done[keys[job]]]


def rows(store: Store, jobs: Sequence[Job]) -> list[Row]:
    """The last run that counts of each, by plan, revision and seed."""
    wanted: dict[tuple[str, str], set[int]] = {}
    for job, key in _keys(jobs).items():
        wanted.setdefault(key, set()).add(job.seed)
    return [
        row
        for key, seeds in wanted.items()
        for seed, row in sorted(store.done(*key).items())
        if seed in seeds
    ]


def _keys(jobs: Sequence[Job]) -> dict[Job, tuple[str, str]]:
    """Each job's plan and revision as the store knows them. Git is asked once a revision."""
    names = {revised: revision.name(revised or "HEAD") for revised in {job.revision for job in jobs}}
    return {job: (job.source, names[job.revision]) for job in jobs}


async def run(
    store: Path,
    jobs: Sequence[Job],
    width: int,
    each: Callable[[Job], None],
    evidence: Path | None = None,
) -> list[Failed]:
    """Run them, so many side by side, in their order; `each` hears of every one that ended. Those that could
    not be played are returned; their traces and their processes' logs are left in the folder `evidence`.
    SIGINT and SIGTERM end all that is under way and raise KeyboardInterrupt."""
    loop, stopped, failed = asyncio.get_running_loop(), asyncio.Event(), list[Failed]()
    queue, children = list(jobs), set[Child]()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)

    async def worker() -> None:
        while queue and not stopped.is_set():
            job = queue.pop(0)
            words = ["rig", "run", job.plan, "--seed", str(job.seed), "--store", str(store), "--quiet"]
            if job.revision:
                words += ["--revision", job.revision]
            if job.command:
                words += ["--command", job.command]
            kept = None if evidence is None else evidence / f"{Path(job.plan).stem}-{job.seed}"
            if kept is not None:
                words += ["--keep", str(kept)]
            with tempfile.TemporaryFile() as complaints:
                child = Child((sys.executable, "-m", "sprucenotch", *words), stderr=complaints)
                children.add(child)
                code = await child.wait()
                children.discard(child)
                # A run that ends by a fault of its own has code 1 as well, and says so.
                crashed = code == 1 and complaints.tell() > 0
                if (code not in (0, 1, 4) or crashed) and not stopped.is_set():
                    complaints.seek(0)
                    trace = complaints.read().decode(errors="replace").strip()
                    failed.append(Failed(job, code, error_of(trace), crashed))
                    if kept is not None:
                        kept.mkdir(parents=True, exist_ok=True)
                        (kept / TRACE).write_text(trace + "\n")
                elif kept is not None:
                    shutil.rmtree(kept, ignore_errors=True)
            each(job)

    workers = [asyncio.create_task(worker()) for _ in range(width)]
    stopping = asyncio.create_task(stopped.wait())
    await asyncio.wait((asyncio.gather(*workers), stopping), return_when=asyncio.FIRST_COMPLETED)
    if stopped.is_set():
        for child in children:
            child.signal(signal.SIGINT)  # each ends its own processes, and keeps what it has
        await asyncio.gather(*workers, return_exceptions=True)
        raise KeyboardInterrupt
    stopping.cancel()
    for worker_ in workers:
        worker_.result()
    return failed


def error_of(trace: str) -> str:
    """The line of a trace that names its error: the last one, also within a group of errors, whose frame is
    no word of it."""
    lines = [line.strip(FRAME) for line in trace.splitlines()]
    lines = [line for line in lines if line]
    named = [line for line in lines if ERROR.match(line)]
    return (named or lines or ["it said nothing"])[-1]

"""Runs many plans, seeds and revisions, each in its own process, and collects the results in one store."""

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

from sprucenotch.testbed import revision
from sprucenotch.testbed.process import ChildProcess
from sprucenotch.testbed.run_store import Row, Store

TRACE = "trace.txt"  # file next to the logs of a run that could not be completed
FRAME = " |+-"  # characters that tracebacks draw around the members of an exception group
ERROR = re.compile(r"[A-Za-z_][\w.]*(Error|Exception|Interrupt|Exit)\b")


class Job(NamedTuple):
    """One run to be made."""

    plan: str  # a file or the name of a shipped scenario
    source: str  # the text of the plan
    seed: int
    revision: str = ""  # empty for this tree
    command: str = ""  # that starts a sidecar, in place of the revision's


class Failed(NamedTuple):
    """A run that could not be completed."""

    job: Job
    code: int
    error: str  # in one line
    crashed: bool = False  # the testbed itself failed, not a process under test


def pending_jobs(store: Store, jobs: Sequence[Job]) -> list[Job]:
    """The jobs that have no valid run in the store yet; an interrupted sweep continues with these."""
    keys = _keys(jobs)
    done = {key: store.done(*key) for key in set(keys.values())}
    return [job for job in jobs if job.seed not in done[keys[job]]]


def rows(store: Store, jobs: Sequence[Job]) -> list[Row]:
    """The last valid run of each job, by plan, revision and seed."""
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
    """The plan and revision of each job, as in the store. Calls git once for each revision."""
    names = {revised: revision.name(revised or "HEAD") for revised in {job.revision for job in jobs}}
    return {job: (job.source, names[job.revision]) for job in jobs}


async def run(
    store: Path,
    jobs: Sequence[Job],
    width: int,
    each: Callable[[Job], None],
    evidence: Path | None = None,
) -> list[Failed]:
    """Run the jobs in order, `width` at a time, and call `each` after every one. Returns those that could not
    be completed; their traces and logs are left in the folder `evidence`. SIGINT and SIGTERM stop all running
    jobs and raise KeyboardInterrupt."""
    loop, stopped, failed = asyncio.get_running_loop(), asyncio.Event(), list[Failed]()
    queue, children = list(jobs), set[ChildProcess]()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)

    async def worker() -> None:
        while queue and not stopped.is_set():
            job = queue.pop(0)
            arguments = ["rig", "run", job.plan, "--seed", str(job.seed), "--store", str(store), "--quiet"]
            if job.revision:
                arguments += ["--revision", job.revision]
            if job.command:
                arguments += ["--command", job.command]
            kept = None if evidence is None else evidence / f"{Path(job.plan).stem}-{job.seed}"
            if kept is not None:
                arguments += ["--keep", str(kept)]
            with tempfile.TemporaryFile() as stderr:
                child = ChildProcess((sys.executable, "-m", "sprucenotch", *arguments), stderr=stderr)
                children.add(child)
                code = await child.wait()
                children.discard(child)
                # A run that crashes also exits with code 1, but prints a traceback.
                crashed = code == 1 and stderr.tell() > 0
                if (code not in (0, 1, 4) or crashed) and not stopped.is_set():
                    stderr.seek(0)
                    trace = stderr.read().decode(errors="replace").strip()
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
            child.signal(signal.SIGINT)  # each stops its own processes and stores what it has
        await asyncio.gather(*workers, return_exceptions=True)
        raise KeyboardInterrupt
    stopping.cancel()
    for worker_ in workers:
        worker_.result()
    return failed


def error_of(trace: str) -> str:
    """The last line of a trace that names an error, without the frame that is drawn around the members of an
    exception group."""
    lines = [line.strip(FRAME) for line in trace.splitlines()]
    lines = [line for line in lines if line]
    named = [line for line in lines if ERROR.match(line)]
    return (named or lines or ["it said nothing"])[-1]

"""What a sidecar costs: processor time a request, latency added, memory; against the direct path and, in the
same run and in turns, against an earlier revision.

    python benchmarks/sidecar.py                  # this tree alone, beside the direct path
    python benchmarks/sidecar.py --against REV    # and a revision of this repository

Each round sends the same closed load to the engines themselves, then to each sidecar, every process on a
core of its own. Processor time is the kernel's account of the sidecar's threads. Prints medians over the
rounds, and the ratio to the revision with the quartiles of its rounds.
"""

from __future__ import annotations

import argparse
import asyncio
import compileall
import contextlib
import io
import os
import statistics
import subprocess
import sys
import tarfile
import tempfile
import time
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import uvloop

from sprucenotch.rig.client import Clients, Ended, Kind
from sprucenotch.rig.engine import Work
from sprucenotch.rig.fleet import Fleet
from sprucenotch.rig.process import SidecarProcess, free_address

ROOT = Path(__file__).resolve().parent.parent
KINDS = {Kind("look", False, 2.0, 0.5): Work(0.002), Kind("book", True, 2.0, 0.5, 5.0): Work(0.002)}
STARTS = 9  # of each version, for the cost of a start


class Version:
    def __init__(self, label: str, tree: Path) -> None:
        self.label, self.tree = label, tree
        deploy = tomllib.loads((tree / "deploy" / "balancer.toml").read_text())
        words = deploy["run"].split()
        self.command = (sys.executable, "-m", words[words.index("-m") + 1])
        # Bytecode as the deployment's build leaves it: compiling at the start would cost memory and time.
        compileall.compile_dir(tree / self.command[2], quiet=1)
        self.cpu: list[float] = []  # microseconds a request, by round
        self.latency: list[float] = []  # milliseconds, the median of a round
        self.tail: list[float] = []  # the 99th percentile
        self.memory: list[int] = []
        self.start: list[tuple[float, float]] = []  # seconds of processor time, megabytes resident


@contextlib.contextmanager
def checkout(revision: str) -> Iterator[Path]:
    """The tree of a revision, in a folder for the time being."""
    raw = subprocess.run(
        ("git", "archive", revision, ":!journal"), cwd=ROOT, check=True, capture_output=True
    ).stdout
    with tempfile.TemporaryDirectory(prefix="revision-") as folder:
        with tarfile.open(fileobj=io.BytesIO(raw)) as archive:
            archive.extractall(folder, filter="data")
        yield Path(folder)


async def load(dial: str, requests: int, connections: int) -> tuple[float, float]:
    """A closed load: the median and the 99th percentile of the latencies, in milliseconds."""
    took: list[float] = []

    def report(ended: Ended) -> None:
        if ended.status != 200:
            raise SystemExit(f"a request ended with {ended.status}: the figures would mean nothing")
        took.append(ended.took * 1000)

    clients = Clients(dial, report)
    kinds = list(KINDS)

    async def one() -> None:
        while len(took) < requests:
            await clients.ask(kinds[len(took) % len(kinds)])

    await asyncio.gather(*(one() for _ in range(connections)))
    await clients.finish()
    percentiles = statistics.quantiles(took, n=100)
    return percentiles[49], percentiles[98]


def start_cost(version: Version) -> tuple[float, float]:
    """Seconds of processor time and megabytes resident after the imports of `run`."""
    code = (
        f"import importlib, time\nimportlib.import_module('{version.command[2]}.__main__')\n"
        f"try: importlib.import_module('{version.command[2]}.node.serve')\n"  # where it is apart
        "except ModuleNotFoundError: pass\nused = time.process_time()\n"
        "pages = int(open('/proc/self/statm').read().split()[1]); print(used, pages * 4096 / 1e6)"
    )
    done = subprocess.run(
        (sys.executable, "-c", code), cwd=version.tree, check=True, capture_output=True, text=True
    )
    used, held = map(float, done.stdout.split())
    return used, held


async def play(versions: list[Version], options: argparse.Namespace) -> tuple[list[float], list[float]]:
    fleet = Fleet(KINDS, engines=4, slots=64)
    await fleet.start()
    direct: list[float] = []
    tails: list[float] = []
    with contextlib.ExitStack() as running:
        sidecars = []
        for number, version in enumerate(versions):
            told: dict[str, Any] = fleet.configuration(0, 1, free_address(), free_address())
            process = running.enter_context(SidecarProcess(told, version.command, version.tree))
            os.sched_setaffinity(process.process.pid, {2 + number})
            await process.ready()
            await load(process.listen, options.requests // 4, options.connections)  # warm
            sidecars.append((version, process))
        for number in range(options.rounds):
            median, tail = await load(fleet.engines[0].server.dial, options.requests, options.connections)
            direct.append(median)
            tails.append(tail)
            for version, process in sidecars if number % 2 else reversed(sidecars):
                before = process.cpu()
                median, tail = await load(process.listen, options.requests, options.connections)
                version.cpu.append((process.cpu() - before) / options.requests / 1000)
                version.latency.append(median)
                version.tail.append(tail)
                version.memory.append(process.memory()[0])
    fleet.stop()
    return direct, tails


def ratio(mine: list[float], theirs: list[float]) -> str:
    ratios = [a / b for a, b in zip(mine, theirs, strict=True)]
    low, middle, high = statistics.quantiles(ratios, n=4)
    return f"{middle:.3f} ({low:.3f} to {high:.3f})"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--against", metavar="REV", help="a revision to compare with")
    parser.add_argument("--rounds", type=int, default=8)
    parser.add_argument("--requests", type=int, default=4000, help="of a round, for each path")
    parser.add_argument("--connections", type=int, default=4)
    options = parser.parse_args()
    os.sched_setaffinity(0, {0, 1})
    with contextlib.ExitStack() as stack:
        versions = [Version("this tree", ROOT)]
        if options.against:
            versions.append(Version(options.against, stack.enter_context(checkout(options.against))))
        for version in versions * STARTS:
            version.start.append(start_cost(version))
        began = time.perf_counter()
        direct, tails = uvloop.run(play(versions, options))
    print(f"{options.rounds} rounds of {options.requests} requests, {time.perf_counter() - began:.0f} s")
    base, base_tail = statistics.median(direct), statistics.median(tails)
    print(f"{'direct':<12} median {base:.3f} ms, p99 {base_tail:.3f} ms")
    for version in versions:
        used, held = (statistics.median(values) for values in zip(*version.start, strict=True))
        print(
            f"{version.label:<12} CPU {statistics.median(version.cpu):.1f} us a request, "
            f"adds {statistics.median(version.latency) - base:.3f} ms, "
            f"p99 {statistics.median(version.tail) - base_tail:.3f} ms; "
            f"resident {statistics.median(version.memory) / 1e6:.1f} MB; "
            f"imports {used:.3f} s of CPU, {held:.1f} MB"
        )
    if len(versions) > 1:
        mine, theirs = versions
        for name, a, b in (
            ("CPU a request", mine.cpu, theirs.cpu),
            ("latency", mine.latency, theirs.latency),
            ("memory", [float(m) for m in mine.memory], [float(m) for m in theirs.memory]),
            ("import CPU", [s[0] for s in mine.start], [s[0] for s in theirs.start]),
            ("import memory", [s[1] for s in mine.start], [s[1] for s in theirs.start]),
        ):
            print(f"ratio, {name}: {ratio(a, b)}")


if __name__ == "__main__":
    main()

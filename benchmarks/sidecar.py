"""Measures the cost of a sidecar: CPU time per request, added latency and memory, compared with direct
requests and optionally, alternating in the same run, with another revision.

    python benchmarks/sidecar.py                  # this tree, compared with direct requests
    python benchmarks/sidecar.py --against REV    # and with a revision of this repository

Each round sends the same closed-loop load to an engine directly, then to each sidecar, with every process on
its own core. CPU time is that of the sidecar's threads as accounted by the kernel. It prints medians over
the rounds, and the median ratio to the revision with its quartiles.
"""

from __future__ import annotations

import argparse
import asyncio
import compileall
import itertools
import os
import statistics
import subprocess
import sys
import time

import uvloop

from sprucenotch.testbed.client import ClientCall, Clients, RequestResult
from sprucenotch.testbed.environment import Environment
from sprucenotch.testbed.load import kind
from sprucenotch.testbed.plan import Class, Fleet, Load, Plan
from sprucenotch.testbed.revision import ROOT, Program, Programs

CLASSES = (
    Class(name="look", work=2_000_000, spread=0, aim=500_000_000),
    Class(name="book", work=2_000_000, spread=0, aim=500_000_000, worth=5, effect="dedup"),
)
STARTS = 9  # of each version, to measure the cost of a start


load_numbers = itertools.count()


class Version:
    """A revision of the sidecar with its measurements."""

    def __init__(self, label: str, program: Program) -> None:
        self.label, self.program = label, program
        self.tree = program.cwd or ROOT
        self.module = program.command[-1]
        self.cpu: list[float] = []  # microseconds per request, for each round
        self.latency: list[float] = []  # milliseconds, the median of each round
        self.tail: list[float] = []  # milliseconds, the 99th percentile of each round
        self.memory: list[int] = []  # bytes resident
        self.start: list[tuple[float, float]] = []  # seconds of CPU time, megabytes resident


async def load(dial: str, requests: int, connections: int) -> tuple[float, float]:
    """Run a closed-loop load; the median and the 99th percentile of the latency, in milliseconds."""
    latencies: list[float] = []

    def report(ended: RequestResult) -> None:
        if ended.status != 200:
            raise SystemExit(f"a request ended with {ended.status}: the figures would mean nothing")
        latencies.append(ended.took * 1000)

    clients = Clients(dial, report, name=f"load-{next(load_numbers)}")  # ids are new in each load
    asks = [ClientCall(kind(cls)) for cls in CLASSES]

    async def connection() -> None:
        while len(latencies) < requests:
            await clients.ask(asks[len(latencies) % len(asks)])

    await asyncio.gather(*(connection() for _ in range(connections)))
    await clients.finish()
    percentiles = statistics.quantiles(latencies, n=100)
    return percentiles[49], percentiles[98]


def start_cost(version: Version) -> tuple[float, float]:
    """CPU seconds and megabytes resident after the imports of the sidecar."""
    code = (
        f"import importlib, time\nimportlib.import_module('{version.module}.__main__')\n"
        f"try: importlib.import_module('{version.module}.node.serve')\n"  # missing in some revisions
        "except ModuleNotFoundError: pass\nused = time.process_time()\n"
        "pages = int(open('/proc/self/statm').read().split()[1]); print(used, pages * 4096 / 1e6)"
    )
    done = subprocess.run(
        (sys.executable, "-c", code), cwd=version.tree, check=True, capture_output=True, text=True
    )
    used, held = map(float, done.stdout.split())
    return used, held


async def play(versions: list[Version], options: argparse.Namespace) -> tuple[list[float], list[float]]:
    plan = Plan("", 1.0, 0.0, Fleet(sidecars=len(versions), engines=4, slots=64, queue=8), Load(), CLASSES)
    direct: list[float] = []
    tails: list[float] = []
    programs = {f"sidecar-{number}": version.program for number, version in enumerate(versions)}
    async with Environment(plan, seed=1, programs=programs) as environment:
        sidecars = list(zip(versions, environment.sidecars.values(), strict=True))
        for number, (_, sidecar) in enumerate(sidecars):
            os.sched_setaffinity(sidecar.process.pid, {2 + number})
            await load(sidecar.listen, options.requests // 4, options.connections)  # warm-up
        for number in range(options.rounds):
            median, tail = await load(
                environment.engines["engine-0"].dial, options.requests, options.connections
            )
            direct.append(median)
            tails.append(tail)
            for version, sidecar in sidecars if number % 2 else reversed(sidecars):
                process = sidecar.process
                before = process.cpu()
                median, tail = await load(sidecar.listen, options.requests, options.connections)
                version.cpu.append((process.cpu() - before) / options.requests / 1000)
                version.latency.append(median)
                version.tail.append(tail)
                version.memory.append(process.memory()[0])
    return direct, tails


def ratio(mine: list[float], theirs: list[float]) -> str:
    """The median of the ratios by round, with the quartiles."""
    ratios = [a / b for a, b in zip(mine, theirs, strict=True)]
    low, middle, high = statistics.quantiles(ratios, n=4)
    return f"{middle:.3f} ({low:.3f} to {high:.3f})"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--against", metavar="REV", help="revision to compare with")
    parser.add_argument("--rounds", type=int, default=8)
    parser.add_argument("--requests", type=int, default=4000, help="per round and path")
    parser.add_argument("--connections", type=int, default=4)
    options = parser.parse_args()
    os.sched_setaffinity(0, {0, 1})
    with Programs() as programs:
        compileall.compile_dir(ROOT / "sprucenotch", quiet=1)
        versions = [Version("this tree", programs.program(""))]
        if options.against:
            versions.append(Version(options.against, programs.program(options.against)))
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

"""Measures the testbed itself: the highest rate at which it sends, relays and serves requests on time.

    python benchmarks/rig.py

Clients, a relay and an engine run in one process, without a sidecar, at increasing rates, until the load is
later than the testbed allows or an answer is missing. It prints a line for each rate, and then the highest
one that was on time. In a plan with link faults, each affected link has one such relay.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics
import time

import uvloop

from sprucenotch.testbed.client import ClientCall, Clients, Kind, RequestResult
from sprucenotch.testbed.engine import Engine, Work
from sprucenotch.testbed.net.link import Link
from sprucenotch.testbed.net.relay import Relay
from sprucenotch.testbed.process import raise_descriptor_limit
from sprucenotch.testbed.runner import MAX_LOAD_LAG, MAX_LOAD_LAG_P99

KIND = Kind("look", False, 2.0, 0.5)


async def play(rate: float, seconds: float, relayed: bool) -> tuple[float, float, int, int]:
    """The 99th percentile and maximum of the lateness in milliseconds, answers and requests."""
    work = {b"look": Work(0.002)}
    engine = Engine("engine-0", "", work, slots=10_000, queue=0, seed=1)
    await engine.start()
    dial = engine.dial
    host, _, port = dial.rpartition(":")
    relay = Relay(Link("client", "engine-0"), lambda: (host, int(port)))
    relay.open()
    ended: list[RequestResult] = []
    clients = Clients(relay.dial if relayed else dial, ended.append)
    rng, lateness, sent = random.Random(1), list[float](), 0
    due = time.monotonic()
    until = due + seconds
    while (due := due + rng.expovariate(rate)) < until:
        if (now := time.monotonic()) < due:
            await asyncio.sleep(due - now)
        lateness.append(max(0.0, time.monotonic() - due))
        clients.send(ClientCall(KIND))
        sent += 1
    await clients.finish()
    relay.close()
    await engine.stop()
    served = sum(result.outcome == "served" for result in ended)
    return statistics.quantiles(lateness, n=100)[98] * 1000, max(lateness) * 1000, served, sent


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--seconds", type=float, default=3.0, help="of each rate")
    parser.add_argument("--most", type=float, default=20_000.0, help="highest rate, in requests a second")
    options = parser.parse_args()
    raise_descriptor_limit()
    for relayed in (False, True):
        print("through a relay" if relayed else "direct")
        rate, highest = 250.0, 0.0
        while rate <= options.most:
            p99, peak, served, sent = uvloop.run(play(rate, options.seconds, relayed))
            in_time = p99 <= MAX_LOAD_LAG_P99 * 1000 and peak <= MAX_LOAD_LAG * 1000 and served == sent

            print(
                f" {rate:7.0f} a second: late by {p99:.1f} ms (p99), {peak:.1f} ms; {served} of {sent} served"
            )
            if not in_time:
                break
            highest, rate = rate, rate * 2**0.5
        print(f"  highest rate on time: {highest:.0f} a second")


if __name__ == "__main__":
    main()

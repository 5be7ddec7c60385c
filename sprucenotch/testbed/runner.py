"""Runs a plan: starts processes, sends load, injects faults, and checks the recorded history."""

from __future__ import annotations

import asyncio
import contextlib
import statistics
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from sprucenotch.testbed import nemesis, revision
from sprucenotch.testbed.checker import client_checks, recovery_checks, request_checks
from sprucenotch.testbed.checker.history import Event, Figures, Lag, Process
from sprucenotch.testbed.checker.ledger import MIN_LAG, Finding, Invariant, Ledger, Rules, Terms
from sprucenotch.testbed.client import Clients, RequestResult
from sprucenotch.testbed.environment import Environment
from sprucenotch.testbed.faults import Retune
from sprucenotch.testbed.injection import FaultInjector
from sprucenotch.testbed.load import Load
from sprucenotch.testbed.plan import SECOND, Plan, Step
from sprucenotch.testbed.process import ProcessError, RunError, http_get
from sprucenotch.testbed.revision import Program
from sprucenotch.testbed.summary import Summary, summarize

LAG_INTERVAL = 0.01  # seconds between measurements of the testbed's own lag
MAX_LOAD_LAG = 0.25  # seconds; a load that lags more does not match the plan
MAX_LOAD_LAG_P99 = 0.02  # seconds, at the 99th percentile
IDLE_TIMEOUT = 2.0  # seconds for a sidecar to finish the requests in progress


class SecondStats(Struct, frozen=True):
    """Measurements of one second of a run."""

    at: float  # seconds since the first request
    ended: Counter[tuple[str, str]]  # by class and outcome, as the clients saw it
    served: Mapping[str, int]  # requests, by engine
    held: Mapping[str, int]  # requests in progress, by engine
    cpu: Mapping[str, float]  # share of a core, by sidecar
    gauges: Mapping[str, Mapping[str, float]]  # by sidecar


class Result(Struct, frozen=True, kw_only=True):
    """The outcome of a run."""

    title: str
    seed: int
    revision: str
    began: float  # time of the first request in the history
    seconds: float  # end of the run, on the same clock as `began`
    summary: Summary
    findings: Sequence[Finding]
    judged: Mapping[str, int]
    excused: Mapping[str, int]
    faults: Sequence[str]
    lateness: Mapping[str, float]  # of the load, seconds
    held_back: int
    interrupted: bool

    @property
    def late(self) -> bool:
        """Whether the testbed could not keep up, so that the result says nothing about the program."""
        return bool(
            self.held_back or self.lateness["p99"] > MAX_LOAD_LAG_P99 or self.lateness["most"] > MAX_LOAD_LAG
        )


class PlanRun:
    """One run of a plan. `each_second` is called with the measurements of each second."""

    def __init__(
        self,
        plan: Plan,
        seed: int,
        each_second: Callable[[SecondStats], None] = lambda second: None,
        invariants: Sequence[Invariant] | None = None,
        folder: Path | None = None,
        programs: Mapping[str, Program] | None = None,
    ) -> None:
        self.plan, self.seed, self._each_second = plan, seed, each_second
        self._invariants = request_checks.standard_invariants() if invariants is None else invariants
        self.environment = Environment(plan, seed, folder, programs)
        self.faults = FaultInjector(self.environment)
        self.total: Counter[tuple[str, str]] = Counter()
        self.load: Load | None = None
        self.seconds: list[SecondStats] = []
        self.logs: dict[str, str] = {}
        self.stopped = asyncio.Event()
        self.interrupted = False
        self._recent: Counter[tuple[str, str]] = Counter()
        self._steps = nemesis.steps(plan, seed)
        self.began = 0.0  # the monotonic clock at the first request

    def interrupt(self) -> None:
        """Stop now, as at the end of the plan."""
        self.interrupted = True
        self.stopped.set()

    @property
    def late(self) -> float:
        """The maximum lag of the load, in seconds."""
        return max(self.load.lateness, default=0.0) if self.load is not None else 0.0

    def _count_ended(self, ended: RequestResult) -> None:
        self._recent[ended.kind.name, ended.outcome] += 1

    async def run(self) -> Result:
        """Run the whole plan. Raises RunError if a process does not start, or ends unexpectedly.

        All processes have ended when this returns or raises.
        """
        async with self.environment as environment:
            clients = {
                name: Clients(
                    environment.dial(name), name=f"c{number}", sidecar=name, on_event=environment.on_event,
                    origin=environment.origin, life=lambda name=name: environment.sidecars[name].life,  # type: ignore[misc]
                    churn=float(self.plan.load.churn),
                )
                for number, name in enumerate(environment.sidecars)
            }  # fmt: skip
            self.load = Load(self.plan, self.seed, clients, lambda: self.faults.load, self._count_ended)
            self.began = time.monotonic()
            lag = asyncio.create_task(self._watch_lag())
            try:
                await self._run_tasks(self.load)
                await self._record_telemetry()
            finally:
                lag.cancel()
                self.logs = environment.logs()
                started = {
                    (e.name, e.life): e.at
                    for e in environment.history
                    if isinstance(e, Process) and e.what == "started"
                }
                environment.history += recovery_checks.restored_states(self.logs, started)
                environment.history += client_checks.logged_faults(self.logs, started)
                if self.plan.fleet.log == "debug":
                    environment.history += list(environment.sent_attempts())
        self.total += self._recent
        return self._result(environment.history)

    async def _run_tasks(self, load: Load) -> None:
        """Run load, faults and measurements concurrently; a failure of one cancels the others."""
        end = self.began + self.plan.length
        load_task = asyncio.create_task(load.run(end))
        fault_task = asyncio.create_task(self._inject_faults())
        measure_task = asyncio.create_task(self._measure(end))
        tasks = (load_task, fault_task, measure_task)
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_EXCEPTION)
            for task in done:
                with contextlib.suppress(Stopped):
                    task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        await self.faults.heal_all()
        await load.finish()
        await asyncio.sleep(0 if self.interrupted else self.plan.settle)

    async def _inject_faults(self) -> None:
        """Run all steps; of several failures at once, raise the first."""
        try:
            await self._inject_steps()
        except* RunError as problems:
            raise problems.exceptions[0] from None

    async def _inject_steps(self) -> None:
        """Inject and heal each fault at its times."""

        async def inject(step: Step) -> None:
            await asyncio.sleep(max(0.0, self.began + step.at - time.monotonic()))
            number = await self.faults.begin(step.fault)
            await asyncio.sleep(max(0.0, self.began + step.at + step.lasts - time.monotonic()))
            await self.faults.heal(number)

        async with asyncio.TaskGroup() as group:
            for step in self._steps:
                group.create_task(inject(step))

    async def _measure(self, end: float) -> None:
        """Take the measurements of each second until the end. Raises Stopped on an interrupt."""
        environment = self.environment
        served, cpu, previous = self._served(), self._cpu(), self.began
        while (now := time.monotonic()) < end and not self.stopped.is_set():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.stopped.wait(), min(1.0, end - now))
            for sidecar in environment.sidecars.values():
                sidecar.check()
            now, recent, self._recent = time.monotonic(), self._recent, Counter()
            self.total += recent
            served_before, served = served, self._served()
            cpu_before, cpu = cpu, self._cpu()
            second = SecondStats(
                now - self.began, recent, {n: c - served_before.get(n, 0) for n, c in served.items()},
                {place: one.held for place, one in environment.engines.items()},
                {n: (c - cpu_before.get(n, c)) / 1e9 / (now - previous) for n, c in cpu.items()},
                await self._gauges(),
            )  # fmt: skip
            previous = now
            self.seconds.append(second)
            self._each_second(second)
        if self.stopped.is_set():
            raise Stopped

    def _served(self) -> dict[str, int]:
        return {one.name: one.served for one in self.environment.engines.values()}

    def _cpu(self) -> dict[str, int]:
        found = {}
        for name, sidecar in self.environment.sidecars.items():
            with contextlib.suppress(OSError):
                found[name] = sidecar.process.cpu()
        return found

    async def _gauges(self) -> dict[str, dict[str, float]]:
        """Metrics of the sidecars, without those that do not answer at once."""
        names = list(self.environment.sidecars)
        results = await asyncio.gather(
            *(asyncio.to_thread(_read_gauges, self.environment.sidecars[n]) for n in names)
        )
        return {name: gauges for name, gauges in zip(names, results, strict=True) if gauges}

    async def _watch_lag(self) -> None:
        """Record each lag of this process's event loop."""
        due = time.monotonic() + LAG_INTERVAL
        while True:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            now = time.monotonic()
            if now - due >= MIN_LAG:
                self.environment.on_event(Lag(at=self.environment.now(), late=now - due))
            due = now + LAG_INTERVAL

    async def _record_telemetry(self) -> None:
        """Record the telemetry of each sidecar once it has no request in progress."""
        for name, sidecar in self.environment.sidecars.items():
            sidecar.check()
            until = time.monotonic() + IDLE_TIMEOUT
            while True:
                try:
                    status, body = await asyncio.to_thread(http_get, sidecar.mgmt, "/api/telemetry", 2.0)
                except OSError as problem:
                    raise ProcessError(f"{name} does not return its telemetry: {problem}") from None
                telemetry = msgspec.json.decode(body) if status == 200 else {}
                if telemetry.get("in_progress") == 0 or time.monotonic() > until:
                    break
                await asyncio.sleep(0.05)
            self.environment.on_event(
                Figures(at=self.environment.now(), sidecar=name, life=sidecar.life, told=telemetry)
            )

    def _result(self, history: Sequence[Event]) -> Result:
        plan = self.plan
        terms = {c.name: Terms(c.effect, c.window / SECOND) for c in plan.classes}
        retuned = [fault.attempts for fault in plan.faults if isinstance(fault, Retune)]
        rules = Rules(attempts=max(plan.fleet.attempts, *retuned, 0))
        if plan.fleet.state != "none":
            rules = rules._replace(state=plan.fleet.state)
        if plan.fleet.discovery != "pushed":
            rules = rules._replace(max_push_delay=None)
        ledger = Ledger(history, terms, rules)
        findings = ledger.check(self._invariants)
        late = sorted(self.load.lateness if self.load is not None else [0.0]) or [0.0]
        p99 = statistics.quantiles(late, n=100)[98] if len(late) > 1 else late[0]
        return Result(
            title=plan.title, seed=self.seed, revision=revision.name(plan.fleet.revision or "HEAD"),
            began=self.began - self.environment.origin, seconds=self.environment.now(),
            summary=summarize(ledger.history, plan.classes), findings=findings,
            judged=dict(ledger.judged), excused=dict(ledger.excused),
            faults=[str(step.fault.__struct_config__.tag) for step in self._steps],
            lateness={"median": statistics.median(late), "p99": p99, "most": late[-1]},
            held_back=self.load.held_back if self.load is not None else 0, interrupted=self.interrupted,
        )  # fmt: skip


class Stopped(RunError):
    """The run was interrupted."""


GAUGES = (b"cut", b"pressure", b"retry_budget", b"resident_memory_bytes", b"open_descriptors")


def _read_gauges(sidecar: Any) -> dict[str, float]:
    """The metrics in GAUGES; empty if the sidecar does not answer."""
    try:
        status, body = http_get(sidecar.mgmt, "/metrics", 0.3)
    except OSError:
        return {}
    found: dict[str, float] = {}
    if status == 200:
        for line in body.splitlines():
            name, _, value = line.removeprefix(b"sprucenotch_").partition(b" ")
            if name in GAUGES:
                found[name.decode()] = float(value)
    return found

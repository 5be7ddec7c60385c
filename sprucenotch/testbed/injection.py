"""Injects faults into a running testbed and heals them.

The begin and the end of each are recorded in the history, with the processes and links that it affects.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, TypeAlias

from sprucenotch.testbed import faults
from sprucenotch.testbed.checker import history
from sprucenotch.testbed.environment import Environment
from sprucenotch.testbed.faults import Fault, OnLinks, OnProcesses
from sprucenotch.testbed.misbehaving_clients import MisbehavingClients
from sprucenotch.testbed.net.link import Link, LinkFault
from sprucenotch.testbed.plan import SECOND, matching_links, matching_processes
from sprucenotch.testbed.process import RunError
from sprucenotch.testbed.sidecar import restart
from sprucenotch.testbed.syscalls import SHORT, Call, Rule

LINKS_PER_BATCH = 16  # about 70 us each

Heal: TypeAlias = Callable[[], Awaitable[None]]


class ActiveFault(NamedTuple):
    """A fault in effect. Processes are given by name, links as "a>b"."""

    affected: tuple[str, ...]
    excused: tuple[str, ...]  # processes and links on which findings are excused while it lasts
    heal: Heal


class FaultInjector:
    """The faults in effect, each under its own number."""

    def __init__(self, environment: Environment) -> None:
        self.environment = environment
        self.load = 1.0  # factor of the planned load
        self._number = 0
        self._active: dict[int, tuple[str, ActiveFault]] = {}
        self._surges: dict[int, float] = {}

    async def begin(self, fault: Fault) -> int:
        """Inject a fault and return its number; wait for a self-ending one. Raises RunError."""
        self._number += 1
        number, do = self._number, str(fault.__struct_config__.tag)
        rng = random.Random(f"{self.environment.seed} {number}")
        active_fault = await self._begin(number, fault, rng)
        self._active[number] = (do, active_fault)
        self._record(number, do, active_fault, True)
        if isinstance(fault, faults.SELF_ENDING):
            await self.heal(number)
        return number

    async def heal(self, number: int) -> None:
        """Undo a fault, or wait for its end. Does nothing if it is already healed."""
        if number in self._active:
            do, active_fault = self._active.pop(number)
            await active_fault.heal()
            self._record(number, do, active_fault, False)

    async def heal_all(self) -> None:
        for number in tuple(self._active):
            await self.heal(number)

    def _record(self, number: int, do: str, active_fault: ActiveFault, on: bool) -> None:
        self.environment.on_event(
            history.Fault(
                at=self.environment.now(), number=number, do=do, befalls=active_fault.affected,
                hits=active_fault.excused, on=on,
            )
        )  # fmt: skip

    async def _begin(self, number: int, fault: Fault, rng: random.Random) -> ActiveFault:
        if isinstance(fault, OnLinks):
            return await self._on_links(number, fault)
        if isinstance(fault, OnProcesses):
            return await self._on_processes(
                fault, _sample(matching_processes(fault.on, self.environment.plan.fleet), fault.share, rng)
            )
        if isinstance(fault, faults.Discovery):
            return await self._on_discovery(fault)
        assert isinstance(fault, faults.Surge)
        return self._surge(number, fault)

    async def _on_links(self, number: int, fault: OnLinks) -> ActiveFault:
        pairs = matching_links(fault, self.environment.plan.fleet)
        affected, link_fault = [self.environment.network.links[pair] for pair in pairs], _link_fault(fault)

        async def heal() -> None:
            await _in_batches(affected, lambda link: link.remove_fault(number))

        await _in_batches(affected, lambda link: link.add_fault(number, link_fault))

        names = tuple(f"{source}>{target}" for source, target in pairs)
        return ActiveFault(names, names, heal)

    async def _on_processes(self, fault: OnProcesses, targets: Sequence[str]) -> ActiveFault:
        environment = self.environment
        match fault:
            case faults.Pause():
                return _on_children(environment, targets, lambda c: c.pause(), lambda c: c.resume())
            case faults.SlowCpu():
                return _on_children(
                    environment, targets, lambda c: c.slow(fault.cpu), lambda c: c.end_slowdown()
                )
            case faults.WrongClock():
                return _wrong_clocks(environment, fault, targets)
            case faults.Retune():
                return await _retune(environment, fault, targets)
            case faults.Engines():
                return await _engine_trouble(environment, fault, targets)
            case faults.SystemCalls():
                return _system_calls(environment, fault, targets)
            case faults.ClockStep():
                return _clock_step(environment, fault, targets)
            case faults.Reload():
                return _staggered(environment, targets, 0, lambda name: _reload(environment, fault, name))
            case faults.MisbehavingClients():
                return _misbehaving_clients(environment, fault, targets)
            case faults.Restart():
                return _staggered(
                    environment, targets, fault.stagger, lambda name: _restart(environment, fault, name)
                )
            case faults.Replace():
                return _staggered(
                    environment, targets, fault.stagger, lambda name: _replace(environment, fault, name)
                )
        raise AssertionError(fault)

    async def _on_discovery(self, fault: faults.Discovery) -> ActiveFault:
        discovery = self.environment.discovery
        if fault.behind:
            await discovery.behind(fault.behind / SECOND)
            return ActiveFault(("discovery",), (), lambda: discovery.behind(0.0))
        if fault.late:
            await discovery.late(fault.late / SECOND)
            return ActiveFault(("discovery",), (), lambda: discovery.late(0.0))
        await discovery.stop()
        return ActiveFault(("discovery",), ("discovery",), discovery.start)

    def _surge(self, number: int, fault: faults.Surge) -> ActiveFault:
        self._surges[number] = float(fault.times)
        self._update_load()

        async def heal() -> None:
            del self._surges[number]
            self._update_load()

        return ActiveFault(("client",), (), heal)

    def _update_load(self) -> None:
        self.load = 1.0
        for times in self._surges.values():
            self.load *= times


async def _in_batches(affected: Sequence[Link], change: Callable[[Link], None]) -> None:
    """Apply it in batches, as hundreds of links in one turn of the event loop would delay the load."""
    for number, link in enumerate(affected, 1):
        change(link)
        if number % LINKS_PER_BATCH == 0:
            await asyncio.sleep(0)


def _sample(names: Sequence[str], share: float, rng: random.Random) -> list[str]:
    """A random sample of at least one name, in the given order."""
    sampled = set(rng.sample(names, max(1, round(share * len(names)))))
    return [name for name in names if name in sampled]


def _link_fault(fault: OnLinks) -> LinkFault:
    match fault:
        case faults.Cut():
            return LinkFault(fault.way, cut=True)
        case faults.Delay():
            return LinkFault(fault.way, delay=fault.by / SECOND, jitter=fault.jitter / SECOND)
        case faults.Rate():
            return LinkFault(fault.way, rate=float(fault.per_second))
        case faults.Reset():
            return LinkFault(fault.way, reset_after=fault.after)
        case faults.HalfOpen():
            return LinkFault(fault.way, half_open=True)
        case faults.Datagrams():
            return LinkFault(
                fault.way, loss=fault.lost, duplicate=fault.doubled, reorder=fault.overtaken,
                jitter=fault.by / SECOND,
            )  # fmt: skip
    raise AssertionError(fault)


def _on_children(
    environment: Environment, targets: Sequence[str], begin: Callable[..., None], end: Callable[..., None]
) -> ActiveFault:
    """Affect the processes that run now, not those started later under the same names."""
    children = []
    for name in targets:
        with contextlib.suppress(RunError):
            children.append(environment.child(name))
    for child in children:
        begin(child)

    async def heal() -> None:
        for child in children:
            if child.alive:
                end(child)

    return ActiveFault(tuple(targets), tuple(targets), heal)


def _wrong_clocks(environment: Environment, fault: faults.WrongClock, targets: Sequence[str]) -> ActiveFault:
    clock = {"offset_ns": int(fault.ahead) - int(fault.behind), "drift_ppm": fault.drift_ppm}
    environment.clocks.update(dict.fromkeys(targets, clock))

    async def heal() -> None:
        for name in targets:
            environment.clocks.pop(name, None)

    return ActiveFault(tuple(targets), (), heal)


def _system_calls(environment: Environment, fault: faults.SystemCalls, targets: Sequence[str]) -> ActiveFault:
    """Make system calls fail. No findings are excused: all guarantees hold in spite of these failures."""
    call = Call[fault.call.upper()]
    error = SHORT if fault.error == "short" else int(getattr(errno, fault.error))
    for name in targets:
        environment.controls[name].fail(Rule(call, error, fault.every))

    async def heal() -> None:
        for name in targets:
            environment.controls[name].heal(call)

    return ActiveFault(tuple(targets), (), heal)


def _clock_step(environment: Environment, fault: faults.ClockStep, targets: Sequence[str]) -> ActiveFault:
    for name in targets:
        environment.controls[name].step_wall_clock(int(fault.ahead) - int(fault.behind))

    async def heal() -> None:
        for name in targets:
            environment.controls[name].step_wall_clock(0)

    return ActiveFault(tuple(targets), (), heal)


async def _reload(environment: Environment, fault: faults.Reload, name: str) -> None:
    for number in range(fault.times, 0, -1):
        if fault.broken:
            environment.truncate_configuration(name)
        await asyncio.sleep(fault.gap / SECOND)
        other_attempts = environment.plan.fleet.attempts + 1
        await environment.retune(name, None if number == 1 else other_attempts if number % 2 else None)
        await asyncio.sleep(fault.gap / SECOND)


def _misbehaving_clients(
    environment: Environment, fault: faults.MisbehavingClients, targets: Sequence[str]
) -> ActiveFault:
    clients = MisbehavingClients(environment.plan, environment.on_event, environment.origin, environment.seed)
    dials = {name: environment.dial(name) for name in targets}
    task = asyncio.ensure_future(clients.run(fault.how, dials, float(fault.per_second), environment.lives))

    async def heal() -> None:
        task.cancel()
        await clients.finish()

    return ActiveFault(tuple(targets), (), heal)


async def _retune(environment: Environment, fault: faults.Retune, targets: Sequence[str]) -> ActiveFault:
    async def set_attempts(attempts: int | None) -> None:
        for name in targets:
            async with environment.locks[name]:
                await environment.retune(name, attempts)

    await set_attempts(fault.attempts)
    return ActiveFault(tuple(targets), (), lambda: set_attempts(None))


async def _engine_trouble(
    environment: Environment, fault: faults.Engines, targets: Sequence[str]
) -> ActiveFault:
    async def set_trouble(name: str, on: bool) -> None:
        engine, key = environment.engines[name], (name, fault.trouble)
        environment.troubles[key] += 1 if on else -1
        if environment.troubles[key] != int(on):  # another fault with the same effect is active
            return
        if fault.trouble == "dead":
            async with environment.locks[name]:
                await (environment.kill_engine(name) if on else environment.restart_engine(name))
        elif fault.trouble == "slow":
            await engine.tune(slower=fault.times if on else 1.0)
        else:
            await engine.tune(**{fault.trouble: on})

    for name in targets:
        await set_trouble(name, True)

    async def heal() -> None:
        for name in targets:
            await set_trouble(name, False)

    return ActiveFault(tuple(targets), (), heal)


def _staggered(
    environment: Environment, targets: Sequence[str], stagger: float, action: Callable[[str], Awaitable[None]]
) -> ActiveFault:
    """Run the action on one process after another, `stagger` nanoseconds apart; healing waits for all."""

    async def later(number: int, name: str) -> None:
        await asyncio.sleep(number * stagger / SECOND)
        async with environment.locks[name]:
            await action(name)

    tasks = [asyncio.ensure_future(later(number, name)) for number, name in enumerate(targets)]

    async def heal() -> None:
        try:
            for task in tasks:
                await task
        finally:
            for task in tasks:
                task.cancel()

    return ActiveFault(tuple(targets), (), heal)


async def _restart(environment: Environment, fault: faults.Restart, name: str) -> None:
    down = fault.down / SECOND
    if name in environment.sidecars:
        sidecar = environment.sidecars[name]
        if fault.configured == "first":
            environment.attempts.pop(name, None)
        if fault.revision:
            sidecar.program = environment.programs.program(fault.revision)
        await restart(sidecar, fault.how, down, fault.knowing, lambda: environment.states.cut_power(name))
    elif name in environment.engines:
        await environment.kill_engine(name)
        await asyncio.sleep(down)
        await environment.restart_engine(name)
    else:
        await environment.discovery.stop()
        await asyncio.sleep(down)
        await environment.discovery.start()


async def _replace(environment: Environment, fault: faults.Replace, place: str) -> None:
    await environment.publish(place, "draining")
    await asyncio.sleep(fault.notice / SECOND)
    await environment.publish(place, "removed")
    await environment.kill_engine(place)
    await environment.replace_engine(place)

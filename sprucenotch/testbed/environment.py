"""The environment of a run: starts, looks up and stops its processes and the links between them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec

from sprucenotch.testbed import capacity, deployment, syscalls
from sprucenotch.testbed.checker.history import Event, Process, Wrote
from sprucenotch.testbed.discovery import Discovery, Entry
from sprucenotch.testbed.engine import WarmUp, Work
from sprucenotch.testbed.fake_server import EngineSpec, engine
from sprucenotch.testbed.fake_server_proxy import AnyEngine, RemoteDiscovery, RemoteEngine
from sprucenotch.testbed.faults import ClockStep, OnProcesses, Pause, SlowCpu, SystemCalls
from sprucenotch.testbed.network import Network
from sprucenotch.testbed.plan import SECOND, Plan, matching_processes, process_zones
from sprucenotch.testbed.process import ChildProcess, RunError, raise_descriptor_limit
from sprucenotch.testbed.revision import Program, Programs
from sprucenotch.testbed.sidecar import Sidecar
from sprucenotch.testbed.state_folders import StateFolders
from sprucenotch.testbed.syscalls import Control

MAX_LOG_TAIL = 256 * 1024  # bytes kept of each log


class Environment:
    """All processes of one run. Use it as an asynchronous context manager: every process it started is
    stopped on exit, also after an exception."""

    def __init__(
        self,
        plan: Plan,
        seed: int,
        folder: Path | None = None,
        programs: Mapping[str, Program] | None = None,  # by sidecar; takes precedence over the plan's
    ) -> None:
        self.plan, self.seed = plan, seed
        self._own_programs = programs or {}
        self.rng = random.Random(seed)
        self.origin = time.monotonic()
        self.history: list[Event] = []
        self.programs = Programs()
        self.engines: dict[str, AnyEngine] = {}  # by place; a replacement engine gets a new name
        self.sidecars: dict[str, Sidecar] = {}
        self.network = Network(plan, self.rng)
        self.attempts: dict[str, int] = {}  # max_attempts by sidecar, where it differs from the plan
        self.controls: dict[str, Control] = {}  # of injected system call failures, by sidecar
        self.clocks: dict[str, Mapping[str, Any]] = {}  # clock errors, by sidecar
        # Held while the process of that name is stopped or started, since faults overlap.
        self.locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self.troubles: Counter[tuple[str, str]] = Counter()  # active faults by engine and trouble
        self._zones = process_zones(plan.fleet)
        self._discovery_addresses: dict[str, str] = {}
        self._peer_listen: dict[str, str] = {}
        self._first_list: dict[str, Mapping[str, Any]] = {}
        self._generations: dict[str, int] = {}
        self._folder = folder
        self._temporary: tempfile.TemporaryDirectory[str] | None = None
        targets = [name for kind in (Pause, SlowCpu) for name in self._targets(kind)]
        self._engines_apart = plan.fleet.engines_apart or any(n.startswith("engine") for n in targets)
        self._discovery_apart = plan.fleet.discovery_apart or "discovery" in targets
        self.discovery: Discovery | RemoteDiscovery = (
            RemoteDiscovery(self.on_event, self.origin)
            if self._discovery_apart
            else Discovery(self.on_event, self.origin)
        )

    def _targets(self, kind: type[OnProcesses]) -> list[str]:
        faults = (fault for fault in self.plan.faults if isinstance(fault, kind))
        return [name for fault in faults for name in matching_processes(fault.on, self.plan.fleet)]

    def now(self) -> float:
        """Seconds since this object was created, on the monotonic clock."""
        return time.monotonic() - self.origin

    def on_event(self, event: Event) -> None:
        self.history.append(event)

    # ---- startup

    async def __aenter__(self) -> Environment:
        try:
            await self._build()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def _build(self) -> None:
        raise_descriptor_limit()
        limit = self.plan.fleet.memory * capacity.MEGABYTE
        capacity.check(self._parts(), limit, capacity.this_machine())
        if self._folder is None:
            self._temporary = tempfile.TemporaryDirectory(prefix="rig-")
            self._folder = Path(self._temporary.name)
        fleet, sidecar_names = self.plan.fleet, [f"sidecar-{n}" for n in range(self.plan.fleet.sidecars)]
        self.states = StateFolders(self.plan, self.seed, self._folder)
        if failing := {name for kind in (SystemCalls, ClockStep) for name in self._targets(kind)}:
            library = syscalls.build(self._folder)
            self.controls = {name: Control(library, self._folder / f"{name}.calls") for name in failing}
        await self.discovery.start()
        for number in range(fleet.engines):
            self.engines[f"engine-{number}"] = self._engine(f"engine-{number}")
        await asyncio.gather(*(starting.start() for starting in self.engines.values()))
        for place in self.engines:
            await self.publish(place)
        for name in sidecar_names:
            await self._connect_sidecar(name)
        if fleet.peers:
            self._peer_listen = await self.network.connect_peers(sidecar_names)
        program = self.programs.program(fleet.revision)
        start_lock, longest_deadline = asyncio.Lock(), max(c.deadline for c in self.plan.classes) / SECOND
        for name in sidecar_names:
            self.sidecars[name] = sidecar = Sidecar(
                name, self._folder, self._configuration, self.now, self.on_event,
                lambda on, name=name: self.network.set_reachable(name, on), longest_deadline,  # type: ignore[misc]
                start_lock,
            )  # fmt: skip
            if name in self.controls:
                sidecar.environment = self.controls[name].environment
                if fleet.log == "debug":
                    sidecar.environment = {**sidecar.environment, syscalls.SPARE_LOG: "1"}
            sidecar.program = self._own_programs.get(name, program)
            self._first_list[name] = await self.discovery.whole(name)
            self.network.open_relay("client", name, lambda sidecar=sidecar: sidecar.listen)  # type: ignore[misc]
        # Wait for all of them even if one fails: a start that is cancelled halfway leaves an orphan process.
        started = await asyncio.gather(*(s.start() for s in self.sidecars.values()), return_exceptions=True)
        for outcome in started:
            if isinstance(outcome, BaseException):
                raise outcome

    def _parts(self) -> capacity.Parts:
        """The processes and sockets that this plan needs."""
        fleet, links = self.plan.fleet, self.network.links
        fake_servers = fleet.engines * self._engines_apart + self._discovery_apart
        relays = sum(source == "client" or not target.startswith("sidecar") for source, target in links)
        return capacity.Parts(
            fleet.sidecars, capacity.successors(self.plan), fake_servers, fleet.engines, relays, fleet.peers
        )

    def _engine(self, place: str) -> AnyEngine:
        fleet = self.plan.fleet
        generation = self._generations.get(place, 0)
        self._generations[place] = generation + 1
        spec = EngineSpec(
            name=f"{place}.{generation}" if generation else place, zone=self._zones[place],
            work={c.name: Work(c.work / SECOND, c.spread) for c in self.plan.classes},
            slots=fleet.slots, queue=fleet.queue, seed=self.rng.getrandbits(32),
            cold=WarmUp(fleet.cold_share, fleet.cold_for / SECOND), origin=self.origin,
        )  # fmt: skip
        return RemoteEngine(spec, self.on_event) if self._engines_apart else engine(spec, self.on_event)

    async def _connect_sidecar(self, name: str) -> None:
        """Open the links from a sidecar to discovery and to the engines."""
        self._discovery_addresses[name] = await self.discovery.add_listener(name)
        self.network.open_relay(name, "discovery", lambda: self._discovery_addresses[name])
        for place in self.engines:
            await self._connect_engine(name, place)

    async def _connect_engine(self, name: str, place: str) -> None:
        dial = self.network.open_relay(name, place, lambda: self.engines[place].dial)
        if dial is not None:
            await self.discovery.dials(name, {self.engines[place].name: dial})

    # ---- operations on running processes

    def dial(self, sidecar: str) -> str:
        """Return the address at which the clients of a sidecar connect."""
        return self.network.dial("client", sidecar, self.sidecars[sidecar].listen)

    def child(self, name: str) -> ChildProcess:
        """Return the process of that name. Raises RunError if it has none of its own, or is not running."""
        if name in self.sidecars:
            return self.sidecars[name].process
        server = self.engines.get(name, self.discovery)
        if isinstance(server, RemoteEngine | RemoteDiscovery) and server.remote.child is not None:
            return server.remote.child
        raise RunError(f"{name} is not running as a separate process")

    async def publish(self, place: str, health: str = "up", born_ms: int = 0) -> None:
        """Publish an engine in discovery with this health and start time."""
        listed = self.engines[place]
        await self.discovery.publish(
            Entry(
                host=listed.name,
                dial=listed.dial,
                site=listed.zone,
                block=0,
                health=health,
                share=1.0,
                born_ms=born_ms,
            )
        )

    async def kill_engine(self, place: str) -> None:
        """Kill an engine: its requests are lost, and new connections are refused."""
        await self.engines[place].stop()
        self.network.set_reachable(place, False)

    async def restart_engine(self, place: str, cold: bool = True) -> None:
        """Restart the same engine at the same address; discovery shows it only by a new start time."""
        await self.engines[place].start(cold=cold)
        self.network.set_reachable(place, True)
        await self.publish(place, born_ms=int(time.time() * 1000) if cold else 0)

    async def replace_engine(self, place: str) -> None:
        """Start a cold replacement engine in that place, at a new address."""
        self.engines[place] = replacement = self._engine(place)
        await replacement.start(cold=True)
        for name in self.sidecars:
            await self._connect_engine(name, place)
        await self.publish(place, born_ms=int(time.time() * 1000))

    # ---- configuration

    async def _configuration(self, sidecar: Sidecar, initial_list: str) -> Mapping[str, Any]:
        """Build the configuration of a sidecar at a start, in the platform's format."""
        name, fleet = sidecar.name, self.plan.fleet
        number = int(name.partition("-")[2])
        if initial_list == "last":
            known = await self.discovery.whole(name)
        else:
            known = (
                dict(self._first_list[name])
                if initial_list == "first"
                else {"seq": 0, "whole": True, "hosts": []}
            )
        configuration: dict[str, Any] = {
            "name": name, "listen": sidecar.listen, "mgmt": sidecar.next_mgmt,
            "seed": f"{self.rng.getrandbits(64):x}",
            "discovery": self.network.dial(name, "discovery", self._discovery_addresses[name]),
            "known": known,
            "limits": {"cores": 1.0, "memory_mb": fleet.memory, "sockets": 1024},
            "settings": deployment.settings(self.plan, number, self.attempts.get(name, fleet.attempts)),
        }  # fmt: skip
        if (peers := self.network.peers) is not None:
            configuration |= {
                "peer_listen": self._peer_listen[name],
                "peers": [peers.dial(name, peer) for peer in peers.address],
                "peers_all": peers.dial(name, "*"),
            }
        configuration |= self.states.configuration(name, sidecar.mgmt if sidecar.alive else "")
        if name in self.clocks:
            configuration["clock"] = self.clocks[name]
        if fleet.log != "info":
            configuration["log"] = {"level": fleet.log}
        return configuration

    async def retune(self, name: str, attempts: int | None) -> None:
        """Set max_attempts of a sidecar, or with None restore the plan's; a stopped sidecar gets it at its
        next start."""
        if attempts is None:
            self.attempts.pop(name, None)
        else:
            self.attempts[name] = attempts
        sidecar = self.sidecars[name]
        if sidecar.alive:
            configuration = await self._configuration(sidecar, "last")
            sidecar.process.configure({**configuration, "mgmt": sidecar.mgmt})
            sidecar.process.signal(signal.SIGHUP)

    def truncate_configuration(self, name: str) -> None:
        """Truncate a sidecar's configuration file to half and make it reload."""
        sidecar = self.sidecars[name]
        if sidecar.alive:
            file = sidecar.process.file
            file.write_bytes(file.read_bytes()[: file.stat().st_size // 2])
            sidecar.process.signal(signal.SIGHUP)

    def lives(self) -> dict[str, int]:
        """The index of the current process of each sidecar."""
        return {name: sidecar.life for name, sidecar in self.sidecars.items()}

    # ---- logs and shutdown

    def logs(self) -> dict[str, str]:
        """The last part of the log of each sidecar process, by `name.life`."""
        found = {}
        for path in sorted(self._folder.glob("*.log")) if self._folder is not None else ():
            with contextlib.suppress(OSError):
                found[path.stem] = path.read_bytes()[-MAX_LOG_TAIL:].decode(errors="replace")
        return found

    def sent_attempts(self) -> Iterator[Wrote]:
        """The attempts that each process logged at debug level, in order."""
        processes = [e for e in self.history if isinstance(e, Process) and e.what == "started"]
        for name, life, at in ((e.name, e.life, e.at) for e in processes):
            path = self._folder / f"{name}.{life}.log" if self._folder is not None else None
            if path is None or not path.exists():
                continue
            with path.open("rb") as log:
                for line in log:
                    if b'"event":"sent"' in line:
                        record = msgspec.json.decode(line)
                        id, number = record["req_id"], record["attempt"]
                        yield Wrote(at=at, sidecar=name, life=life, id=id, attempt=number)

    async def close(self) -> None:
        for sidecar in self.sidecars.values():
            sidecar.close()
        for running in self.engines.values():
            with contextlib.suppress(RunError):
                await running.stop()
        with contextlib.suppress(RunError):
            if isinstance(self.discovery, RemoteDiscovery):
                await self.discovery.remote.kill()
            else:
                await self.discovery.stop()
        for control in self.controls.values():
            control.close()
        self.network.close()
        self.programs.close()
        if self._temporary is not None:
            self._temporary.cleanup()
            self._temporary = None

"""The processes of a run and the links between them: built, found by name, and always ended."""

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

from sprucenotch.rig import capacity, deployment, syscalls
from sprucenotch.rig.discovery import Discovery, Entry
from sprucenotch.rig.engine import Cold, Work
from sprucenotch.rig.faults import ClockStep, OnProcesses, Pause, SlowCpu, SystemCalls
from sprucenotch.rig.plan import SECOND, Plan, chosen, names
from sprucenotch.rig.process import Child, RigError, allow_descriptors
from sprucenotch.rig.remote import AnyEngine, RemoteDiscovery, RemoteEngine
from sprucenotch.rig.revision import Program, Programs
from sprucenotch.rig.sidecar import Sidecar
from sprucenotch.rig.standin import EngineSpec, engine
from sprucenotch.rig.state import States
from sprucenotch.rig.syscalls import Control
from sprucenotch.rig.truth.history import Event, Process, Wrote
from sprucenotch.rig.wiring import Wiring

LOG_KEPT = 256 * 1024  # bytes of each


class Stage:
    """Use it as an asynchronous context manager: what it started is ended when it is left, however that
    is."""

    def __init__(
        self,
        plan: Plan,
        seed: int,
        folder: Path | None = None,
        programs: Mapping[str, Program] | None = None,  # of single sidecars, before that of the plan
    ) -> None:
        self.plan, self.seed = plan, seed
        self._own_programs = programs or {}
        self.rng = random.Random(seed)
        self.origin = time.monotonic()
        self.history: list[Event] = []
        self.programs = Programs()
        self.engines: dict[str, AnyEngine] = {}  # by place; a new engine in a place has a name of its own
        self.sidecars: dict[str, Sidecar] = {}
        self.wiring = Wiring(plan, self.rng)
        self.attempts: dict[str, int] = {}  # other than the plan's, by sidecar
        self.controls: dict[str, Control] = {}  # of the system calls of sidecars that faults make fail
        self.clocks: dict[str, Mapping[str, Any]] = {}  # wrong ones, by sidecar
        # Held by whoever ends or starts the process of that name: faults overlap.
        self.locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self.troubles: Counter[tuple[str, str]] = Counter()  # how many faults hold an engine in each
        self._zones = names(plan.fleet)
        self._faces: dict[str, str] = {}
        self._peer_listen: dict[str, str] = {}
        self._first_list: dict[str, Mapping[str, Any]] = {}
        self._generation: dict[str, int] = {}
        self._folder = folder
        self._temporary: tempfile.TemporaryDirectory[str] | None = None
        hit = [name for kind in (Pause, SlowCpu) for name in self._hit(kind)]
        self._engines_apart = plan.fleet.engines_apart or any(n.startswith("engine") for n in hit)
        self._discovery_apart = plan.fleet.discovery_apart or "discovery" in hit
        self.discovery: Discovery | RemoteDiscovery = (
            RemoteDiscovery(self.witness, self.origin)
            if self._discovery_apart
            else Discovery(self.witness, self.origin)
        )

    def _hit(self, kind: type[OnProcesses]) -> list[str]:
        faults = (fault for fault in self.plan.faults if isinstance(fault, kind))
        return [name for fault in faults for name in chosen(fault.on, self.plan.fleet)]

    def now(self) -> float:
        """Seconds since the stage was made, on the machine's monotonic clock."""
        return time.monotonic() - self.origin

    def witness(self, event: Event) -> None:
        self.history.append(event)

    # ---- building

    async def __aenter__(self) -> Stage:
        try:
            await self._build()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def _build(self) -> None:
        allow_descriptors()
        limit = self.plan.fleet.memory * capacity.MEGABYTE
        capacity.check(self._parts(), limit, capacity.this_machine())
        if self._folder is None:
            self._temporary = tempfile.TemporaryDirectory(prefix="rig-")
            self._folder = Path(self._temporary.name)
        fleet, names_ = self.plan.fleet, [f"sidecar-{n}" for n in range(self.plan.fleet.sidecars)]
        self.states = States(self.plan, self.seed, self._folder)
        if failing := {name for kind in (SystemCalls, ClockStep) for name in self._hit(kind)}:
            library = syscalls.build(self._folder)
            self.controls = {name: Control(library, self._folder / f"{name}.calls") for name in failing}
        await self.discovery.start()
        for number in range(fleet.engines):
            self.engines[f"engine-{number}"] = self._engine(f"engine-{number}")
        await asyncio.gather(*(one.start() for one in self.engines.values()))
        for place in self.engines:
            await self.tell(place)
        for name in names_:
            await self._join(name)
        if fleet.peers:
            self._peer_listen = await self.wiring.join_peers(names_)
        program = self.programs.program(fleet.revision)
        starts, longest = asyncio.Lock(), max(c.deadline for c in self.plan.classes) / SECOND
        for name in names_:
            self.sidecars[name] = sidecar = Sidecar(
                name, self._folder, self._told, self.now, self.witness,
                lambda on, name=name: self.wiring.reachable(name, on), longest,  # type: ignore[misc]
                starts,
            )  # fmt: skip
            if name in self.controls:
                sidecar.environment = self.controls[name].environment
                if fleet.log == "debug":
                    sidecar.environment = {**sidecar.environment, syscalls.SPARE_LOG: "1"}
            sidecar.program = self._own_programs.get(name, program)
            self._first_list[name] = await self.discovery.whole(name)
            self.wiring.join("client", name, lambda sidecar=sidecar: sidecar.listen)  # type: ignore[misc]
        # All are waited for even if one fails: whoever is stopped halfway through its start is an orphan.
        started = await asyncio.gather(*(s.start() for s in self.sidecars.values()), return_exceptions=True)
        for outcome in started:
            if isinstance(outcome, BaseException):
                raise outcome

    def _parts(self) -> capacity.Parts:
        """What the machine has to hold of this plan."""
        fleet, links = self.plan.fleet, self.wiring.links
        stand_ins = fleet.engines * self._engines_apart + self._discovery_apart
        relays = sum(source == "client" or not target.startswith("sidecar") for source, target in links)
        return capacity.Parts(
            fleet.sidecars, capacity.successors(self.plan), stand_ins, fleet.engines, relays, fleet.peers
        )

    def _engine(self, place: str) -> AnyEngine:
        fleet = self.plan.fleet
        generation = self._generation.get(place, 0)
        self._generation[place] = generation + 1
        spec = EngineSpec(
            name=f"{place}.{generation}" if generation else place, zone=self._zones[place],
            work={c.name: Work(c.work / SECOND, c.spread) for c in self.plan.classes},
            slots=fleet.slots, queue=fleet.queue, seed=self.rng.getrandbits(32),
            cold=Cold(fleet.cold_share, fleet.cold_for / SECOND), origin=self.origin,
        )  # fmt: skip
        return RemoteEngine(spec, self.witness) if self._engines_apart else engine(spec, self.witness)

    async def _join(self, name: str) -> None:
        """The links of a sidecar to discovery and engines."""
        self._faces[name] = await self.discovery.face(name)
        self.wiring.join(name, "discovery", lambda: self._faces[name])
        for place in self.engines:
            await self._join_engine(name, place)

    async def _join_engine(self, name: str, place: str) -> None:
        dial = self.wiring.join(name, place, lambda: self.engines[place].dial)
        if dial is not None:
            await self.discovery.dials(name, {self.engines[place].name: dial})

    # ---- what is asked of it

    def dial(self, sidecar: str) -> str:
        """Where the clients of a sidecar connect."""
        return self.wiring.dial("client", sidecar, self.sidecars[sidecar].listen)

    def child(self, name: str) -> Child:
        """The process of that name. Raises RigError where it is none of its own, or is not there."""
        if name in self.sidecars:
            return self.sidecars[name].process
        thing = self.engines.get(name, self.discovery)
        if isinstance(thing, RemoteEngine | RemoteDiscovery) and thing.remote.child is not None:
            return thing.remote.child
        raise RigError(f"{name} is no process at the moment")

    async def tell(self, place: str, health: str = "up", born_ms: int = 0) -> None:
        """Have discovery list an engine so."""
        one = self.engines[place]
        await self.discovery.tell(
            Entry(
                host=one.name,
                dial=one.dial,
                site=one.zone,
                block=0,
                health=health,
                share=1.0,
                born_ms=born_ms,
            )
        )

    async def engine_ends(self, place: str) -> None:
        """Its process dies: what it had is lost, and new connections are refused."""
        await self.engines[place].die()
        self.wiring.reachable(place, False)

    async def engine_starts(self, place: str, cold: bool = True) -> None:
        """The same engine again, at the same address, with nobody told but by its birth."""
        await self.engines[place].start(cold=cold)
        self.wiring.reachable(place, True)
        await self.tell(place, born_ms=int(time.time() * 1000) if cold else 0)

    async def new_engine(self, place: str) -> None:
        """Another engine in that place, cold, at an address of its own."""
        self.engines[place] = made = self._engine(place)
        await made.start(cold=True)
        for name in self.sidecars:
            await self._join_engine(name, place)
        await self.tell(place, born_ms=int(time.time() * 1000))

    # ---- configuration

    async def _told(self, sidecar: Sidecar, knowing: str) -> Mapping[str, Any]:
        """What a sidecar is told at a start, in the platform's form."""
        name, fleet = sidecar.name, self.plan.fleet
        number = int(name.partition("-")[2])
        if knowing == "last":
            known = await self.discovery.whole(name)
        else:
            known = (
                dict(self._first_list[name]) if knowing == "first" else {"seq": 0, "whole": True, "hosts": []}
            )
        told: dict[str, Any] = {
            "name": name, "listen": sidecar.listen, "mgmt": sidecar.next_mgmt,
            "seed": f"{self.rng.getrandbits(64):x}",
            "discovery": self.wiring.dial(name, "discovery", self._faces[name]), "known": known,
            "limits": {"cores": 1.0, "memory_mb": fleet.memory, "sockets": 1024},
            "settings": deployment.settings(self.plan, number, self.attempts.get(name, fleet.attempts)),
        }  # fmt: skip
        if (peers := self.wiring.peers) is not None:
            told |= {
                "peer_listen": self._peer_listen[name],
                "peers": [peers.dial(name, peer) for peer in peers.address],
                "peers_all": peers.dial(name, "*"),
            }
        told |= self.states.told(name, sidecar.mgmt if sidecar.alive else "")
        if name in self.clocks:
            told["clock"] = self.clocks[name]
        if fleet.log != "info":
            told["log"] = {"level": fleet.log}
        return told

    async def retune(self, name: str, attempts: int | None) -> None:
        """Have a sidecar take other settings, or with None the plan's; one that is down gets them at its
        start."""
        if attempts is None:
            self.attempts.pop(name, None)
        else:
            self.attempts[name] = attempts
        sidecar = self.sidecars[name]
        if sidecar.alive:
            told = await self._told(sidecar, "last")
            sidecar.process.configure({**told, "mgmt": sidecar.mgmt})
            sidecar.process.signal(signal.SIGHUP)

    def cut_off_configuration(self, name: str) -> None:
        """Leave half of a sidecar's configuration, and have it read that."""
        sidecar = self.sidecars[name]
        if sidecar.alive:
            file = sidecar.process.file
            file.write_bytes(file.read_bytes()[: file.stat().st_size // 2])
            sidecar.process.signal(signal.SIGHUP)

    def lives(self) -> dict[str, int]:
        """Which process of each sidecar listens now."""
        return {name: sidecar.life for name, sidecar in self.sidecars.items()}

    # ---- the end

    def logs(self) -> dict[str, str]:
        """The end of each sidecar process's log, by name and life."""
        found = {}
        for path in sorted(self._folder.glob("*.log")) if self._folder is not None else ():
            with contextlib.suppress(OSError):
                found[path.stem] = path.read_bytes()[-LOG_KEPT:].decode(errors="replace")
        return found

    def sent_attempts(self) -> Iterator[Wrote]:
        """The attempts that each process tells of at debug, in their order."""
        processes = [e for e in self.history if isinstance(e, Process) and e.what == "started"]
        for name, life, at in ((e.name, e.life, e.at) for e in processes):
            path = self._folder / f"{name}.{life}.log" if self._folder is not None else None
            if path is None or not path.exists():
                continue
            with path.open("rb") as log:
                for line in log:
                    if b'"event":"sent"' in line:
                        told = msgspec.json.decode(line)
                        id, number = told["req_id"], told["attempt"]
                        yield Wrote(at=at, sidecar=name, life=life, id=id, attempt=number)

    async def close(self) -> None:
        for sidecar in self.sidecars.values():
            sidecar.close()
        for one in self.engines.values():
            with contextlib.suppress(RigError):
                await one.die()
        with contextlib.suppress(RigError):
            if isinstance(self.discovery, RemoteDiscovery):
                await self.discovery.remote.kill()
            else:
                await self.discovery.die()
        for control in self.controls.values():
            control.close()
        self.wiring.close()
        self.programs.close()
        if self._temporary is not None:
            self._temporary.cleanup()
            self._temporary = None

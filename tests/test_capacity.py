"""Plans of any size are valid; a machine that is too small for one is detected before any process starts."""

from __future__ import annotations

import resource
import subprocess
import sys

import pytest
from typer.testing import CliRunner

from sprucenotch.cli.main import app
from sprucenotch.testbed import capacity, plan
from sprucenotch.testbed.capacity import MEGABYTE, CapacityError, Machine, Parts
from sprucenotch.testbed.environment import Environment
from sprucenotch.testbed.fake_server_proxy import RemoteProcess
from sprucenotch.testbed.process import ChildProcess
from tests.sidecar import run

AMPLE = Machine(memory=10**15, descriptors=10**9)
LARGE = """
title = "a large fleet"
length = "3s"
fleet = { sidecars = 2048, engines = 4096, engines_apart = true, peers = true }
load = { share = 0.01 }
step = [
    { do = "cut", source = "sidecar-0", target = "engine-*", at = "0s", lasts = "1s" },
    { do = "restart", how = "upgrade", on = "sidecar-1?", at = "1s" },
]
"""

SMALL = """
title = "a small fleet"
length = "3s"
fleet = { sidecars = 2, engines = 2, engines_apart = true }
"""


def test_plan_may_have_thousands_of_sidecars_and_engines() -> None:
    decoded = plan.decode(LARGE.encode())
    assert (decoded.fleet.sidecars, decoded.fleet.engines) == (2048, 4096)
    assert len(plan.matching_links(decoded.steps[0].fault, decoded.fleet)) == 4096  # type: ignore[arg-type]


def test_memory_and_descriptors_count_all_processes_and_sockets() -> None:
    environment = Environment(plan.decode(LARGE.encode()), 1)
    parts = environment._parts()
    assert parts == Parts(2048, 10, 4096, 4096, 4096, True)
    sidecars, engines = (2048 + 10) * 64 * MEGABYTE, 4096 * capacity.FAKE_SERVER_MEMORY
    assert capacity.memory_needed(parts, 64 * MEGABYTE) == sidecars + engines
    assert capacity.memory_needed(parts, 1) == sidecars // 2 + engines  # 32 MB is the minimum
    assert capacity.descriptors_needed(parts) == 4 * 2048 + 4096 + 4096 + 2048**2


@pytest.mark.parametrize(
    ("machine", "shortage"),
    [
        (AMPLE._replace(memory=640 * MEGABYTE - 1), "640 MB of memory, but 639 MB are available"),
        (AMPLE._replace(descriptors=47), "48 descriptors, but 47 are allowed"),
        (AMPLE._replace(memory=640 * MEGABYTE, descriptors=48), ""),
        (AMPLE._replace(descriptors=-1), ""),  # the kernel's value for no limit
    ],
)
def test_plan_is_rejected_if_one_byte_or_descriptor_is_missing(machine: Machine, shortage: str) -> None:
    parts = Parts(sidecars=10, successors=0, fake_servers=0, engines=8, relays=0, peers=False)
    if not shortage:
        capacity.check(parts, 64 * MEGABYTE, machine)
        return
    with pytest.raises(CapacityError, match=shortage):
        capacity.check(parts, 64 * MEGABYTE, machine)


def test_too_small_machine_starts_no_process(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(capacity, "this_machine", lambda: AMPLE._replace(memory=10**8))
    monkeypatch.setattr("subprocess.Popen.__init__", lambda *_, **__: pytest.fail("a process was started"))

    async def test() -> None:
        with pytest.raises(CapacityError, match="of memory"):
            async with Environment(plan.decode(SMALL.encode()), 1):
                pass

    run(test())


def test_fake_server_gets_the_hard_descriptor_limit_and_a_sidecar_that_of_a_deployment() -> None:
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(2048, before[0]), before[1]))

    async def test() -> None:
        remote = RemoteProcess("discovery", "", lambda event: None)
        await remote.spawn("discovery 0.0")
        assert remote.child is not None
        try:
            assert resource.prlimit(remote.child.pid, resource.RLIMIT_NOFILE) == (before[1], before[1])
        finally:
            await remote.kill()
        sidecar = ChildProcess((sys.executable, "-c", "input()"), stdin=subprocess.PIPE)
        try:
            assert resource.prlimit(sidecar.pid, resource.RLIMIT_NOFILE)[0] == min(1024, before[1])
        finally:
            sidecar.kill()

    try:
        run(test())
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


def test_demo_with_too_many_processes_reports_missing_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(capacity, "this_machine", lambda: AMPLE._replace(memory=10**9))
    result = CliRunner().invoke(app, ["demo", "--sidecars", "1024", "--engines", "1024"])
    assert "needs 65536 MB of memory, but 1000 MB are available" in result.output


def test_this_machine_reports_memory_and_descriptors() -> None:
    memory, descriptors = capacity.this_machine()
    assert memory > 0 and (descriptors > 0 or descriptors == -1)

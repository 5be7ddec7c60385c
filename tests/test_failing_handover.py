"""The call by which a successor fetches the state of its predecessor survives failing reads and writes.

Guards against a lost hand-over: the transport of the event loop library closes its connection at the first
read or write that fails with ENOBUFS or ENOMEM. A successor then started without the server list and, with
discovery silent, accepted clients only after 5 s. The log showed `not recalled ... by: call`.
"""

from __future__ import annotations

import errno
from pathlib import Path
from time import monotonic

from sprucenotch.node.config import SECOND
from sprucenotch.node.host import START_TIMEOUT
from sprucenotch.testbed.syscalls import Call, Rule
from tests.failing_calls import needs_compiler, program
from tests.sidecar import always_ok, dead_dial, endpoint, never, nothing_new, run

pytestmark = needs_compiler


def test_successor_gets_the_list_despite_failing_transfers(tmp_path: Path) -> None:
    """Discovery is silent, so that without the list the successor accepts no clients for START_TIMEOUT."""

    async def test() -> None:
        for name, rules in {
            "read": [Rule(Call.READ, errno.ENOBUFS, 2, at_once=True)],
            "write": [Rule(Call.WRITE, errno.ENOMEM, 2, at_once=True)],
            "socket": [
                Rule(Call.SOCKET, errno.EMFILE, 2, at_once=True),
                Rule(Call.CONNECT, errno.ENOBUFS, 2, at_once=True),
            ],
        }.items():
            first, second = tmp_path / f"{name}-1", tmp_path / f"{name}-2"
            first.mkdir()
            second.mkdir()
            management = dead_dial()
            async with (
                endpoint(always_ok) as served,
                endpoint(nothing_new) as discovery,
                endpoint(never) as silent,
                program(
                    first, served.dial, discovery=discovery.dial, mgmt=management, state={"dir": str(first)}
                ) as before,
            ):
                await before.ready()
                began = monotonic()
                async with program(
                    second, served.dial, *rules, discovery=silent.dial, state={"predecessor": management}
                ) as successor:
                    await successor.ready()
                    assert monotonic() - began < START_TIMEOUT / SECOND, name
                    assert all(successor.control.failed(rule.call) for rule in rules)

    run(test())

"""The call for what the process before has learned goes on where its transfers fail for want of memory.

What happened: the call went through the event library's transport, which ends its connection at the first
read or write that fails with ENOBUFS or ENOMEM. A successor then began without the list, and waited for
discovery. What showed it: `not recalled ... by: call` in the log, and a successor that took clients only
after 5 s with discovery silent.
"""

from __future__ import annotations

import errno
from pathlib import Path
from time import monotonic

from sprucenotch.node.config import SECOND
from sprucenotch.node.host import START_TIMEOUT
from sprucenotch.rig.syscalls import Call, Rule
from tests.failing_calls import needs_compiler, program
from tests.sidecar import always_ok, dead_dial, endpoint, never, nothing_new, run

pytestmark = needs_compiler


def test_a_successor_takes_over_the_list_though_its_transfers_fail(tmp_path: Path) -> None:
    """Discovery is silent for the successor: without the list it would take no clients for START_TIMEOUT."""

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

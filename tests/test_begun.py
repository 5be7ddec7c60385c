"""An id that was sent to a server does not run a second time when it comes again."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import mmap
import select
from pathlib import Path
from zlib import crc32

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucenotch import api
from sprucenotch.node.begun import BUCKET_ENTRIES, BUCKETS, TABLE_SIZE, BegunRequests, key_of
from sprucenotch.node.config import SECOND
from sprucenotch.node.shared_memory import shared_memory
from sprucenotch.testbed.process import SidecarProcess
from tests.sidecar import (
    Client,
    Seen,
    Sidecar,
    always_ok,
    configuration,
    dead_dial,
    endpoint,
    never,
    nothing_new,
    ok,
    request,
    run,
    sidecar,
    status,
)
from tests.test_program import connected

SOME_KEY = key_of(b"9b1f")


def gone(event: api.Event) -> bool:
    return isinstance(event, api.Gone)


async def leave_while_it_runs(node: Sidecar, raw: bytes, arrived: asyncio.Event) -> None:
    client = await node.client()
    client.writer.write(raw)
    await arrived.wait()
    client.writer.transport.abort()


# Guards against: an id runs twice when it comes again after its client has left.
@pytest.mark.parametrize(("cls", "code"), [("post", 502), ("read", 503)])
def test_id_that_comes_again_after_its_client_has_left_is_not_sent_again(cls: str, code: int) -> None:
    async def test() -> None:
        async with endpoint(never) as served, sidecar(served.dial) as node:
            raw = request(cls)
            await leave_while_it_runs(node, raw, served.arrived)
            # The new connection is read before or after the end of the old one: both orders hold.
            assert (await (await node.client()).ask(raw))[0] == code
            assert len(served.seen) == 1
            assert node.host.telemetry.refusals[api.Reason.MAY_HAVE_RUN] == 1

    run(test())


def test_id_that_comes_again_while_the_end_of_its_client_is_unread_is_not_sent_again() -> None:
    async def test() -> None:
        async with endpoint(never) as served, sidecar(served.dial) as node:
            raw = request("post")
            again = await node.client()
            first = await node.client()
            first.writer.write(raw)
            await served.arrived.wait()
            [taken] = (c for c in node.frontend._connections if c._exchanges)
            assert taken._transport is not None
            taken._transport.pause_reading()  # the loop does not see the client's end
            first.writer.transport.abort()
            while not taken._socket_events() & select.POLLRDHUP:
                await asyncio.sleep(0.001)
            assert (await again.ask(raw))[0] == 502
            assert len(served.seen) == 1

    run(test())


# Guards against: the same where the request has failed, and its client leaves without having read that.
def test_id_that_comes_again_after_it_failed_is_not_sent_again_as_it_may_have_run() -> None:
    async def test() -> None:
        async def breaks(seen: Seen) -> bytes | None:
            return None

        async with endpoint(breaks) as served, sidecar(served.dial) as node:
            raw = request("post")
            for _ in range(2):
                assert (await (await node.client()).ask(raw))[0] == 502
            assert len(served.seen) == 1

    run(test())


def test_id_of_a_request_that_certainly_never_ran_may_come_again() -> None:
    decline = asyncio.Event()

    async def declines_first(seen: Seen) -> bytes:
        if decline.is_set():
            return ok()
        await decline.wait()
        return status(503, b"Srv-Declined: 1")

    async def test() -> None:
        async with endpoint(declines_first) as served, sidecar(served.dial) as node:
            raw = request("post")
            await leave_while_it_runs(node, raw, served.arrived)
            await node.event(gone)
            decline.set()
            await node.event(lambda e: isinstance(e, api.Completed))
            assert (await (await node.client()).ask(raw))[0] == 200

    run(test())


# Guards against: an id runs twice as its client has left without having read the answer that was written.
@pytest.mark.parametrize(("cls", "code"), [("post", 502), ("read", 503)])
def test_id_that_was_answered_does_not_run_again(cls: str, code: int) -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            raw = request(cls)
            client: Client = await node.client()
            assert (await client.ask(raw))[0] == 200
            client.writer.transport.abort()
            assert (await (await node.client()).ask(raw))[0] == code
            assert len(served.seen) == 1

    run(test())


def test_id_that_waits_for_a_connection_twice_is_sent_once() -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            raw, clients = request("post"), [await node.client() for _ in range(2)]
            codes = await asyncio.gather(*(client.ask(raw) for client in clients))
            assert sorted(code for code, _, _ in codes) == [200, 502]
            assert len(served.seen) == 1
            while node.host._open:
                await asyncio.sleep(0)

    run(test())


# Guards against: an id whose client has left runs again at the other process of an upgrade.
@pytest.mark.parametrize(("cls", "code"), [("post", 502), ("read", 503)])
def test_id_that_comes_again_at_the_other_process_is_not_sent_again(cls: str, code: int) -> None:
    async def test() -> None:
        memory = mmap.mmap(-1, TABLE_SIZE)
        async with (
            endpoint(never) as served,
            sidecar(served.dial, begun_memory=memory) as old,
            sidecar(served.dial, begun_memory=memory) as new,
        ):
            raw = request(cls)
            await leave_while_it_runs(old, raw, served.arrived)
            assert (await (await new.client()).ask(raw))[0] == code
            assert len(served.seen) == 1

    run(test())


# Guards against: the same where the wall clock is set forward between the starts of the two processes.
def test_ids_of_the_other_process_are_remembered_though_the_wall_clock_was_set() -> None:
    async def test() -> None:
        memory = mmap.mmap(-1, TABLE_SIZE)
        async with (
            endpoint(never) as served,
            sidecar(served.dial, begun_memory=memory) as old,
            sidecar(served.dial, begun_memory=memory) as new,
        ):
            now = new.host.now
            new.host.now = lambda: now() + 3600 * SECOND
            raw = request("post")
            await leave_while_it_runs(old, raw, served.arrived)
            assert (await (await new.client()).ask(raw))[0] == 502
            assert len(served.seen) == 1

    run(test())


def test_processes_in_one_temporary_folder_share_the_ids(tmp_path: Path) -> None:
    async def test() -> None:
        async with endpoint(never) as served, endpoint(nothing_new) as discovery:
            with contextlib.ExitStack() as stack:
                processes = [
                    stack.enter_context(
                        SidecarProcess(
                            configuration(
                                served.dial, discovery=discovery.dial, listen=dead_dial(), mgmt=dead_dial()
                            ),
                            folder=tmp_path,
                            label=label,
                        )
                    )
                    for label in ("old", "new")
                ]
                for process in processes:
                    await process.ready()
                raw, (old, new) = request("post"), processes
                client = await connected(old.listen)
                client.writer.write(raw)
                await served.arrived.wait()
                client.writer.transport.abort()
                assert (await (await connected(new.listen)).ask(raw))[0] == 502
                assert len(served.seen) == 1

    run(test())


def keys_of_one_bucket(number: int) -> list[bytes]:
    keys = (key_of(b"%x" % n) for n in itertools.count())
    return list(itertools.islice((key for key in keys if crc32(key) % BUCKETS == 7), number))


def remembered(begun: BegunRequests, key: bytes, now: int) -> bool:
    return not begun.claim(key, now, until=now)


def test_ids_are_forgotten_after_their_time_or_when_released() -> None:
    begun = BegunRequests(mmap.mmap(-1, TABLE_SIZE))
    short, long, other = keys_of_one_bucket(3)
    assert begun.claim(short, now=0, until=10) and begun.claim(long, now=0, until=100)
    assert not begun.claim(short, now=9, until=19) and begun.claim(short, now=10, until=20)
    assert remembered(begun, long, 99) and not remembered(begun, other, 0)
    begun.hold(long, now=20, until=50)
    assert remembered(begun, long, 99)
    begun.hold(long, now=20, until=150)
    assert remembered(begun, long, 149)
    begun.release(long)
    begun.release(other)
    assert not remembered(begun, long, 20) and remembered(begun, short, 19)
    begun.hold(other, now=20, until=30)
    assert remembered(begun, other, 29)


def test_full_bucket_forgets_the_id_that_came_first() -> None:
    begun = BegunRequests(mmap.mmap(-1, TABLE_SIZE))
    first, *others = keys_of_one_bucket(BUCKET_ENTRIES + 1)
    for key in (first, *others):
        assert begun.claim(key, now=0, until=100)
    assert all(remembered(begun, key, 50) for key in others) and not remembered(begun, first, 50)


# Guards against: what one process remembers is forgotten as the other one writes to the same place.
def test_two_processes_use_the_entries_of_a_bucket_in_turn() -> None:
    memory, keys = mmap.mmap(-1, TABLE_SIZE), keys_of_one_bucket(BUCKET_ENTRIES)
    old, new = BegunRequests(memory), BegunRequests(memory)
    for begun, key in zip((old, new) * 4, keys, strict=True):
        assert begun.claim(key, now=0, until=100)
    assert all(remembered(begun, key, 50) for key in keys for begun in (old, new))


@given(st.lists(st.text("0123456789abcdef-", max_size=40).map(str.encode), unique=True, max_size=200))
def test_ids_of_any_form_are_told_apart(ids: list[bytes]) -> None:
    begun = BegunRequests(mmap.mmap(-1, TABLE_SIZE))
    assert all(begun.claim(key_of(id), now=0, until=1) for id in ids)
    assert not any(begun.claim(key_of(id), now=0, until=1) for id in ids)


def test_memory_is_shared_by_name_and_folder(tmp_path: Path) -> None:
    there = {"TMPDIR": str(tmp_path)}
    first, second = (shared_memory(there, "n0", TABLE_SIZE) for _ in range(2))
    other, private = shared_memory(there, "n1", TABLE_SIZE), shared_memory({}, "n0", TABLE_SIZE)
    assert BegunRequests(first).claim(SOME_KEY, now=0, until=10)
    assert remembered(BegunRequests(second), SOME_KEY, 5)
    assert not remembered(BegunRequests(other), SOME_KEY, 5)
    assert not remembered(BegunRequests(private), SOME_KEY, 5)
    assert all(file.stat().st_size == TABLE_SIZE for file in tmp_path.iterdir())


def test_folder_that_cannot_be_used_leaves_the_process_on_its_own(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    memory = shared_memory({"TMPDIR": str(tmp_path / "missing")}, "n0", TABLE_SIZE)
    assert BegunRequests(memory).claim(SOME_KEY, now=0, until=10)
    assert [record.getMessage() for record in caplog.records] == ["ids of requests not shared"]

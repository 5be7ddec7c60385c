"""Bodies too long to hold: passed on in pieces, no faster than the receiver takes them, in bounded memory."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

WHOLE_MOST = 64 * 1024  # up to here a body is held whole, so that its request can be tried again
READ_MOST = 32 * 1024  # taken from a socket at once, so also the most that a transfer under way holds
LONG_MOST = 32 * 1024 * 1024
# What an answer may hold before it is known to be long: a whole one and the read that goes beyond.
ANSWER_ROOM = WHOLE_MOST + READ_MOST
STALLED = 10.0  # seconds without a byte moving, after which a transfer is given up; proper peers take a few

# All sockets read into one buffer: what is read is parsed, and copied where it stays, within the callback.
READ_BUFFER = memoryview(bytearray(READ_MOST))


class Budget:
    """The memory for all bodies held. It is reserved before anything is read, so nothing waits for it
    holding a part: without room a request is refused."""

    def __init__(self, most: int) -> None:
        self.most, self.used = most, 0

    def take(self, size: int) -> bool:
        if self.used + size > self.most:
            return False
        self.used += size
        return True

    def give(self, size: int) -> None:
        self.used -= size


def nothing() -> None:
    """For what nobody needs to hear of."""


def ignore(on: bool) -> None:
    """The same, of a pause."""


class Sink(Protocol):
    """Where a body goes. It calls the stream's `clog` when it takes no more, and again when it does."""

    def body(self, piece: bytes) -> None: ...

    def body_end(self, whole: bool) -> None: ...


class Stream:
    """A body on its way. It pauses its source while the sink is missing or does not keep up."""

    def __init__(
        self, pause: Callable[[bool], None], length: int | None, unwanted: Callable[[], None] = nothing
    ) -> None:
        self._pause, self._unwanted = pause, unwanted
        self.length = length  # None where only the end will tell it
        self._held = bytearray()  # not pieces, which can be of a byte each
        self._end: bool | None = None  # whether what ended is whole
        self._sink: Sink | None = None
        self._dropped = False
        self.started = False  # some of it has been handed on, and is held no more

    def feed(self, piece: bytes) -> None:
        if self._sink is not None:
            self.started = True
            self._sink.body(piece)
        elif not self._dropped:
            self._held += piece
            self._pause(True)

    def finish(self, whole: bool) -> None:
        if self._end is None:
            self._end, self._pause = whole, ignore  # the source goes on to other things
            if self._sink is not None:
                self._sink.body_end(whole)

    def attach(self, sink: Sink) -> None:
        """Hand on what is held and what comes from now on."""
        self._sink = sink
        self.started = self.started or bool(self._held)
        held, self._held = bytes(self._held), bytearray()
        self._pause(False)
        if held:
            sink.body(held)
        if self._end is not None:
            sink.body_end(self._end)

    def detach(self) -> None:
        """The sink is gone. Unless something was handed on, another may take its place."""
        self._sink = None

    def clog(self, on: bool) -> None:
        self._pause(on)

    def drop(self) -> None:
        """Nobody wants the rest: throw away what still comes."""
        self._sink, self._dropped = None, True
        self._held.clear()
        self._pause(False)
        self._unwanted()


def chunk(piece: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(piece), piece)


LAST_CHUNK = b"0\r\n\r\n"

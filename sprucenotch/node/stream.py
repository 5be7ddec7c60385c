"""Streaming of bodies that are too long to buffer, with back pressure and bounded memory."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

# Bytes; a body up to this size is buffered, so that its request can be retried.
MAX_BUFFERED_BODY_SIZE = 64 * 1024
MAX_READ_SIZE = 32 * 1024  # bytes per read, and so the most that a transfer buffers
MAX_BODY_SIZE = 32 * 1024 * 1024  # bytes
# Bytes that an answer may take before it is streamed: a buffered body and the read that exceeds it.
ANSWER_RESERVATION = MAX_BUFFERED_BODY_SIZE + MAX_READ_SIZE
STALL_TIMEOUT = 10.0  # seconds without progress; well-behaved peers pause for a few seconds at most

# All sockets share one read buffer: input is parsed, and copied if it is kept, within the read callback.
READ_BUFFER = memoryview(bytearray(MAX_READ_SIZE))
# Of a connection that is between two bodies so much is read at a time: other connections have their turn
# after a few small requests.
HEAD_READ_BUFFER = READ_BUFFER[:4096]


def no_op() -> None:
    """A callback that does nothing."""


def ignore(on: bool) -> None:
    """A pause callback that does nothing."""


class Sink(Protocol):
    """The receiver of a body. It calls the stream's `set_paused` to pause and to resume it."""

    def body(self, piece: bytes) -> None: ...

    def body_end(self, whole: bool) -> None: ...


class Stream:
    """A body in transfer. It pauses its source while it has no sink or the sink does not keep up.

    The source is released once the body has ended or is dropped: its connection may carry another exchange
    from then on, and no callback of this one reaches it any more.
    """

    def __init__(
        self, pause: Callable[[bool], None], length: int | None, on_drop: Callable[[], None] = no_op
    ) -> None:
        self._pause, self._on_drop = pause, on_drop
        self.length = length  # bytes; None if unknown until the end
        self._buffered = bytearray()  # one buffer, as pieces may be single bytes
        self._whole: bool | None = None  # once it has ended: whether it is complete
        self._sink: Sink | None = None
        self._dropped = False
        self._source_released = False
        self.paused = False  # the source has been told to pause
        self.started = False  # part of it has been forwarded and cannot be sent again

    @property
    def buffered_size(self) -> int:
        """Bytes that wait for a sink."""
        return len(self._buffered)

    def feed(self, piece: bytes) -> None:
        """Take a piece from the source."""
        if self._sink is not None:
            self.started = True
            self._sink.body(piece)
        elif not self._dropped:
            self._buffered += piece
            self.set_paused(True)

    def finish(self, whole: bool) -> None:
        """Note the end of the body, complete (`whole`) or cut off."""
        if self._whole is None:
            self._whole = whole
            self._release_source()
            if self._sink is not None:
                self._sink.body_end(whole)

    def attach(self, sink: Sink) -> None:
        """Forward what is buffered and all further pieces to the sink."""
        self._sink = sink
        self.started = self.started or bool(self._buffered)
        buffered, self._buffered = bytes(self._buffered), bytearray()
        self.set_paused(False)
        if buffered:
            sink.body(buffered)
        if self._whole is not None:
            sink.body_end(self._whole)

    def detach(self) -> None:
        """Remove the sink. Another one may be attached unless part of the body has been forwarded."""
        self._sink = None

    def set_paused(self, on: bool) -> None:
        """Pause or resume the source, on behalf of the sink. No effect once the source is released."""
        if on != self.paused and not self._source_released:
            self.paused = on
            self._pause(on)

    def drop(self) -> None:
        """Discard what is buffered and all further pieces; tell the source, unless the body has ended."""
        self._sink, self._dropped = None, True
        self._buffered.clear()
        on_drop = self._on_drop
        self._release_source()
        on_drop()

    def _release_source(self) -> None:
        """Resume the source and forget its callbacks."""
        self.set_paused(False)
        self._source_released = True
        self._pause, self._on_drop = ignore, no_op


def chunk(piece: bytes) -> bytes:
    """Encode a piece as a chunk of chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(piece), piece)


LAST_CHUNK = b"0\r\n\r\n"

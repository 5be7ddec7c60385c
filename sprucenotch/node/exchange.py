"""A request of a client's connection and its answer, which goes out in its turn."""

from __future__ import annotations

from collections.abc import Callable

from sprucenotch.node.config import SECOND
from sprucenotch.node.connection import Answer, Headers
from sprucenotch.node.head import CLOSE, SERVER_ONLY
from sprucenotch.node.stream import Stream


class Exchange:
    """A request of a connection and its answer, which goes out in its turn."""

    __slots__ = ("_flush", "answer", "connected", "id", "last", "old", "upload")

    def __init__(
        self, flush: Callable[[], None], connected: Callable[[], bool], last: bool, old: bool
    ) -> None:
        self._flush, self.connected = flush, connected
        self.last = last  # whether the connection ends with it
        self.old = old  # HTTP/1.0: knows no chunks, and takes a connection as closed unless told
        self.id = 0  # the host's; 0: answered here
        self.answer: Answer | None = None
        self.upload: Stream | None = None

    def put(self, answer: Answer) -> None:
        self.answer = answer
        if self.upload is not None:
            self.upload.drop()  # whatever of the body still comes
        self._flush()

    def say(self, status: int, text: bytes, headers: Headers | None = None) -> None:
        self.put(Answer(status, headers or [], text + b"\n"))

    def serve(self, answer: Answer) -> None:
        kept = [h for h in answer.headers if h[0] not in SERVER_ONLY]
        self.put(Answer(200, kept, answer.body, answer.rest))

    def refuse(self, stay_away: int) -> None:
        headers = [(b"Retry-After", b"%.3f" % (stay_away / SECOND))] if stay_away else []
        self.say(503, b"refused; trying again is harmless", headers)

    def fail(self, timed_out: bool) -> None:
        self.say(504 if timed_out else 502, b"failed; it may have run")

    def framing(self, answer: Answer, close: bool) -> list[bytes]:
        """The lines that tell the client where the answer and the connection end."""
        lines = []
        if answer.rest is not None and answer.rest.length is None and not self.old:
            lines.append(b"Transfer-Encoding: chunked")
        if close:
            lines.append(CLOSE)
        elif self.old:
            lines.append(b"Connection: keep-alive")
        return lines

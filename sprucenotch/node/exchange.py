"""A request on a client's connection and its answer, which is sent in the order of the requests."""

from __future__ import annotations

from collections.abc import Callable

from sprucenotch.node.config import SECOND
from sprucenotch.node.connection import Answer, Headers
from sprucenotch.node.head import CONNECTION_CLOSE, UNFORWARDED_ANSWER_HEADERS
from sprucenotch.node.stream import Stream


class Exchange:
    """A request on a client's connection and its answer, which is sent in the order of the requests."""

    __slots__ = (
        "_flush", "answer", "closes_connection", "connected", "head_only", "http10", "id", "unread_for",
        "upload",
    )  # fmt: skip

    def __init__(
        self, flush: Callable[[], None], connected: Callable[[], bool], closes_connection: bool, http10: bool
    ) -> None:
        self._flush, self.connected = flush, connected
        self.closes_connection = closes_connection  # whether the connection ends after its answer
        self.http10 = http10  # has no chunked coding, and closes the connection unless keep-alive is stated
        self.head_only = False  # a HEAD request, whose answer has no body, whatever its length says
        self.id = 0  # in the ledger; 0: not in the ledger
        self.unread_for = 0.0  # seconds for which its last byte may have waited to be read
        self.answer: Answer | None = None
        self.upload: Stream | None = None

    def set_answer(self, answer: Answer) -> None:
        """Set the answer, and send it if it is due."""
        self.answer = answer
        if self.upload is not None:
            self.upload.drop()  # the rest of the request body
        self._flush()

    def answer_with_text(self, status: int, text: bytes, headers: Headers | None = None) -> None:
        """Answer with a status and a line of text."""
        self.set_answer(Answer(status, headers or [], text + b"\n"))

    def serve(self, answer: Answer) -> None:
        forwarded = [h for h in answer.headers if h[0] not in UNFORWARDED_ANSWER_HEADERS]
        self.set_answer(Answer(200, forwarded, answer.body, answer.body_stream))

    def refuse(self, retry_after: int) -> None:
        headers = [(b"Retry-After", b"%.3f" % (retry_after / SECOND))] if retry_after else []
        self.answer_with_text(503, b"refused; trying again is harmless", headers)

    def fail(self, timed_out: bool) -> None:
        self.answer_with_text(504 if timed_out else 502, b"failed; it may have run")

    def framing(self, answer: Answer, close: bool) -> list[bytes]:
        """The header lines that tell the client where the answer and the connection end."""
        lines = []
        if answer.body_stream is not None and answer.body_stream.length is None and not self.http10:
            lines.append(b"Transfer-Encoding: chunked")
        if close:
            lines.append(CONNECTION_CLOSE)
        elif self.http10:
            lines.append(b"Connection: keep-alive")
        return lines

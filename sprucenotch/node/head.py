"""Parsing, checking and building of request and answer heads. No sockets and no state."""

from __future__ import annotations

import math
from hashlib import blake2b
from http import HTTPStatus

from sprucenotch import api
from sprucenotch.node.config import SECOND
from sprucenotch.node.connection import Headers
from sprucenotch.node.ledger import Incoming

# Request headers that the program itself reads, by name in lower case.
READ_REQUEST_HEADERS = frozenset(
    (
        b"req-id", b"req-kind", b"req-owner", b"req-deadline", b"req-retry", b"req-cost",
        b"idempotency-key", b"transfer-encoding", b"content-length", b"expect",
    )
)  # fmt: skip
# Headers that concern a single connection or are regenerated.
HOP_BY_HOP = frozenset(
    (
        b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding",
        b"upgrade", b"content-length", b"expect",
    )
)  # fmt: skip
UNFORWARDED_ANSWER_HEADERS = HOP_BY_HOP | {b"srv-load", b"srv-declined"}
UNFORWARDED_REQUEST_HEADERS = HOP_BY_HOP | {b"req-deadline"}
CONNECTION_CLOSE = b"Connection: close"
STATUS_LINES = {s.value: f"HTTP/1.1 {s.value} {s.phrase}".encode() for s in HTTPStatus}
METHODS = {
    api.Effect.SAFE: (b"GET", False),
    api.Effect.KEYED: (b"POST", True),
    api.Effect.UNSAFE: (b"POST", False),
}


class BadRequest(Exception):
    """A request that is answered with an error status."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


class RequestHead:
    """A request head as it arrives. Its memory grows with its bytes, however many fields they make up."""

    __slots__ = ("_fields_size", "fields", "lines", "url")

    def __init__(self) -> None:
        self.url = b""
        self.fields: dict[bytes, bytes] = {}  # those of READ_REQUEST_HEADERS, by name in lower case
        self._fields_size = 0  # bytes of all values in `fields`, also of replaced ones
        self.lines = bytearray()  # to forward, as received, each with its line end

    def add_field(self, name: bytes, value: bytes) -> None:
        """Add a field; `value` has no whitespace around it."""
        lower_name = name.lower()
        if lower_name in READ_REQUEST_HEADERS:
            self.fields[lower_name] = value
            self._fields_size += len(value)
        if lower_name not in UNFORWARDED_REQUEST_HEADERS:
            self.lines += b"%s: %s\r\n" % (name, value)

    @property
    def size(self) -> int:
        """Bytes that it holds."""
        return len(self.url) + len(self.lines) + self._fields_size


def head(status: int, headers: Headers, length: int | None, *ending: bytes) -> bytes:
    """Build the head of an answer. With a length of None, `ending` contains the framing headers."""
    lines = [STATUS_LINES[status]]
    lines += [b"%s: %s" % header for header in headers]
    if length is not None:
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join((*lines, *ending, b"\r\n"))


def reply(status: int, headers: Headers, body: bytes, close: bool) -> bytes:
    """Build a whole answer."""
    return head(status, headers, len(body), *([CONNECTION_CLOSE] if close else [])) + body


class HeadRules:
    """Checks request heads against the current settings."""

    def __init__(self, settings: api.Settings) -> None:
        self._classes = {c.name.encode(): c for c in settings.classes}
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}

    def check(self, method: bytes, url: bytes, lines: bytes, headers: dict[bytes, bytes]) -> Incoming:
        """Parse a request head; `lines` are the headers to forward, each with its line end. Raises
        BadRequest."""
        cls = self._classes.get(headers.get(b"req-kind", b""))
        if cls is None:
            raise BadRequest(400, "Req-Kind is missing or unknown")
        if not headers.get(b"req-id"):
            raise BadRequest(400, "Req-Id is missing")
        expected, keyed = METHODS[cls.effect]
        if method != expected:
            raise BadRequest(405, "the method does not fit the class")
        if keyed and not headers.get(b"idempotency-key"):
            raise BadRequest(400, "Idempotency-Key is missing")
        tenant = 0
        if self._tenants:
            owner = self._tenants.get(headers.get(b"req-owner", b""))
            if owner is None:
                raise BadRequest(400, "Req-Owner is missing or unknown")
            tenant = owner
        return Incoming(
            req_id=headers[b"req-id"],
            cls=cls.name,
            tenant=tenant,
            key=request_key(url),
            deadline=deadline(headers.get(b"req-deadline")),
            hint=hint(headers.get(b"req-cost")),
            repeat=headers.get(b"req-retry") == b"1",
            head=b"%s %s HTTP/1.1\r\n%s" % (method, url, lines),
            body=b"",
        )


def request_key(url: bytes) -> int:
    """Hash the query parameter k to a number that is the same on every sidecar; 0 if there is none."""
    _, _, query = url.partition(b"?")
    for part in query.split(b"&"):
        if part.startswith(b"k=") and len(part) > 2:
            return int.from_bytes(blake2b(part[2:], digest_size=8).digest(), "little") or 1
    return 0


def deadline(text: bytes | None) -> int:
    """Parse Req-Deadline, in seconds, to nanoseconds. Raises BadRequest."""
    try:
        seconds = float(text or b"")
    except ValueError:
        seconds = math.nan
    if not 0 < seconds < 3600:
        raise BadRequest(400, "Req-Deadline is missing or makes no sense")
    return int(seconds * SECOND)


def hint(text: bytes | None) -> int:
    """Parse Req-Cost, the client's estimate of the work; 0 if it is missing or invalid."""
    return int(text) * 1000 if text and text.isdigit() and len(text) < 13 else 0

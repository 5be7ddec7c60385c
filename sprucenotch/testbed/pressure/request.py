"""The requests of a play: their class, and the form of the answer that they ask the server for."""

from __future__ import annotations

import random
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlencode

SECOND = 1_000_000_000
METHODS = {"retryable": "GET", "dedup": "POST", "fragile": "POST"}


class RequestClass(NamedTuple):
    """What a request has to know of its class in the settings."""

    name: str
    effect: str  # as in the settings: retryable, dedup or fragile
    deadline: float  # seconds

    @property
    def method(self) -> str:
        """The method of its requests."""
        return METHODS[self.effect]


def request_classes(settings: dict[str, Any]) -> list[RequestClass]:
    """Return the classes of a sidecar's settings."""
    return [RequestClass(c["Name"], c["Effect"], c["HardLimitNs"] / SECOND) for c in settings["Categories"]]


def first_tenant(settings: dict[str, Any]) -> str:
    """Return the name of a tenant of a sidecar's settings; empty if there is none."""
    return str(settings["Orgs"][0]["Name"]) if settings["Orgs"] else ""


class AnswerForm(NamedTuple):
    """How the server reads the request and writes its answer; sent along in the query of the request."""

    size: int = 200  # bytes of the body
    framing: str = "length"  # length, chunked or close
    body_delay: float = 0.0  # seconds between the head and the first byte of the body
    piece: int = 1 << 30  # bytes that are written at a time
    pause: float = 0.0  # seconds between two pieces
    work: float = 0.005  # seconds between the last byte of the request and the head of the answer
    read_rate: float = 0.0  # bytes per second at which the request's body is read; 0: as it comes
    read_limit: int = -1  # bytes of the body after which the server stops reading; -1: none

    @property
    def streamed(self) -> bool:
        """Whether only the first byte of the answer has to come in time."""
        return self.size > 64 * 1024 or self.framing != "length"

    def query(self) -> str:
        """Encode the fields that differ from their defaults."""
        defaults = AnswerForm()._asdict()
        return urlencode({name: value for name, value in self._asdict().items() if value != defaults[name]})


def answer_form(query: str) -> AnswerForm:
    """Decode the form from the query of a request."""
    types = {name: type(value) for name, value in AnswerForm()._asdict().items()}
    given = {name: values[-1] for name, values in parse_qs(query).items() if name in types}
    return AnswerForm(**{name: types[name](value) for name, value in given.items()})


def answer_body(id: str, size: int) -> bytes:
    """The body of the answer to that request, which no other request has."""
    line = f"{id};".encode()
    return (line * (size // len(line) + 1))[:size]


class RequestWriter:
    """Builds requests with ids that are unique in the play."""

    def __init__(self, label: str, classes: list[RequestClass], tenant: str, rng: random.Random) -> None:
        self._label, self._classes, self._tenant, self.rng = label, classes, tenant, rng
        self._count = 0

    def next_id(self) -> str:
        """Return an id that was not used before."""
        self._count += 1
        return f"{self._label}-{self._count}"

    def draw_class(self, with_body: bool = False) -> RequestClass:
        """Draw a class; `with_body`: one whose requests are POSTs, if there is any."""
        posts = [cls for cls in self._classes if cls.method == "POST"]
        return self.rng.choice(posts if with_body and posts else self._classes)

    def head(
        self, cls: RequestClass, id: str, form: AnswerForm, lines: tuple[str, ...] = (), deadline: float = 0.0
    ) -> bytes:
        """Build the head of a request; `deadline` in seconds, by default that of the class."""
        fields = [
            f"{cls.method} /api?{form.query()} HTTP/1.1", "Host: backend.local", f"Req-Id: {id}",
            f"Req-Kind: {cls.name}", f"Req-Deadline: {deadline or cls.deadline:.3f}",
        ]  # fmt: skip
        if self._tenant:
            fields.append(f"Req-Owner: {self._tenant}")
        if cls.effect == "dedup":
            fields.append(f"Idempotency-Key: key-{id}")
        return "\r\n".join((*fields, *lines, "", "")).encode()

"""What one request and its answer do, drawn from the seed and the id of the request."""

from __future__ import annotations

import random
from typing import Literal, NamedTuple, TypeAlias

Leaves: TypeAlias = Literal["never", "after its request", "in its answer"]

# Bytes. A sidecar streams bodies over 64 KiB, and the kernel holds tens of kilobytes for a client that does
# not read: the sizes lie on both sides of these limits.
UPLOAD_SIZES = (0, 0, 0, 2_000, 20_000, 66_000, 75_000, 90_000, 300_000)
# Of answers that their clients leave: the end of such an answer waits in the sidecar once its server is done.
LEFT_ANSWER_SIZES = (70_000, 80_000, 92_000, 110_000, 125_000)
ANSWER_SIZES = (100, 3_000, 50_000, 80_000, 92_000, 125_000, 320_000, 900_000)
CHUNK_SIZES = (3_000, 8_000, 30_000)  # of a body without a length
PIECE_SIZES = (700, 8_000, 16_000, 40_000, 200_000)  # that a peer writes or reads at a time
REQUEST_PAUSES = (0.0, 0.01, 0.1)  # seconds between the pieces of a request
MAX_READING_PAUSE = 1.0  # seconds before a client reads its answer
MAX_PIECE_PAUSE = 0.2  # seconds between two pieces
PAUSE_SHARES = (0.0, 0.2)  # of the server's pieces, that are followed by a pause
LEAVE_SHARES: dict[Leaves, float] = {"never": 0.75, "after its request": 0.05, "in its answer": 0.2}


class Transfer(NamedTuple):
    """One request of a client and its answer."""

    id: str
    upload_size: int  # bytes of its body; 0: a request without one
    upload_chunk: int  # bytes of each chunk; 0: the body has a length
    cuts: tuple[float, ...]  # shares of the request after each of which the client pauses
    cut_pause: float  # seconds
    reading_pause: float  # seconds between the head of the answer and its body
    leaves: Leaves
    answer_size: int  # bytes
    answer_chunked: bool
    piece_seed: str  # of the pieces in which the server reads and writes
    pause_share: float  # of these pieces

    @property
    def answer(self) -> bytes:
        """The body of its answer, which no other request has."""
        line = f"{self.id};".encode()
        return (line * (self.answer_size // len(line) + 1))[: self.answer_size]

    @property
    def upload(self) -> bytes:
        """The body of the request."""
        return b"x" * self.upload_size

    def pieces(self) -> random.Random:
        """The source of sizes and pauses of the server's pieces."""
        return random.Random(self.piece_seed)


def draw(seed: int, id: str) -> Transfer:
    """Draw the transfer of that id; the same for the client and the server."""
    rng = random.Random(f"transfer {seed} {id}")
    upload_size = rng.choice(UPLOAD_SIZES)
    leaves = rng.choices(list(LEAVE_SHARES), list(LEAVE_SHARES.values()))[0]
    leaves_answer = leaves == "in its answer"
    return Transfer(
        id=id,
        upload_size=upload_size,
        upload_chunk=rng.choice(CHUNK_SIZES) if upload_size and rng.random() < 0.6 else 0,
        cuts=tuple(sorted(rng.random() for _ in range(rng.choice((0, 0, 1, 3))))),
        cut_pause=rng.choice(REQUEST_PAUSES),
        reading_pause=rng.random() * MAX_READING_PAUSE if leaves_answer or rng.random() < 0.3 else 0.0,
        leaves=leaves,
        answer_size=rng.choice(LEFT_ANSWER_SIZES if leaves_answer else ANSWER_SIZES),
        answer_chunked=rng.random() < 1 / 3,
        piece_seed=f"pieces {seed} {id}",
        pause_share=rng.choice(PAUSE_SHARES),
    )


def chunked(body: bytes, size: int) -> bytes:
    """Encode a body in chunks of that size."""
    chunks = (body[at : at + size] for at in range(0, len(body), size))
    return b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"

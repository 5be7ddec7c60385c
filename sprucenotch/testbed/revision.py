"""Other revisions of the program, checked out from this repository."""

from __future__ import annotations

import compileall
import contextlib
import hashlib
import io
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from pathlib import Path
from typing import NamedTuple

from sprucenotch.testbed.process import RunError

ROOT = Path(__file__).resolve().parent.parent.parent


class RevisionError(RunError):
    """The revision is unknown, or there is no repository."""


class Program(NamedTuple):
    """How a sidecar of a revision is started."""

    command: tuple[str, ...] = (sys.executable, "-m", "sprucenotch")
    cwd: Path | None = None  # the folder with its modules; None for those of this process


def git(*words: str) -> bytes:
    """Run git and return its output. Raises RevisionError with git's last error line."""
    try:
        return subprocess.run(("git", *words), cwd=ROOT, check=True, capture_output=True).stdout
    except FileNotFoundError:
        raise RevisionError("git is needed for revisions and is not installed") from None
    except subprocess.CalledProcessError as error:
        complaint = error.stderr.decode(errors="replace").strip().splitlines()
        raise RevisionError(complaint[-1] if complaint else f"git ended with {error.returncode}") from None


def name(revision: str = "HEAD") -> str:
    """The short hash of a revision; for HEAD with local changes, followed by + and a digest of the changes;
    `unknown` outside of a repository. Raises RevisionError if there is no such revision."""
    try:
        short = git("rev-parse", "--short", f"{revision}^{{commit}}").decode().strip()
        if revision != "HEAD" or not (changed := git("status", "--porcelain", "--", "sprucenotch")):
            return short
        changed += git("diff", "HEAD", "--", "sprucenotch")
    except RevisionError:
        if revision != "HEAD":
            raise
        return "unknown"
    return f"{short}+{hashlib.blake2b(changed, digest_size=3).hexdigest()}"


class Programs(contextlib.ExitStack):
    """Checked-out revisions, each extracted once and deleted at the end. The empty name is this tree."""

    def __init__(self) -> None:
        super().__init__()
        self._programs: dict[str, Program] = {}

    def tree(self, revision: str) -> Path:
        """Extract a revision into a temporary folder. Raises RevisionError."""
        raw = git("archive", revision, ":!journal")
        folder = Path(self.enter_context(tempfile.TemporaryDirectory(prefix="revision-")))
        with tarfile.open(fileobj=io.BytesIO(raw)) as archive:
            archive.extractall(folder, filter="data")
        return folder

    def program(self, revision: str) -> Program:
        """Return how to start that revision. Raises RevisionError."""
        if not revision:
            return self._programs.setdefault("", Program())
        if revision not in self._programs:
            folder = self.tree(revision)
            words = tomllib.loads((folder / "deploy" / "balancer.toml").read_text())["run"].split()
            module = words[words.index("-m") + 1]
            # Compile to bytecode, as a deployment's build does: compiling at start costs memory and time.
            compileall.compile_dir(folder / module, quiet=1)
            self._programs[revision] = Program((sys.executable, "-m", module), folder)
        return self._programs[revision]

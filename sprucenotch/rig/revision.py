"""The program at a revision of this repository, beside the one at work."""

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

from sprucenotch.rig.process import RigError

ROOT = Path(__file__).resolve().parent.parent.parent


class RevisionError(RigError):
    """There is no such revision here."""


class Program(NamedTuple):
    """How a sidecar of it is started."""

    command: tuple[str, ...] = (sys.executable, "-m", "sprucenotch")
    cwd: Path | None = None  # where its modules are found; None for those of this process


def git(*words: str) -> bytes:
    """Raises RevisionError with git's own line."""
    try:
        return subprocess.run(("git", *words), cwd=ROOT, check=True, capture_output=True).stdout
    except FileNotFoundError:
        raise RevisionError("git is needed for revisions and is not there") from None
    except subprocess.CalledProcessError as problem:
        said = problem.stderr.decode(errors="replace").strip().splitlines()
        raise RevisionError(said[-1] if said else f"git ended with {problem.returncode}") from None


def name(revision: str = "HEAD") -> str:
    """Its short name; where the tree holds changes, with a + and what tells these from others. `unknown`
    outside of a repository. Raises RevisionError on one that is not there."""
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
    """Trees of revisions, each taken once and kept until the end. Without a name it is this tree."""

    def __init__(self) -> None:
        super().__init__()
        self._known: dict[str, Program] = {}

    def tree(self, revision: str) -> Path:
        """Raises RevisionError."""
        raw = git("archive", revision, ":!journal")
        folder = Path(self.enter_context(tempfile.TemporaryDirectory(prefix="revision-")))
        with tarfile.open(fileobj=io.BytesIO(raw)) as archive:
            archive.extractall(folder, filter="data")
        return folder

    def program(self, revision: str) -> Program:
        """Raises RevisionError."""
        if not revision:
            return self._known.setdefault("", Program())
        if revision not in self._known:
            folder = self.tree(revision)
            words = tomllib.loads((folder / "deploy" / "balancer.toml").read_text())["run"].split()
            module = words[words.index("-m") + 1]
            # Bytecode as a deployment's build leaves it: compiling at the start would cost memory and time.
            compileall.compile_dir(folder / module, quiet=1)
            self._known[revision] = Program((sys.executable, "-m", module), folder)
        return self._known[revision]

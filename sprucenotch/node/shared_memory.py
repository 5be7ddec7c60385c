"""Memory that the two processes of an upgrade share: a file in the folder that both get."""

from __future__ import annotations

import logging
import mmap
import os
from collections.abc import Mapping
from hashlib import blake2b

from sprucenotch.node.log import event

log = logging.getLogger(__name__)

FILE_PREFIX = "sprucenotch-begun-1-"  # the number is that of the layout


def shared_memory(environ: Mapping[str, str], name: str, size: int) -> mmap.mmap:
    """Map the file of the sidecar of that name in $TMPDIR, created with `size` zero bytes if it is new.

    Without that variable, or if the file cannot be used, the memory belongs to this process alone; the latter
    is logged.
    """
    folder = environ.get("TMPDIR")
    if folder:
        try:
            return _map(
                os.path.join(folder, FILE_PREFIX + blake2b(name.encode(), digest_size=8).hexdigest()), size
            )
        except OSError as problem:
            event(log, logging.WARNING, "ids of requests not shared", folder=folder, why=str(problem))
    return mmap.mmap(-1, size)


def _map(path: str, size: int) -> mmap.mmap:
    flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW
    descriptor = os.open(path, flags, mode=0o600)
    try:
        # Reserves the space: a write to a mapped page that the file system has no room for ends the process.
        os.posix_fallocate(descriptor, 0, size)
        return mmap.mmap(descriptor, size)
    finally:
        os.close(descriptor)

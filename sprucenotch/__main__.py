"""`python -m sprucenotch`: one sidecar, as the platform starts it; with words after it, the command line."""

from __future__ import annotations

import sys


def main() -> int:
    if len(sys.argv) > 1:  # the sidecar itself is told all by its environment, and does without what follows
        from sprucenotch.cli.main import main as command_line

        return command_line()
    from sprucenotch.node.serve import main as sidecar

    return sidecar()


if __name__ == "__main__":
    sys.exit(main())

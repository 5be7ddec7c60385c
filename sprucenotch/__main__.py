"""`python -m sprucenotch`: runs the sidecar; with arguments, the command line."""

from __future__ import annotations

import sys


def main() -> int:
    if len(sys.argv) > 1:  # the sidecar takes no arguments and does not need the command line
        from sprucenotch.cli.main import main as command_line

        return command_line()
    from sprucenotch.node.serve import main as sidecar

    return sidecar()


if __name__ == "__main__":
    sys.exit(main())

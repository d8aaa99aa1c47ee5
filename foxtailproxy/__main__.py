"""The program `foxtailproxy`."""

from __future__ import annotations

import signal
import sys

NODE_COMMAND = "node"


def main() -> None:
    """Run the command line."""
    if sys.argv[1:2] == [NODE_COMMAND]:
        # Its handler comes only after the imports, which take some tenths of a second.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from foxtailproxy.cli import cli

    cli()


if __name__ == "__main__":
    main()

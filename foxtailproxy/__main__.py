"""The `foxtailproxy` program."""

from __future__ import annotations

import signal
import sys

NODE_COMMAND = "node"


def main() -> None:
    """Run the command line."""
    caller_socket = None
    if sys.argv[1:2] == [NODE_COMMAND]:
        # SIGHUP would end the process until its handler is installed, which is only after the
        # imports; these take some tenths of a second.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from foxtailproxy.caller_socket import open_caller_socket

        caller_socket = open_caller_socket(sys.argv[2:])
    from foxtailproxy.cli import cli

    cli(obj=caller_socket)


if __name__ == "__main__":
    main()

"""The socket for callers, which a node opens before it imports the rest of the program.

The imports take most of a node's start. A caller that connects meanwhile waits in the listen queue;
without a listener it would be refused, and might give up before the node serves again.
"""

from __future__ import annotations

import configparser
import os
import socket

SETTINGS_VARIABLE = "FOXTAILPROXY_CONFIG"
"""Environment variable with the path of the settings file."""

MAX_PORT = 65_535

LISTEN_BACKLOG = 1024
"""Maximum number of callers that wait for a node that is starting."""


def open_caller_socket(arguments: list[str]) -> socket.socket | None:
    """Listen at the address for callers, given the arguments of the `node` command.

    Returns `None` if the node is not to be started or cannot listen there. The reason is reported
    later, when the node reads its settings and listens itself.
    """
    paths = [argument for argument in arguments if not argument.startswith("-")]
    if len(paths) != len(arguments):
        # An option asks for something else than to run the node.
        return None
    path = paths[0] if paths else os.environ.get(SETTINGS_VARIABLE, "")
    endpoint = read_caller_endpoint(path)
    if endpoint is None:
        return None
    caller_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        caller_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        caller_socket.setblocking(False)
        caller_socket.bind(endpoint)
        caller_socket.listen(LISTEN_BACKLOG)
    except OSError:
        caller_socket.close()
        return None
    return caller_socket


def read_caller_endpoint(path: str) -> tuple[str, int] | None:
    """Return the IP address and port for callers in a settings file, or `None` if it has none.

    This needs none of the libraries with which the whole file is read and checked later.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read(path, encoding="utf-8")
        node = parser["node"]
    except (configparser.Error, KeyError, UnicodeDecodeError):
        return None
    host, port = node.get("address", ""), node.get("caller_port", "")
    if node.get("caller_address"):
        host, _, port = node["caller_address"].rpartition(":")
    valid = host and port.isdecimal() and 0 < int(port) <= MAX_PORT
    return (host, int(port)) if valid else None

"""The settings of one node, from its INI file."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Any

import msgspec

from foxtailproxy.config.ini import Problem, read_model, read_sections
from foxtailproxy.exceptions import FileError, SettingsError
from foxtailproxy.models.settings import (
    LimitsSection,
    NodeSection,
    NodeSettings,
    PeersSection,
    PlatformSection,
)

HIGHEST_PORT = 65535

SECTION_MODELS: dict[str, type[msgspec.Struct]] = {
    "node": NodeSection,
    "platform": PlatformSection,
    "peers": PeersSection,
    "limits": LimitsSection,
}


def load_settings(path: str) -> NodeSettings:
    """Read the settings file at `path`.

    Raises `FileError` where it cannot be read, `SettingsError` with all problems where it is wrong.
    """
    return parse_settings(read_text(path), path)


def parse_settings(text: str, source: str) -> NodeSettings:
    """Read settings from `text`; `source` names it in errors. Raises `SettingsError`."""
    sections = read_sections(text)
    if sections.is_error():
        raise SettingsError(source, [sections.error])
    problems: list[Problem] = []
    values: dict[str, Any] = {}
    for name in sections.ok:
        if name not in SECTION_MODELS:
            known = ", ".join(SECTION_MODELS)
            problems.append(Problem(name, "", "", f"unknown section; known: {known}"))
    for name, model in SECTION_MODELS.items():
        result = read_model(model, name, sections.ok.get(name, {}), {})
        if result.is_error():
            problems.extend(result.error)
        else:
            values[name] = result.ok
    problems.extend(_node_problems(values.get("node")))
    problems.extend(_seed_problems(values.get("peers")))
    if problems:
        raise SettingsError(source, list(problems))
    return NodeSettings(**values)


def _node_problems(node: NodeSection | None) -> list[Problem]:
    if node is None:
        return []
    problems = []
    if not is_ip(node.address):
        problems.append(Problem("node", "address", node.address, "not an IP address"))
    taken: dict[int, str] = {}
    for key in ("caller_port", "peer_port", "admin_port"):
        port = getattr(node, key)
        if port in taken:
            problems.append(Problem("node", key, str(port), f"already used by {taken[port]}"))
        taken[port] = key
    return problems


def _seed_problems(peers: PeersSection | None) -> list[Problem]:
    if peers is None:
        return []
    return [
        Problem("peers", "seeds", seed, "not an address as ip:port")
        for seed in peers.seeds
        if not is_address(seed)
    ]


def is_address(text: str) -> bool:
    """Whether `text` is an IP address and a port with a colon between."""
    host, _, port = text.rpartition(":")
    return is_ip(host) and port.isdecimal() and 0 < int(port) <= HIGHEST_PORT


def is_ip(text: str) -> bool:
    """Whether `text` is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def read_text(path: str) -> str:
    """The text of the file at `path`. Raises `FileError`."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FileError(f"{path}: {error}") from error

"""Parsing and validation of the settings file of one node."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Any

import msgspec

from foxtailproxy.config.ini import Problem, read_model, read_sections
from foxtailproxy.exceptions import FileError, SettingsError
from foxtailproxy.models.settings import (
    BudgetsSection,
    ColdStartSection,
    CustomersSection,
    LimitsSection,
    LinksSection,
    NodeSection,
    NodeSettings,
    PeersSection,
    PlatformSection,
    UpstreamSection,
)

MAX_PORT = 65535

SECTION_MODELS: dict[str, type[msgspec.Struct]] = {
    "node": NodeSection,
    "platform": PlatformSection,
    "peers": PeersSection,
    "limits": LimitsSection,
    "upstream": UpstreamSection,
    "budgets": BudgetsSection,
    "links": LinksSection,
    "customers": CustomersSection,
    "cold_start": ColdStartSection,
}


def load_settings(path: str) -> NodeSettings:
    """Read the settings file at `path`.

    Raises `FileError` where it cannot be read, `SettingsError` with all problems where it is
    invalid.
    """
    return parse_settings(read_text(path), path)


def parse_settings(text: str, source: str) -> NodeSettings:
    """Parse settings; `source` names the text in errors. Raises `SettingsError`."""
    sections = read_sections(text)
    if sections.is_error():
        raise SettingsError(source, [sections.error])
    problems: list[Problem] = []
    values: dict[str, Any] = {}
    for name in sections.ok:
        if name not in SECTION_MODELS:
            valid_sections = ", ".join(SECTION_MODELS)
            problems.append(
                Problem(name, "", "", f"unknown section; valid sections: {valid_sections}")
            )
    for name, model in SECTION_MODELS.items():
        result = read_model(model, name, sections.ok.get(name, {}), {})
        if result.is_error():
            problems.extend(result.error)
        else:
            values[name] = result.ok
    problems.extend(_node_problems(values.get("node")))
    problems.extend(_seed_problems(values.get("peers")))
    problems.extend(_address_problems(values))
    if problems:
        raise SettingsError(source, list(problems))
    return NodeSettings(**values)


def _node_problems(node: NodeSection | None) -> list[Problem]:
    if node is None:
        return []
    problems = []
    if not is_ip(node.address):
        problems.append(Problem("node", "address", node.address, "not an IP address"))
    key_by_port: dict[int, str] = {}
    for key in ("caller_port", "peer_port", "admin_port"):
        port = getattr(node, key)
        if not port:
            continue
        if port in key_by_port:
            problems.append(Problem("node", key, str(port), f"already used by {key_by_port[port]}"))
        key_by_port[port] = key
    return problems


ADDRESS_KEYS = (
    ("node", "caller_address"),
    ("node", "ready_address"),
    ("node", "control_address"),
    ("upstream", "address"),
)
"""Keys whose value is empty or an IP address with a port."""


def _address_problems(values: dict[str, Any]) -> list[Problem]:
    problems = []
    for section, key in ADDRESS_KEYS:
        value = getattr(values.get(section), key, "")
        if value and not is_address(value):
            problems.append(Problem(section, key, value, "not an address of the form ip:port"))
    node = values.get("node")
    if node is not None and not node.caller_address and not node.caller_port:
        problems.append(
            Problem("node", "caller_port", "", "missing; set caller_port or caller_address")
        )
    return problems


def split_address(address: str, host: str = "", port: int = 0) -> tuple[str, int]:
    """Return the IP address and port in `address`, or `host` and `port` where it is empty."""
    if not address:
        return host, port
    ip, _, port_text = address.rpartition(":")
    return ip, int(port_text)


def _seed_problems(peers: PeersSection | None) -> list[Problem]:
    if peers is None:
        return []
    return [
        Problem("peers", "seeds", seed, "not an address of the form ip:port")
        for seed in peers.seeds
        if not is_address(seed)
    ]


def is_address(text: str) -> bool:
    """Return whether `text` is an IP address and a port, separated by a colon."""
    host, _, port = text.rpartition(":")
    return is_ip(host) and port.isdecimal() and 0 < int(port) <= MAX_PORT


def is_ip(text: str) -> bool:
    """Return whether `text` is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def read_text(path: str) -> str:
    """Return the text of the file at `path`. Raises `FileError`."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FileError(f"cannot read {path}: {error}") from error

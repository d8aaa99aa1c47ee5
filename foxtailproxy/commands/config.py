"""`foxtailproxy config`: check, compare, apply and show the configuration."""

from __future__ import annotations

import getpass
from typing import Any

import msgspec
from twisted.internet import reactor

from foxtailproxy.call import new_id
from foxtailproxy.commands.client import request_admin
from foxtailproxy.config.difference import difference
from foxtailproxy.config.rules import format_rules, parse_rules
from foxtailproxy.config.settings import read_text
from foxtailproxy.config_sync import CONFIG_PATH
from foxtailproxy.customers.redaction import redact_keys
from foxtailproxy.exceptions import ConflictError, ResponseError, UnreachableError
from foxtailproxy.models.messages import ConfigObject
from foxtailproxy.models.settings import PlatformSection
from foxtailproxy.platform.store_client import StoreClient
from foxtailproxy.store import Conflict, Missing, Store, StoredObject, StoreFailure

READ_BACK_ATTEMPTS = 5

CHANGE_ID_LENGTH = 12
"""Length of a change id in characters; every datagram between nodes carries one."""


class CheckReport(msgspec.Struct):
    """Number of services and classes in a valid configuration."""

    services: int
    classes: int


class ApplyReport(msgspec.Struct):
    """Configuration that the platform accepted."""

    generation: int
    change_id: str
    difference: str


class CurrentConfig(msgspec.Struct):
    """Configuration stored at the platform; `version` is 0 if there is none."""

    version: int
    config: ConfigObject | None


def read_normalized_rules(path: str) -> str:
    """Return the configuration in a file in normalized form. Raises `SettingsError`."""
    return format_rules(parse_rules(read_text(path), path))


def check(path: str) -> CheckReport:
    """Check a configuration file. Raises `SettingsError` or `FileError`."""
    rules = parse_rules(read_text(path), path)
    return CheckReport(len(rules.services), len(rules.classes))


def open_platform(url: str) -> Store:
    """Return a client for the platform at `url`."""
    twisted_reactor: Any = reactor
    return StoreClient(twisted_reactor, PlatformSection(url, timeout_ms=5000))


async def fetch_current(platform: Store) -> CurrentConfig:
    """Return the platform's configuration. Raises `UnreachableError` or `ResponseError`."""
    read_result = await platform.read(CONFIG_PATH)
    if read_result.is_ok():
        return CurrentConfig(read_result.ok.version, _decode(read_result.ok))
    if isinstance(read_result.error, Missing):
        return CurrentConfig(0, None)
    raise _unreachable_error(read_result.error)


async def compare(platform: Store, path: str) -> str:
    """Return the difference between the platform's configuration and a file."""
    current = await fetch_current(platform)
    return _difference(current, read_normalized_rules(path))


async def apply(
    platform: Store, path: str, expected_generation: int | None, node_address: str | None
) -> ApplyReport:
    """Replace the configuration, unless another operator has replaced it since it was read.

    `expected_generation` is the generation that the change is based on. If `node_address` is
    given, the new generation is also higher than that node's, so that a platform restored from an
    older state cannot bring an old generation back. Raises `ConflictError`, `UnreachableError`,
    `SettingsError`.
    """
    text = read_normalized_rules(path)
    current = await fetch_current(platform)
    platform_generation = 0 if current.config is None else current.config.generation
    if expected_generation is not None and expected_generation != platform_generation:
        raise ConflictError(
            f"expected generation {expected_generation}, but the platform holds generation "
            f"{platform_generation}; run `config diff` before applying again"
        )
    node_generation = 0
    if node_address is not None:
        node_generation = (
            await request_admin("GET", node_address, "/status", _NodeGeneration)
        ).config_generation
    change = ConfigObject(
        max(platform_generation, node_generation) + 1,
        new_id()[:CHANGE_ID_LENGTH],
        getpass.getuser(),
        text,
    )
    value = msgspec.json.encode(change).decode()
    if current.version:
        result = await platform.update(CONFIG_PATH, value, current.version)
    else:
        result = await platform.create(CONFIG_PATH, value)
    if result.is_error():
        await _read_back(platform, change, current, result.error)
    return ApplyReport(change.generation, change.change_id, _difference(current, text))


class _NodeGeneration(msgspec.Struct):
    """Part of a node's status with the generation of its configuration."""

    config_generation: int


async def _read_back(
    platform: Store, change: ConfigObject, current: CurrentConfig, failure: StoreFailure
) -> None:
    """Check whether a write with a lost answer took effect; raise an error otherwise."""
    for _ in range(READ_BACK_ATTEMPTS):
        read_result = await platform.read(CONFIG_PATH)
        if read_result.is_ok():
            config = _decode(read_result.ok)
            if config.change_id == change.change_id:
                return
            if read_result.ok.version != current.version or isinstance(failure, Conflict):
                raise ConflictError(
                    f"generation {config.generation} by {config.author} (change "
                    f"{config.change_id}) was accepted first; generation {change.generation} "
                    f"(change {change.change_id}) is not in force; run `config diff` before "
                    "applying again"
                )
    raise UnreachableError(
        f"change {change.change_id} (generation {change.generation}) may or may not have been "
        "accepted: the platform's answer was lost; run `config show` and compare the change id"
    )


def _difference(current: CurrentConfig, text: str) -> str:
    old = "" if current.config is None else current.config.text
    generation = 0 if current.config is None else current.config.generation
    return difference(redact_keys(old), redact_keys(text), f"generation {generation}", "new")


def _decode(stored: StoredObject) -> ConfigObject:
    try:
        return msgspec.json.decode(stored.value, type=ConfigObject)
    except msgspec.MsgspecError as error:
        raise ResponseError(f"{CONFIG_PATH}: malformed configuration object: {error}") from error


def _unreachable_error(failure: StoreFailure) -> UnreachableError:
    return UnreachableError(f"platform: {getattr(failure, 'cause', type(failure).__name__)}")

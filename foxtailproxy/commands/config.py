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
from foxtailproxy.exceptions import ConflictError, ResponseError, UnreachableError
from foxtailproxy.models.messages import ConfigObject
from foxtailproxy.models.settings import PlatformSection
from foxtailproxy.platform.store_client import StoreClient
from foxtailproxy.store import Conflict, Missing, Store, StoredObject, StoreFailure

READ_BACK_ATTEMPTS = 5

CHANGE_ID_LENGTH = 12
"""Characters of a change id; it travels in every datagram between nodes."""


class CheckReport(msgspec.Struct):
    """What a valid configuration declares."""

    services: int
    classes: int


class ApplyReport(msgspec.Struct):
    """A configuration that the platform accepted."""

    generation: int
    change_id: str
    difference: str


class CurrentConfig(msgspec.Struct):
    """The configuration that the platform holds; `version` is 0 where there is none."""

    version: int
    config: ConfigObject | None


def read_normalized_rules(path: str) -> str:
    """The configuration in a file, in its standard form. Raises `SettingsError`."""
    return format_rules(parse_rules(read_text(path), path))


def check(path: str) -> CheckReport:
    """Check a configuration file. Raises `SettingsError` or `FileError`."""
    rules = parse_rules(read_text(path), path)
    return CheckReport(len(rules.services), len(rules.classes))


def open_platform(url: str) -> Store:
    """A client for the platform at `url`."""
    loop: Any = reactor
    return StoreClient(loop, PlatformSection(url, timeout_ms=5000))


async def fetch_current(platform: Store) -> CurrentConfig:
    """The configuration at the platform. Raises `UnreachableError` or `ResponseError`."""
    read_result = await platform.read(CONFIG_PATH)
    if read_result.is_ok():
        return CurrentConfig(read_result.ok.version, _decode(read_result.ok))
    if isinstance(read_result.error, Missing):
        return CurrentConfig(0, None)
    raise _unreachable_error(read_result.error)


async def compare(platform: Store, path: str) -> str:
    """The difference that applying a file would make."""
    current = await fetch_current(platform)
    return _difference(current, read_normalized_rules(path))


async def apply(
    platform: Store, path: str, expected_generation: int | None, node_address: str | None
) -> ApplyReport:
    """Replace the configuration, unless another operator did so since it was read.

    `expected` is the generation that the change was made against. A `node` given is asked for its
    generation, so that a platform restored from an older state cannot bring an old one back.
    Raises `ConflictError`, `UnreachableError`, `SettingsError`.
    """
    text = read_normalized_rules(path)
    current = await fetch_current(platform)
    platform_generation = 0 if current.config is None else current.config.generation
    if expected_generation is not None and expected_generation != platform_generation:
        raise ConflictError(
            f"expected generation {expected_generation}, the platform holds {platform_generation}"
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
    """The part of a node's status that tells its configuration."""

    config_generation: int


async def _read_back(
    platform: Store, change: ConfigObject, current: CurrentConfig, failure: StoreFailure
) -> None:
    """Find out whether a write took effect whose answer was lost."""
    for _ in range(READ_BACK_ATTEMPTS):
        read_result = await platform.read(CONFIG_PATH)
        if read_result.is_ok():
            config = _decode(read_result.ok)
            if config.change_id == change.change_id:
                return
            if read_result.ok.version != current.version or isinstance(failure, Conflict):
                raise ConflictError(
                    f"generation {config.generation} by {config.author} (change "
                    f"{config.change_id}) was accepted first; yours was {change.generation} "
                    f"(change {change.change_id}) and is not in force"
                )
    raise UnreachableError(
        f"it is not known whether change {change.change_id} (generation {change.generation}) was "
        "accepted: the platform's answer was lost; run `config show` and compare the change id"
    )


def _difference(current: CurrentConfig, text: str) -> str:
    old = "" if current.config is None else current.config.text
    generation = 0 if current.config is None else current.config.generation
    return difference(old, text, f"generation {generation}", "new")


def _decode(stored: StoredObject) -> ConfigObject:
    try:
        return msgspec.json.decode(stored.value, type=ConfigObject)
    except msgspec.MsgspecError as error:
        raise ResponseError(f"{CONFIG_PATH}: {error}") from error


def _unreachable_error(failure: StoreFailure) -> UnreachableError:
    return UnreachableError(f"platform: {getattr(failure, 'cause', type(failure).__name__)}")

"""The operator's configuration in the platform's form, decoded into the product's rules."""

from __future__ import annotations

from typing import Any

import msgspec

from foxtailproxy.config.ini import Problem
from foxtailproxy.config.rules import weights_of
from foxtailproxy.exceptions import SettingsError
from foxtailproxy.models.messages import ConfigObject
from foxtailproxy.models.rules import FleetRule, RouteRule, Rules, ServiceRule

CONFIG_KIND = "config"
CONFIG_PATH = "config/main"

VERSION_PREFIX = "r"
"""Versions are written as this letter and a number, and compare as their numbers do."""

LOWEST_PLATFORM_PRIORITY = 9
"""The platform ranks from 0, the most important; the product's priority grows with importance."""

MEMBERSHIP_BYTES_PER_S = 8000
"""Bytes a second for membership; users allow 11 KB a second for all control of a node."""

CROSS_REGION_MEMBERSHIP_BYTES_PER_S = 1500
"""The part of these that may cross regions."""

HIGHEST_PRIORITY_WEIGHT = 12
"""Share of a busy target that the first rank gets; the second gets half of it, and so on."""

LONG_CALL_SLOT_PERCENT = 75
"""Share of a target's slots that may be held by a class whose calls run past every objective."""

DEFAULT_MAX_ATTEMPTS = 1

IDEMPOTENT_ROUTE_TYPE = "idempotent"

WEIGHT_SCALE = 100
"""Weights are relative; the factor keeps fractions apart as whole numbers."""


class WireLimits(msgspec.Struct):
    """Bounds on what a caller may send."""

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_ms: int = 0
    idle_timeout_ms: int = 0


class WeightedService(msgspec.Struct):
    """One of the services that share a route."""

    service: str
    weight: float = 1


class WireMatch(msgspec.Struct):
    """Which requests of a host a rule is for."""

    path_prefix: str


class WireAction(msgspec.Struct):
    """Where the requests of a rule go; `timeout_ms` is the longest wait of a caller."""

    timeout_ms: float
    service: str = ""
    weighted_services: list[WeightedService] = []
    max_attempts: int = DEFAULT_MAX_ATTEMPTS


class WireRule(msgspec.Struct):
    """One route.

    `route_type` tells whether a request may run again, `slo_latency_ms` is the objective.
    """

    name: str
    route_type: str
    match: WireMatch
    action: WireAction
    slo_latency_ms: float = 0
    priority: int = LOWEST_PLATFORM_PRIORITY
    """A rank: 0 is the most important."""


class WireListener(msgspec.Struct):
    """The routes of one host; nothing listens anywhere for it."""

    host: str
    rule_set: list[WireRule]


class WireCluster(msgspec.Struct):
    """One service; `max_connections` is for one of its upstreams, from all nodes together."""

    name: str
    health_path: str = ""
    max_connections: int = 0


class WireConfig(msgspec.Struct):
    """A whole configuration."""

    version: str
    listeners: list[WireListener]
    clusters: list[WireCluster]
    limits: WireLimits = msgspec.field(default_factory=WireLimits)


class _VersionOnly(msgspec.Struct):
    version: str


class PlatformConfigSource:
    """Reads configurations as the platform's operator writes them."""

    kind = CONFIG_KIND
    path = CONFIG_PATH

    def decode(self, value: str) -> ConfigObject:
        """The version of a configuration with its text. Raises `SettingsError`."""
        version = _decode(value, _VersionOnly, CONFIG_PATH).version
        generation = version.removeprefix(VERSION_PREFIX)
        if generation == version or not generation.isdecimal():
            reason = f"not {VERSION_PREFIX} and a number"
            raise SettingsError(CONFIG_PATH, [Problem("", "version", version, reason)])
        return ConfigObject(int(generation), "", "operator", value)

    def parse(self, text: str, source: str) -> Rules:
        """The rules of a configuration. Raises `SettingsError`."""
        config = _decode(text, WireConfig, source)
        routes = [
            _to_route_rule(listener.host, rule)
            for listener in config.listeners
            for rule in listener.rule_set
        ]
        longest_by_service = _longest_objective_by_service(routes)
        services = [
            ServiceRule(
                cluster.name,
                health_path=cluster.health_path,
                long_after_ms=longest_by_service.get(cluster.name, 0)
                or ServiceRule("-").long_after_ms,
                long_percent=LONG_CALL_SLOT_PERCENT,
            )
            for cluster in config.clusters
        ]
        limits = config.limits
        fleet = FleetRule(
            measure_bytes_per_s=MEMBERSHIP_BYTES_PER_S,
            paid_measure_bytes_per_s=CROSS_REGION_MEMBERSHIP_BYTES_PER_S,
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_time_ms=limits.header_timeout_ms,
            idle_time_ms=limits.idle_timeout_ms,
        )
        return Rules(fleet, services, [], routes)


def _decode(text: str, model: type[Any], source: str) -> Any:
    try:
        return msgspec.json.decode(text, type=model)
    except msgspec.MsgspecError as error:
        raise SettingsError(source, [Problem("", "", "", str(error))]) from error


def _longest_objective_by_service(routes: list[RouteRule]) -> dict[str, int]:
    """The longest objective in ms of the routes to each service, by its name."""
    longest_by_service: dict[str, int] = {}
    for route in routes:
        for service in weights_of(route):
            longest_by_service[service] = max(
                longest_by_service.get(service, 0), route.objective_ms
            )
    return longest_by_service


def _to_route_rule(host: str, rule: WireRule) -> RouteRule:
    action = rule.action
    weighted_services = action.weighted_services
    if weighted_services:
        services = [
            f"{entry.service}={round(entry.weight * WEIGHT_SCALE)}" for entry in weighted_services
        ]
    else:
        services = [action.service]
    return RouteRule(
        name=rule.name,
        host=host,
        services=services,
        path_prefix=rule.match.path_prefix,
        idempotent=rule.route_type == IDEMPOTENT_ROUTE_TYPE,
        attempts=max(1, action.max_attempts),
        priority=max(0, LOWEST_PLATFORM_PRIORITY - rule.priority),
        weight=max(1, HIGHEST_PRIORITY_WEIGHT // (rule.priority + 1)),
        deadline_ms=int(action.timeout_ms),
        hold_ms=int(action.timeout_ms),
        objective_ms=int(rule.slo_latency_ms),
    )

"""The operator's configuration in the platform's form, decoded into the product's rules."""

from __future__ import annotations

from typing import Any

import msgspec

from foxtailproxy.config.ini import Problem
from foxtailproxy.config.rules import route_weights
from foxtailproxy.exceptions import SettingsError
from foxtailproxy.models.messages import ConfigObject
from foxtailproxy.models.rules import FleetRule, RouteRule, Rules, ServiceRule

CONFIG_KIND = "config"
CONFIG_PATH = "config/main"

VERSION_PREFIX = "r"
"""Versions are written as this letter and a number, and compare as their numbers do."""

LOWEST_RANK = 9
"""The platform ranks from 0, the most important; the product's priority grows with importance."""

MEASURE_BYTES_PER_S = 8000
"""Bytes a second for membership; users allow 11 KB a second for all control of a node."""

PAID_MEASURE_BYTES_PER_S = 1500
"""The part of these that may cross regions."""

FIRST_RANK_WEIGHT = 12
"""Share of a busy target that the first rank gets; the second gets half of it, and so on."""

LONG_PERCENT = 75
"""Share of a target's slots that may be held by a class whose calls run past every objective."""

DEFAULT_ATTEMPTS = 1

IDEMPOTENT = "idempotent"

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
    max_attempts: int = DEFAULT_ATTEMPTS


class WireRule(msgspec.Struct):
    """One route.

    `route_type` tells whether a request may run again, `slo_latency_ms` is the objective.
    """

    name: str
    route_type: str
    match: WireMatch
    action: WireAction
    slo_latency_ms: float = 0
    priority: int = LOWEST_RANK
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
        number = version.removeprefix(VERSION_PREFIX)
        if number == version or not number.isdecimal():
            reason = f"not {VERSION_PREFIX} and a number"
            raise SettingsError(CONFIG_PATH, [Problem("", "version", version, reason)])
        return ConfigObject(int(number), "", "operator", value)

    def parse(self, text: str, source: str) -> Rules:
        """The rules of a configuration. Raises `SettingsError`."""
        config = _decode(text, WireConfig, source)
        routes = [
            _route(listener.host, rule)
            for listener in config.listeners
            for rule in listener.rule_set
        ]
        objectives = _longest_objectives(routes)
        services = [
            ServiceRule(
                cluster.name,
                health_path=cluster.health_path,
                long_after_ms=objectives.get(cluster.name, 0) or ServiceRule("-").long_after_ms,
                long_percent=LONG_PERCENT,
            )
            for cluster in config.clusters
        ]
        limits = config.limits
        fleet = FleetRule(
            measure_bytes_per_s=MEASURE_BYTES_PER_S,
            paid_measure_bytes_per_s=PAID_MEASURE_BYTES_PER_S,
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


def _longest_objectives(routes: list[RouteRule]) -> dict[str, int]:
    """The longest objective in ms of the routes to each service, by its name."""
    longest: dict[str, int] = {}
    for route in routes:
        for name in route_weights(route):
            longest[name] = max(longest.get(name, 0), route.objective_ms)
    return longest


def _route(host: str, rule: WireRule) -> RouteRule:
    action = rule.action
    weighted = action.weighted_services
    if weighted:
        services = [f"{part.service}={round(part.weight * WEIGHT_SCALE)}" for part in weighted]
    else:
        services = [action.service]
    return RouteRule(
        name=rule.name,
        host=host,
        services=services,
        path_prefix=rule.match.path_prefix,
        idempotent=rule.route_type == IDEMPOTENT,
        attempts=max(1, action.max_attempts),
        priority=max(0, LOWEST_RANK - rule.priority),
        weight=max(1, FIRST_RANK_WEIGHT // (rule.priority + 1)),
        deadline_ms=int(action.timeout_ms),
        hold_ms=int(action.timeout_ms),
        objective_ms=int(rule.slo_latency_ms),
    )

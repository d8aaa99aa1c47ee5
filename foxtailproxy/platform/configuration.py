"""Decoding of the operator's configuration from the platform's format into routing rules."""

from __future__ import annotations

from typing import Any

import msgspec

from foxtailproxy.config.ini import Problem
from foxtailproxy.config.rules import route_weights
from foxtailproxy.customers.priority import weight_of
from foxtailproxy.exceptions import SettingsError
from foxtailproxy.models.messages import ConfigObject
from foxtailproxy.models.rules import CustomerRule, FleetRule, RouteRule, Rules, ServiceRule

CONFIG_KIND = "config"
CONFIG_PATH = "config/main"

VERSION_PREFIX = "r"
"""Prefix of a version, which is followed by a number; versions are compared by that number."""

LOWEST_PLATFORM_PRIORITY = 9
"""Lowest priority of the platform, where 0 is the highest; in `RouteRule` a higher number is more
important."""

MEASURE_BYTES_PER_S = 11_000
"""Bandwidth for membership and load queries in bytes per second; users allow as much for all
control traffic of a node."""

CROSS_REGION_MEASURE_BYTES_PER_S = 1500
"""Part of that bandwidth that may cross regions, in bytes per second."""

LONG_CALL_SLOT_PERCENT = 75
"""Share of a target's slots, as a percentage, that a class may occupy while its calls run longer
than every objective."""

DEFAULT_MAX_ATTEMPTS = 1

IDEMPOTENT_ROUTE_TYPE = "idempotent"

WEIGHT_SCALE = 100
"""Factor that converts fractional weights, which are relative, into distinct integers."""


class WireLimits(msgspec.Struct):
    """Size and time limits on the requests of callers."""

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_ms: int = 0
    idle_timeout_ms: int = 0


class WeightedService(msgspec.Struct):
    """One of the services among which a route splits its requests."""

    service: str
    weight: float = 1


class WireMatch(msgspec.Struct):
    """Condition on the requests of a host that a rule applies to."""

    path_prefix: str


class WireAction(msgspec.Struct):
    """Destination of a rule's requests; `timeout_ms` is the longest time a caller waits."""

    timeout_ms: float
    service: str = ""
    weighted_services: list[WeightedService] = []
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    allowed_regions: list[str] = []


class WireRule(msgspec.Struct):
    """One route.

    `route_type` states whether its requests are idempotent, `slo_latency_ms` is its latency
    objective.
    """

    name: str
    route_type: str
    match: WireMatch
    action: WireAction
    slo_latency_ms: float = 0
    priority: int = LOWEST_PLATFORM_PRIORITY
    """0 is the highest priority."""
    auth_exempt: bool = False


class WireListener(msgspec.Struct):
    """Routes of one host; no socket is opened for it."""

    host: str
    rule_set: list[WireRule]


class WireCluster(msgspec.Struct):
    """One service; the other fields apply to each of its upstreams, over all nodes.

    `cold_per_s` is the number of requests per second that an upstream bears while it is cold.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    cold_per_s: float = 0


class WireTenant(msgspec.Struct):
    """One customer; `rate_per_s` and `burst` limit its requests over all nodes, 0 for no limit."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0
    allowed_regions: list[str] = []


class WireConfig(msgspec.Struct):
    """Complete configuration."""

    version: str
    listeners: list[WireListener]
    clusters: list[WireCluster]
    tenants: list[WireTenant] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)


class _VersionOnly(msgspec.Struct):
    version: str


class PlatformConfigSource:
    """Configuration source that decodes the platform's format."""

    kind = CONFIG_KIND
    path = CONFIG_PATH

    def decode(self, value: str) -> ConfigObject:
        """Return a configuration's text with its version. Raises `SettingsError`."""
        version = _decode(value, _VersionOnly, CONFIG_PATH).version
        generation = version.removeprefix(VERSION_PREFIX)
        if generation == version or not generation.isdecimal():
            reason = f"not {VERSION_PREFIX} and a number"
            raise SettingsError(CONFIG_PATH, [Problem("", "version", version, reason)])
        return ConfigObject(int(generation), "", "operator", value)

    def parse(self, text: str, source: str) -> Rules:
        """Return the rules of a configuration. Raises `SettingsError`."""
        config = _decode(text, WireConfig, source)
        routes = [
            _to_route_rule(listener.host, rule)
            for listener in config.listeners
            for rule in listener.rule_set
        ]
        longest_objective_by_service = _longest_objective_by_service(routes)
        services = [
            ServiceRule(
                cluster.name,
                health_path=cluster.health_path,
                long_after_ms=longest_objective_by_service.get(cluster.name, 0)
                or ServiceRule("-").long_after_ms,
                long_percent=LONG_CALL_SLOT_PERCENT,
                cold_per_s=cluster.cold_per_s,
            )
            for cluster in config.clusters
        ]
        limits = config.limits
        fleet = FleetRule(
            measure_bytes_per_s=MEASURE_BYTES_PER_S,
            paid_measure_bytes_per_s=CROSS_REGION_MEASURE_BYTES_PER_S,
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_time_ms=limits.header_timeout_ms,
            idle_time_ms=limits.idle_timeout_ms,
        )
        customers = [_to_customer_rule(tenant) for tenant in config.tenants]
        return Rules(fleet, services, [], routes, customers)


def _decode(text: str, model: type[Any], source: str) -> Any:
    try:
        return msgspec.json.decode(text, type=model)
    except msgspec.MsgspecError as error:
        raise SettingsError(source, [Problem("", "", "", str(error))]) from error


def _longest_objective_by_service(routes: list[RouteRule]) -> dict[str, int]:
    """Return the longest objective in ms among the routes to each service, by service name."""
    longest_objective_by_service: dict[str, int] = {}
    for route in routes:
        for service in route_weights(route):
            longest_objective_by_service[service] = max(
                longest_objective_by_service.get(service, 0), route.objective_ms
            )
    return longest_objective_by_service


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
        priority=_to_priority(rule.priority),
        weight=weight_of(_to_priority(rule.priority)),
        deadline_ms=int(action.timeout_ms),
        hold_ms=int(action.timeout_ms),
        objective_ms=int(rule.slo_latency_ms),
        regions=action.allowed_regions,
        auth_exempt=rule.auth_exempt,
    )


def _to_customer_rule(tenant: WireTenant) -> CustomerRule:
    return CustomerRule(
        name=tenant.name,
        keys=tenant.api_keys,
        priority=-1 if tenant.priority is None else _to_priority(tenant.priority),
        rate_per_s=tenant.rate_per_s,
        burst=tenant.burst,
        regions=tenant.allowed_regions,
    )


def _to_priority(platform_priority: int) -> int:
    """Return a priority for which a higher number is more important."""
    return max(0, LOWEST_PLATFORM_PRIORITY - platform_priority)

"""The operators' configuration: parsing, checks across sections, formatting and look-up."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from functools import lru_cache
from typing import Any

import msgspec
from expression import Result

from foxtailproxy.config.ini import Problem, format_value, read_model, read_sections
from foxtailproxy.customers.effective_rules import EffectiveRules
from foxtailproxy.customers.identity import CustomerDirectory
from foxtailproxy.exceptions import SettingsError
from foxtailproxy.models.rules import (
    ClassRule,
    CustomerRule,
    FleetRule,
    RouteRule,
    Rules,
    ServiceRule,
)

FLEET = "fleet"
SERVICE = "service"
CLASS = "class"
ROUTE = "route"
CUSTOMER = "customer"

CUSTOMER_TERMS = frozenset(("priority", "rate_per_s", "burst", "regions"))
"""Settings of a customer whose values may be shown in a problem."""

HIDDEN_VALUE = "(hidden)"

SECTION_CACHE_SIZE = 2048
"""Maximum number of parsed sections in the cache; a configuration of 180 services has fewer."""


def parse_rules(text: str, source: str) -> Rules:
    """Parse a configuration; `source` names the text in errors. Raises `SettingsError`."""
    sections = read_sections(text, shows_lines=False)
    if sections.is_error():
        raise SettingsError(source, [sections.error])
    reader = _RulesReader()
    for name, raw_values in sections.ok.items():
        reader.read(name, raw_values)
    reader.check()
    if reader.problems:
        raise SettingsError(source, list(reader.problems))
    return Rules(reader.fleet, reader.services, reader.classes, reader.routes, reader.customers)


@lru_cache(maxsize=SECTION_CACHE_SIZE)
def _read_section(
    model: type[Any],
    section: str,
    raw_values: tuple[tuple[str, str], ...],
    name_values: tuple[tuple[str, str], ...],
) -> Result[Any, list[Problem]]:
    """Parse one section; an unchanged section comes from the cache."""
    return read_model(model, section, dict(raw_values), dict(name_values))


class _RulesReader:
    """Collector of the sections of one configuration and of their problems."""

    def __init__(self) -> None:
        self.fleet = FleetRule()
        self.services: list[ServiceRule] = []
        self.classes: list[ClassRule] = []
        self.routes: list[RouteRule] = []
        self.customers: list[CustomerRule] = []
        self.problems: list[Problem] = []

    def read(self, section: str, raw_values: dict[str, str]) -> None:
        """Parse one section and record its problems."""
        kind, _, name = section.partition(" ")
        if section == FLEET:
            self._add(FleetRule, section, raw_values, {})
        elif kind == SERVICE and name:
            self._add(ServiceRule, section, raw_values, {"name": name})
        elif kind == CLASS and name.count("/") == 1:
            service, class_name = name.split("/")
            self._add(ClassRule, section, raw_values, {"service": service, "name": class_name})
        elif kind == ROUTE and name:
            self._add(RouteRule, section, raw_values, {"name": name})
        elif kind == CUSTOMER and name:
            self._add(CustomerRule, section, raw_values, {"name": name})
        else:
            reason = (
                "unknown section; valid sections: "
                "fleet, service NAME, class SERVICE/NAME, route NAME, customer NAME"
            )
            self.problems.append(Problem(section, "", "", reason))

    def _add(
        self,
        model: type[Any],
        section: str,
        raw_values: dict[str, str],
        name_values: dict[str, str],
    ) -> None:
        key: Any = (model, section, tuple(raw_values.items()), tuple(name_values.items()))
        result = _read_section(*key)
        if result.is_error():
            self.problems.extend(_without_key(problem) for problem in result.error)
        elif isinstance(result.ok, FleetRule):
            self.fleet = result.ok
        elif isinstance(result.ok, ServiceRule):
            self.services.append(result.ok)
        elif isinstance(result.ok, RouteRule):
            self.routes.append(result.ok)
        elif isinstance(result.ok, CustomerRule):
            self.customers.append(result.ok)
        else:
            self.classes.append(result.ok)

    def check(self) -> None:
        """Check constraints that span several sections."""
        service_by_host: dict[str, str] = {}
        service_names = {service.name for service in self.services}
        routed_services = {name for route in self.routes for name in route_weights(route)}
        for service in self.services:
            if not service.hosts and service.name not in routed_services:
                section = f"{SERVICE} {service.name}"
                reason = "missing; set a host or add the service to a route"
                self.problems.append(Problem(section, "hosts", "", reason))
            for host in service.hosts:
                owner_name = service_by_host.setdefault(host.lower(), service.name)
                if owner_name != service.name:
                    section = f"{SERVICE} {service.name}"
                    reason = f"host already belongs to service {owner_name}"
                    self.problems.append(Problem(section, "hosts", host, reason))
        for rule in self.classes:
            section = f"{CLASS} {rule.service}/{rule.name}"
            if rule.service not in service_names:
                self.problems.append(
                    Problem(section, "", "", f"service {rule.service!r} is not defined")
                )
            self._check_hold_time(section, rule)
        for route in self.routes:
            self._check_route(route, service_names)
        self._check_customers()

    def _check_customers(self) -> None:
        """Check that no key belongs to two customers; the problem does not show the key."""
        owner_by_key: dict[str, str] = {}
        for customer in self.customers:
            for key in customer.keys:
                owner_name = owner_by_key.setdefault(key, customer.name)
                if owner_name != customer.name:
                    section = f"{CUSTOMER} {customer.name}"
                    reason = f"a key already belongs to customer {owner_name}"
                    self.problems.append(Problem(section, "keys", "", reason))

    def _check_route(self, route: RouteRule, service_names: set[str]) -> None:
        section = f"{ROUTE} {route.name}"
        self._check_hold_time(section, route)
        if not route.path_prefix.endswith("/"):
            reason = "path prefix must end with a slash"
            self.problems.append(Problem(section, "path_prefix", route.path_prefix, reason))
        for service, weight in route_weights(route).items():
            if service not in service_names:
                self.problems.append(
                    Problem(section, "services", service, "service is not defined")
                )
            elif not weight and len(route.services) == 1:
                self.problems.append(
                    Problem(
                        section, "services", service, "the only service of the route has weight 0"
                    )
                )

    def _check_hold_time(self, section: str, rule: ClassRule | RouteRule) -> None:
        if rule.hold_ms > rule.deadline_ms:
            reason = f"exceeds deadline_ms = {rule.deadline_ms}"
            self.problems.append(Problem(section, "hold_ms", str(rule.hold_ms), reason))


def _without_key(problem: Problem) -> Problem:
    """Return a problem without its value if that may be a customer's key."""
    is_customer = problem.section.partition(" ")[0] == CUSTOMER
    if problem.key in CUSTOMER_TERMS or not (is_customer or "key" in problem.key):
        return problem
    return replace(problem, value=HIDDEN_VALUE if problem.value else "")


def route_weights(route: RouteRule) -> dict[str, int]:
    """Return the weight of each service of a route, by service name."""
    weights = {}
    for part in route.services:
        name, _, weight = part.partition("=")
        weights[name] = int(weight) if weight else 1
    return weights


def format_rules(rules: Rules) -> str:
    """Return the configuration as INI, in a canonical order and without keys at their default."""
    services = sorted(rules.services, key=lambda service: service.name)
    classes = sorted(rules.classes, key=lambda rule: (rule.service, rule.name))
    parts = [_format_section(FLEET, rules.fleet, ())]
    for service in services:
        parts.append(_format_section(f"{SERVICE} {service.name}", service, ("name",)))
        for rule in classes:
            if rule.service == service.name:
                section = f"{CLASS} {rule.service}/{rule.name}"
                parts.append(_format_section(section, rule, ("service", "name")))
    for route in sorted(rules.routes, key=lambda route: route.name):
        parts.append(_format_section(f"{ROUTE} {route.name}", route, ("name",)))
    for customer in sorted(rules.customers, key=lambda customer: customer.name):
        parts.append(_format_section(f"{CUSTOMER} {customer.name}", customer, ("name",)))
    return "\n".join(parts)


def _format_section(section: str, model: msgspec.Struct, name_fields: tuple[str, ...]) -> str:
    lines = [f"[{section}]"]
    for field in msgspec.structs.fields(model):
        value = getattr(model, field.name)
        if field.name in name_fields or _is_default(field, value):
            continue
        lines.append(f"{field.name} = {format_value(value)}")
    return "\n".join(lines) + "\n"


def _is_default(field: Any, value: Any) -> bool:
    if field.default_factory is not msgspec.NODEFAULT:
        return value == field.default_factory()
    return field.default is not msgspec.NODEFAULT and value == field.default


@dataclass(frozen=True, slots=True)
class Match:
    """Service and class that a request matches."""

    service: ServiceRule
    rule: ClassRule


@dataclass(frozen=True, slots=True)
class PeekedMatch:
    """Match of a request that is not sent, with the route that it belongs to, if any.

    `weight_by_service` holds the weights of the route, `credit_by_service` the credits that its
    next request compares; the latter is empty before the first request.
    """

    match: Match
    route: RouteRule | None
    weight_by_service: dict[str, int]
    credit_by_service: dict[str, int]


DEFAULT_CLASS = "default"
"""Name of the class of requests that match no other one."""


class RouteTable:
    """Routes of one host, looked up by path prefix.

    The state of a route is built on its first request, so that adopting a configuration with many
    routes does not delay calls in flight.
    """

    def __init__(self, service_by_name: dict[str, ServiceRule]) -> None:
        self._service_by_name = service_by_name
        self._rule_by_prefix: dict[str, RouteRule] = {}
        self._route_by_prefix: dict[str, WeightedRoute] = {}

    def add(self, route: RouteRule) -> None:
        """Add a route; the first of several routes with the same prefix takes effect."""
        self._rule_by_prefix.setdefault(route.path_prefix, route)

    def find_route(self, path: str) -> WeightedRoute | None:
        """Return the route with the longest prefix of `path`."""
        rule = self.find_rule(path)
        return None if rule is None else self._weighted_route(rule)

    def find_rule(self, path: str) -> RouteRule | None:
        """Return the rule with the longest prefix of `path`."""
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end) + 1
            rule = self._rule_by_prefix.get(path[:end])
            if rule is not None:
                return rule
            end -= 1
        return None

    def peek_route(self, rule: RouteRule) -> WeightedRoute | None:
        """Return the state of a route, or `None` before its first request."""
        return self._route_by_prefix.get(rule.path_prefix)

    def _weighted_route(self, rule: RouteRule) -> WeightedRoute:
        route = self._route_by_prefix.get(rule.path_prefix)
        if route is None:
            route = WeightedRoute(rule, self._service_by_name)
            self._route_by_prefix[rule.path_prefix] = route
        return route


class WeightedRoute:
    """Route that spreads its requests over services by smooth weighted round-robin.

    Each request goes to the service that is furthest behind its share, so that the shares also
    hold over short periods.
    """

    def __init__(self, route: RouteRule, service_by_name: dict[str, ServiceRule]) -> None:
        # A service with weight 0 gets no request, not even the first.
        self._weight_by_name = {
            name: weight for name, weight in route_weights(route).items() if weight
        }
        self._total_weight = sum(self._weight_by_name.values())
        # Nodes start at random points of the cycle, so that the shares also hold where each node
        # gets few requests.
        self._credit_by_name = {
            name: random.randrange(self._total_weight or 1) for name in self._weight_by_name
        }
        self._match_by_name = {
            name: Match(service_by_name[name], route_class(route, name))
            for name in self._weight_by_name
            if name in service_by_name
        }

    def next_match(self) -> Match | None:
        """Return the next service in the round-robin, with the rule of the route."""
        if len(self._weight_by_name) == 1:
            return next(iter(self._match_by_name.values()), None)
        for name, weight in self._weight_by_name.items():
            self._credit_by_name[name] += weight
        chosen = max(self._credit_by_name, key=lambda name: self._credit_by_name[name])
        self._credit_by_name[chosen] -= self._total_weight
        return self._match_by_name.get(chosen)

    def next_credits(self) -> dict[str, int]:
        """Return the credits that the next request compares, by service; changes none."""
        return {
            name: self._credit_by_name[name] + weight
            for name, weight in self._weight_by_name.items()
        }


ROUTE_CLASS_FIELDS = tuple(
    field
    for field in ClassRule.__struct_fields__
    if field not in ("service", "methods", "path_prefix", "long")
)
"""Fields that a route passes on to the class of its requests."""


def route_class(route: RouteRule, service: str) -> ClassRule:
    """Return the class of a route's requests at one of its services."""
    return ClassRule(service=service, **{name: getattr(route, name) for name in ROUTE_CLASS_FIELDS})


class RuleBook:
    """Index of a configuration that finds the rules for a request."""

    def __init__(self, rules: Rules) -> None:
        self.fleet = rules.fleet
        self.customers = rules.customers
        self.directory = CustomerDirectory(rules.customers)
        self.effective_rules = EffectiveRules()
        self._default_class_by_service: dict[str, ClassRule] = {}
        self.service_by_name = {service.name: service for service in rules.services}
        self._service_by_host = {
            host.lower(): service for service in rules.services for host in service.hosts
        }
        self._classes_by_service: dict[str, list[ClassRule]] = {}
        for rule in sorted(rules.classes, key=lambda rule: -len(rule.path_prefix)):
            self._classes_by_service.setdefault(rule.service, []).append(rule)
        self.route_count = len(rules.routes)
        self._route_table_by_host: dict[str, RouteTable] = {}
        for route in rules.routes:
            host = route.host.lower()
            if host not in self._route_table_by_host:
                self._route_table_by_host[host] = RouteTable(self.service_by_name)
            self._route_table_by_host[host].add(route)

    def is_idempotent(self, host: str, method: str, path: str) -> bool:
        """Return whether a request may run more than once; leaves the round-robin unchanged."""
        name = host.lower().partition(":")[0]
        table = self._route_table_by_host.get(name)
        route = None if table is None else table.find_rule(path)
        if route is not None:
            return route.idempotent
        service = self._service_by_host.get(name)
        return service is not None and self._match_class(service, method, path).idempotent

    def match(self, host: str, method: str, path: str) -> Match | None:
        """Return the service for `host` and the class of the request, or `None`.

        A request that matches no class gets a default class whose requests run at most once.
        """
        name = host.lower().partition(":")[0]
        table = self._route_table_by_host.get(name)
        route = None if table is None else table.find_route(path)
        if route is not None:
            return route.next_match()
        service = self._service_by_host.get(name)
        if service is None:
            return None
        return Match(service, self._match_class(service, method, path))

    def peek(self, host: str, method: str, path: str) -> PeekedMatch | None:
        """Return what `match` would return next, leaving the round-robin unchanged."""
        name = host.lower().partition(":")[0]
        table = self._route_table_by_host.get(name)
        route = None if table is None else table.find_rule(path)
        if table is not None and route is not None:
            return self._peek_route(table, route)
        service = self._service_by_host.get(name)
        if service is None:
            return None
        rule = self._find_class(service, method, path)
        rule = rule or ClassRule(service.name, DEFAULT_CLASS)
        return PeekedMatch(Match(service, rule), None, {}, {})

    def _peek_route(self, table: RouteTable, rule: RouteRule) -> PeekedMatch | None:
        weights = {name: weight for name, weight in route_weights(rule).items() if weight}
        state = table.peek_route(rule)
        credits = {} if state is None else state.next_credits()
        # The credits of a route begin at random values on its first request.
        expected = credits or weights
        chosen = max(expected, key=lambda name: expected[name], default="")
        service = self.service_by_name.get(chosen)
        if service is None:
            return None
        match = Match(service, route_class(rule, chosen))
        return PeekedMatch(match, rule, weights, credits)

    def _match_class(self, service: ServiceRule, method: str, path: str) -> ClassRule:
        rule = self._find_class(service, method, path)
        if rule is not None:
            return rule
        # One object for all requests, so that the rules made from it are cached.
        return self._default_class_by_service.setdefault(
            service.name, ClassRule(service.name, DEFAULT_CLASS)
        )

    def _find_class(self, service: ServiceRule, method: str, path: str) -> ClassRule | None:
        for rule in self._classes_by_service.get(service.name, ()):
            if path.startswith(rule.path_prefix) and (not rule.methods or method in rule.methods):
                return rule
        return None

"""Configurations in the platform's format."""

from __future__ import annotations

import json
from typing import Any


def make_rule(name: str, prefix: str, action: dict[str, Any], **fields: Any) -> dict[str, Any]:
    """Return a route of a listener."""
    values = {"route_type": "idempotent", "slo_latency_ms": 400, "priority": 2}
    return {"name": name, "match": {"path_prefix": prefix}, "action": action} | values | fields


def make_action(
    service: str = "", weight_by_service: dict[str, int] | None = None, **fields: Any
) -> dict[str, Any]:
    """Return the action of a route: its service, or weighted services."""
    values: dict[str, Any] = {"timeout_ms": 1200, "max_attempts": 2} | fields
    if weight_by_service is None:
        return values | {"service": service}
    parts = [{"service": name, "weight": weight} for name, weight in weight_by_service.items()]
    return values | {"weighted_services": parts}


def config_text(generation: int = 1, **changes: Any) -> str:
    """Return a complete configuration as JSON; `changes` replace its top-level fields."""
    value: dict[str, Any] = {
        "version": f"r{generation}",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "listeners": [
            {
                "host": "days.example",
                "rule_set": [
                    make_rule("days", "/days/", make_action("kalender")),
                    make_rule("open", "/days/open/", make_action("meistrid"), priority=0),
                    make_rule(
                        "none",
                        "/none/",
                        make_action(
                            weight_by_service={"kalender": 5, "broneering": 5, "meistrid": 0}
                        ),
                    ),
                    make_rule(
                        "split",
                        "/split/",
                        make_action(weight_by_service={"kalender": 90, "meistrid": 10}),
                    ),
                ],
            },
            {
                "host": "book.example",
                "rule_set": [
                    make_rule("book", "/", make_action("broneering"), route_type="non_idempotent"),
                ],
            },
        ],
        "clusters": [
            {"name": name, "health_path": "/healthz", "max_connections": 220}
            for name in ("kalender", "meistrid", "broneering")
        ],
    }
    return json.dumps(value | changes)

"""Configurations in the platform's form."""

from __future__ import annotations

import json
from typing import Any


def rule(name: str, prefix: str, action: dict[str, Any], **fields: Any) -> dict[str, Any]:
    """One route."""
    values = {"route_type": "idempotent", "slo_latency_ms": 400, "priority": 2}
    return {"name": name, "match": {"path_prefix": prefix}, "action": action} | values | fields


def action(service: str = "", split: dict[str, int] | None = None, **fields: Any) -> dict[str, Any]:
    """Where a route leads."""
    values: dict[str, Any] = {"timeout_ms": 1200, "max_attempts": 2} | fields
    if split is None:
        return values | {"service": service}
    parts = [{"service": name, "weight": weight} for name, weight in split.items()]
    return values | {"weighted_services": parts}


def config_text(generation: int = 1, **changes: Any) -> str:
    """A whole configuration; `changes` replace its top-level fields."""
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
                    rule("days", "/days/", action("kalender")),
                    rule("open", "/days/open/", action("meistrid"), priority=0),
                    rule(
                        "none",
                        "/none/",
                        action(split={"kalender": 5, "broneering": 5, "meistrid": 0}),
                    ),
                    rule("split", "/split/", action(split={"kalender": 90, "meistrid": 10})),
                ],
            },
            {
                "host": "book.example",
                "rule_set": [
                    rule("book", "/", action("broneering"), route_type="non_idempotent"),
                ],
            },
        ],
        "clusters": [
            {"name": name, "health_path": "/healthz", "max_connections": 220}
            for name in ("kalender", "meistrid", "broneering")
        ],
    }
    return json.dumps(value | changes)

"""Generator of the settings reference in Markdown, from the schemas."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

SCHEMA_FOLDER = Path("foxtailproxy/schema")

TITLES = (
    ("settings.schema.json", "Settings of a node"),
    ("rules.schema.json", "Configuration of the services"),
)

SECTION_NAMES = {
    "NodeSection": "node",
    "PlatformSection": "platform",
    "PeersSection": "peers",
    "LimitsSection": "limits",
    "UpstreamSection": "upstream",
    "BudgetsSection": "budgets",
    "LinksSection": "links",
    "CustomersSection": "customers",
    "ColdStartSection": "cold_start",
    "FleetRule": "fleet",
    "ServiceRule": "service NAME",
    "ClassRule": "class SERVICE/NAME",
    "RouteRule": "route NAME",
    "CustomerRule": "customer NAME",
}

KEYS_IN_SECTION_NAME = {
    "ServiceRule": {"name"},
    "ClassRule": {"service", "name"},
    "RouteRule": {"name"},
    "CustomerRule": {"name"},
}


def format_section(model: str, schema: dict[str, Any]) -> str:
    """Return the table of one section."""
    lines = [f"### `[{SECTION_NAMES[model]}]`", "", schema["description"], ""]
    lines += ["| key | default | allowed | meaning |", "|---|---|---|---|"]
    for key, field in schema["properties"].items():
        if key in KEYS_IN_SECTION_NAME.get(model, ()):
            continue
        required = key in schema.get("required", ())
        default = "required" if required else f"`{format_default(field)}`"
        lines.append(f"| `{key}` | {default} | {format_allowed(field)} | {field['description']} |")
    return "\n".join(lines) + "\n"


def format_default(field: dict[str, Any]) -> str:
    """Return the default of a setting in INI syntax."""
    default = field.get("default", "")
    if isinstance(default, bool):
        return str(default).lower()
    return " ".join(default) if isinstance(default, list) else str(default)


def format_allowed(field: dict[str, Any]) -> str:
    """Return the allowed values of a setting."""
    if "minimum" in field:
        return f"{field['minimum']} to {field['maximum']}"
    if "pattern" in field:
        return f"`{field['pattern'].replace('|', chr(92) + '|')}`"
    return {"boolean": "true, false", "array": "words"}.get(field["type"], "text")


def main() -> None:
    """Print the settings reference."""
    print("# Settings reference\n")
    print("Made from the schemas by `make docs`. A key that is not listed is an error.\n")
    for file, title in TITLES:
        schema = json.loads((SCHEMA_FOLDER / file).read_text(encoding="utf-8"))
        print(f"## {title}\n")
        for model, section in schema["$defs"].items():
            print(format_section(model, section))


if __name__ == "__main__":
    main()

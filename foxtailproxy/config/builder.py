"""Library for writing the operators' configuration in Python.

```python
from foxtailproxy.config.builder import Configuration

config = Configuration(retry_percent=10)
kalender = config.service("kalender", hosts=["kalender.example"])
kalender.idempotent("lookup", methods=["GET"], deadline_ms=1000)
kalender.at_most_once("booking", methods=["POST"], path_prefix="/bookings", priority=9)
print(config.to_ini())
```
"""

from __future__ import annotations

from typing import Any

import msgspec

from foxtailproxy.config.rules import format_rules, parse_rules
from foxtailproxy.models.rules import ClassRule, FleetRule, Rules, ServiceRule


class UnknownSetting(TypeError):
    """Keyword argument that is not a key in the schema."""


class ServiceBuilder:
    """Builder of the classes of one service."""

    def __init__(self, configuration: Configuration, rule: ServiceRule) -> None:
        self.rule = rule
        self._configuration = configuration

    def idempotent(self, name: str, **settings: Any) -> ServiceBuilder:
        """Add a class whose requests may run more than once; `settings` are the keys of a class."""
        return self._add(name, idempotent=True, **settings)

    def at_most_once(self, name: str, **settings: Any) -> ServiceBuilder:
        """Add a class whose requests run at most once; `settings` are the keys of a class."""
        return self._add(name, idempotent=False, **settings)

    def _add(self, name: str, **settings: Any) -> ServiceBuilder:
        rule = _build(ClassRule, service=self.rule.name, name=name, **settings)
        self._configuration.rules.classes.append(rule)
        return self


class Configuration:
    """Complete configuration; `settings` are the keys of the fleet section."""

    def __init__(self, **settings: Any) -> None:
        self.rules = Rules(_build(FleetRule, **settings), [], [])

    def service(self, name: str, hosts: list[str], **settings: Any) -> ServiceBuilder:
        """Add a service; `settings` are the keys of a service."""
        rule = _build(ServiceRule, name=name, hosts=hosts, **settings)
        self.rules.services.append(rule)
        return ServiceBuilder(self, rule)

    def to_ini(self) -> str:
        """Return the configuration as INI. Raises `SettingsError` with every problem."""
        text = format_rules(self.rules)
        parse_rules(text, "configuration")
        return text


def _build(model: type[Any], **settings: Any) -> Any:
    valid_names = {field.name for field in msgspec.structs.fields(model)}
    unknown_names = sorted(set(settings) - valid_names)
    if unknown_names:
        raise UnknownSetting(
            f"unknown settings: {', '.join(unknown_names)}; "
            f"valid settings: {', '.join(sorted(valid_names))}"
        )
    return model(**settings)

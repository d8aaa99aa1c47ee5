"""Conversion of INI sections to the generated models, with all problems reported at once."""

from __future__ import annotations

import configparser
import re
from dataclasses import dataclass
from functools import cache
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec
from expression import Error, Ok, Result

UNIT_BY_SUFFIX = {
    "_bytes_per_s": "bytes/s",
    "_percent": "%",
    "_bytes": "bytes",
    "_ms": "ms",
}

TRUE_WORDS = frozenset(("true", "yes", "on", "1"))
FALSE_WORDS = frozenset(("false", "no", "off", "0"))

SectionModel = TypeVar("SectionModel", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class Problem:
    """Invalid section, key or value in an INI file."""

    section: str
    key: str
    value: str
    reason: str

    @property
    def unit(self) -> str:
        """Unit of the key's value, from the suffix of its name; empty where it has none."""
        for suffix, unit in UNIT_BY_SUFFIX.items():
            if self.key.endswith(suffix):
                return unit
        return ""

    def __str__(self) -> str:
        unit = f" (unit: {self.unit})" if self.unit else ""
        if not self.key:
            return f"[{self.section}]: {self.reason}"
        return f"[{self.section}] {self.key} = {self.value!r}: {self.reason}{unit}"


def read_sections(
    text: str, shows_lines: bool = True
) -> Result[dict[str, dict[str, str]], Problem]:
    """Return the sections of an INI text with their keys and raw values.

    `shows_lines` tells whether a problem may quote lines of the text.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="\0", strict=True)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        reason = " ".join(str(error).split())
        if isinstance(error, configparser.ParsingError) and not shows_lines:
            reason = f"line {_first_bad_line(error)} is malformed"
        return Error(Problem("", "", "", f"not an INI file: {reason}"))
    return Ok({name: dict(parser.items(name)) for name in parser.sections()})


def _first_bad_line(error: configparser.ParsingError) -> int:
    """Return the number of the first line that does not parse."""
    if isinstance(error, configparser.MissingSectionHeaderError):
        return error.lineno
    return int(error.errors[0][0])


def read_model(
    model: type[SectionModel], section: str, raw_values: dict[str, str], name_values: dict[str, Any]
) -> Result[SectionModel, list[Problem]]:
    """Build `model` from one section; `name_values` are the fields in the section's name."""
    problems: list[Problem] = []
    values: dict[str, Any] = dict(name_values)
    hints = _type_hints(model)
    fields = _field_by_name(model)
    for key in raw_values:
        if key not in fields or key in name_values:
            valid_keys = ", ".join(sorted(set(fields) - set(name_values)))
            problems.append(
                Problem(section, key, raw_values[key], f"unknown key; valid keys: {valid_keys}")
            )
    for name, field in fields.items():
        if name in raw_values and not raw_values[name].strip() and not field.required:
            # A template renders an empty value for a key that the deployment does not set.
            continue
        if name in raw_values and name not in name_values:
            converted = _convert(hints[name], section, name, raw_values[name])
            if converted.is_ok():
                values[name] = converted.ok
            else:
                problems.append(converted.error)
        elif field.required and name not in name_values:
            problems.append(Problem(section, name, "", "required key is missing"))
    if problems:
        return Error(problems)
    try:
        return Ok(msgspec.convert(values, model))
    except msgspec.ValidationError as error:
        return Error([Problem(section, "", "", validation_reason(error))])


@cache
def _type_hints(model: type[msgspec.Struct]) -> dict[str, Any]:
    return get_type_hints(model, include_extras=True)


@cache
def _field_by_name(model: type[msgspec.Struct]) -> dict[str, Any]:
    return {field.name: field for field in msgspec.structs.fields(model)}


def _convert(hint: Any, section: str, key: str, text: str) -> Result[Any, Problem]:
    base_type = hint
    while get_origin(base_type) is not None and get_origin(base_type) is not list:
        base_type = get_args(base_type)[0]
    try:
        value = _parse_value(base_type, text.strip())
        return Ok(msgspec.convert(value, hint, strict=False))
    except (msgspec.ValidationError, ValueError) as error:
        return Error(Problem(section, key, text, validation_reason(error)))


def _parse_value(base_type: Any, text: str) -> Any:
    if base_type is list or get_origin(base_type) is list:
        return [part for part in re.split(r"[\s,]+", text) if part]
    if base_type is bool:
        if text.lower() in TRUE_WORDS:
            return True
        if text.lower() in FALSE_WORDS:
            return False
        raise ValueError("expected true or false")
    return text


def validation_reason(error: Exception) -> str:
    """Return the message of a validation error without the path of the field."""
    return str(error).split(" - at ")[0].replace("`", "")


def format_value(value: Any) -> str:
    """Return a value in its INI form."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return " ".join(value)
    return str(value)

"""Steps for settings files and configurations."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
from behave import then, when

from demo.configuration import demo_configuration
from foxtailproxy.config.builder import Configuration, UnknownSetting
from foxtailproxy.config.rules import format_rules, parse_rules
from foxtailproxy.config.settings import parse_settings
from foxtailproxy.exceptions import SettingsError
from foxtailproxy.tests.golden import check_golden

DATA = Path(__file__).parents[1] / "data"


@when("the {kind} in {file} is read")
def step_read_file(context: Any, kind: str, file: str) -> None:
    text = (DATA / f"{file}.ini").read_text(encoding="utf-8")
    try:
        if kind == "settings":
            parsed = parse_settings(text, f"{file}.ini")
            context.result = msgspec.json.format(msgspec.json.encode(parsed)).decode() + "\n"
        else:
            context.result = format_rules(parse_rules(text, f"{file}.ini"))
    except SettingsError as error:
        context.result = error.format_message() + "\n"


@then("the result matches the golden file {name}")
def step_result_matches_golden(context: Any, name: str) -> None:
    check_golden(name, context.result)


@when("settings with {key} = {value} in section {section} are read")
def step_read_setting(context: Any, key: str, value: str, section: str) -> None:
    raw = "" if value == "-" else value
    text = (
        f"{(DATA / 'node-minimal.ini').read_text(encoding='utf-8')}\n[{section}]\n{key} = {raw}\n"
    )
    context.setting = getattr(getattr(parse_settings(text, "test"), section), key)


@then("{key} is {result}")
def step_setting_is(context: Any, key: str, result: str) -> None:
    assert str(context.setting).removesuffix(".0") == result, context.setting


@when("the configuration of the demo is built")
def step_build_configuration(context: Any) -> None:
    context.formatted = demo_configuration()


@then("formatting it, parsing it and formatting it again gives the same text")
def step_round_trip(context: Any) -> None:
    assert format_rules(parse_rules(context.formatted, "text")) == context.formatted


@then("building a class with an unknown keyword fails")
def step_unknown_keyword(context: Any) -> None:
    service = Configuration().service("kalender", hosts=["kalender"])
    try:
        service.idempotent("lookup", deadline=100)
    except UnknownSetting as error:
        assert "deadline" in str(error)
        return
    raise AssertionError("an unknown keyword was accepted")

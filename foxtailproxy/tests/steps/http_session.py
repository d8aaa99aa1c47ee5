"""Steps for sessions over HTTP."""

from __future__ import annotations

from typing import Any

from behave import then, when

from foxtailproxy.tests.golden import check_golden
from foxtailproxy.tests.http_sessions import play


@when("a client plays the session {name}")
def step_play_session(context: Any, name: str) -> None:
    context.session = play(name)


@then("the session is as in the golden file {name}")
def step_golden_session(context: Any, name: str) -> None:
    check_golden(f"http-{name}", context.session)

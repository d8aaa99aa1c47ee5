"""Steps for the answers of a store that sends second copies, or cuts what it sends."""

from __future__ import annotations

import time
from typing import Any

from behave import given, then, when
from twisted.internet import reactor, threads
from twisted.internet.defer import ensureDeferred

from foxtailproxy.models.settings import PlatformSection
from foxtailproxy.platform.store_client import StoreClient
from foxtailproxy.store import Changes, ObjectListing
from foxtailproxy.tests.steps.store import describe_result
from foxtailproxy.tests.store_scripts import SENT_ONCE, ScriptedStore, StoreScript
from standins.answer_scripts import AnswerScript

TIMEOUT_MS = 700
"""Timeout of a call; an answer that stalls takes longer."""

AFTER_COPY_MS = 200
"""Delay of an answer that comes after the late copy of an earlier one, in milliseconds."""

VERSION = 1


class ScriptedStoreFixture:
    """Scripted store with a client."""

    def __init__(self) -> None:
        self.store = ScriptedStore()
        self.client = StoreClient(reactor, PlatformSection(self.store.url, timeout_ms=TIMEOUT_MS))

    def close(self) -> None:
        """Close all sockets."""
        threads.blockingCallFromThread(reactor, self.store.close)

    async def call(self, call: str, script: StoreScript) -> Any:
        """Call the store, which answers as the script says; return the result."""
        self.store.scripts.append(script)
        method, path, *value = call.split()
        kind = path.partition("/")[0]
        calls = {
            "read": lambda: self.client.read(path),
            "list": lambda: self.client.list_objects(kind),
            "watch": lambda: self.client.watch(kind, VERSION),
            "create": lambda: self.client.create(path, value[0]),
            "update": lambda: self.client.update(path, value[0], VERSION),
            "delete": lambda: self.client.delete(path, VERSION),
        }
        return await calls[method]()


def _describe(result: Any) -> str:
    if result.is_ok() and isinstance(result.ok, ObjectListing):
        return f"listing of {len(result.ok.objects)}"
    if result.is_ok() and isinstance(result.ok, Changes):
        changed = result.ok.objects
        return f"changed to {changed[-1].value}" if changed else "no change"
    return describe_result(result)


@given("a store that answers as a script says")
def step_scripted_store(context: Any) -> None:
    context.live = threads.blockingCallFromThread(reactor, ScriptedStoreFixture)
    context.calls = []


@given('the call "{call}" with the answer "{answer}" {framing}, which {event}')
def step_earlier_call(context: Any, call: str, answer: str, framing: str, event: str) -> None:
    script = AnswerScript(framing, event, framing)
    context.calls.append((call, StoreScript(answer, script)))


@when('the call "{call}" gets the answer "{answer}" {framing}, which {event}')
def step_call(context: Any, call: str, answer: str, framing: str, event: str) -> None:
    script = AnswerScript(framing, event, framing)
    context.calls.append((call, StoreScript(answer, script)))
    _run_calls(context)


@when('the call "{call}" follows at once and gets the answer "{answer}" after any copy')
def step_late_call(context: Any, call: str, answer: str) -> None:
    script = AnswerScript("with a length", SENT_ONCE, "with a length")
    context.calls.append((call, StoreScript(answer, script, AFTER_COPY_MS)))
    _run_calls(context)


@when('the call "{call}" is answered with the redirect {status} to an object of value {value:d}')
def step_redirect(context: Any, call: str, status: str, value: int) -> None:
    script = AnswerScript("with a length", SENT_ONCE, "with a length")
    context.calls.append((call, StoreScript(f"redirect {status}", script)))
    context.live.store.redirected = StoreScript(f"value {value}", script)
    _run_calls(context)


def _run_calls(context: Any) -> None:
    async def run() -> list[str]:
        return [_describe(await context.live.call(*call)) for call in context.calls]

    context.results = threads.blockingCallFromThread(reactor, lambda: ensureDeferred(run()))


@then('the calls return "{first}" and "{second}"')
def step_results(context: Any, first: str, second: str) -> None:
    assert context.results == [first, second], context.results


@then('the calls return only "{result}"')
def step_only_result(context: Any, result: str) -> None:
    assert context.results == [result], context.results


@then("the store has received {count:d} requests")
def step_requests(context: Any, count: int) -> None:
    requests = context.live.store.requests
    assert len(requests) == count, requests


@then("the store has no open connection {within_ms:d} ms later")
def step_no_connection(context: Any, within_ms: int) -> None:
    time.sleep(within_ms / 1000)
    assert context.live.store.open_connections == 0, context.live.store.open_connections

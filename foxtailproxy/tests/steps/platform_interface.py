"""Steps for the platform's interface."""

from __future__ import annotations

import json
import time
from typing import Any

from behave import given, then, when
from msgspec.structs import replace

from foxtailproxy.config.rules import RuleBook
from foxtailproxy.dialect import CallerRequest, MalformedCall
from foxtailproxy.exceptions import SettingsError
from foxtailproxy.http.messages import HeaderList, ResponseHead, get_text
from foxtailproxy.outcome import NotRun, NotRunReason, Unknown, UnknownReason
from foxtailproxy.platform.configuration import PlatformConfigSource
from foxtailproxy.platform.dialect import PlatformDialect
from foxtailproxy.platform.instances import HeartbeatError, decode_heartbeat
from foxtailproxy.terms import Terms
from foxtailproxy.tests.fakes import fake_clock, make_call
from foxtailproxy.wire import (
    call_headers,
    match_call,
    parse_failure,
    peer_failure,
    read_call,
    terms_of,
)
from standins.platform_configs import action, config_text, rule

BEAT: dict[str, Any] = {
    "service": "kalender",
    "address": "10.0.0.1:80",
    "zone": "tallinn-a",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "cold_ms": 0,
    "sequence": 4,
    "born": 1000,
}


def new_book() -> RuleBook:
    """The rules of the platform's configuration, as one node has them."""
    return RuleBook(PlatformConfigSource().parse(config_text(), "test"))


@when("a configuration of {count:d} routes is read and its first request matched")
def step_many_routes(context: Any, count: int) -> None:
    rules = [rule(f"r{number}", f"/p{number}/", action("kalender")) for number in range(count)]
    listeners = [{"host": "many.example", "rule_set": rules}]
    text = config_text(8, listeners=listeners)
    begun_s = time.process_time()
    book = RuleBook(PlatformConfigSource().parse(text, "test"))
    match = book.match("many.example", "GET", f"/p{count - 1}/x")
    context.processor_ms = (time.process_time() - begun_s) * 1000
    assert match is not None and match.rule.name == f"r{count - 1}", match


@then("that takes less than {ms:d} ms of processor time")
def step_processor_time(context: Any, ms: int) -> None:
    assert context.processor_ms < ms, context.processor_ms


@given("the platform's configuration")
def step_config(context: Any) -> None:
    context.book = new_book()


@when("the rules for host {host} and path {path} are looked up")
def step_look_up(context: Any, host: str, path: str) -> None:
    context.match = context.book.match(host, "GET", path)


@then("they are of service {service} and route {route}")
def step_match(context: Any, service: str, route: str) -> None:
    match = context.match
    seen = ("none", "none") if match is None else (match.service.name, match.rule.name)
    assert seen == (service, route), seen


@then("the rule of {path} at {host} has {field} {value}")
def step_rule(context: Any, path: str, host: str, field: str, value: str) -> None:
    rule = context.book.match(host, "GET", path).rule
    assert str(getattr(rule, field)) == value, rule


@when("{count:d} requests for {path} come to {nodes:d} nodes")
def step_share(context: Any, count: int, path: str, nodes: int) -> None:
    books = [new_book() for _ in range(nodes)]
    names = [
        books[number % nodes].match("days.example", "GET", path).service.name
        for number in range(count)
    ]
    context.second = names.count("meistrid")


@then("the second service gets between {least:d} and {most:d} of them")
def step_shared(context: Any, least: int, most: int) -> None:
    assert least <= context.second <= most, context.second


@when("a configuration with {what} is read")
def step_bad_config(context: Any, what: str) -> None:
    text = config_text()
    texts = {
        "no version": text.replace('"version"', '"release"'),
        "a bare version": text.replace('"r1"', '"12"'),
        "a listener cut": text.replace('"rule_set"', '"rules"'),
        "bytes cut short": text[: len(text) // 2],
    }
    source = PlatformConfigSource()
    try:
        source.decode(texts[what])
        source.parse(texts[what], "test")
        context.problem = "none"
    except SettingsError as error:
        context.problem = str(error.problems[0])


@then("the configuration is refused because of {reason}")
def step_refused(context: Any, reason: str) -> None:
    assert reason in context.problem, context.problem


@when("a heartbeat with {what} is read")
def step_beat(context: Any, what: str) -> None:
    beats: dict[str, Any] = {
        "all fields": BEAT,
        "a draining state": BEAT | {"state": "draining"},
        "a field that is new": BEAT | {"color": "red"},
        "no service": {key: BEAT[key] for key in BEAT if key != "service"},
        "another state": BEAT | {"state": "asleep"},
        "slots as text": BEAT | {"slots": "12"},
        "no slots at all": BEAT | {"slots": 0},
        "an address without port": BEAT | {"address": "10.0.0.1"},
        "born as a fraction": BEAT | {"born": 1.5},
    }
    body = json.dumps(beats[what]).encode() if what in beats else b"\xff\x00"
    try:
        announcement = decode_heartbeat("i-1", body)
        context.beat = "a notice of leave" if announcement.leaving else "an announcement"
        assert (announcement.instance, announcement.port) == ("i-1", 80)
    except HeartbeatError:
        context.beat = "malformed"


@then("the heartbeat is {result}")
def step_beat_result(context: Any, result: str) -> None:
    assert context.beat == result, context.beat


@when("a caller with {left:d} ms left is told of {kind} {reason} {after:d}")
def step_told(context: Any, left: int, kind: str, reason: str, after: int) -> None:
    failure: NotRun | Unknown = (
        NotRun(NotRunReason(reason), after)
        if kind == "not-run"
        else Unknown(UnknownReason(reason), retry_after_ms=after)
    )
    context.told = PlatformDialect(lambda: "kalender").failure(failure, "a1", left)[0]


@then("the caller gets status {status:d} and Retry-After {after}")
def step_status(context: Any, status: int, after: str) -> None:
    seen = get_text(context.told.headers, b"retry-after") or "none"
    assert (context.told.status, seen) == (status, after), (context.told.status, seen)


def read_headers(text: str) -> HeaderList:
    """Headers of the platform as the tables write them."""
    pairs = [part.split("=", 1) for part in text.split()]
    return [(b"x-foxtailproxy-" + name.encode(), value.encode()) for name, value in pairs]


@when("a request with {sent} is read at a node whose target serves {service}")
def step_request(context: Any, sent: str, service: str) -> None:
    context.request = PlatformDialect(lambda: service).read_caller(read_headers(sent))


@then("the request has {what} {value}")
def step_request_has(context: Any, what: str, value: str) -> None:
    request = context.request
    headers = request.headers
    seen = {
        "attempt": lambda: request.attempt_id,
        "allowed": lambda: str(request.allowed_ms),
        "caller": lambda: get_text(headers, b"x-foxtailproxy-caller-service"),
        "expect": lambda: get_text(headers, b"x-foxtailproxy-expect-instance") or "none",
    }[what]()
    assert seen == value, seen


@then("the request has malformed")
def step_request_malformed(context: Any) -> None:
    assert isinstance(context.request, MalformedCall)


def _call_between_nodes(dialect: PlatformDialect) -> tuple[HeaderList, bool]:
    sent = [(b"host", b"days.example"), *read_headers("attempt-id=a1 timeout-ms=900")]
    request = dialect.read_caller(sent)
    assert isinstance(request, CallerRequest)
    clock = fake_clock()
    call = make_call(clock, 500, rule={"objective_ms": 300, "priority": 3})
    call.head.headers[:] = request.headers
    call.attempt_id, call.send_number, call.terms = "a1", 2, Terms(120.0, 60.0)
    call.crashed_upstreams = ["n1.i-1"]
    headers = call_headers(call, clock)
    head = read_call(headers)
    assert head is not None
    match = match_call(head, None)
    same = match is not None and match.rule == replace(
        call.rule, deadline_ms=match.rule.deadline_ms
    )
    same = same and terms_of(head) == call.terms and head.crashed == call.crashed_upstreams
    same = same and (head.attempt, head.number, head.left_ms) == ("a1", 2, 500)
    upstream = dialect.upstream_headers(call, 500, "i-1")
    return headers, same and get_text(upstream, b"x-foxtailproxy-attempt-id") == "a1"


def _answer_between_nodes(dialect: PlatformDialect) -> tuple[HeaderList, bool]:
    text = "attempt-id=a1 response-signature=r1 backend-load=3,1,12,100 instance-id=i-1"
    passed = dialect.passed_headers([*read_headers(text), (b"connection", b"close")])
    told = dialect.answer_headers(passed, "a1")
    return passed, sorted(told) == sorted(read_headers("attempt-id=a1 response-signature=r1"))


def _refusal_between_nodes(dialect: PlatformDialect) -> tuple[HeaderList, bool]:
    refusal = NotRun(NotRunReason.OVERLOADED, 70)
    headers = peer_failure(refusal).headers
    return headers, parse_failure(headers) == refusal


BETWEEN_NODES = {
    "a call": _call_between_nodes,
    "an answer": _answer_between_nodes,
    "a refusal": _refusal_between_nodes,
}


@when("{what} travels between nodes of the platform")
def step_travels(context: Any, what: str) -> None:
    context.travelled, context.same = BETWEEN_NODES[what](PlatformDialect(lambda: "kalender"))


@then("it has just the headers {names}")
def step_just_headers(context: Any, names: str) -> None:
    seen = [name.decode() for name, _ in context.travelled]
    assert seen == names.split(), seen


@then("it says the same at the other node")
def step_same(context: Any) -> None:
    assert context.same


@when("an upstream answers {status:d} with {sent}")
def step_answer(context: Any, status: int, sent: str) -> None:
    head = ResponseHead(status, b"", read_headers(sent))
    context.note = PlatformDialect(lambda: "kalender").read_upstream(head)


@then("the answer is taken as {result}")
def step_note(context: Any, result: str) -> None:
    note = context.note
    if result.startswith("load"):
        load = note.load
        seen = f"load {load.running} {load.waiting} {load.slots} {load.slowness}"
    elif result == "no load":
        seen = "no load" if note.load is None else "a load"
    else:
        seen = "not run" if note.not_run else "run"
        seen += ", another instance" if note.another_instance else ""
    assert seen == result, seen

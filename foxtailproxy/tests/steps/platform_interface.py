"""Steps for the decoding of the platform's interface."""

from __future__ import annotations

import json
import time
from contextlib import suppress
from typing import Any

from behave import given, then, when
from msgspec.structs import replace

from foxtailproxy.config.rules import RuleBook
from foxtailproxy.dialect import CallerRequest, MalformedCall
from foxtailproxy.exceptions import SettingsError
from foxtailproxy.http.messages import HeaderList, ResponseHead, get_header_text
from foxtailproxy.outcome import NotRun, NotRunReason, Unknown, UnknownReason
from foxtailproxy.platform.configuration import PlatformConfigSource
from foxtailproxy.platform.dialect import PlatformDialect
from foxtailproxy.platform.instances import HeartbeatError, decode_heartbeat, instance_from_path
from foxtailproxy.target_policy import DeclinePolicy
from foxtailproxy.tests.fakes import fake_clock, make_call
from foxtailproxy.wire import (
    call_headers,
    decline_policy_from_head,
    match_from_head,
    parse_call_head,
    parse_failure,
    peer_failure_head,
)
from standins.platform_configs import config_text, make_action, make_rule

HEARTBEAT: dict[str, Any] = {
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


def make_rule_book() -> RuleBook:
    """Return the rules of the platform's configuration, as one node has them."""
    return RuleBook(PlatformConfigSource().parse(config_text(), "test"))


@when("a configuration of {count:d} routes is parsed and its first request matched")
def step_many_routes(context: Any, count: int) -> None:
    rules = [
        make_rule(f"r{number}", f"/p{number}/", make_action("kalender")) for number in range(count)
    ]
    listeners = [{"host": "many.example", "rule_set": rules}]
    text = config_text(8, listeners=listeners)
    started_s = time.process_time()
    rule_book = RuleBook(PlatformConfigSource().parse(text, "test"))
    match = rule_book.match("many.example", "GET", f"/p{count - 1}/x")
    context.processor_ms = (time.process_time() - started_s) * 1000
    assert match is not None and match.rule.name == f"r{count - 1}", match


@then("that takes less than {ms:d} ms of processor time")
def step_processor_time(context: Any, ms: int) -> None:
    assert context.processor_ms < ms, context.processor_ms


@given("the platform's configuration")
def step_config(context: Any) -> None:
    context.rule_book = make_rule_book()


@when("a request for host {host} and path {path} is matched")
def step_match_request(context: Any, host: str, path: str) -> None:
    context.match = context.rule_book.match(host, "GET", path)


@then("the match is service {service} and route {route}")
def step_match(context: Any, service: str, route: str) -> None:
    match = context.match
    actual = ("none", "none") if match is None else (match.service.name, match.rule.name)
    assert actual == (service, route), actual


@then("the rule of {path} at {host} has {field} {value}")
def step_rule(context: Any, path: str, host: str, field: str, value: str) -> None:
    rule = context.rule_book.match(host, "GET", path).rule
    assert str(getattr(rule, field)) == value, rule


@when("{count:d} requests for {path} arrive at {nodes:d} nodes")
def step_split_requests(context: Any, count: int, path: str, nodes: int) -> None:
    rule_books = [make_rule_book() for _ in range(nodes)]
    service_names = [
        rule_books[number % nodes].match("days.example", "GET", path).service.name
        for number in range(count)
    ]
    context.second_service_count = service_names.count("meistrid")


@then("the second service gets between {least:d} and {most:d} of them")
def step_second_service_count(context: Any, least: int, most: int) -> None:
    assert least <= context.second_service_count <= most, context.second_service_count


@when("a configuration with {defect} is decoded")
def step_decode_config(context: Any, defect: str) -> None:
    text = config_text()
    text_by_defect = {
        "no version": text.replace('"version"', '"release"'),
        "a bare version": text.replace('"r1"', '"12"'),
        "a listener cut": text.replace('"rule_set"', '"rules"'),
        "bytes cut short": text[: len(text) // 2],
    }
    source = PlatformConfigSource()
    try:
        source.decode(text_by_defect[defect])
        source.parse(text_by_defect[defect], "test")
        context.reason = "none"
    except SettingsError as error:
        context.reason = str(error.problems[0])


@then("the configuration is rejected because of {reason}")
def step_config_rejected(context: Any, reason: str) -> None:
    assert reason in context.reason, context.reason


@when("a heartbeat with {content} is decoded")
def step_decode_heartbeat(context: Any, content: str) -> None:
    heartbeat_by_content: dict[str, Any] = {
        "all fields": HEARTBEAT,
        "a draining state": HEARTBEAT | {"state": "draining"},
        "a field that is new": HEARTBEAT | {"color": "red"},
        "no service": {key: HEARTBEAT[key] for key in HEARTBEAT if key != "service"},
        "another state": HEARTBEAT | {"state": "asleep"},
        "slots as text": HEARTBEAT | {"slots": "12"},
        "no slots at all": HEARTBEAT | {"slots": 0},
        "an address without port": HEARTBEAT | {"address": "10.0.0.1"},
        "born as a fraction": HEARTBEAT | {"born": 1.5},
        "an empty object": {},
        "a list of its fields": list(HEARTBEAT.items()),
    }
    body = (
        json.dumps(heartbeat_by_content[content]).encode()
        if content in heartbeat_by_content
        else b"\xff\x00"
    )
    try:
        announcement = decode_heartbeat("i-1", body)
        context.heartbeat_result = (
            "a notice of leave" if announcement.leaving else "an announcement"
        )
        assert (announcement.instance, announcement.port) == ("i-1", 80)
    except HeartbeatError:
        context.heartbeat_result = "malformed"


@when("heartbeats with {field} missing, or as {values}, are decoded")
def step_decode_faulty_heartbeats(context: Any, field: str, values: str) -> None:
    heartbeats = [{key: HEARTBEAT[key] for key in HEARTBEAT if key != field}]
    heartbeats += [HEARTBEAT | {field: value} for value in json.loads(f"[{values}]")]
    context.announcements = []
    for heartbeat in heartbeats:
        with suppress(HeartbeatError):
            announcement = decode_heartbeat("i-1", json.dumps(heartbeat).encode())
            context.announcements.append((heartbeat, announcement))


@then("each of them is malformed")
def step_all_malformed(context: Any) -> None:
    assert not context.announcements, context.announcements


@when("a heartbeat for the path {path} is decoded")
def step_decode_heartbeat_of(context: Any, path: str) -> None:
    try:
        decode_heartbeat(instance_from_path(path.encode()), json.dumps(HEARTBEAT).encode())
        context.heartbeat_result = "an announcement"
    except HeartbeatError:
        context.heartbeat_result = "malformed"


@when("a heartbeat and a health answer state the cold time {text}")
def step_cold_time(context: Any, text: str) -> None:
    heartbeat = json.dumps({name: HEARTBEAT[name] for name in HEARTBEAT if name != "cold_ms"})
    headers = []
    if text != "(none)":
        heartbeat = heartbeat.replace("{", f'{{"cold_ms": {text}, ', 1)
        headers.append((b"x-foxtailproxy-cold-ms", text.encode()))
    try:
        context.announced = str(decode_heartbeat("i-1", heartbeat.encode()).cold_ms)
    except HeartbeatError:
        context.announced = "malformed"
    dialect = PlatformDialect(lambda: "kalender")
    head = ResponseHead(200, b"OK", headers)
    context.answered_ms = dialect.read_upstream_metadata(head).cold_ms


@then("the announcement has {announced} and the metadata {answered}")
def step_cold_time_read(context: Any, announced: str, answered: str) -> None:
    assert context.announced == announced, context.announced
    assert str(context.answered_ms) == answered, context.answered_ms


@then("the heartbeat decodes as {result}")
def step_heartbeat_result(context: Any, result: str) -> None:
    assert context.heartbeat_result == result, context.heartbeat_result


@when("a call with {remaining_ms:d} ms left fails with {kind} {reason} {retry_after_ms:d}")
def step_failure_response(
    context: Any, remaining_ms: int, kind: str, reason: str, retry_after_ms: int
) -> None:
    failure: NotRun | Unknown = (
        NotRun(NotRunReason(reason), retry_after_ms)
        if kind == "not-run"
        else Unknown(UnknownReason(reason), retry_after_ms=retry_after_ms)
    )
    context.response = PlatformDialect(lambda: "kalender").failure_response(
        failure, "a1", remaining_ms
    )[0]


@then("the caller gets status {status:d} and Retry-After {retry_after}")
def step_response_status(context: Any, status: int, retry_after: str) -> None:
    actual = get_header_text(context.response.headers, b"retry-after") or "none"
    assert (context.response.status, actual) == (status, retry_after), (
        context.response.status,
        actual,
    )


def parse_headers(text: str) -> HeaderList:
    """Return the platform's headers from `NAME=VALUE` pairs without their common prefix."""
    pairs = [part.split("=", 1) for part in text.split()]
    return [(b"x-foxtailproxy-" + name.encode(), value.encode()) for name, value in pairs]


@when("a request with {request_headers} is decoded at a node whose local target serves {service}")
def step_decode_request(context: Any, request_headers: str, service: str) -> None:
    context.request = PlatformDialect(lambda: service).read_caller_request(
        parse_headers(request_headers)
    )


@then("the request decodes as {field} {value}")
def step_decoded_request(context: Any, field: str, value: str) -> None:
    request = context.request
    headers = request.headers
    actual = {
        "attempt": lambda: request.attempt_id,
        "allowed": lambda: str(request.timeout_ms),
        "caller": lambda: get_header_text(headers, b"x-foxtailproxy-caller-service"),
        "expect": lambda: get_header_text(headers, b"x-foxtailproxy-expect-instance") or "none",
    }[field]()
    assert actual == value, actual


@then("the request decodes as malformed")
def step_request_malformed(context: Any) -> None:
    assert isinstance(context.request, MalformedCall)


def _transfer_call(dialect: PlatformDialect) -> tuple[HeaderList, bool]:
    request_headers = [(b"host", b"days.example"), *parse_headers("attempt-id=a1 timeout-ms=900")]
    request = dialect.read_caller_request(request_headers)
    assert isinstance(request, CallerRequest)
    clock = fake_clock()
    call = make_call(clock, 500, rule={"objective_ms": 300, "priority": 3})
    call.head.headers[:] = request.headers
    call.attempt_id, call.send_number, call.decline_policy = "a1", 2, DeclinePolicy(120.0, 60.0)
    call.crashed_upstreams = ["n1.i-1"]
    headers = call_headers(call, clock)
    head = parse_call_head(headers)
    assert head is not None
    match = match_from_head(head, None)
    is_equivalent = match is not None and match.rule == replace(
        call.rule, deadline_ms=match.rule.deadline_ms
    )
    is_equivalent = (
        is_equivalent
        and decline_policy_from_head(head) == call.decline_policy
        and head.crashed == call.crashed_upstreams
    )
    is_equivalent = is_equivalent and (head.attempt, head.number, head.left_ms) == ("a1", 2, 500)
    upstream = dialect.upstream_headers(call, 500, "i-1")
    return (
        headers,
        is_equivalent and get_header_text(upstream, b"x-foxtailproxy-attempt-id") == "a1",
    )


def _transfer_answer(dialect: PlatformDialect) -> tuple[HeaderList, bool]:
    text = "attempt-id=a1 response-signature=r1 backend-load=3,1,12,100 instance-id=i-1"
    forwarded_headers = dialect.forwarded_headers([*parse_headers(text), (b"connection", b"close")])
    caller_headers = dialect.answer_headers(forwarded_headers, "a1")
    return forwarded_headers, sorted(caller_headers) == sorted(
        parse_headers("attempt-id=a1 response-signature=r1")
    )


def _transfer_rejection(dialect: PlatformDialect) -> tuple[HeaderList, bool]:
    rejection = NotRun(NotRunReason.OVERLOADED, 70)
    headers = peer_failure_head(rejection).headers
    return headers, parse_failure(headers) == rejection


TRANSFER_BY_MESSAGE = {
    "a call": _transfer_call,
    "an answer": _transfer_answer,
    "a refusal": _transfer_rejection,
}


@when(
    "a request with the header {header} is forwarded by a node whose local target serves {service}"
)
def step_forward_request(context: Any, header: str, service: str) -> None:
    name, _, value = header.partition(": ")
    sent = [(b"host", b"days.example"), (b"x-foxtailproxy-attempt-id", b"a1")]
    sent.append((name.lower().encode(), value.encode()))
    request = PlatformDialect(lambda: service).read_caller_request(sent)
    assert isinstance(request, CallerRequest)
    clock = fake_clock()
    call = make_call(clock, 500)
    call.attempt_id, call.head.headers = request.attempt_id, request.headers
    context.forwarded_headers = call_headers(call, clock)


@then("exactly the headers {names} leave the node, with the caller's service {service}")
def step_forwarded_headers(context: Any, names: str, service: str) -> None:
    headers = context.forwarded_headers
    assert [name.decode() for name, _ in headers] == names.split(), headers
    assert get_header_text(headers, b"x-foxtailproxy-caller-service") == service
    head = parse_call_head(headers)
    assert head is not None and head.attempt == "a1", head


@when("{message} is sent between nodes of the platform")
def step_transfer(context: Any, message: str) -> None:
    context.transferred_headers, context.is_equivalent = TRANSFER_BY_MESSAGE[message](
        PlatformDialect(lambda: "kalender")
    )


@then("it has exactly the headers {names}")
def step_only_headers(context: Any, names: str) -> None:
    actual = [name.decode() for name, _ in context.transferred_headers]
    assert actual == names.split(), actual


@then("the other node decodes the same values")
def step_equivalent(context: Any) -> None:
    assert context.is_equivalent


@when("a call with the attempt id {escaped} is read from another node")
def step_read_call(context: Any, escaped: str) -> None:
    call = make_call(fake_clock(), attempt_id="attempt")
    headers = [
        (name, value.replace(b'"attempt"', b'"%s"' % escaped.encode()))
        for name, value in call_headers(call, fake_clock())
    ]
    head = parse_call_head(headers)
    context.call_result = "malformed" if head is None else "read"
    assert head is None or head.attempt == json.loads(f'"{escaped}"'), head


@then("the call is {result}")
def step_call_result(context: Any, result: str) -> None:
    assert context.call_result == result, context.call_result


@when("an upstream responds {status:d} with {response_headers}")
def step_decode_response(context: Any, status: int, response_headers: str) -> None:
    head = ResponseHead(status, b"", parse_headers(response_headers))
    context.upstream_metadata = PlatformDialect(lambda: "kalender").read_upstream_metadata(head)


@then("the response decodes as {result}")
def step_decoded_response(context: Any, result: str) -> None:
    metadata = context.upstream_metadata
    if result.startswith("load"):
        load = metadata.load
        actual = f"load {load.running} {load.queued} {load.slots} {load.slowness}"
    elif result == "no load":
        actual = "no load" if metadata.load is None else "a load"
    else:
        actual = "not run" if metadata.not_run else "run"
        actual += ", another instance" if metadata.misdirected else ""
    assert actual == result, actual

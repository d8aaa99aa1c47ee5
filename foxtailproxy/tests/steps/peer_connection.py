"""Steps for calls to a peer on an in-memory reactor."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from foxtailproxy.load import Load
from foxtailproxy.tests.fakes import advance, make_member
from foxtailproxy.tests.memory_peer import MemoryPeer
from foxtailproxy.wire import LOAD_HEADER

HEARTBEAT = b"HTTP/1.1 102 Processing\r\n\r\n"

LOAD_LINE = b"%s: %s\r\n" % (LOAD_HEADER, Load(0, 0, 4, 10.0).to_header())

ANSWER = b"HTTP/1.1 200 OK\r\n%scontent-length: 2\r\n\r\nok" % LOAD_LINE

HALF_OF_LARGE_ANSWER = b"HTTP/1.1 200 OK\r\n%scontent-length: 200000\r\n\r\n" % LOAD_LINE + bytes(
    100_000
)

ANSWER_BY_SERVER = {
    "the peer": ANSWER,
    "another server": ANSWER.replace(LOAD_LINE, b""),
    "another server, with status 404,": b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
}

BYTES_BY_NAME = {
    "the answer is": ANSWER,
    "half of a large answer is": HALF_OF_LARGE_ANSWER,
    "a heartbeat is": HEARTBEAT,
    "nothing is": b"",
}

SILENCE_NOTICED_MS = 300


@given("a client of a peer")
def step_client(context: Any) -> None:
    context.peer = MemoryPeer()


@when("a call that {may} run again with {left:d} ms left waits for a connection")
def step_call_waits(context: Any, may: str, left: int) -> None:
    context.idempotent = may == "may"
    context.peer.send(context.idempotent, left)


@when("{ms:d} ms pass for the peer")
def step_time_passes(context: Any, ms: int) -> None:
    advance(context.peer.clock, ms)


@when("its node is paused for {ms:d} ms, and {received} in its socket")
def step_paused_with_bytes(context: Any, ms: int, received: str) -> None:
    peer = context.peer
    advance(peer.clock, ms, step_ms=ms)
    if BYTES_BY_NAME[received]:
        peer.protocols[0].dataReceived(BYTES_BY_NAME[received])
    advance(peer.clock, SILENCE_NOTICED_MS)


@then("the call ended as {outcome} over {count:d} connections")
def step_connections(context: Any, outcome: str, count: int) -> None:
    context.peer.accept()
    actual = (context.peer.outcome(), len(context.peer.protocols))
    assert actual == (outcome, count), actual


@when("its node is paused for {ms:d} ms")
def step_paused(context: Any, ms: int) -> None:
    context.peer.suspend(ms)


@when("the caller of the call leaves")
def step_caller_leaves(context: Any) -> None:
    peer = context.peer
    cancel = peer.client.cancel if context.idempotent else peer.client.withdraw
    cancel(peer.call.send_id)


@when("the connection opens")
def step_connection_opens(context: Any) -> None:
    context.peer.accept()


@when("it breaks, and {stage}")
def step_breaks(context: Any, stage: str) -> None:
    peer = context.peer
    peer.protocols[0].connectionLost(Failure(ConnectionLost()))
    assert len(peer.reactor.tcpClients) == 1
    context.query_opens = "connects" in stage
    if not context.query_opens:
        peer.accept()


@when("it is answered")
def step_answered(context: Any) -> None:
    context.peer.protocols[0].dataReceived(ANSWER)
    assert context.peer.outcome() == "answered"


@when("{server} answers {what} in the place of the peer")
def step_server_answers(context: Any, server: str, what: str) -> None:
    peer = context.peer
    if what == "the query":
        step_breaks(context, "the query is sent")
    peer.protocols[-1].dataReceived(ANSWER_BY_SERVER[server])


@when("another process of the peer takes its place")
def step_replaced(context: Any) -> None:
    peer = context.peer
    peer.member = make_member("b", address=peer.member.address, boot_id="boot-b2", incarnation=2)


@then("the connections carried {counts} calls")
def step_calls_by_connection(context: Any, counts: str) -> None:
    transports = context.peer.transports
    actual = [transport.value().lower().count(b"foxtail-call: ") for transport in transports]
    assert actual == [int(count) for count in counts.split()], actual


@then("the call ended as {outcome}, and was sent with {sent} ms left")
def step_sent(context: Any, outcome: str, sent: str) -> None:
    left = [str(head.left_ms) for head in context.peer.sent_heads()] or ["no"]
    assert (context.peer.outcome(), left) == (outcome, [sent]), (context.peer.outcome(), left)


@then("the call ended as {outcome}, and its query is {query}")
def step_query(context: Any, outcome: str, query: str) -> None:
    peer = context.peer
    if context.query_opens:
        peer.accept()
    transport = peer.transports[1]
    actual = {"cut": "cut", "": "open"}[transport.close_kind]
    if not transport.value():
        actual = "not sent"
    assert (peer.outcome(), actual) == (outcome, query), (peer.outcome(), actual)

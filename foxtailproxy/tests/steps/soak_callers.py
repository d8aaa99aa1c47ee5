"""Steps for the callers of the soak test, beside a server that sends given bytes."""

from __future__ import annotations

import socket
import threading
from typing import Any

from behave import then, when

from soak.connection import AnswerCut, CallerConnection, InvalidBytes
from soak.requests import ANSWER_BYTES, Request
from standins.answer_scripts import body_with_status, whole_answer
from standins.fleet import ADDRESS

FIRST_ATTEMPT, SECOND_ATTEMPT = b"1" * 16, b"2" * 16
STRAY_WAIT_S = 0.1
FAILURE_OF_NODE = (
    b"HTTP/1.1 502 Bad Gateway\r\nx-foxtailproxy-attempt-id: %s\r\ncontent-length: %d\r\n\r\n%s"
)
NODE_BODY = b'{"error":"answer-cut"}'


def _answer(attempt: bytes, status: int, framing: str = "with a length") -> bytes:
    body = body_with_status(attempt, status, ANSWER_BYTES)
    return whole_answer(framing, attempt, body, b"", b"%d Scripted" % status)


FIRST, SECOND = _answer(FIRST_ATTEMPT, 500), _answer(SECOND_ATTEMPT, 200)
FIRST_IN_CHUNKS = _answer(FIRST_ATTEMPT, 500, "in chunks")
FIRST_HEAD, _, FIRST_BODY = FIRST.partition(b"\r\n\r\n")
RECEIPT = b"X-Foxtailproxy-Response-Signature: receipt.%s\r\n" % FIRST_ATTEMPT

BYTES_BY_NAME = {
    "both answers": FIRST + SECOND,
    "both answers, byte by byte": FIRST + SECOND,
    "both answers in chunks": FIRST_IN_CHUNKS + _answer(SECOND_ATTEMPT, 200, "in chunks"),
    "a failure of the node and an answer": FAILURE_OF_NODE
    % (FIRST_ATTEMPT, len(NODE_BODY), NODE_BODY)
    + SECOND,
    "an answer, and its connection ends": FIRST,
    "half of an answer, and its connection ends": FIRST[:900],
    "half of the chunks, and its connection ends": FIRST_IN_CHUNKS[:900],
    "both answers and a byte": FIRST + SECOND + b"H",
    "both answers, the first without its body": FIRST_HEAD + b"\r\n\r\n" + SECOND,
    "the first answer from the middle of a head": FIRST[24:] + SECOND,
    "both answers, the first with its body twice": FIRST + FIRST_BODY + SECOND,
    "both answers, the first with the status 503": FIRST.replace(b"500", b"503", 1) + SECOND,
    "the second answer first": SECOND + FIRST,
    "both answers, the first without its receipt": FIRST.replace(RECEIPT, b"") + SECOND,
    "a failure of the node with a foreign byte": FAILURE_OF_NODE
    % (FIRST_ATTEMPT, len(NODE_BODY) + 1, NODE_BODY + b"H")
    + SECOND,
    "an answer in chunks with a foreign byte": FIRST_IN_CHUNKS.replace(
        b"\r\n0\r\n\r\n", b"H\r\n0\r\n\r\n"
    )
    + SECOND,
    "an answer without an end": _answer(FIRST_ATTEMPT, 500, "without a length") + SECOND,
}


def _serve(listener: socket.socket, data: bytes, ends: bool, released: threading.Event) -> None:
    connection = listener.accept()[0]
    connection.sendall(data)
    if ends:
        connection.shutdown(socket.SHUT_WR)
    released.wait()
    connection.close()


def _read(connection: CallerConnection) -> str:
    """Return what is wrong with the answers to two look-ups."""
    requests = [
        Request(attempt.decode(), "kalender", "GET", "/", b"", False, ANSWER_BYTES)
        for attempt in (FIRST_ATTEMPT, SECOND_ATTEMPT)
    ]
    connection.send(b"".join(request.encode() for request in requests))
    for request in requests:
        try:
            problem = request.problem_of(connection.read_answer())
        except InvalidBytes as error:
            return f"InvalidBytes: {error}"
        except AnswerCut:
            return "a cut answer" if connection.answer_begun else "an end with its answer"
        if problem:
            return problem
    try:
        return "nothing wrong" if connection.stays_open(STRAY_WAIT_S) else "an end"
    except InvalidBytes as error:
        return f"InvalidBytes: {error}"


@when("a caller of the soak test sends a look-up and a second one, and is sent {name}")
def step_exchange(context: Any, name: str) -> None:
    released = threading.Event()
    with socket.create_server((ADDRESS, 0)) as listener:
        server = threading.Thread(
            target=_serve, args=(listener, BYTES_BY_NAME[name], "ends" in name, released)
        )
        server.start()
        read_bytes = 1 if "byte by byte" in name else 65536
        connection = CallerConnection(listener.getsockname()[1], read_bytes, 0.0)
        context.seen = _read(connection)
        connection.close()
        released.set()
        server.join()


@then("the caller sees {seen}")
def step_seen(context: Any, seen: str) -> None:
    assert context.seen.startswith(seen), context.seen

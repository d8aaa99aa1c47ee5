"""Random histories of connections to an upstream, and what a reader may take for a whole answer.

Usage: python -m foxtailproxy.tests.answer_fuzz FIRST_SEED COUNT

The generator leaves out what the bytes and the end of a connection do not tell:

- an answer without a length that is cut by a close of a server that goes on running
- a copy inside or behind a body, of which fewer than 12 bytes belong to this body
- a copy of an answer that is older than the latest 2,048 of its upstream
- a copy of an error that names no attempt, and an interim response, inside or behind a body
- a body that quotes a response with the id of an attempt which the upstream has answered
- a copy inside a body that is cut before it names its attempt, with more of the body behind it
- a copy that is cut there, of an answer whose head did not arrive, or with other framing
- two copies in a row that are both cut, the second one within its first 12 bytes
- a copy that begins less than a head before the end of a body with a length, if what follows
  that end is only line ends, or in a later read
- a body without a length that ends inside a quoted head: it is refused

An answer may also be refused behind a copy that announces the close of its connection.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from foxtailproxy.dialect import AnswerMatcher
from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.client import ClientConnection, ClientResponse
from foxtailproxy.http.errors import HttpError
from foxtailproxy.http.messages import BODILESS_STATUSES, RequestHead, get_header, reason_phrase
from foxtailproxy.http.stray_head import STATUS_BYTES, SeenResponses
from foxtailproxy.platform.dialect import PlatformDialect
from foxtailproxy.tests.fakes import captured_log
from foxtailproxy.tests.http_sessions import RecordingTransport

DIALECT = PlatformDialect(lambda: "kalender")
REPLAY_BYTES = 65536
RECEIPT_HEADER = b"x-foxtailproxy-response-signature"
FILLER = b"X-Filler: " + b"f" * 40 + b"\r\n"
BODY_SIZES = (0, 0, 1, 2, 11, 40, 150, 600, 1500, 9000, 65535, 65536, 65537, 90_000)
TEXTS = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 404 Not Found\r\nServer: quoted\r\nX-Empty:\r\n\r\n",
    b"HTTP/1.1 503 Busy\r\n",
    b"HTTP/1.1 102 Processing\r\n\r\n",
    b"HTTP/1.1 2",
    b"HTTP/1.",
    b"X-Foxtailproxy-Attempt-Id: \r\n",
    b"0\r\n\r\n",
    b"\r\n",
)
INTERIM_RESPONSES = (
    b"HTTP/1.1 102 Processing\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n",
)
LINE_ENDS = b"\r\n\r\n"
MAX_HEAD_BYTES = 700
LENGTH, CHUNKS, CLOSE = "with a length", "in chunks", "without a length"
FRAMINGS = (LENGTH, CHUNKS, CLOSE)
RUNS, ENDED, RESET, OPEN = "closed by a server that runs", "closed by its end", "reset", "open"
PLAIN, BEFORE, INSIDE, BEHIND, IDLE, CUT = "plain", "before", "inside", "behind", "idle", "cut"
KINDS = (PLAIN, BEFORE, INSIDE, BEHIND, IDLE, CUT)
"""What happens to an answer: a copy somewhere, or a cut."""

AT_ONCE, BUFFERED, LATE, BETWEEN = "at once", "buffered", "late", "between"


@dataclass(frozen=True, slots=True)
class Wire:
    """Bytes of a response; `id_end` is the offset behind the header that names its attempt."""

    data: bytes
    head_size: int
    id_end: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Whole answer of the upstream to an attempt; an error may name none."""

    method: bytes
    attempt: bytes
    status: int
    body: bytes
    framing: str
    named: bool = True
    id_first: bool = True
    framing_first: bool = False
    fillers: int = 0
    closes: bool = False

    @property
    def has_body(self) -> bool:
        """Whether bytes of a body follow the head."""
        return self.method != b"HEAD" and self.status not in BODILESS_STATUSES

    @property
    def ended_by_close(self) -> bool:
        """Whether only the end of the connection ends the body."""
        return self.has_body and self.framing == CLOSE

    def wire(self, random: Random) -> Wire:
        """Return the answer as the upstream sends it; its chunks differ each time."""
        framing = []
        if self.status != 204 and self.framing == LENGTH:
            framing = [b"Content-Length: %d\r\n" % len(self.body)]
        elif self.has_body and self.framing == CHUNKS:
            framing = [b"Transfer-Encoding: chunked\r\n"]
        named = []
        if self.named:
            named = [b"X-Foxtailproxy-Attempt-Id: %s\r\n" % self.attempt]
        others = [b"X-Foxtailproxy-Response-Signature: r.%s\r\n" % self.attempt]
        others += [FILLER] * self.fillers
        if self.closes:
            others.append(b"Connection: close\r\n")
        lines = [*named, *others] if self.id_first else [*others, *named]
        lines = [*framing, *lines] if self.framing_first else [*lines, *framing]
        lines.insert(0, b"HTTP/1.1 %d %s\r\n" % (self.status, reason_phrase(self.status)))
        head = b"".join(lines) + b"\r\n"
        id_end = head.find(named[0]) + len(named[0]) if named else len(head)
        return Wire(head + self._framed_body(random), len(head), id_end)

    def _framed_body(self, random: Random) -> bytes:
        if not self.has_body:
            return b""
        if self.framing != CHUNKS:
            return self.body
        parts = []
        position = 0
        while position < len(self.body):
            size = random.choice((1, 16, 500, 5000, 70_000)) if len(self.body) < 2000 else 9000
            part = self.body[position : position + size]
            extension = random.choice((b"", b"", b"", b";a=1", b';a="b c"'))
            parts.append(b"%x%s\r\n%s\r\n" % (len(part), extension, part))
            position += size
        trailer = random.choice((b"", b"", b"X-Trailer: 1\r\n"))
        return b"".join([*parts, b"0\r\n", trailer, b"\r\n"])


@dataclass(slots=True)
class Exchange:
    """One request, and what the server sends from then on until the next one.

    `must_complete` tells that nothing prevents the whole answer from being known as such.
    `idle_reads` arrive when the exchange has ended, `late_bytes` before the next answer, if the
    connection is used again.
    """

    answer: Answer
    kind: str
    story: str
    reads: list[bytes]
    end: str
    reader: str
    must_complete: bool
    confirm_late: bool = False
    idle_reads: list[bytes] = field(default_factory=list)
    late_bytes: bytes = b""


class HistoryMaker:
    """Generator of the history of one server from a seed."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self._late_random = Random(f"late {seed}")
        self._late_copy_harms = False
        self.earlier: list[Answer] = []
        self._arrived: list[Answer] = []
        self._id_first = self.random.random() < 0.7
        self._framing_first = self.random.random() < 0.2
        self._fillers = self.random.choice((0, 0, 1, 8))

    def history(self) -> list[Exchange]:
        """Return the exchanges."""
        return [self._exchange(number) for number in range(self.random.randint(1, 5))]

    def _exchange(self, number: int) -> Exchange:
        answer = self._answer(number)
        maker = self.random.choices(
            (self._plain, self._before, self._inside, self._behind, self._cut),
            (3, 2, 2 if answer.has_body else 0, 2, 2),
        )[0]
        if not answer.named:
            maker = self.random.choice((self._plain, self._cut))
        exchange = maker(answer)
        exchange.must_complete = exchange.must_complete and not self._late_copy_harms
        head_arrives = maker == self._plain and not self._late_copy_harms
        self._late_copy_harms = False
        if maker == self._plain and exchange.end == OPEN and self._late_random.random() < 0.4:
            self._copy_late(exchange)
        if answer.named:
            self.earlier.append(answer)
            if head_arrives:
                self._arrived.append(answer)
        return exchange

    def _copy_late(self, exchange: Exchange) -> None:
        """Send a copy when the next request has been sent on the connection."""
        answer = exchange.answer
        copied = replace(answer, framing=self._late_random.choice(FRAMINGS))
        exchange.late_bytes = copied.wire(self._late_random).data
        exchange.story += f"; late copy {copied.framing}"
        # After the others, the connection is not used again.
        is_used_again = answer.named and answer.method != b"HEAD" and not answer.closes
        self._late_copy_harms = is_used_again and copied.ended_by_close

    def _answer(self, number: int) -> Answer:
        random = self.random
        status = random.choices((200, 204, 304, 404, 503), (8, 1, 1, 1, 1))[0]
        return Answer(
            method=random.choices((b"GET", b"HEAD", b"POST"), (6, 1, 3))[0],
            attempt=b"%d-%06x" % (number, random.getrandbits(24)),
            status=status,
            body=self._body(),
            framing=random.choice(FRAMINGS),
            named=status < 400 or random.random() < 0.8,
            id_first=self._id_first,
            framing_first=self._framing_first,
            fillers=self._fillers,
            closes=random.random() < 0.05,
        )

    def _body(self) -> bytes:
        random = self.random
        size = random.choice(BODY_SIZES)
        if not size or random.random() < 0.3:
            return b"z" * size
        body = bytearray()
        while len(body) < min(size, 2000):
            body += random.choice(TEXTS) if random.random() < 0.5 else b"text %d " % len(body)
        # What may be the start of a copy at the end of a body is refused where a close ends it.
        return bytes(body) + b"t" * (size - len(body)) + b"~end"

    def _reads(self, data: bytes, joined_at: int = 0) -> list[bytes]:
        """Split data at random, but not from `joined_at` to the next byte that is no line end."""
        random = self.random
        if not data:
            return []
        if len(data) < 600 and random.random() < 0.05:
            found = set(range(len(data)))
        else:
            count = random.choice((0, 0, 1, 2, 5))
            found = {random.randrange(len(data)) for _ in range(count)}
            if random.random() < 0.5:
                found |= set(range(65536, len(data), 65536))
        if joined_at:
            found -= set(range(joined_at, joined_at + len(LINE_ENDS) + 1))
        cuts = sorted(found - {0})
        parts = [data[i:j] for i, j in zip([0, *cuts], [*cuts, len(data)], strict=True)]
        return [part for part in parts if part]

    def _interims(self) -> bytes:
        count = self.random.choices((0, 1, 2), (8, 1, 1))[0]
        return b"".join(self.random.choice(INTERIM_RESPONSES) for _ in range(count))

    def _copied(self, own: Answer, own_share: float) -> Answer:
        """Return a second copy, with any framing."""
        random = self.random
        is_own = not self.earlier or random.random() < own_share
        copied = own if is_own else random.choice(self.earlier)
        return replace(copied, framing=random.choice((copied.framing, *FRAMINGS)))

    def _make(
        self,
        answer: Answer,
        kind: str,
        story: str,
        data: bytes,
        end: str,
        must_complete: bool,
        reader: str = "",
        joined_at: int = 0,
    ) -> Exchange:
        return Exchange(
            answer,
            kind,
            f"{answer.method.decode()} {answer.status} {len(answer.body)} B {answer.framing}"
            f"{'' if answer.named else ', unnamed'}; {kind}{story}; {end}",
            self._reads(data, joined_at),
            end,
            reader or self.random.choice((AT_ONCE, BUFFERED, BUFFERED, LATE, BETWEEN)),
            must_complete,
            self.random.random() < 0.5,
        )

    def _end_of_whole(self, answer: Answer) -> str:
        if answer.ended_by_close:
            return self.random.choices((RUNS, ENDED, RESET, OPEN), (6, 1, 1, 1))[0]
        return self.random.choices((OPEN, RUNS, ENDED, RESET), (8, 1, 1, 1))[0]

    def _plain(self, answer: Answer) -> Exchange:
        end = self._end_of_whole(answer)
        data = self._interims() + answer.wire(self.random).data
        must_complete = not answer.ended_by_close or end == RUNS
        return self._make(answer, PLAIN, "", data, end, must_complete)

    def _before(self, answer: Answer) -> Exchange:
        """Send copies before the answer."""
        data, stories, must_complete = b"", [], True
        for _ in range(self.random.choice((1, 1, 2))):
            copied = self._copied(answer, 0.1)
            wire = copied.wire(self.random)
            size = len(wire.data)
            if self.random.random() < 0.3:
                smallest = STATUS_BYTES if stories else 1
                size = self.random.randint(smallest, self.random.choice((wire.head_size, size)))
                if copied.attempt == answer.attempt and size >= wire.head_size:
                    # What is missing is more than a head, or the copy is whole.
                    largest = len(wire.data) - MAX_HEAD_BYTES
                    size = min(size, largest) if largest >= wire.head_size else len(wire.data)
            is_whole = size == len(wire.data)
            must_complete = must_complete and (
                copied.attempt != answer.attempt
                and is_whole
                and not copied.ended_by_close
                and copied.method != b"HEAD"
                and not copied.closes
            )
            data += self._interims() + wire.data[:size]
            stories.append(self._copy_story(answer, copied, size, wire))
        end = self._end_of_whole(answer)
        data += self._interims() + answer.wire(self.random).data
        must_complete = must_complete and (not answer.ended_by_close or end == RUNS)
        return self._make(answer, BEFORE, ",".join(stories), data, end, must_complete)

    def _copy_story(self, answer: Answer, copied: Answer, size: int, wire: Wire) -> str:
        whose = "own" if copied.attempt == answer.attempt else "earlier"
        return (
            f" {whose} copy {copied.method.decode()} {copied.status} {copied.framing}, {size} of "
            f"{len(wire.data)} B (head {wire.head_size}, id {wire.id_end})"
        )

    def _inside(self, answer: Answer) -> Exchange:
        """Send a copy inside the answer, and the rest of the answer or no more."""
        random = self.random
        wire = answer.wire(random)
        start = random.randint(wire.head_size, len(wire.data))
        if random.random() < 0.3:
            start = max(wire.head_size, len(wire.data) - random.randrange(300))
        if answer.framing == LENGTH and len(wire.data) - start < STATUS_BYTES:
            start = len(wire.data)
        rest = wire.data[start:] if random.random() < 0.6 else b""
        copied, copy, size = self._copy(answer, 0.4, bool(rest))
        end = random.choice((OPEN, RUNS, ENDED, RESET))
        is_own = copied.attempt == answer.attempt
        if not rest and is_own and answer.framing == CLOSE and random.random() < 0.3:
            # Both bodies are cut after the same number of bytes.
            size = copy.head_size + min(start - wire.head_size, len(copy.data) - copy.head_size)
            end = ENDED if copied.framing == CLOSE else RUNS
        joined_at = 0
        missing = len(wire.data) - start
        if answer.framing == LENGTH and 0 < missing < copy.id_end:
            copied, joined_at = self._of_known_head(answer, copied), len(wire.data)
            copy = copied.wire(random)
            size = min(size, len(copy.data))
            if missing <= size <= missing + len(LINE_ENDS):
                rest = wire.data[start:]
        story = f" at {start} of {len(wire.data)} B (head {wire.head_size})" + self._copy_story(
            answer, copied, size, copy
        )
        data = wire.data[:start] + copy.data[:size] + rest
        story += f", then {len(rest)} B"
        return self._make(answer, INSIDE, story, data, end, False, joined_at=joined_at)

    def _copy(self, answer: Answer, own_share: float, goes_on: bool) -> tuple[Answer, Wire, int]:
        """Return a copy for the inside or the end of a body, and how many bytes of it are sent."""
        random = self.random
        copied = self._copied(answer, own_share)
        copy = copied.wire(random)
        size = len(copy.data)
        if random.random() < 0.5:
            size = random.randint(STATUS_BYTES, random.choice((copy.head_size, size)))
        if goes_on:
            size = max(size, copy.id_end)
        elif size < copy.id_end:
            copied = self._of_known_head(answer, copied)
            copy = copied.wire(random)
        return copied, copy, size

    def _of_known_head(self, answer: Answer, copied: Answer) -> Answer:
        """Return an answer in place of `copied` whose head has arrived as it is."""
        known = [answer, *self._arrived]
        return next((other for other in known if other.attempt == copied.attempt), answer)

    def _behind(self, answer: Answer) -> Exchange:
        """Send a copy behind the answer, at once or while the connection is idle."""
        random = self.random
        wire = answer.wire(random)
        copied, copy, size = self._copy(answer, 0.6, False)
        end = self._end_of_whole(answer)
        whole_own = size == len(copy.data) and copied.attempt == answer.attempt
        story = self._copy_story(answer, copied, size, copy)
        if not answer.ended_by_close:
            if random.random() < 0.5:
                exchange = self._make(answer, IDLE, story, wire.data, OPEN, True)
                exchange.idle_reads = self._reads(copy.data[:size])
            else:
                data = wire.data + copy.data[:size]
                exchange = self._make(answer, BEHIND, story, data, end, True)
            exchange.late_bytes = copy.data[size:]
            return exchange
        reader = random.choice((LATE, BUFFERED, ""))
        must_complete = whole_own and bool(reader) and end == RUNS and len(answer.body) < 30_000
        data = wire.data + copy.data[:size]
        return self._make(answer, BEHIND, story, data, end, must_complete, reader)

    def _cut(self, answer: Answer) -> Exchange:
        """Cut the answer at any byte, and send nothing or a copy."""
        random = self.random
        wire = answer.wire(random)
        size = random.randrange(random.choice((wire.head_size, len(wire.data))))
        ends = [OPEN, RUNS, ENDED, RESET]
        if answer.ended_by_close and size >= wire.head_size:
            ends.remove(RUNS)
        return self._make(
            answer,
            CUT,
            f" at {size} of {len(wire.data)} B (head {wire.head_size})",
            self._interims() + wire.data[:size],
            random.choice(ends),
            False,
        )


class PausableTransport(RecordingTransport):
    """In-memory transport of a socket that is not read while it is paused."""

    paused = False

    def getHandle(self) -> Any:  # noqa: N802
        """Return this object in place of a socket."""
        return self

    def setsockopt(self, *options: int) -> None:
        """Ignore an option."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Deliver nothing for now."""
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Deliver again."""
        self.paused = False


class Reader:
    """Reader of one response, from the moment that its seed says."""

    def __init__(self, kind: str, attach_after: int) -> None:
        self.response: ClientResponse | None = None
        self.end = "open"
        self.data = bytearray()
        self._kind = kind
        self._attach_after = attach_after

    def receive(self, response: ClientResponse) -> None:
        """Take the response."""
        self.response = response
        if self._kind == AT_ONCE:
            response.body.attach(self)
        elif self._kind == BUFFERED:
            response.body.buffer(REPLAY_BYTES).addBoth(lambda _: self.go_on())

    def go_on(self) -> None:
        """Take the body, unless it is taken already."""
        if self.response is not None and not self.response.body.attached:
            self.response.body.attach(self)

    def note_event(self, number: int, paused: bool) -> None:
        """Take the body if it is time."""
        if paused or (self._kind == BETWEEN and number >= self._attach_after):
            self.go_on()

    def body_data(self, data: bytes) -> None:
        """Add bytes."""
        self.data += data

    def body_end(self) -> None:
        """Record a complete body."""
        self.end = "complete"

    def body_failed(self, error: HttpError) -> None:
        """Record a body that was cut."""
        self.end = "cut"

    def fail(self, failure: Failure) -> None:
        """Record that no response came."""
        failure.trap(HttpError)
        self.end = failure.type.__name__

    def problem(self, exchange: Exchange) -> str:
        """Return how the result contradicts what the upstream answered; empty if it does not."""
        if self.end != "complete":
            return f"refused ({self.end})" if exchange.must_complete else ""
        assert self.response is not None
        answer, head = exchange.answer, self.response.head
        body = answer.body if answer.has_body else b""
        if head.status != answer.status:
            return f"wrong status {head.status}"
        if self.data != body:
            return f"wrong body of {len(self.data)} B: ...{bytes(self.data[-40:])!r}"
        if get_header(head.headers, RECEIPT_HEADER) != b"r." + answer.attempt:
            return "wrong receipt"
        return ""


class HistoryPlayer:
    """Player of a history on connections that are used again where the client allows it."""

    def __init__(self, seed: int) -> None:
        self._random = Random(-seed - 1)
        self._seen_responses = SeenResponses()
        self._connection: ClientConnection | None = None
        self._transport = PausableTransport()
        self._lost = False
        self._late_bytes = b""
        self._server_runs = True
        self._unconfirmed: list[Deferred[bool]] = []

    def play(self, exchange: Exchange) -> str:
        """Play an exchange; return how its result is wrong, or an empty string."""
        connection = self._connection
        if connection is None or connection.closed or connection.busy:
            connection = self._open()
        reader = Reader(exchange.reader, self._random.randint(0, 6))
        self._server_runs = exchange.end != ENDED
        connection.confirm_end = self._confirm_late if exchange.confirm_late else self._confirm
        request = RequestHead(exchange.answer.method, b"/", [])
        matcher = AnswerMatcher(DIALECT, exchange.answer.attempt.decode())
        connection.request(request, BodyStream.from_bytes(b""), matcher).addCallbacks(
            reader.receive, reader.fail
        )
        late_bytes, self._late_bytes = self._late_bytes, exchange.late_bytes
        events: list[bytes | None] = [late_bytes] if late_bytes else []
        events += exchange.reads
        if exchange.end != OPEN:
            events.append(None)
        for number, event in enumerate(events):
            reader.note_event(number, self._transport.paused)
            self._report_abort(connection)
            if self._lost:
                break
            if event is None:
                self._lose(connection, exchange.end)
            else:
                connection.dataReceived(event)
            reader.note_event(number + 1, False)
        self._report_abort(connection)
        for deferred in self._unconfirmed:
            deferred.callback(self._server_runs)
        self._unconfirmed = []
        reader.go_on()
        if reader.end == "open":
            connection.abort()
            self._report_abort(connection)
        for data in exchange.idle_reads:
            self._report_abort(connection)
            if not self._lost:
                connection.dataReceived(data)
        self._report_abort(connection)
        return reader.problem(exchange)

    def _open(self) -> ClientConnection:
        connection = self._connection = ClientConnection()
        self._transport = PausableTransport()
        self._lost = False
        self._late_bytes = b""
        connection.makeConnection(self._transport)
        connection.seen_responses = self._seen_responses
        connection.on_idle = lambda _: None
        return connection

    async def _confirm(self) -> bool:
        return self._server_runs

    async def _confirm_late(self) -> bool:
        deferred: Deferred[bool] = Deferred()
        self._unconfirmed.append(deferred)
        return await deferred

    def _lose(self, connection: ClientConnection, end: str) -> None:
        self._lost = True
        connection.connectionLost(Failure(ConnectionLost() if end == RESET else ConnectionDone()))

    def _report_abort(self, connection: ClientConnection) -> None:
        if self._transport.close_kind and not self._lost:
            self._lost = True
            connection.connectionLost(Failure(ConnectionAborted()))


def _play_history(seed: int) -> list[tuple[int, str]]:
    """Play the history of a seed; return the size in bytes and the story of each wrong end."""
    player = HistoryPlayer(seed)
    problems = []
    for number, exchange in enumerate(HistoryMaker(seed).history()):
        problem = player.play(exchange)
        if problem:
            sizes = [len(data) for data in exchange.reads]
            story = f"seed {seed}, exchange {number}: {problem}: {exchange.story}; reads "
            story += f"{sizes}, reader {exchange.reader}"
            problems.append((sum(sizes), story))
    return problems


def play_histories(first: int, count: int) -> list[str]:
    """Play the histories of a range of seeds; return the wrong ends, the smallest first."""
    problems = []
    with captured_log() as entries:
        for seed in range(first, first + count):
            problems += _play_history(seed)
            entries.clear()
    return [story for _, story in sorted(problems)]


def main(arguments: list[str]) -> int:
    """Play a range of seeds and print the wrong ends."""
    first, count = map(int, arguments)
    problems = play_histories(first, count)
    print("".join(f"{problem}\n" for problem in problems), end="")
    print(f"{count} histories, {len(problems)} wrong ends")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

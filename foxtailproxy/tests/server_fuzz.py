"""Random histories of one connection of a client, and what it may take for whole responses.

Usage: python -m foxtailproxy.tests.server_fuzz FIRST_SEED COUNT [sockets]

A history plays the reactor: it chooses when the connection is read and written, and how much the
client reads. With `sockets`, the connection is a real one with small buffers.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from twisted.internet.error import ConnectionLost
from twisted.internet.tcp import Server
from twisted.python.failure import Failure

from foxtailproxy.clock import Clock
from foxtailproxy.http.body import BodyStream, DiscardSink
from foxtailproxy.http.client_bounds import ClientBounds
from foxtailproxy.http.connection_limit import ConnectionLimit
from foxtailproxy.http.errors import BodyTruncated, HttpError
from foxtailproxy.http.exchange import ServerExchange
from foxtailproxy.http.memory import MemoryAccount
from foxtailproxy.http.messages import BODILESS_STATUSES, ResponseHead, reason_phrase
from foxtailproxy.http.server import ServerFactory, ServerLimits
from foxtailproxy.tests.fakes import captured_log
from foxtailproxy.tests.http_sessions import HOST_HEADER, INVALID_REQUESTS
from foxtailproxy.tests.server_links import FIN, HandReactor, MemoryLink, SocketLink

LIMITS = ServerLimits(header_bytes=500, body_bytes=64, header_time_ms=8000, idle_time_ms=8000)
MAX_SILENCE_MS = 60_000
"""Time after which a connection on which nothing happens must have ended."""

MAX_STEPS = 20_000
STATUSES = (200, 404, 500, 502, 204, 304)
BODY_SIZES = (0, 1, 24, 200, 200, 3000, 20_000, 70_000)
EXCESS = b"~excess~"
WHOLE, FAILS, SHORT, LONG, TAKEN = "whole", "fails", "too short", "too long", "taken"
FATES = (WHOLE, FAILS, SHORT, LONG, TAKEN)
STAYS, HALF_CLOSES, LEAVES = "stays", "half-closes", "leaves"
CLIENTS = (STAYS, HALF_CLOSES, LEAVES)
HEAD_PATTERN = re.compile(rb"HTTP/1\.1 (\d{3}) [^\r\n]*((?:\r\n[a-z-]+: [^\r\n]*)*)\r\n\r\n")
CHUNK_PATTERN = re.compile(rb"([0-9a-f]+)\r\n")
CUT_CHUNK_PATTERN = re.compile(rb"[0-9a-f]{0,6}\r?")
REJECTION_TEXT = b'{"outcome":"%s","reason":"%s"}\n'


@dataclass(slots=True)
class Plan:
    """A request and the response to it; `steps` are those of its handler, in order."""

    number: int
    method: bytes = b"GET"
    version: str = "1.1"
    sent: list[bytes] = field(default_factory=list)
    expects_continue: bool = False
    invalid: bool = False
    closes: bool = False
    waits_for_body: bool = True
    status: int = 200
    body: bytes = b""
    declared: bool = True
    fate: str = WHOLE
    steps: list[Any] = field(default_factory=list)

    @property
    def has_body(self) -> bool:
        """Whether bytes of a body may follow the head."""
        return self.method != b"HEAD" and self.status not in BODILESS_STATUSES

    def __str__(self) -> str:
        """Return a summary for a report."""
        steps = [step if isinstance(step, str) else len(step) for step in self.steps]
        kind = " invalid" if self.invalid else ""
        declared = "declared" if self.declared else "undeclared"
        return (
            f"{self.method.decode()} {self.version}{kind} -> {self.status} {len(self.body)} B "
            f"{declared} {self.fate}, {steps}"
        )


class PlanMaker:
    """Generator of the requests and responses of one history."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._has_faults = random.random() < 0.5
        self._old_share = random.choice((0.0, 0.1, 0.6))

    def plans(self) -> list[Plan]:
        """Return the plans; only the last two may be an invalid request and one behind it."""
        random = self._random
        plans = [self._plan(number) for number in range(random.choice((1, 2, 3, 5, 14)))]
        if random.random() < 0.2:
            plans.append(self._invalid(len(plans)))
            if random.random() < 0.3:
                plans.append(self._plan(len(plans)))
        return plans

    def _plan(self, number: int) -> Plan:
        random = self._random
        plan = Plan(number, random.choices((b"GET", b"HEAD", b"POST"), (4, 1, 2))[0])
        lines = HOST_HEADER
        plan.version = "1.0" if random.random() < self._old_share else "1.1"
        keeps = random.random() < (0.9 if plan.version == "1.1" else 0.5)
        plan.closes = not keeps
        if (plan.version == "1.1") != keeps:
            lines += b"Connection: %s\r\n" % (b"keep-alive" if keeps else b"close")
        body = b""
        if plan.method == b"POST":
            text = b"%d" % number * random.randint(0, 20)
            if plan.version == "1.1" and random.random() < 0.5:
                lines += b"Transfer-Encoding: chunked\r\n"
                body = (b"%x\r\n%s\r\n" % (len(text), text) if text else b"") + b"0\r\n\r\n"
            else:
                lines += b"Content-Length: %d\r\n" % len(text)
                body = text
            plan.expects_continue = plan.version == "1.1" and random.random() < 0.3
            lines += b"Expect: 100-continue\r\n" * plan.expects_continue
            plan.waits_for_body = random.random() < 0.9
        line = b"%s /%d HTTP/%s\r\n" % (plan.method, number, plan.version.encode())
        plan.sent = [line + lines + b"\r\n", body]
        self._plan_response(plan)
        return plan

    def _plan_response(self, plan: Plan) -> None:
        random = self._random
        plan.status = random.choices(STATUSES, (5, 1, 1, 1, 1, 1))[0]
        marks = b"".join(b"[%d.%d]" % (plan.number, i) for i in range(200))
        size = random.choice(BODY_SIZES)
        plan.body = (marks * (size // len(marks) + 1))[:size]
        plan.declared = random.random() < 0.6
        fates = FATES if plan.declared and plan.body else (WHOLE, FAILS, TAKEN)
        if self._has_faults and plan.has_body and random.random() < 0.4:
            plan.fate = random.choice(fates)
        fed = plan.body
        if plan.fate in (FAILS, SHORT):
            fed = fed[: random.randrange(len(fed))] if fed else b""
        elif plan.fate == LONG:
            fed += EXCESS
        elif not plan.has_body and random.random() < 0.7:
            fed = b""
        cuts = sorted(random.choices(range(len(fed) + 1), k=random.choice((0, 0, 1, 4))))
        parts = [fed[i:j] for i, j in zip([0, *cuts], [*cuts, len(fed)], strict=True)]
        plan.steps = [part for part in parts if part]
        plan.steps.append("fail" if plan.fate == FAILS else "end")
        position = random.choice((0, random.randint(0, len(plan.steps)), len(plan.steps)))
        plan.steps.insert(position, "respond")
        if plan.fate == TAKEN:
            plan.steps.insert(random.randint(0, position), "take")
        plan.steps = ["interim"] * random.choice((0, 0, 0, 1, 2)) + plan.steps

    def _invalid(self, number: int) -> Plan:
        random = self._random
        plan = Plan(number, invalid=True, waits_for_body=random.random() < 0.8)
        plan.sent = [random.choice(list(INVALID_REQUESTS.values()))]
        self._plan_response(plan)
        if number % 2:
            plan.sent[0] = re.sub(rb"^(GET|PUT) ", b"HEAD ", plan.sent[0])
        if plan.sent[0].startswith(b"HEAD"):
            plan.method = b"HEAD"
        return plan


class ResponsesChecker:
    """Check of the bytes that a client reads, which knows only its requests and their plans."""

    def __init__(self, plans: list[Plan], end: str) -> None:
        self._plans = plans
        self._end = end
        self.whole_count = 0

    def problem(self, data: bytes) -> str:
        """Return what is wrong, or an empty string; counts the whole responses."""
        while data:
            if self.whole_count == len(self._plans):
                return f"bytes without a request: {data[:40]!r}"
            head = HEAD_PATTERN.match(data)
            if head is None:
                begins = data[:9] == b"HTTP/1.1 "[: len(data)] and b"\r\n\r\n" not in data
                return "" if begins else f"bytes that begin no response: {data[:40]!r}"
            fields = [line.split(b": ", 1) for line in head[2].split(b"\r\n")[1:]]
            headers = {name: value for name, value in fields}
            if len(headers) != len(fields):
                return f"a header twice: {head[0]!r}"
            plan, status = self._plans[self.whole_count], int(head[1])
            wrong = self._wrong_head(plan, status, headers)
            if wrong:
                return f"{wrong} for {plan}: {head[0]!r}"
            data = data[head.end() :]
            if status < 200:
                continue
            body, data, is_whole = self._split_body(plan, headers, data)
            if not self._is_own(plan, headers, body, is_whole):
                look = "whole" if is_whole else "cut"
                return f"{len(body)} B that look {look} for {plan}: ...{body[-40:]!r}"
            if not is_whole:
                return ""
            self.whole_count += 1
            if data and headers.get(b"connection") == b"close":
                return f"bytes behind the last response, of {plan}: {data[:40]!r}"
        return ""

    def _wrong_head(self, plan: Plan, status: int, headers: dict[bytes, bytes]) -> str:
        if status == 100:
            return "" if plan.expects_continue else "a continue"
        if status < 200 and plan.version == "1.0":
            return "an interim response"
        if b"foxtail-outcome" in headers:
            return "" if plan.invalid else "a rejection"
        if headers.get(b"x-id") != b"%d" % plan.number or status not in (103, plan.status):
            return "another response"
        framing = {b"content-length", b"transfer-encoding"} & set(headers)
        length_is_valid = headers.get(b"content-length", b"0").isdigit()
        if len(framing) == 2 or (status == 204 and framing) or not length_is_valid:
            return "wrong framing"
        if not framing and plan.has_body and plan.version == "1.1" and status >= 200:
            return "no framing"
        if b"transfer-encoding" in headers and plan.version == "1.0":
            return "chunks"
        return ""

    def _split_body(
        self, plan: Plan, headers: dict[bytes, bytes], data: bytes
    ) -> tuple[bytes, bytes, bool]:
        """Return the body, what follows it, and whether the body is not visibly incomplete."""
        if not plan.has_body and (plan.method == b"HEAD" or b"x-id" in headers):
            return b"", data, True
        if b"content-length" in headers:
            length = int(headers[b"content-length"])
            return data[:length], data[length:], len(data) >= length
        if b"transfer-encoding" not in headers:
            return data, b"", self._end == FIN
        body = b""
        while chunk := CHUNK_PATTERN.match(data):
            end = chunk.end() + int(chunk[1], 16)
            body += data[chunk.end() : end]
            if data[end : end + 2] != b"\r\n":
                break
            data = data[end + 2 :]
            if end == chunk.end():
                return body, data, True
        # Where the next chunk should begin or end, there may be no more than a part of it.
        is_cut = CUT_CHUNK_PATTERN.fullmatch(data) if chunk is None else len(data) < end + 2
        return body if is_cut else body + b" and no chunk", b"", False

    def _is_own(self, plan: Plan, headers: dict[bytes, bytes], body: bytes, whole: bool) -> bool:
        """Return whether a body, or the part of one that was cut, is that of the response."""
        own = plan.body if plan.has_body else b""
        if b"foxtail-outcome" in headers:
            outcome, _, reason = headers[b"foxtail-outcome"].partition(b"; reason=")
            own = b"" if plan.method == b"HEAD" else REJECTION_TEXT % (outcome, reason)
        return body == own if whole else own.startswith(body)


class Responder:
    """Handler of one request, which responds step by step."""

    def __init__(self, exchange: ServerExchange, plan: Plan) -> None:
        self._exchange = exchange
        self._plan = plan
        self._steps = list(plan.steps)
        self._body = BodyStream(len(plan.body) if plan.declared else None, self)
        self._paused = False

    def pause_body(self) -> None:
        """Feed nothing for now."""
        self._paused = True

    def resume_body(self) -> None:
        """Feed again."""
        self._paused = False

    def cancel_body(self) -> None:
        """Feed nothing any more."""
        self._steps = []

    @property
    def waits(self) -> bool:
        """Whether the next step is not possible now."""
        if not self._steps or not self._paused or "respond" in self._steps:
            return not self._steps
        return isinstance(self._steps[0], bytes)

    def step(self) -> None:
        """Do the next step."""
        step = self._steps.pop(0)
        headers = [(b"x-id", b"%d" % self._plan.number)]
        if step == "interim":
            self._exchange.send_interim(103, headers)
        elif step == "respond":
            status = self._plan.status
            self._exchange.respond(ResponseHead(status, reason_phrase(status), headers), self._body)
        elif step == "take":
            self._body.attach(DiscardSink())
        elif step == "end":
            self._body.end()
        elif step == "fail":
            self._body.fail(BodyTruncated())
        else:
            self._body.feed(step)


class History:
    """History of one connection."""

    def __init__(self, seed: int, real_sockets: bool = False) -> None:
        self._random = random = Random(seed)
        self.plans = PlanMaker(random).plans()
        self.client = random.choices(CLIENTS, (6, 2, 1))[0]
        self.is_to_close = random.random() < 0.15
        self._overlap = random.random() < 0.7
        self._bounds = None
        if random.random() < 0.5:
            self._bounds = ClientBounds(MemoryAccount(10**9), ConnectionLimit(100))
        self._unsent = self._cut_requests()
        self._silent_steps = 0
        self._responders: list[Responder] = []
        self._received = bytearray()
        self._reactor = HandReactor()
        self._link: Any = SocketLink(random) if real_sockets else MemoryLink(random)
        self._clock = Clock(self._reactor)
        self._factory = ServerFactory(
            self._handle, LIMITS, self._clock, lambda head: self._overlap, self._bounds
        )
        self._protocol: Any = self._factory.buildProtocol(None)

    def _cut_requests(self) -> list[tuple[bytes, bool]]:
        """Return what the client sends at once, and whether it waits for a continue before it."""
        random = self._random
        sent: list[tuple[bytes, bool]] = []
        for plan in self.plans:
            for part in plan.sent:
                is_body = part is not plan.sent[0]
                if sent and not (is_body and plan.expects_continue) and random.random() < 0.5:
                    part = sent[-1][0] + part
                    sent[-1] = (part, sent[-1][1])
                else:
                    sent.append((part, is_body and plan.expects_continue))
        cut = []
        for part, waits in sent:
            at = random.randint(0, len(part)) if random.random() < 0.4 else len(part)
            cut += [(part[:at], waits), (part[at:], False)]
        return [(part, waits) for part, waits in cut if part]

    async def _handle(self, exchange: ServerExchange) -> None:
        number = exchange.head.target[1:]
        plan = self.plans[int(number)] if number.isdigit() else self._invalid_plan()
        if self._random.random() < 0.5:
            exchange.on_aborted = lambda: None
        if plan.waits_for_body:
            exchange.send_continue()
            try:
                await exchange.body.buffer(LIMITS.body_bytes)
            except HttpError:
                return
        responder = Responder(exchange, plan)
        self._responders.append(responder)
        while self._random.random() < 0.7 and not responder.waits:
            responder.step()

    def _invalid_plan(self) -> Plan:
        return next(plan for plan in self.plans if plan.invalid)

    def play(self) -> str:
        """Play the history; return what is wrong, or an empty string."""
        connection = Server(self._link.server, self._protocol, ("", 0), None, 0, self._reactor)
        self._protocol.makeConnection(connection)
        silent_ms = 0
        for _ in range(MAX_STEPS):
            actions = self._actions()
            if actions:
                silent_ms = 0
                self._random.choice(actions)()
            elif self._link.end or silent_ms > MAX_SILENCE_MS:
                break
            else:
                silent_ms += 100
                self._reactor.advance(0.1)
                self._link.wait()
        self._link.close()
        self._factory.close()
        checker = ResponsesChecker(self.plans, self._link.end)
        problem = checker.problem(bytes(self._received))
        if not problem and not self._link.end:
            problem = "the connection does not end"
        if not problem and checker.whole_count < self._least_count():
            problem = f"only {checker.whole_count} responses"
        return problem

    def _least_count(self) -> int:
        """Return the number of responses that nothing prevents.

        A response that is cut resets the connection, and takes along what is not delivered. So does
        an invalid request whose response has begun.
        """
        if self.client != STAYS or self.is_to_close:
            return 0
        for count, plan in enumerate(self.plans):
            if plan.fate != WHOLE or (plan.invalid and not plan.waits_for_body):
                return 0
            if plan.invalid:
                return count
            if plan.closes:
                return count + 1
            ends_by_close = plan.version == "1.0" and plan.has_body and not plan.declared
            if ends_by_close or not plan.waits_for_body:
                # It may be the last response, or not.
                return count + 1 if all(later.fate == WHOLE for later in self.plans) else 0
        return len(self.plans)

    def _actions(self) -> list[Callable[[], Any]]:
        """Return what may happen next, other than that time passes."""
        random, link, reactor = self._random, self._link, self._reactor
        actions: list[Callable[[], Any]] = []
        if reactor.reading and link.readable():
            actions.append(reactor.read)
        if reactor.writing and link.writable():
            actions.append(reactor.write)
        actions += [responder.step for responder in self._responders if not responder.waits]
        self._silent_steps -= 1
        if link.has_data() and (self._silent_steps <= 0 or not actions):
            actions += [self._read] * 2
        if self._unsent and not link.end:
            actions.append(self._send)
        if self.client == HALF_CLOSES and not self._unsent and not link.end:
            actions += [link.half_close] * (random.random() < 0.2)
        if actions and random.random() < 0.1:
            actions = [lambda: reactor.advance(random.choice((0.0, 0.001, 0.02)))]
        if actions and random.random() < 0.02:
            actions = [self._disturb]
        return actions

    def _read(self) -> None:
        self._received += self._link.read(self._random.choice((1, 30, 500, 5000, 65536)))

    def _send(self) -> None:
        data, waits = self._unsent[0]
        if waits and b" 100 Continue" not in self._received and self._random.random() < 0.9:
            self._reactor.advance(0.001)
            return
        sent = self._link.send(data)
        self._unsent[0] = (data[sent:], False)
        if sent == len(data):
            del self._unsent[0]

    def _disturb(self) -> None:
        """Let the client or the node do what it rarely does."""
        random = self._random
        if random.random() < 0.5:
            self._silent_steps = random.choice((5, 50))
        elif self.is_to_close and random.random() < 0.5:
            factory = self._factory
            random.choice((factory.close_after_responses, factory.close_idle, self._stop))()
        elif self.client == LEAVES and random.random() < 0.3:
            self._unsent = []
            self._link.leave()

    def _stop(self) -> None:
        """Stop the node before the responses are complete."""
        self._factory.close_idle()
        self._factory.close()
        for connection in self._reactor.reading | self._reactor.writing:
            connection.connectionLost(Failure(ConnectionLost()))


def play_histories(first: int, count: int, real_sockets: bool = False) -> list[str]:
    """Play the histories of a range of seeds; return what is wrong."""
    problems = []
    with captured_log() as entries:
        for seed in range(first, first + count):
            history = History(seed, real_sockets)
            problem = history.play()
            if problem:
                problems.append(f"seed {seed}, client {history.client}: {problem}")
            entries.clear()
    return problems


def main(arguments: list[str]) -> int:
    """Play a range of seeds and print what is wrong."""
    first, count, *kind = arguments
    problems = play_histories(int(first), int(count), kind == ["sockets"])
    print("".join(f"{problem}\n" for problem in problems), end="")
    print(f"{count} histories, {len(problems)} wrong")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

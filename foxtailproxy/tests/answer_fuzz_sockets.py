"""Random histories over real sockets, through a target and its pool of connections.

Usage: python -m foxtailproxy.tests.answer_fuzz_sockets FIRST_SEED COUNT
"""

from __future__ import annotations

import sys
from random import Random
from typing import Any

from twisted.internet import reactor, threads
from twisted.internet.defer import ensureDeferred
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater, react

from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.client import ClientResponse
from foxtailproxy.tests.answer_fuzz import (
    AT_ONCE,
    CUT,
    ENDED,
    INSIDE,
    LENGTH,
    OPEN,
    RESET,
    Exchange,
    HistoryMaker,
    Reader,
)
from foxtailproxy.tests.fakes import captured_log, make_call
from foxtailproxy.tests.upstream_fakes import TargetWithUpstream, stop_listening

DEADLINE_MS = 1000
PAUSE_S = 0.002
"""Pause between two writes."""

IDLE_PAUSE_S = 0.02
LATE_S = 0.06
"""Time for which a reader that is late waits, longer than the check of an end takes."""

MAX_READS = 8
READ_BYTES = 65536
"""Maximum size of one read of a real connection."""


class HistoryUpstream(Protocol):
    """Upstream that answers the first request of an exchange by its script, and others plainly."""

    transport: Any = None

    def __init__(self) -> None:
        self._received = b""
        self._late_bytes = b""

    def connectionMade(self) -> None:  # noqa: N802
        """Write at once."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer a request, which has no body."""
        self._received += data
        if not self._received.endswith(b"\r\n\r\n"):
            return
        self._received = b""
        exchange: Exchange = self.factory.behaviour
        self.transport.write(self._late_bytes)
        self._late_bytes = b""
        if self.factory.answered is exchange:
            self.transport.write(self.factory.plain_answer(exchange))
            return
        self.factory.answered = exchange
        reads = exchange.reads
        if len(reads) > MAX_READS:
            reads = [*reads[: MAX_READS - 1], b"".join(reads[MAX_READS - 1 :])]
        self._late_bytes = exchange.late_bytes
        self._play([*reads, exchange.end])
        if exchange.idle_reads:
            self.transport.reactor.callLater(
                len(reads) * PAUSE_S + IDLE_PAUSE_S / 4, self._play, exchange.idle_reads
            )

    def _play(self, steps: list[Any]) -> None:
        if not steps or not self.transport.connected:
            return
        step, *later = steps
        if isinstance(step, bytes):
            self.transport.write(step)
            self.transport.reactor.callLater(PAUSE_S, self._play, later)
        elif step == RESET:
            self.transport.abortConnection()
        elif step != OPEN:
            if step == ENDED:
                stop_listening(self.factory.port)
            self.transport.loseConnection()


class LiveHistory:
    """Player of the history of a seed on real sockets. To be used in the reactor's thread."""

    def __init__(self, seed: int) -> None:
        self._random = Random(-seed - 1)
        self._seed = seed
        self._live = TargetWithUpstream("scripted", True, HistoryUpstream)
        self._live.factory.answered = None
        self._live.factory.plain_answer = self._plain_answer

    def close(self) -> None:
        """Close all sockets. To be called in another thread."""
        self._live.close()

    async def play(self) -> list[str]:
        """Play the exchanges up to the end of the server; return the stories of the wrong ends."""
        problems = []
        for number, exchange in enumerate(HistoryMaker(self._seed).history()):
            if not _is_playable(exchange):
                continue
            if exchange.end == OPEN and exchange.kind in (CUT, INSIDE):
                # The call would wait until its deadline.
                exchange.end = RESET
            problem = await self._play(exchange)
            if problem:
                problems.append(
                    f"seed {self._seed}, exchange {number}: {problem}: {exchange.story}"
                )
            if exchange.end == ENDED:
                break
        return problems

    def _plain_answer(self, exchange: Exchange) -> bytes:
        return exchange.answer.wire(self._random).data

    async def _play(self, exchange: Exchange) -> str:
        live, answer = self._live, exchange.answer
        live.factory.behaviour = exchange
        call = make_call(live.clock, DEADLINE_MS, attempt_id=answer.attempt.decode())
        call.head.method = answer.method
        reader = Reader(exchange.reader, 0)
        outcome = await ensureDeferred(live.target.run(call))
        if outcome.is_error():
            reader.end = str(outcome.error.reason)
            return reader.problem(exchange)
        body: BodyStream = outcome.ok.body
        reader.receive(ClientResponse(outcome.ok.head, body))
        if exchange.reader != AT_ONCE:
            await deferLater(reactor, LATE_S)
        reader.go_on()
        while reader.end == "open":
            await deferLater(reactor, PAUSE_S)
            if call.remaining_ms(live.clock) < 0:
                body.cancel()
        if exchange.idle_reads:
            await deferLater(reactor, IDLE_PAUSE_S)
        return reader.problem(exchange)


def _is_playable(exchange: Exchange) -> bool:
    """Return whether the reads cannot be split where the generator has joined them."""
    size = sum(map(len, exchange.reads))
    return size < READ_BYTES or exchange.kind != INSIDE or exchange.answer.framing != LENGTH


async def _play_all(first: int, count: int) -> None:
    problem_count = 0
    for seed in range(first, first + count):
        with captured_log():
            history = LiveHistory(seed)
            problems = await history.play()
            await threads.deferToThread(history.close)
        problem_count += len(problems)
        print("".join(f"{problem}\n" for problem in problems), end="", flush=True)
    print(f"{count} histories, {problem_count} wrong ends")


def main(arguments: list[str]) -> None:
    """Play a range of seeds and print the wrong ends."""
    first, count = map(int, arguments)
    react(lambda _: ensureDeferred(_play_all(first, count)))


if __name__ == "__main__":
    main(sys.argv[1:])

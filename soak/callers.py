"""Callers on keep-alive connections that record the result of each request."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from soak.connection import AnswerCut, CallerConnection, InvalidBytes
from soak.requests import Request, draw_look_up, draw_request
from standins.platform_fleet import Machine

MEAN_PAUSE_S = 0.08
"""Mean pause before each request of a connection."""

LAST_WAIT_S = 0.2
"""Time after the last answer of a connection in which no byte may arrive, longer than the delay of
a late copy."""

LEAVE_SHARE = 0.04
"""Share of the sends after which the caller leaves without an answer, or in it."""

LONGEST_STAY_S = 0.5

CUT_REQUEST_BYTES = 10
"""Bytes at the end of a request's body that a caller who leaves does not send."""


@dataclass(frozen=True, slots=True)
class CallerKind:
    """Habits of a caller: look-ups sent ahead of the answers, and the speed of reading."""

    ahead: int = 0
    read_bytes: int = 65536
    read_pause_s: float = 0.0


CALLER_KINDS = (
    CallerKind(),
    CallerKind(ahead=2),
    CallerKind(ahead=1, read_bytes=8192, read_pause_s=0.003),
)
"""Callers of each node, with a connection each."""


@dataclass(slots=True)
class CallerResult:
    """One request and its result at the caller; status 0 means that no whole answer came.

    `reused` is whether the connection had served an earlier request, `has_receipt` whether the
    answer is marked as a target's. `problem` says what is wrong with the bytes that came.
    `is_cut` is whether the connection ended within the answer, `left` whether the caller ended it.
    `is_behind_end` is whether it ended with an answer to an earlier request.
    """

    request: Request
    node: str
    sent_s: float
    reused: bool
    status: int = 0
    end_s: float = 0.0
    connected: bool = True
    has_receipt: bool = False
    problem: str = ""
    is_cut: bool = False
    left: bool = False
    is_behind_end: bool = False

    @property
    def attempt_id(self) -> str:
        """Id of the attempt."""
        return self.request.attempt_id


@dataclass
class Callers:
    """Callers of a run, one thread for each connection."""

    places: list[Machine]
    seed: int
    now_s: Callable[[], float] = time.time
    results: list[CallerResult] = field(default_factory=list)
    stray_bytes: list[str] = field(default_factory=list)
    _stopped: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def start(self) -> None:
        """Start sending requests to all nodes."""
        for place in self.places:
            for number, kind in enumerate(CALLER_KINDS):
                rng = random.Random(f"{self.seed} {place.name} {number}")
                caller = Caller(self, place, kind, rng)
                thread = threading.Thread(target=caller.run, args=(self._stopped,))
                thread.start()
                self._threads.append(thread)

    def close(self) -> None:
        """Stop sending and wait for the outstanding answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()


class Caller:
    """One caller of a node, with one connection at a time."""

    def __init__(
        self, callers: Callers, place: Machine, kind: CallerKind, rng: random.Random
    ) -> None:
        self._callers = callers
        self._place = place
        self._kind = kind
        self._rng = rng
        self._connection: CallerConnection | None = None
        self._reused = False
        self._latest = ""

    def run(self, stopped: threading.Event) -> None:
        """Send requests until the callers stop."""
        while not stopped.is_set():
            self._wait(self._rng.uniform(0, 2 * MEAN_PAUSE_S))
            if not self._send_requests():
                self._close()
        self._wait(LAST_WAIT_S)
        self._close()

    def _wait(self, wait_s: float) -> None:
        """Wait without a request; record bytes that arrive meanwhile."""
        if self._connection is None:
            time.sleep(wait_s)
            return
        started_s = time.monotonic()
        try:
            if self._connection.stays_open(wait_s):
                return
        except InvalidBytes as error:
            self._callers.stray_bytes.append(
                f"at {self._place.name}, after {self._latest}, {error}"
            )
        self._close()
        time.sleep(max(0.0, started_s + wait_s - time.monotonic()))

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None
        self._reused = False

    def _send_requests(self) -> bool:
        """Send one request or some look-ups at once; return whether the connection stays open."""
        ahead = self._rng.randint(0, self._kind.ahead)
        requests = (
            [draw_look_up(self._rng) for _ in range(ahead + 1)]
            if ahead
            else [draw_request(self._rng)]
        )
        data = b"".join(request.encode() for request in requests)
        leaves = self._rng.random() < LEAVE_SHARE
        if leaves and requests[0].body and self._rng.random() < 0.5:
            data = data[:-CUT_REQUEST_BYTES]
        now_s = self._callers.now_s
        results = [
            CallerResult(request, self._place.name, now_s(), self._reused, left=leaves)
            for request in requests
        ]
        self._callers.results += results
        if not self._connect():
            for result in results:
                result.connected, result.end_s = False, now_s()
            return False
        stays_open = self._exchange(data, results, leaves)
        for result in results:
            result.end_s = result.end_s or now_s()
        self._latest = results[-1].attempt_id
        self._reused = True
        return stays_open

    def _connect(self) -> bool:
        if self._connection is None:
            kind = self._kind
            try:
                self._connection = CallerConnection(
                    self._place.caller_port, kind.read_bytes, kind.read_pause_s
                )
            except OSError:
                return False
        return True

    def _exchange(self, data: bytes, results: list[CallerResult], leaves: bool) -> bool:
        """Send requests and read their answers; return whether the connection stays open."""
        assert self._connection is not None
        try:
            self._connection.send(data)
        except OSError:
            return False
        if leaves:
            time.sleep(self._rng.uniform(0, LONGEST_STAY_S))
            return False
        stays_open = True
        for result in results:
            result.is_behind_end = not stays_open
            if stays_open:
                stays_open = self._read_answer(self._connection, result)
        return stays_open

    def _read_answer(self, connection: CallerConnection, result: CallerResult) -> bool:
        """Read the answer to a request; return whether another one may follow it."""
        try:
            answer = connection.read_answer()
        except InvalidBytes as error:
            result.problem = str(error)
        except TimeoutError:
            result.is_cut = connection.answer_begun
            if result.is_cut:
                result.problem = "an answer goes no further on an open connection"
        except (OSError, AnswerCut):
            result.is_cut = connection.answer_begun
        else:
            result.status = answer.status
            result.has_receipt = f"receipt.{result.attempt_id}" in answer.header_by_name.values()
            result.problem = result.request.problem_of(answer)
        result.end_s = self._callers.now_s()
        return not result.problem and result.status != 0 and not answer.closes

"""Runs whose outcome may be asked for more than once, by connections that come and go."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from automat import TypeMachineBuilder
from expression import Error, Ok

from foxtailproxy.http.body import BodyStream, DiscardSink
from foxtailproxy.http.errors import HttpError
from foxtailproxy.http.messages import ResponseHead
from foxtailproxy.outcome import Answer, NotRun, NotRunReason, Outcome, Unknown, UnknownReason

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock

Waiter = Callable[[Outcome], None]

TOMBSTONE_MS = 60_000
"""Time that a run is remembered after its deadline."""

SEALED_RUNS = 100_000
"""Sealed identifiers remembered at most."""


class RunInputs(Protocol):
    """What can happen to a run."""

    def wait(self, waiter: Waiter) -> None:
        """Somebody asks for the outcome."""

    def answer(self, head: ResponseHead, payload: bytes) -> None:
        """The run ended with a small answer."""

    def stream(self, answer: Answer) -> None:
        """The run gives an answer that is too large to keep."""

    def fail(self, failure: NotRun | Unknown) -> None:
        """The run ended without an answer."""

    def forget(self) -> None:
        """Give up the memory of the answer."""


class RunCore:
    """What a run holds."""

    def __init__(self) -> None:
        self.waiters: list[Waiter] = []
        self.head: ResponseHead | None = None
        self.payload = b""
        self.failure: NotRun | Unknown | None = None
        self.on_end: Callable[[], None] | None = None

    def end(self, outcome: Callable[[], Outcome]) -> None:
        """The outcome is known: give it to all that wait."""
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter(outcome())
        if self.on_end is not None:
            self.on_end()

    def kept_answer(self) -> Outcome:
        """A fresh copy of the kept answer."""
        assert self.head is not None
        return Ok(Answer(self.head, BodyStream.from_bytes(self.payload)))

    def kept_failure(self) -> Outcome:
        """The failure that the run ended with."""
        assert self.failure is not None
        return Error(self.failure)


_builder = TypeMachineBuilder(RunInputs, RunCore)
_open = _builder.state("open")
_answered = _builder.state("answered")
_failed = _builder.state("failed")


@_open.upon(RunInputs.wait).loop()
def _wait_open(inputs: RunInputs, core: RunCore, waiter: Waiter) -> None:
    core.waiters.append(waiter)


@_open.upon(RunInputs.answer).to(_answered)
def _keep_answer(inputs: RunInputs, core: RunCore, head: ResponseHead, payload: bytes) -> None:
    core.head = head
    core.payload = payload
    core.end(core.kept_answer)


@_open.upon(RunInputs.stream).to(_failed)
def _pass_stream(inputs: RunInputs, core: RunCore, answer: Answer) -> None:
    core.failure = Unknown(UnknownReason.ANSWER_NOT_KEPT)
    if core.waiters:
        core.waiters.pop(0)(Ok(answer))
    else:
        answer.body.attach(DiscardSink())
    core.end(core.kept_failure)


@_open.upon(RunInputs.fail).to(_failed)
def _keep_failure(inputs: RunInputs, core: RunCore, failure: NotRun | Unknown) -> None:
    core.failure = failure
    core.end(core.kept_failure)


@_answered.upon(RunInputs.wait).loop()
def _replay_answer(inputs: RunInputs, core: RunCore, waiter: Waiter) -> None:
    waiter(core.kept_answer())


@_failed.upon(RunInputs.wait).loop()
def _replay_failure(inputs: RunInputs, core: RunCore, waiter: Waiter) -> None:
    waiter(core.kept_failure())


@_answered.upon(RunInputs.forget).to(_failed)
def _forget_answer(inputs: RunInputs, core: RunCore) -> None:
    core.head = None
    core.payload = b""
    core.failure = Unknown(UnknownReason.ANSWER_NOT_KEPT)


_failed.upon(RunInputs.forget).loop().returns(None)
_open.upon(RunInputs.forget).loop().returns(None)

_build_run = _builder.build()


class SharedRun:
    """One run and all that ask for its outcome."""

    def __init__(self, run_id: str, deadline_ms: float) -> None:
        self.run_id = run_id
        self.deadline_ms = deadline_ms
        self.core = RunCore()
        self._machine = _build_run(self.core)

    @property
    def ended(self) -> bool:
        """Whether the outcome is known."""
        return self.core.head is not None or self.core.failure is not None

    def wait(self, waiter: Waiter) -> None:
        """Call `waiter` with the outcome, now or once it is known."""
        self._machine.wait(waiter)

    def fail(self, failure: NotRun | Unknown) -> None:
        """End the run without an answer."""
        self._machine.fail(failure)

    def forget(self) -> None:
        """Give up the memory of the answer."""
        self._machine.forget()

    async def settle(self, outcome: Outcome, limit: int) -> None:
        """End the run; an answer of up to `limit` bytes is kept."""
        if outcome.is_error():
            self._machine.fail(outcome.error)
            return
        answer = outcome.ok
        try:
            whole = await answer.body.buffer(limit)
        except HttpError:
            self._machine.fail(Unknown(UnknownReason.ANSWER_CUT))
            return
        if whole:
            self._machine.answer(answer.head, answer.body.buffered())
        else:
            self._machine.stream(answer)


@dataclass(frozen=True, slots=True)
class Tombstone:
    """A run that has ended and is to be forgotten at a moment of the node's clock."""

    until_ms: float
    run_id: str


class RunTable:
    """Runs by their identifier, with a bound on the answers kept.

    `kept_bytes` bounds the memory for answers, `kept_ms` the time they are kept.
    """

    def __init__(self, clock: Clock, kept_bytes: int, kept_ms: float) -> None:
        self.by_id: dict[str, SharedRun] = {}
        self._clock = clock
        self._kept_bytes = kept_bytes
        self._kept_ms = kept_ms
        self._kept_size = 0
        self._ended_ms_by_kept: dict[str, float] = {}
        self._tombstones: deque[Tombstone] = deque()
        self._sealed: dict[str, None] = {}

    def open(self, run_id: str, deadline_ms: float) -> SharedRun:
        """A new run."""
        run = SharedRun(run_id, deadline_ms)
        run.core.on_end = lambda: self._remember(run)
        self.by_id[run_id] = run
        if run_id in self._sealed:
            run.fail(NotRun(NotRunReason.SEALED))
        return run

    def find(self, run_id: str) -> SharedRun | None:
        """The run, or `None` where it was never opened or is forgotten."""
        return self.by_id.get(run_id)

    def seal(self, run_id: str) -> None:
        """Make sure that a run that has not been opened never will be."""
        self._sealed[run_id] = None
        if len(self._sealed) > SEALED_RUNS:
            del self._sealed[next(iter(self._sealed))]

    def sweep(self) -> bool:
        """Forget answers past their time, and old runs; returns whether any are left."""
        now = self._clock.now_ms()
        while self._ended_ms_by_kept:
            if now - next(iter(self._ended_ms_by_kept.values())) < self._kept_ms:
                break
            self._forget_oldest()
        while self._tombstones and self._tombstones[0].until_ms < now:
            self.by_id.pop(self._tombstones.popleft().run_id, None)
        return bool(self.by_id)

    def _remember(self, run: SharedRun) -> None:
        now = self._clock.now_ms()
        # A run is remembered at least for as long as its answer is kept.
        until_ms = max(run.deadline_ms + TOMBSTONE_MS, now + max(TOMBSTONE_MS, self._kept_ms))
        self._tombstones.append(Tombstone(until_ms, run.run_id))
        if not run.core.payload:
            return
        self._kept_size += len(run.core.payload)
        self._ended_ms_by_kept[run.run_id] = now
        while self._kept_size > self._kept_bytes:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        run_id = next(iter(self._ended_ms_by_kept))
        del self._ended_ms_by_kept[run_id]
        run = self.by_id[run_id]
        self._kept_size -= len(run.core.payload)
        run.forget()

"""Runs of calls, whose outcome can be queried repeatedly and over several connections."""

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

OutcomeCallback = Callable[[Outcome], None]

TOMBSTONE_RETENTION_MS = 60_000
"""Time for which an ended run is kept after its deadline, in milliseconds."""

MAX_SEALED_RUNS = 100_000
"""Maximum number of sealed identifiers that are kept."""


class RunInputs(Protocol):
    """Inputs of the state machine of a run."""

    def add_callback(self, callback: OutcomeCallback) -> None:
        """Register a callback for the outcome."""

    def answer(self, head: ResponseHead, payload: bytes) -> None:
        """End the run with an answer that is small enough to be kept."""

    def stream(self, answer: Answer) -> None:
        """End the run with an answer that is too large to be kept."""

    def fail(self, failure: NotRun | Unknown) -> None:
        """End the run without an answer."""

    def evict_answer(self) -> None:
        """Discard the kept answer."""


class RunCore:
    """Data of the state machine of a run."""

    def __init__(self) -> None:
        self.callbacks: list[OutcomeCallback] = []
        self.head: ResponseHead | None = None
        self.payload = b""
        self.failure: NotRun | Unknown | None = None
        self.on_end: Callable[[], None] | None = None

    def deliver(self, make_outcome: Callable[[], Outcome]) -> None:
        """Call all registered callbacks with the outcome."""
        callbacks, self.callbacks = self.callbacks, []
        for callback in callbacks:
            callback(make_outcome())
        if self.on_end is not None:
            self.on_end()

    def kept_answer(self) -> Outcome:
        """Return a fresh copy of the kept answer."""
        assert self.head is not None
        return Ok(Answer(self.head, BodyStream.from_bytes(self.payload)))

    def kept_failure(self) -> Outcome:
        """Return the failure that the run ended with."""
        assert self.failure is not None
        return Error(self.failure)


_builder = TypeMachineBuilder(RunInputs, RunCore)
_open = _builder.state("open")
_answered = _builder.state("answered")
_failed = _builder.state("failed")


@_open.upon(RunInputs.add_callback).loop()
def _queue_callback(inputs: RunInputs, core: RunCore, callback: OutcomeCallback) -> None:
    core.callbacks.append(callback)


@_open.upon(RunInputs.answer).to(_answered)
def _keep_answer(inputs: RunInputs, core: RunCore, head: ResponseHead, payload: bytes) -> None:
    core.head = head
    core.payload = payload
    core.deliver(core.kept_answer)


@_open.upon(RunInputs.stream).to(_failed)
def _stream_answer(inputs: RunInputs, core: RunCore, answer: Answer) -> None:
    core.failure = Unknown(UnknownReason.ANSWER_NOT_KEPT)
    if core.callbacks:
        # Whoever asked last has given up on the connections that asked before.
        core.callbacks.pop()(Ok(answer))
    else:
        answer.body.attach(DiscardSink())
    core.deliver(core.kept_failure)


@_open.upon(RunInputs.fail).to(_failed)
def _keep_failure(inputs: RunInputs, core: RunCore, failure: NotRun | Unknown) -> None:
    core.failure = failure
    core.deliver(core.kept_failure)


@_answered.upon(RunInputs.add_callback).loop()
def _replay_answer(inputs: RunInputs, core: RunCore, callback: OutcomeCallback) -> None:
    callback(core.kept_answer())


@_failed.upon(RunInputs.add_callback).loop()
def _replay_failure(inputs: RunInputs, core: RunCore, callback: OutcomeCallback) -> None:
    callback(core.kept_failure())


@_answered.upon(RunInputs.evict_answer).to(_failed)
def _evict_answer(inputs: RunInputs, core: RunCore) -> None:
    core.head = None
    core.payload = b""
    core.failure = Unknown(UnknownReason.ANSWER_NOT_KEPT)


_failed.upon(RunInputs.evict_answer).loop().returns(None)
_open.upon(RunInputs.evict_answer).loop().returns(None)

_build_run = _builder.build()


class SharedRun:
    """One run of a call, with the callbacks for its outcome."""

    def __init__(self, run_id: str, deadline_ms: float) -> None:
        self.run_id = run_id
        self.deadline_ms = deadline_ms
        self.core = RunCore()
        self._machine = _build_run(self.core)

    @property
    def ended(self) -> bool:
        """Whether the outcome is known."""
        return self.core.head is not None or self.core.failure is not None

    def add_callback(self, callback: OutcomeCallback) -> None:
        """Call `callback` with the outcome, now or once it is known."""
        self._machine.add_callback(callback)

    def fail(self, failure: NotRun | Unknown) -> None:
        """End the run without an answer."""
        self._machine.fail(failure)

    def evict_answer(self) -> None:
        """Discard the kept answer."""
        self._machine.evict_answer()

    async def complete(self, outcome: Outcome, max_answer_bytes: int) -> None:
        """End the run; keep an answer of up to `max_answer_bytes`."""
        if outcome.is_error():
            self._machine.fail(outcome.error)
            return
        answer = outcome.ok
        try:
            fits = await answer.body.buffer(max_answer_bytes)
        except HttpError:
            self._machine.fail(Unknown(UnknownReason.ANSWER_CUT))
            return
        if fits:
            self._machine.answer(answer.head, answer.body.buffered())
        else:
            self._machine.stream(answer)


@dataclass(frozen=True, slots=True)
class Tombstone:
    """An ended run and the time on the node's clock after which it is removed."""

    expires_ms: float
    run_id: str


class RunTable:
    """Runs by their identifier, with limits on the answers kept.

    `max_kept_bytes` limits the memory for answers, `retention_ms` the time for which they are kept.
    """

    def __init__(self, clock: Clock, max_kept_bytes: int, retention_ms: float) -> None:
        self.by_id: dict[str, SharedRun] = {}
        self._clock = clock
        self._max_kept_bytes = max_kept_bytes
        self._retention_ms = retention_ms
        self._total_kept_bytes = 0
        self._ended_ms_by_run_id: dict[str, float] = {}
        self._tombstones: deque[Tombstone] = deque()
        self._sealed_ids: dict[str, None] = {}

    def open(self, run_id: str, deadline_ms: float) -> SharedRun:
        """Add a run; it fails at once if its identifier is sealed."""
        run = SharedRun(run_id, deadline_ms)
        run.core.on_end = lambda: self._track_ended(run)
        self.by_id[run_id] = run
        if run_id in self._sealed_ids:
            run.fail(NotRun(NotRunReason.SEALED))
        return run

    def find(self, run_id: str) -> SharedRun | None:
        """Return the run, or `None` if it was never opened or has been removed."""
        return self.by_id.get(run_id)

    def seal(self, run_id: str) -> None:
        """Ensure that a run that has not been opened never starts."""
        self._sealed_ids[run_id] = None
        if len(self._sealed_ids) > MAX_SEALED_RUNS:
            del self._sealed_ids[next(iter(self._sealed_ids))]

    def sweep(self) -> bool:
        """Discard expired answers and remove expired runs; return whether any runs are left."""
        now = self._clock.now_ms()
        while self._ended_ms_by_run_id:
            if now - next(iter(self._ended_ms_by_run_id.values())) < self._retention_ms:
                break
            self._evict_oldest_answer()
        while self._tombstones and self._tombstones[0].expires_ms < now:
            self.by_id.pop(self._tombstones.popleft().run_id, None)
        return bool(self.by_id)

    def _track_ended(self, run: SharedRun) -> None:
        now = self._clock.now_ms()
        # A run is kept at least as long as its answer.
        expires_ms = max(
            run.deadline_ms + TOMBSTONE_RETENTION_MS,
            now + max(TOMBSTONE_RETENTION_MS, self._retention_ms),
        )
        self._tombstones.append(Tombstone(expires_ms, run.run_id))
        if not run.core.payload:
            return
        self._total_kept_bytes += len(run.core.payload)
        self._ended_ms_by_run_id[run.run_id] = now
        while self._total_kept_bytes > self._max_kept_bytes:
            self._evict_oldest_answer()

    def _evict_oldest_answer(self) -> None:
        run_id = next(iter(self._ended_ms_by_run_id))
        del self._ended_ms_by_run_id[run_id]
        run = self.by_id[run_id]
        self._total_kept_bytes -= len(run.core.payload)
        run.evict_answer()

"""Steps for random histories of the connections to an upstream."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import then, when
from twisted.internet import reactor, threads
from twisted.internet.defer import ensureDeferred

from foxtailproxy.tests.answer_fuzz import (
    AT_ONCE,
    BETWEEN,
    BUFFERED,
    ENDED,
    FRAMINGS,
    KINDS,
    LATE,
    OPEN,
    RESET,
    RUNS,
    Exchange,
    HistoryMaker,
    play_histories,
)
from foxtailproxy.tests.answer_fuzz_sockets import LiveHistory


@when("the histories of {count:d} seeds from {first:d} are played")
def step_play(context: Any, count: int, first: int) -> None:
    context.problems = play_histories(first, count)


@when("the histories of {count:d} seeds from {first:d} are played through a target")
def step_play_through_target(context: Any, count: int, first: int) -> None:
    context.problems = []
    for seed in range(first, first + count):
        history = threads.blockingCallFromThread(reactor, LiveHistory, seed)
        context.problems += threads.blockingCallFromThread(
            reactor, lambda history=history: ensureDeferred(history.play())
        )
        history.close()


@then("each complete answer is the one that the upstream gave, and none is refused without a cause")
def step_no_problem(context: Any) -> None:
    assert not context.problems, "\n".join(context.problems[:5])


@when("the histories of {count:d} seeds from {first:d} are made")
def step_make(context: Any, count: int, first: int) -> None:
    context.exchanges = [
        exchange
        for seed in range(first, first + count)
        for exchange in HistoryMaker(seed).history()
    ]


def _assert_counts(exchanges: list[Exchange], least: int, kinds: tuple[Any, ...], key: Any) -> None:
    count_by_kind = Counter(map(key, exchanges))
    assert all(count_by_kind[kind] >= least for kind in kinds), count_by_kind


@then(
    "at least {least:d} answers have each method, framing and kind of reader, and each end of "
    "the connection"
)
def step_kinds_of_answers(context: Any, least: int) -> None:
    exchanges = context.exchanges
    _assert_counts(exchanges, least, (b"GET", b"HEAD", b"POST"), lambda e: e.answer.method)
    _assert_counts(exchanges, least, FRAMINGS, lambda e: e.answer.framing)
    _assert_counts(exchanges, least, (AT_ONCE, BUFFERED, LATE, BETWEEN), lambda e: e.reader)
    _assert_counts(exchanges, least, (OPEN, RUNS, ENDED, RESET), lambda e: e.end)
    _assert_counts(exchanges, least, (200, 204, 304, 404, 503), lambda e: e.answer.status)


@then(
    "at least {least:d} histories have a copy before, inside and behind an answer and while idle, "
    "and a cut"
)
def step_kinds_of_copies(context: Any, least: int) -> None:
    _assert_counts(context.exchanges, least, KINDS, lambda e: e.kind)
    assert sum(exchange.must_complete for exchange in context.exchanges) >= least

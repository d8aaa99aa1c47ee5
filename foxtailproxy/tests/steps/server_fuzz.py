"""Steps for random histories of a connection of a client."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import then, when

from foxtailproxy.tests.server_fuzz import CLIENTS, FATES, STATUSES, History, play_histories


@when("a client plays the histories of {count:d} seeds from {first:d} {where}")
def step_play(context: Any, count: int, first: int, where: str) -> None:
    context.problems = play_histories(first, count, real_sockets=where == "over real sockets")


@then(
    "each response that looks whole to it is the one to its request, and none is lost without a "
    "cause"
)
def step_no_problem(context: Any) -> None:
    assert not context.problems, "\n".join(context.problems[:5])


@when("the client histories of {count:d} seeds from {first:d} are made")
def step_make(context: Any, count: int, first: int) -> None:
    context.histories = [History(seed) for seed in range(first, first + count)]
    context.plans = [plan for history in context.histories for plan in history.plans]


@then(
    "at least {least:d} requests have each method, version, status and fate of the body, and "
    "{invalid:d} are invalid"
)
def step_kinds_of_requests(context: Any, least: int, invalid: int) -> None:
    counts = Counter(
        kind for plan in context.plans for kind in (plan.method, plan.version, plan.status)
    )
    counts.update(plan.fate for plan in context.plans)
    kinds = (b"GET", b"HEAD", b"POST", "1.0", "1.1", *STATUSES, *FATES)
    assert all(counts[kind] >= least for kind in kinds), counts
    assert sum(plan.invalid for plan in context.plans) >= invalid


@then("at least {least:d} clients stay, half-close and leave, and {closing:d} nodes are to close")
def step_kinds_of_clients(context: Any, least: int, closing: int) -> None:
    counts = Counter(history.client for history in context.histories)
    assert all(counts[client] >= least for client in CLIENTS), counts
    assert sum(history.is_to_close for history in context.histories) >= closing

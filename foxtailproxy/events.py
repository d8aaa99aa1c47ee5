"""Log events of requests, with one function for each kind of decision.

Each line has the attempt id of the request, the inputs of the decision with their age, and the
outcome. The caller's node logs `call` and `send_failed`, the target's node `run`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from foxtailproxy.outcome import NotRun, Outcome

if TYPE_CHECKING:
    from foxtailproxy.call import Call
    from foxtailproxy.http.client import ExchangeTrace
    from foxtailproxy.http.exchange import ServerExchange
    from foxtailproxy.routing import Choice

log = structlog.get_logger()

LOCAL_TARGET = "own"


def outcome_label(outcome: Outcome) -> str:
    """Return the kind of an outcome as text, for logs and counters."""
    if outcome.is_ok():
        return "answered"
    return "not-run" if isinstance(outcome.error, NotRun) else "unknown"


def reason_label(outcome: Outcome) -> str:
    """Return the status code of an answer, or the reason why there is no answer."""
    return str(outcome.ok.head.status) if outcome.is_ok() else str(outcome.error.reason)


def call_ended(
    exchange: ServerExchange,
    call: Call,
    outcome: Outcome,
    elapsed_ms: float,
    choice: Choice | None,
    generation: int,
    customer: str = "",
) -> None:
    """Log the final outcome of a call; `choice` is the last choice of a target, if any.

    `customer` is the name of the customer that the caller identified itself as, if any.
    """
    log.info(
        "call",
        attempt=call.attempt_id,
        rule=call.class_key,
        config=generation,
        outcome=outcome_label(outcome),
        reason=reason_label(outcome),
        ms=round(elapsed_ms, 1),
        left_ms=round(call.deadline_ms - call.received_ms - elapsed_ms),
        sends=call.send_number + 1 if choice is not None else 0,
        answer_bytes=outcome.ok.body.size if outcome.is_ok() else -1,
        answer_ended=outcome.is_ok() and outcome.ok.body.ended,
        client_port=exchange.client_port,
        request_number=exchange.number,
        **({"customer": customer} if customer else {}),
        **_choice_fields(choice),
    )


def call_refused(attempt_id: str, reason: str, host: str, path: str, generation: int) -> None:
    """Log a request that was rejected before it became a call."""
    log.info(
        "call_refused",
        attempt=attempt_id,
        reason=str(reason),
        host=host,
        path=path[:100],
        config=generation,
    )


def send_failed(call: Call, choice: Choice, outcome: Outcome, remaining_ms: float) -> None:
    """Log a failed send, or one that a server error answered, which decide the call's next step."""
    log.info(
        "send_failed",
        attempt=call.attempt_id,
        number=call.send_number,
        outcome=outcome_label(outcome),
        reason=reason_label(outcome),
        **({"answer_bytes": outcome.ok.body.size} if outcome.is_ok() else {}),
        left_ms=round(remaining_ms),
        **_choice_fields(choice),
    )


def call_hedged(call: Call, choice: Choice, remaining_ms: float) -> None:
    """Log that a call takes too long at one target and is hedged with a send to a second one."""
    log.info(
        "call_hedged",
        attempt=call.attempt_id,
        left_ms=round(remaining_ms),
        **_choice_fields(choice),
    )


def run_ended(
    call: Call, outcome: Outcome, queue_time_ms: float, run_time_ms: float, slowness: float
) -> None:
    """Log that the local target ran a call, or rejected it after `queue_time_ms`."""
    log.info(
        "run",
        attempt=call.attempt_id,
        number=call.send_number,
        rule=call.class_key,
        outcome=outcome_label(outcome),
        reason=reason_label(outcome),
        waited_ms=round(queue_time_ms, 1),
        ran_ms=round(run_time_ms, 1),
        slowness=round(slowness, 2),
        limit_ms=round(call.decline_policy.limit_ms, 1),
        hold_ms=round(call.decline_policy.hold_ms),
    )


def answer_received(call: Call, trace: ExchangeTrace, size: int) -> None:
    """Log how an answer of `size` bytes ended that was cut, late, or without a length."""
    log.info(
        "answer_received",
        attempt=call.attempt_id,
        number=call.send_number,
        framing=trace.framing,
        bytes=size,
        ended_by=trace.ended_by,
        earlier_exchanges=trace.earlier_exchanges,
        skipped_responses=trace.skipped_responses,
        stray_heads=trace.stray_heads,
    )


def response_cut(attempt_id: str, size: int, error: str) -> None:
    """Log that a response to a caller ended early, after `size` bytes of its body."""
    log.warning("response_cut", attempt=attempt_id, bytes=size, error=error)


def _choice_fields(choice: Choice | None) -> dict[str, object]:
    """Return the log fields of a choice: the target, and the estimate and limits behind it."""
    if choice is None:
        return {"target": "none"}
    estimate = choice.estimate
    return {
        "target": estimate.node_id or LOCAL_TARGET,
        "expected_ms": round(estimate.expected_ms),
        "report_age_ms": round(estimate.report_age_ms),
        "load_age_ms": round(estimate.load_age_ms),
        "limit_ms": round(choice.decline_policy.limit_ms, 1),
        "hold_ms": round(choice.decline_policy.hold_ms),
    }

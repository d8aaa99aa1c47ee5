"""Text format of the report on where a request would go."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foxtailproxy.choice.preview_report import (
        CandidateState,
        CrossingState,
        CustomerState,
        DecisionState,
        MatchState,
        WhereReport,
    )


def format_where(report: WhereReport) -> str:
    """Return the report as text; times are in milliseconds."""
    lines = [
        _decision_line(report.decision),
        f"node {report.node_id} ({report.node_state}), configuration generation "
        f"{report.config.generation}, adopted {report.config.age_ms / 1000:.0f} s ago",
        _match_line(report.match),
    ]
    if report.match.weights:
        lines.append(_weights_line(report.match))
    if report.customer is not None:
        lines.append(_customer_line(report.customer))
    lines += [_crossing_line(crossing) for crossing in report.decision.crossings]
    if report.decision.link_budget_exhausted:
        lines.append("the byte budget of the links to other regions is used up")
    if report.decision.queried:
        lines.append(f"asked for their load first: {' '.join(report.decision.queried)}")
    lines.append(f"targets ({len(report.candidates)}):")
    lines += [_candidate_line(candidate) for candidate in report.candidates]
    return "\n".join(lines)


def _decision_line(decision: DecisionState) -> str:
    if decision.kind == "rejected":
        return f"rejected: {decision.status} {decision.reason} (decided by {decision.basis})"
    limit = decision.decline_limit_ms
    return (
        f"{decision.kind}: {decision.node_id}, expected in {decision.expected_ms:.1f} ms, "
        f"link cost {decision.link_cost:.4f} requests (decided by {decision.basis}"
        + ("" if limit is None else f", handed back above {limit:.0f} ms")
        + (", a trial call)" if decision.trial else ")")
    )


def _match_line(match: MatchState) -> str:
    route = f"route {match.route}, " if match.route else ""
    return (
        f"{route}service {match.service}, class {match.rule}: priority {match.priority}, "
        f"regions {','.join(match.regions) or 'all'}, objective {match.objective_ms:.0f} ms, "
        f"{'idempotent' if match.idempotent else 'at most once'}"
        + (", needs a key" if match.needs_key else "")
    )


def _weights_line(match: MatchState) -> str:
    parts = [
        f"{name} weight {weight} credit {match.credits.get(name, 'unknown')}"
        for name, weight in match.weights.items()
    ]
    return "services of the route: " + ", ".join(parts)


def _customer_line(customer: CustomerState) -> str:
    priority = "that of the rule" if customer.priority < 0 else str(customer.priority)
    limit = f"{customer.rate_per_s:g}/s burst {customer.burst:g}" if customer.rate_per_s else "none"
    owner = f", owner {customer.owner}" if customer.owner else ""
    age = f", answer {customer.level_age_ms:.0f} ms old" if customer.level_age_ms >= 0 else ""
    return (
        f"customer {customer.name}: priority {priority}, "
        f"regions {','.join(customer.regions) or 'all'}, allowance {limit}: "
        f"{customer.allowance}{owner}{age}" + ("" if customer.has_key else ", has no key")
    )


def _crossing_line(crossing: CrossingState) -> str:
    near = "none" if crossing.near_ms is None else f"{crossing.near_ms:.0f} ms"
    far = "none" if crossing.far_ms is None else f"{crossing.far_ms:.0f} ms"
    return (
        f"leaving for {crossing.scope}: near {near} chance {crossing.near_chance:.3f}, "
        f"far {far} chance {crossing.far_chance:.3f}, gain {crossing.gain:.3f}, "
        f"link cost {crossing.link_cost:.4f}, share {crossing.share:.2f}: "
        f"{'pays' if crossing.pays else 'does not pay'}, "
        f"{'leaves' if crossing.leaves else 'stays'}"
    )


def _candidate_line(candidate: CandidateState) -> str:
    age = "none" if candidate.load_age_ms < 0 else f"{candidate.load_age_ms:.0f} ms old"
    marks = [name for name in ("local", "compared", "cold") if getattr(candidate, name)]
    if candidate.trial_due:
        marks.append("trial due")
    text = (
        f"  {candidate.node_id:<24} {candidate.region}/{candidate.data_center} {candidate.state} "
        f"running={candidate.running} queued={candidate.queued} slots={candidate.slots} "
        f"report {age}, wait {candidate.wait_ms:.1f} expected {candidate.expected_ms:.1f} "
        f"round trip {candidate.round_trip_ms:.0f} ms, occupancy {candidate.occupancy:.2f}, "
        f"failures {candidate.failure_rate:.3f}"
    )
    text += "".join(f", {mark}" for mark in marks)
    return text + (f"; out: {', '.join(candidate.out)}" if candidate.out else "")

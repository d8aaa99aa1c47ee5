"""Text formats of the reports of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foxtailproxy.admin import StatusReport, SuspectReport
    from foxtailproxy.metrics import HistogramSummary

BAR_WIDTH = 50


def format_status(status: StatusReport) -> str:
    """Return a node's status as text."""
    local = status.me
    lines = [
        f"node {local.node_id} ({local.region}/{local.data_center}) {status.state}, "
        f"version {status.version}",
        f"configuration generation {status.config_generation or 'none'}",
        f"upstream {status.upstream}: service {local.service or '-'}, running {status.running} "
        f"of {status.slots} slots, queued {status.queued}, "
        f"mean service time {status.service_ms:.1f} ms",
        "calls: " + _format_counters(status.calls),
        "gossip: " + _format_counters(status.traffic),
        "platform: " + _format_counters(status.platform),
        f"members ({len(status.members)}):",
    ]
    for member in status.members:
        ejected_suffix = " ejected" if member.node_id in status.ejected else ""
        lines.append(
            f"  {member.node_id:<24} {member.state:<8} {member.region}/{member.data_center} "
            f"{member.service or '-'} slots={member.slots}{ejected_suffix}"
        )
    return "\n".join(lines)


def _format_counters(counters: dict[str, int]) -> str:
    return " ".join(f"{name}={value}" for name, value in counters.items()) or "none"


def format_histograms(summaries: list[HistogramSummary]) -> str:
    """Return latency histograms as text plots; times are in milliseconds."""
    return "\n\n".join(_format_histogram(summary) for summary in summaries) or "no calls yet"


def _format_histogram(summary: HistogramSummary) -> str:
    quantiles = " ".join(f"{name}={value:.2f}" for name, value in summary.quantiles_ms.items())
    lines = [
        f"{summary.name}: count={summary.count} mean={summary.mean_ms:.2f} "
        f"{quantiles} max={summary.max_ms:.2f} ms"
    ]
    max_count = max((count for _, count in summary.buckets), default=1)
    for upper_ms, count in summary.buckets:
        bar = "#" * max(1, count * BAR_WIDTH // max_count)
        lines.append(f"  up to {upper_ms:>10.2f} ms {count:>8} {bar}")
    return "\n".join(lines)


def format_suspects(suspects: list[SuspectReport]) -> str:
    """Return the suspect requests as text."""
    lines = [
        f"{suspect.fingerprint} {'quarantined' if suspect.quarantined else 'suspect'} "
        f"{' '.join(suspect.upstreams)}"
        for suspect in suspects
    ]
    return "\n".join(lines) or "none"

"""Loads of the users' deployments, for emulated fleets."""

from __future__ import annotations

from typing import Any

from standins.emulator.load import FleetLoad, NestedCalls, RequestClass
from standins.emulator.upstream import UpstreamProfile

BOOKING_MESH_NODES = 195

TARGETS_BY_SERVICE = {"kalender": 60, "broneering": 43, "meistrid": 55, "hinnang": 37}


def booking_mesh(nodes: int, scale: float = 1.0, **fields: Any) -> FleetLoad:
    """Return the load of the large booking mesh, scaled to a number of nodes and by `scale`.

    `fields` are further fields of the load.
    """
    share = nodes / BOOKING_MESH_NODES
    targets = {name: round(count * share) for name, count in TARGETS_BY_SERVICE.items()}
    profile = UpstreamProfile(slots=9, queue=18)
    return FleetLoad("booking mesh", targets, _classes(scale * share), profile=profile, **fields)


TICKETING_MESH_NODES = 81


def ticketing_mesh(nodes: int, scale: float = 1.0, **fields: Any) -> FleetLoad:
    """Return the load of the ticketing mesh, scaled to a number of nodes and by `scale`.

    Most nodes have a target of one service, so that each data centre has several of them.
    """
    share = nodes / TICKETING_MESH_NODES
    factor = scale * share
    classes = [
        RequestClass(
            "seatmap",
            "boxoffice",
            rate_per_s=196 * factor,
            work_ms=250,
            objective_ms=800,
            timeout_ms=2500,
            deadline_ms=5000,
            answer_bytes=1500,
            nested=NestedCalls("pricecheck", count=2, share=0.7),
        ),
        RequestClass(
            "refund",
            "boxoffice",
            rate_per_s=81 * factor,
            work_ms=310,
            objective_ms=1000,
            timeout_ms=3000,
            deadline_ms=6000,
            idempotent=False,
            priority=1,
            worth=2,
            late_worth=0.2,
            request_bytes=4000,
            answer_bytes=1500,
        ),
        RequestClass(
            "purchase",
            "checkout",
            rate_per_s=61 * factor,
            work_ms=170,
            objective_ms=500,
            timeout_ms=2000,
            deadline_ms=4000,
            idempotent=False,
            priority=0,
            worth=3,
            late_worth=0.3,
            request_bytes=4000,
            answer_bytes=1500,
        ),
        _internal_class("pricecheck", "checkout"),
    ]
    return FleetLoad(
        "ticketing mesh",
        {"boxoffice": round(64 * share), "checkout": round(17 * share)},
        classes,
        data_centers=6,
        profile=UpstreamProfile(slots=6, queue=12),
        region_ms=0.5,
        other_region_ms=12.0,
        swing=0.15,
        wave_ms=11_000.0,
        **fields,
    )


def _classes(rate_factor: float) -> list[RequestClass]:
    return [
        RequestClass(
            "crew-days",
            "kalender",
            rate_per_s=412 * rate_factor,
            work_ms=240,
            objective_ms=800,
            timeout_ms=2500,
            deadline_ms=5000,
            answer_bytes=5000,
            nested=NestedCalls("slot-check", share=0.7, together=True),
        ),
        RequestClass(
            "book-crew",
            "broneering",
            rate_per_s=174 * rate_factor,
            work_ms=310,
            objective_ms=1000,
            timeout_ms=3000,
            deadline_ms=6000,
            idempotent=False,
            priority=1,
            worth=2,
            late_worth=0.2,
            request_bytes=1200,
            nested=NestedCalls("rating-fetch", count=2, share=0.7),
        ),
        RequestClass(
            "job-history",
            "meistrid",
            rate_per_s=158 * rate_factor,
            work_ms=590,
            objective_ms=2000,
            timeout_ms=6000,
            deadline_ms=12000,
            answer_bytes=5000,
            nested=NestedCalls("price-table", share=0.7),
        ),
        RequestClass(
            "quote-read",
            "hinnang",
            rate_per_s=70 * rate_factor,
            work_ms=940,
            objective_ms=2500,
            timeout_ms=10000,
            deadline_ms=20000,
        ),
        _internal_class("slot-check", "broneering"),
        _internal_class("rating-fetch", "meistrid"),
        _internal_class("price-table", "hinnang"),
    ]


def _internal_class(name: str, service: str) -> RequestClass:
    """Return a class that only upstreams call."""
    return RequestClass(
        name,
        service,
        rate_per_s=0,
        work_ms=69,
        objective_ms=200,
        timeout_ms=800,
        deadline_ms=800,
        worth=0,
        tail_share=0,
        retries=0,
    )

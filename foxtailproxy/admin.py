"""The admin interface: status and control for operators, announcements from the upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from klein import Klein
from twisted.web.server import Site

from foxtailproxy import __version__
from foxtailproxy.choice.preview_report import WhereQuery
from foxtailproxy.metrics import MetricsExport
from foxtailproxy.models.messages import Announcement, MemberRecord, PacketKind

if TYPE_CHECKING:
    from collections import Counter

    from foxtailproxy.choice.preview import PreviewSources
    from foxtailproxy.node import Node
    from foxtailproxy.outcome import NotRun

MAX_BODY_BYTES = 65536


class AdminError(msgspec.Struct):
    """The JSON body of an error response."""

    error: str
    detail: str = ""


class MemberStatus(msgspec.Struct):
    """The status of one member."""

    node_id: str
    state: str
    region: str
    data_center: str
    address: str
    admin_port: int
    service: str
    slots: int


class StatusReport(msgspec.Struct):
    """The status of a node; times are in milliseconds."""

    version: str
    state: str
    me: MemberStatus
    config_generation: int
    config_change: str
    upstream: str
    running: int
    queued: int
    slots: int
    service_ms: float
    members: list[MemberStatus]
    ejected: list[str]
    traffic: dict[str, int]
    platform: dict[str, int]
    calls: dict[str, int]


class SuspectReport(msgspec.Struct):
    """A request that was running when upstreams crashed."""

    fingerprint: str
    upstreams: list[str]
    quarantined: bool


class AdminSite:
    """The HTTP interface of a node for its operators and its upstream."""

    app = Klein()

    def __init__(self, node: Node) -> None:
        self._node = node
        self._metrics_export: MetricsExport | None = None

    def site(self) -> Site:
        """Return the Twisted site that serves this interface."""
        site = Site(self.app.resource())
        site.noisy = False
        return site

    @app.route("/status", methods=["GET"])
    def status(self, request: Any) -> bytes:
        """Return the node's state, members and counters."""
        return _json_response(request, self._status())

    def _status(self) -> StatusReport:
        node = self._node
        load = node.target.load()
        generation, change = node.config_sync.version()
        upstream = "none" if node.target.announcement is None else "serving"
        if node.target.leaving:
            upstream = "leaving"
        elif node.target.down:
            upstream = "down"
        return StatusReport(
            version=__version__,
            state=node.state.name,
            me=_member_status(node.table.local_record),
            config_generation=generation,
            config_change=change,
            upstream=upstream,
            running=load.running,
            queued=load.queued,
            slots=load.slots,
            service_ms=load.service_ms,
            members=[_member_status(member) for _, member in sorted(node.table.by_id.items())],
            ejected=[name for name, view in node.router.view_by_id.items() if view.health.ejected],
            traffic=_counter_values(node.gossip.socket.counters),
            platform=_counter_values(node.store.counters),
            calls=self._calls_by_outcome(),
        )

    def _calls_by_outcome(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for (_, outcome), count in self._node.metrics.calls_by_outcome.items():
            counts[outcome] = counts.get(outcome, 0) + count
        counts["retries"] = self._node.metrics.retries
        return counts

    @app.route("/config", methods=["GET"])
    def config(self, request: Any) -> bytes:
        """Return the configuration in force."""
        config = self._node.config_sync.current
        if config is None:
            return _error_response(request, 404, "no-configuration")
        return _json_response(request, config)

    @app.route("/where", methods=["POST"])
    def where(self, request: Any) -> bytes:
        """Return where a request would go now, and why; nothing is sent or changed.

        The question is in the body, so that no proxy or log keeps it with the URL.
        """
        from foxtailproxy.choice.preview import PreviewError, preview

        try:
            query = msgspec.json.decode(request.content.read(MAX_BODY_BYTES), type=WhereQuery)
            report = preview(preview_sources(self._node), query)
        except msgspec.MsgspecError:
            # The text of the error could repeat a part of the body.
            return _error_response(request, 400, "malformed-request", "invalid body")
        except PreviewError as error:
            return _error_response(request, error.status, error.error, str(error))
        self._node.metrics.previews += 1
        return _json_response(request, report)

    @app.route("/histograms", methods=["GET"])
    def histograms(self, request: Any) -> bytes:
        """Return the latency of each class and tenant."""
        return _json_response(request, self._node.metrics.summaries())

    @app.route("/metrics", methods=["GET"])
    def metrics(self, request: Any) -> bytes:
        """Return all metrics in the Prometheus text format."""
        if self._metrics_export is None:
            self._metrics_export = MetricsExport(self._node.metrics, self._gauges)
        request.setHeader("content-type", "text/plain; version=0.0.4")
        return self._metrics_export.render_text()

    def _gauges(self) -> dict[str, float]:
        load = self._node.target.load()
        return {
            "running": load.running,
            "queued": load.queued,
            "slots": load.slots,
            "config_generation": self._node.config_sync.version()[0],
            "gossip_sent_bytes": self._node.gossip.socket.counters.sent_bytes,
            "gossip_paid_sent_bytes": self._node.gossip.socket.counters.paid_sent_bytes,
            "load_queries": self._node.loads.queries,
            "load_queries_skipped": self._node.loads.skipped_queries,
            "load_queries_unanswered": self._node.loads.unanswered_queries,
            "platform_reads": self._node.store.counters.reads,
            "platform_writes": self._node.store.counters.writes,
            "platform_watches": self._node.store.counters.watches,
            "platform_failures": self._node.store.counters.failures,
            "cold": self._node.target.admission.cold.cold,
            "starts_while_cold": self._node.target.admission.cold.starts_while_cold,
            "cold_rejections": self._node.target.admission.cold.rejections,
            "refusing": self._node.target.refusals.refusing,
            "refusing_rejections": self._node.target.refusals.rejections,
            "speed_checks": self._node.target.health_check.speed_checks,
            "retries": self._node.metrics.retries,
            **_crossing_gauges(self._node.router.crossing.left_by_scope()),
            "evacuated_data_centers": len(self._node.evacuations.in_force),
            "store_era": self._node.store_era.number,
            "previews": self._node.metrics.previews,
            "no_allowed_target": self._node.metrics.no_allowed_target,
            "clients_held_bytes": self._node.client_bounds.memory.total_bytes,
            "clients_shed": self._node.client_bounds.memory.shed_count,
            "client_connections": len(self._node.client_bounds.connections),
            "client_connections_closed": self._node.client_bounds.connections.closed_count,
            **self._node.allowances.counters(),
            **_packet_gauges("sent", self._node.gossip.socket.sent_by_kind),
            **_packet_gauges("skipped", self._node.gossip.socket.skipped_by_kind),
            "members_suspected": self._node.gossip.detector.suspected_count,
            "members_declared_dead": self._node.gossip.detector.declared_dead_count,
            "refutations": self._node.table.refutation_count,
        }

    @app.route("/announce", methods=["POST"])
    def announce(self, request: Any) -> bytes:
        """Handle an announcement that the upstream serves, sent about once a second."""
        try:
            announcement = msgspec.json.decode(
                request.content.read(MAX_BODY_BYTES), type=Announcement
            )
        except msgspec.MsgspecError as error:
            return _error_response(request, 400, "bad-announcement", str(error))
        if self._node.state.name != "serving":
            return _error_response(request, 409, "node-draining")
        self._node.target.receive_announcement(announcement)
        return _json_response(request, announcement)

    @app.route("/leave", methods=["POST"])
    def leave(self, request: Any) -> bytes:
        """Stop new calls to the upstream; return how many are still running and queued."""
        self._node.target.leave()
        load = self._node.target.load()
        return _json_response(request, {"running": load.running, "queued": load.queued})

    @app.route("/drain", methods=["POST"])
    def drain(self, request: Any) -> bytes:
        """Drain the node for an operator; its process ends when draining is done."""
        self._node.drain()
        return _json_response(request, {"state": self._node.state.name})

    @app.route("/quarantine", methods=["GET"])
    def quarantine(self, request: Any) -> bytes:
        """Return the requests that were running when upstreams crashed."""
        rule_book = self._node.config_sync.rule_book
        limit = 0 if rule_book is None else rule_book.fleet.crash_limit
        reports = [
            SuspectReport(suspect.fingerprint, suspect.upstreams, len(suspect.upstreams) >= limit)
            for suspect in self._node.quarantine.suspects.values()
        ]
        return _json_response(request, reports)

    @app.route("/quarantine/<fingerprint>", methods=["DELETE"])
    def release(self, request: Any, fingerprint: str) -> bytes:
        """Release a request from quarantine, so that it may run again."""
        if not self._node.quarantine.release(fingerprint):
            return _error_response(request, 404, "not-suspect", fingerprint)
        return _json_response(request, {"released": fingerprint})


def preview_sources(node: Node) -> PreviewSources:
    """Return what a preview reads of a node."""
    from foxtailproxy.choice.preview import LocalState, PreviewSources

    target, record = node.target, node.table.local_record
    state = "leaving" if target.leaving else "down" if target.down else "serving"
    announcement = target.announcement
    local = LocalState(
        "" if announcement is None else announcement.service,
        state,
        target.admission.cold.cold,
        not target.refusals.open,
    )

    def status_of(rejection: NotRun) -> int:
        return node.dialect.failure_response(rejection, "", rejection.retry_after_ms)[0].status

    return PreviewSources(
        node.clock,
        node.state.name,
        record.region,
        record.data_center,
        node.config_sync,
        node.router,
        node.allowances.draws,
        node.freshness.stale,
        local,
        node.paid_call_budget.may_consume,
        status_of,
    )


def _member_status(member: MemberRecord) -> MemberStatus:
    return msgspec.convert(member, MemberStatus, from_attributes=True)


def _json_response(request: Any, value: Any) -> bytes:
    request.setHeader("content-type", "application/json")
    return msgspec.json.encode(value) + b"\n"


def _error_response(request: Any, status: int, error: str, detail: str = "") -> bytes:
    request.setResponseCode(status)
    return _json_response(request, AdminError(error, detail))


def _crossing_gauges(left_by_scope: dict[str, int]) -> dict[str, float]:
    """Return the calls that left the data centre, by how far they went."""
    gauges = {"calls_left_to_region": 0.0, "calls_left_to_other_regions": 0.0}
    for scope, left in left_by_scope.items():
        place = scope.rpartition("/")[2]
        gauges[f"calls_left_to_{place.replace('-', '_')}"] += left
    return gauges


def _packet_gauges(result: str, count_by_kind: Counter[PacketKind]) -> dict[str, float]:
    """Return the packets of the membership protocol by kind; `result` is sent or skipped."""
    return {f"gossip_{result}_{kind.value}": count_by_kind[kind] for kind in PacketKind}


def _counter_values(counters: Any) -> dict[str, int]:
    return {name: getattr(counters, name) for name in counters.__slots__}

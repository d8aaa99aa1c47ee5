"""Queries for the load of targets, sent as datagrams before a call is placed.

In a large fleet each node sends so few calls to each target that the reports which come with
answers are seconds old. A query costs about 50 bytes each way. Queries are sent only to targets
that are compared for a call, so their number does not grow with the fleet.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import structlog
from twisted.internet.defer import Deferred, succeed

from foxtailproxy.clock import cancel_timer
from foxtailproxy.load import Load
from foxtailproxy.models.messages import LoadAnswer, LoadQuery
from foxtailproxy.traffic_budget import Purpose

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from typing import Any

    from foxtailproxy.clock import Clock
    from foxtailproxy.target import Target
    from foxtailproxy.target_view import TargetView

    Address = tuple[str, int]

log = structlog.get_logger()

FRESH_LOAD_MS = 100.0
"""Age in milliseconds up to which a load report is used without a query."""

QUERY_EXPIRY_MS = 1000.0
"""Time in milliseconds after which the answer to a query is ignored."""

MIN_WAIT_MS = 2.0
"""Shortest wait for answers, in milliseconds. A call that can wait only for less is placed at once,
and the answers serve later calls."""

QUERY_MARK = b"\x01"
ANSWER_MARK = b"\x02"
"""First byte of the datagrams; a gossip packet never begins with it."""

LOAD_MARKS = (QUERY_MARK, ANSWER_MARK)

ANSWER_TIME_WEIGHT = 0.1
"""Weight of the newest query in the exponentially weighted mean time to an answer."""

BUSY_QUERY_INTERVAL_MS = 200.0
"""Interval in milliseconds between queries while nodes are busy, to learn when they are not."""

MAX_FIRST_SEQUENCE = 2**31

PERCENT = 100


class QueryRound:
    """Queries that are sent together; `done` fires after the last answer, or on a timeout."""

    def __init__(self) -> None:
        self.done: Deferred[None] = Deferred()
        self.open_count = 0
        self.timer: Any = None

    def end_query(self) -> None:
        """Count an answer."""
        self.open_count -= 1
        if not self.open_count:
            self.finish()

    def finish(self) -> None:
        """Wait no longer."""
        cancel_timer(self.timer)
        if not self.done.called:
            self.done.callback(None)


@dataclass(frozen=True, slots=True)
class OpenQuery:
    """Query that was not answered yet."""

    sent_ms: float
    address: Address
    class_name: str
    view: TargetView
    query_round: QueryRound


class LoadExchange:
    """Client and server of load queries.

    `send` sends a datagram for a purpose to an address; it returns whether the budgets allow it.
    """

    def __init__(
        self,
        clock: Clock,
        target: Target,
        region: str,
        rng: random.Random,
        send: Callable[[Purpose, bytes, Address], bool],
    ) -> None:
        self.queries = 0
        self.unanswered_queries = 0
        self.skipped_queries = 0
        self._clock = clock
        self._target = target
        self._region = region
        self._send = send
        # Random, so that answers to an earlier process at the same address match no query.
        self._sequence = rng.randrange(MAX_FIRST_SEQUENCE)
        self._open_queries: OrderedDict[int, OpenQuery] = OrderedDict()
        self._answer_ms = 0.0
        self._queried_ms = -math.inf
        self._encoder = msgspec.msgpack.Encoder()
        self._query_decoder = msgspec.msgpack.Decoder(LoadQuery)
        self._answer_decoder = msgspec.msgpack.Decoder(LoadAnswer)

    # Client

    def refresh(
        self,
        views: list[TargetView],
        service: str,
        class_name: str,
        max_wait_ms: float,
        purpose: Purpose = Purpose.load_query,
    ) -> Deferred[None]:
        """Query the targets whose load reports are old.

        `purpose` decides how much of the byte budget the queries may use. The result fires once all
        have answered, after `max_wait_ms` at the latest.
        """
        self._expire_queries()
        query_round = QueryRound()
        old = [view for view in views if view.load_age_ms > FRESH_LOAD_MS and not view.silent]
        if not old or self._too_busy(max_wait_ms):
            return succeed(None)
        for view in old:
            self._query(view, LoadQuery(0, service, class_name), query_round, purpose)
        if not query_round.open_count or max_wait_ms < MIN_WAIT_MS:
            return succeed(None)
        query_round.timer = self._clock.call_later(max_wait_ms, query_round.finish)
        return query_round.done

    def _too_busy(self, max_wait_ms: float) -> bool:
        """Return whether nodes are so busy that most answers would come after the wait."""
        now_ms = self._clock.now_ms()
        answers_late = self._answer_ms > max_wait_ms >= MIN_WAIT_MS
        if answers_late and now_ms - self._queried_ms < BUSY_QUERY_INTERVAL_MS:
            return True
        self._queried_ms = now_ms
        return False

    def _record_answer_time(self, elapsed_ms: float) -> None:
        self._answer_ms += ANSWER_TIME_WEIGHT * (elapsed_ms - self._answer_ms)

    def _query(
        self, view: TargetView, query: LoadQuery, query_round: QueryRound, purpose: Purpose
    ) -> None:
        query.sequence = self._sequence + 1
        address = (view.member.address, view.member.gossip_port)
        if not self._send(purpose, QUERY_MARK + self._encoder.encode(query), address):
            self.skipped_queries += 1
            return
        self.queries += 1
        self._sequence = query.sequence
        self._open_queries[query.sequence] = OpenQuery(
            self._clock.now_ms(), address, query.class_name, view, query_round
        )
        query_round.open_count += 1
        view.begin_query()

    def _expire_queries(self) -> None:
        expired_ms = self._clock.now_ms() - QUERY_EXPIRY_MS
        while self._open_queries:
            sequence, query = next(iter(self._open_queries.items()))
            if query.sent_ms > expired_ms:
                return
            del self._open_queries[sequence]
            self.unanswered_queries += 1

    # Datagrams

    def handle_datagram(self, datagram: bytes, address: Address) -> None:
        """Answer a query, or record the load of an answer."""
        try:
            if datagram.startswith(QUERY_MARK):
                self._handle_query(self._query_decoder.decode(datagram[1:]), address)
            else:
                self._handle_answer(self._answer_decoder.decode(datagram[1:]), address)
        except msgspec.MsgspecError as error:
            log.warning("load_datagram_malformed", sender=address[0], error=str(error))

    def _handle_query(self, query: LoadQuery, address: Address) -> None:
        answer = self._encoder.encode(self._answer_to(query))
        self._send(Purpose.load_answer, ANSWER_MARK + answer, address)

    def _answer_to(self, query: LoadQuery) -> LoadAnswer:
        load = self._target.offered_load(query.service)
        if load is None:
            return LoadAnswer(query.sequence, 0)
        return LoadAnswer(
            query.sequence,
            load.slots,
            load.running,
            load.queued,
            round(load.service_ms),
            round(load.typical_service_ms),
            round(load.wait_ms_by_class.get(query.class_name, 0.0)),
            round(load.usual_ms_by_class.get(query.class_name, 0.0)),
            round(load.slowness * PERCENT),
            round(load.slowness_age_ms),
            round(load.unreported_slowness * PERCENT),
            round(load.failure_rate * PERCENT),
        )

    def _handle_answer(self, answer: LoadAnswer, address: Address) -> None:
        """Record the load, unless the query has expired or another process answers."""
        query = self._open_queries.get(answer.sequence)
        if query is None or query.address != address:
            return
        del self._open_queries[answer.sequence]
        if query.view.member.region == self._region:
            self._record_answer_time(self._clock.now_ms() - query.sent_ms)
        query.view.record_load(load_from_answer(answer, query.class_name))
        query.query_round.end_query()


def load_from_answer(answer: LoadAnswer, class_name: str) -> Load:
    """Return the load that an answer gives for one class."""
    return Load(
        answer.running,
        answer.queued,
        answer.slots,
        answer.service_ms,
        answer.typical_ms,
        {class_name: float(answer.wait_ms)} if answer.wait_ms else {},
        {class_name: float(answer.usual_ms)} if answer.usual_ms else {},
        answer.slowness_percent / PERCENT,
        answer.slowness_age_ms,
        answer.unreported_slowness_percent / PERCENT,
        answer.failure_percent / PERCENT,
    )

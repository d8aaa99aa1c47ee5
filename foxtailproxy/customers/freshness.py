"""Knowledge of whether the configuration in force is the newest one.

Requests that need a key can be rejected where this is not known, since a key may have been
withdrawn. The nodes that watch the store learn it from each answer of the store. The others ask a
few peers at intervals, so that the knowledge spreads with its age.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
import structlog

from foxtailproxy.traffic_budget import Purpose

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from twisted.internet.task import LoopingCall

    from foxtailproxy.clock import Clock
    from foxtailproxy.gossip_socket import Address
    from foxtailproxy.membership import MemberTable
    from foxtailproxy.models.messages import MemberRecord
    from foxtailproxy.models.settings import CustomersSection

log = structlog.get_logger()

FRESHNESS_MARK = b"\x06"
"""First byte of the datagrams; a gossip packet never begins with it."""

ASKS_PER_LIMIT = 20
"""Rounds of questions within the limit: the knowledge of one watcher reaches a data centre of 80
nodes in about five rounds."""

ASK_AFTER_SHARE = 0.2
"""Age, as a share of the limit, from which a node asks its peers."""

WATCHES_PER_LIMIT = 8
"""Answers of the store that a watcher gets within the limit in calm."""

MIN_INTERVAL_MS = 50.0

LOCAL_FANOUT = 2
REMOTE_FANOUT = 1
"""Peers of the own data centre, and of all others, that are asked in each round."""

UNKNOWN_AGE = -1


class FreshnessQuery(msgspec.Struct, array_like=True, tag=0):
    """Question for the age of a peer's knowledge."""

    number: int


class FreshnessAnswer(msgspec.Struct, array_like=True, tag=1):
    """Answer: the version in force at the peer was the newest `age_ms` ago, -1 for unknown."""

    number: int
    generation: int
    change: str
    age_ms: int


class ConfigFreshness:
    """Time at which the version in force was last known to be the newest.

    `send` sends a datagram within the budgets, `version` returns the version in force.
    """

    def __init__(
        self,
        clock: Clock,
        table: MemberTable,
        rng: random.Random,
        send: Callable[[Purpose, bytes, Address], bool],
        version: Callable[[], tuple[int, str]],
    ) -> None:
        self._clock = clock
        self._table = table
        self._rng = rng
        self._send = send
        self._version = version
        self._limit_ms = math.inf
        self._known_ms = -math.inf
        self._was_stale = False
        self._number = 0
        self._asked_ms_by_number: dict[int, float] = {}
        self._loop: LoopingCall | None = None
        self._decoder = msgspec.msgpack.Decoder(FreshnessQuery | FreshnessAnswer)

    def configure(self, section: CustomersSection) -> None:
        """Apply settings: ask peers at intervals if requests are to be rejected, or stop it."""
        limit_ms = float(section.fail_closed_after_ms) if section.fail_closed else math.inf
        if limit_ms == self._limit_ms:
            return
        self.close()
        self._limit_ms = limit_ms
        if section.fail_closed:
            # A random start, so that no answer to an earlier process of this node is taken for one.
            self._number = self._rng.getrandbits(32)
            self._loop = self._clock.repeat(self._ask_interval_ms, self._refresh)

    def close(self) -> None:
        """Stop asking peers."""
        if self._loop is not None:
            self._loop.stop()
            self._loop = None

    @property
    def enabled(self) -> bool:
        """Whether requests are rejected where the version may be outdated."""
        return self._limit_ms < math.inf

    @property
    def watch_wait_ms(self) -> float:
        """Longest time that a watch of the store may take, in ms; infinite for no limit."""
        return max(MIN_INTERVAL_MS, self._limit_ms / WATCHES_PER_LIMIT)

    @property
    def stale(self) -> bool:
        """Whether requests that need a key are to be rejected."""
        return self.enabled and self._age_ms > self._limit_ms

    @property
    def _age_ms(self) -> float:
        return self._clock.now_ms() - self._known_ms

    @property
    def _ask_interval_ms(self) -> float:
        return max(MIN_INTERVAL_MS, self._limit_ms / ASKS_PER_LIMIT)

    def store_answered(self, asked_ms: float) -> None:
        """Record that the store, asked at that time, had no version newer than the one in force."""
        self._record(asked_ms)

    def log_rejection(self, attempt_id: str) -> None:
        """Log that a request is rejected for the age of this node's knowledge."""
        log.warning(
            "request_refused_unconfirmed",
            attempt=attempt_id,
            config=self._version()[0],
            **self._age_fields(),
        )

    def handle_datagram(self, datagram: bytes, address: Address) -> None:
        """Answer a question of a peer, or use the answer of one."""
        if not self.enabled:
            return
        try:
            message = self._decoder.decode(memoryview(datagram)[1:])
        except msgspec.MsgspecError:
            log.warning("freshness_malformed", sender=address[0])
            return
        if isinstance(message, FreshnessQuery):
            self._answer(message, address)
        else:
            self._use_answer(message)

    def _answer(self, query: FreshnessQuery, address: Address) -> None:
        generation, change = self._version()
        age_ms = UNKNOWN_AGE if self._known_ms == -math.inf else math.ceil(self._age_ms)
        answer = FreshnessAnswer(query.number, generation, change, age_ms)
        self._send_message(answer, address)

    def _use_answer(self, answer: FreshnessAnswer) -> None:
        asked_ms = self._asked_ms_by_number.get(answer.number)
        if asked_ms is None or answer.age_ms < 0:
            return
        if (answer.generation, answer.change) == self._version():
            # Counted from the question: the answer may have waited while this node was paused.
            self._record(asked_ms - answer.age_ms)

    def _record(self, known_ms: float) -> None:
        self._known_ms = max(self._known_ms, known_ms)
        self._log_transition()

    def _refresh(self) -> None:
        """Ask some peers if what is known is old."""
        self._log_transition()
        if self._age_ms <= self._limit_ms * ASK_AFTER_SHARE:
            return
        now_ms = self._clock.now_ms()
        self._number += 1
        self._asked_ms_by_number = {
            number: asked_ms
            for number, asked_ms in self._asked_ms_by_number.items()
            if now_ms - asked_ms <= self._limit_ms
        }
        self._asked_ms_by_number[self._number] = now_ms
        for member in self._choose_peers():
            address = (member.address, member.gossip_port)
            self._send_message(FreshnessQuery(self._number), address)

    def _choose_peers(self) -> list[MemberRecord]:
        data_center = self._table.local_record.data_center
        peers = self._table.live_peers()
        local = [record for record in peers if record.data_center == data_center]
        remote = [record for record in peers if record.data_center != data_center]
        chosen = self._rng.sample(local, min(len(local), LOCAL_FANOUT))
        return chosen + self._rng.sample(remote, min(len(remote), REMOTE_FANOUT))

    def _send_message(self, message: FreshnessQuery | FreshnessAnswer, address: Address) -> None:
        data = FRESHNESS_MARK + msgspec.msgpack.encode(message)
        self._send(Purpose.configuration, data, address)

    def _log_transition(self) -> None:
        if self.stale != self._was_stale:
            self._was_stale = self.stale
            event = "config_unconfirmed" if self.stale else "config_confirmed"
            log.warning(event, config=self._version()[0], **self._age_fields())

    def _age_fields(self) -> dict[str, int]:
        age_ms = UNKNOWN_AGE if self._known_ms == -math.inf else round(self._age_ms)
        return {"age_ms": age_ms, "limit_ms": round(self._limit_ms) if self.enabled else -1}

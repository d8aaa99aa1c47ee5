"""Datagrams between the nodes that admit the requests of customers and the owners of allowances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from foxtailproxy.models.messages import AllowanceAnswer, AllowanceReport
from foxtailproxy.traffic_budget import Purpose

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from foxtailproxy.customers.allowance import AllowanceOwner
    from foxtailproxy.models.messages import AllowanceLevel, AllowanceUse, MemberRecord

    Address = tuple[str, int]

log = structlog.get_logger()

REPORT_MARK = b"\x03"
ANSWER_MARK = b"\x04"
"""First byte of the datagrams; a gossip packet or a load query never begins with it."""

ALLOWANCE_MARKS = (REPORT_MARK, ANSWER_MARK)

MAX_FIRST_SEQUENCE = 2**31


class AllowanceExchange:
    """Sender and receiver of reports and answers.

    `send` sends a datagram for a purpose to an address; it returns whether the budgets allow it.
    `on_level` is called with the address of an owner, the sequence number of the report that it
    answers and each level of the answer. Reports to the local node are answered without a datagram.
    """

    def __init__(
        self,
        local_record: MemberRecord,
        rng: random.Random,
        owner: AllowanceOwner,
        send: Callable[[Purpose, bytes, Address], bool],
    ) -> None:
        self.reports = 0
        self.answers = 0
        self.skipped = 0
        self.malformed = 0
        self.on_level: Callable[[Address, int, AllowanceLevel], None] | None = None
        self._local_id = local_record.node_id
        self._owner = owner
        self._send = send
        # Random, so that answers to an earlier process at the same address match no report.
        self._sequence = rng.randrange(MAX_FIRST_SEQUENCE)
        self._encoder = msgspec.msgpack.Encoder()
        self._report_decoder = msgspec.msgpack.Decoder(AllowanceReport)
        self._answer_decoder = msgspec.msgpack.Decoder(AllowanceAnswer)

    def next_sequence(self) -> int:
        """Return a sequence number that this process has not used before."""
        self._sequence += 1
        return self._sequence

    def report(self, owner: MemberRecord, sequence: int, uses: list[AllowanceUse]) -> bool:
        """Report draws to the owner of some customers; return whether the budgets allow it."""
        address = (owner.address, owner.gossip_port)
        if owner.node_id == self._local_id:
            for level in self._settle(address, sequence, uses):
                self._pass_level(address, sequence, level)
            return True
        self.reports += 1
        report = REPORT_MARK + self._encoder.encode(AllowanceReport(sequence, uses))
        return self._try_send(Purpose.allowance_report, report, address)

    def handle_datagram(self, datagram: bytes, address: Address) -> None:
        """Answer a report, or pass on the levels of an answer."""
        try:
            if datagram.startswith(REPORT_MARK):
                report = self._report_decoder.decode(datagram[1:])
                self._answer(report, address)
            else:
                answer = self._answer_decoder.decode(datagram[1:])
                for level in answer.levels:
                    self._pass_level(address, answer.sequence, level)
        except msgspec.MsgspecError as error:
            self.malformed += 1
            log.warning("allowance_datagram_malformed", sender=address[0], error=str(error)[:100])

    def _answer(self, report: AllowanceReport, address: Address) -> None:
        levels = self._settle(address, report.sequence, report.uses)
        if levels:
            self.answers += 1
            answer = self._encoder.encode(AllowanceAnswer(report.sequence, levels))
            self._try_send(Purpose.allowance_answer, ANSWER_MARK + answer, address)

    def _settle(
        self, sender: Address, sequence: int, uses: list[AllowanceUse]
    ) -> list[AllowanceLevel]:
        levels = [self._owner.settle(sender, sequence, use) for use in uses]
        return [level for level in levels if level is not None]

    def _pass_level(self, address: Address, sequence: int, level: AllowanceLevel) -> None:
        if self.on_level is not None:
            self.on_level(address, sequence, level)

    def _try_send(self, purpose: Purpose, data: bytes, address: Address) -> bool:
        sent = self._send(purpose, data, address)
        self.skipped += not sent
        return sent

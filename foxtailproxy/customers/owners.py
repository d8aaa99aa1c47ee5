"""Nodes that own the allowances of customers, and the part of the nodes that is in reach."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from foxtailproxy.models.messages import MemberState

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock
    from foxtailproxy.models.messages import MemberRecord

LOST_MS = 30_000.0
"""Time for which a node that died counts as lost, in milliseconds."""

PARTITION_MS = 600_000.0
PARTITION_SHARE = 0.1
"""Time for which lost nodes count while they are more than this share of all: so many are cut off
rather than dead, and the nodes on the other side grant their share of the rate."""

SHARE_CACHE_MS = 100.0

SCORE_BYTES = 8


def score(node_id: str, customer: int) -> int:
    """Return the rendezvous hash of a node for a customer."""
    text = f"{node_id} {customer}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=SCORE_BYTES).digest(), "big")


class RegionOwners:
    """Owner of each customer among the live nodes of a region: that with the highest hash."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._record_by_id: dict[str, MemberRecord] = {}
        self._suspect_ids: set[str] = set()
        self._lost_ms_by_id: dict[str, float] = {}
        self._owner_id_by_customer: dict[int, str] = {}
        self._live_share = 1.0
        self._live_share_ms = 0.0

    def update_member(self, record: MemberRecord) -> bool:
        """Apply a newer record of another node; return whether owners may have changed."""
        node_id = record.node_id
        self._suspect_ids.discard(node_id)
        self._live_share_ms = 0.0
        if record.state in (MemberState.alive, MemberState.suspect):
            self._lost_ms_by_id.pop(node_id, None)
            added = node_id not in self._record_by_id
            self._record_by_id[node_id] = record
            if record.state is MemberState.suspect:
                self._suspect_ids.add(node_id)
            if added:
                self._own_if_higher(node_id)
            return added
        removed = self._record_by_id.pop(node_id, None)
        if removed is None:
            return False
        if record.state is MemberState.dead:
            self._lost_ms_by_id[node_id] = self._clock.now_ms()
        for customer, owner_id in list(self._owner_id_by_customer.items()):
            if owner_id == node_id:
                del self._owner_id_by_customer[customer]
        return True

    def owner_of(self, customer: int) -> MemberRecord | None:
        """Return the owner of a customer; `None` if the region has no live node."""
        if not self._record_by_id:
            return None
        owner_id = self._owner_id_by_customer.get(customer)
        if owner_id is None:
            owner_id = max(self._record_by_id, key=lambda node_id: score(node_id, customer))
            self._owner_id_by_customer[customer] = owner_id
        return self._record_by_id[owner_id]

    def known_count(self) -> int:
        """Return the number of nodes, including those that were lost lately."""
        return len(self._record_by_id) + self._lost_count()

    def live_share(self) -> float:
        """Return the part of the known nodes that is live and not suspect.

        In a partition, most nodes of the other side are suspect before the first one is taken for
        dead, and its customers get a second owner.
        """
        now_ms = self._clock.now_ms()
        if not self._live_share_ms or now_ms - self._live_share_ms > SHARE_CACHE_MS:
            live = len(self._record_by_id) - len(self._suspect_ids)
            self._live_share = max(1, live) / max(1, self.known_count())
            self._live_share_ms = now_ms
        return self._live_share

    def _lost_count(self) -> int:
        if not self._lost_ms_by_id:
            return 0
        now_ms = self._clock.now_ms()
        for node_id, lost_ms in list(self._lost_ms_by_id.items()):
            if now_ms - lost_ms > PARTITION_MS:
                del self._lost_ms_by_id[node_id]
        lost = len(self._lost_ms_by_id)
        if lost > PARTITION_SHARE * (lost + len(self._record_by_id)):
            return lost
        return sum(now_ms - lost_ms <= LOST_MS for lost_ms in self._lost_ms_by_id.values())

    def _own_if_higher(self, node_id: str) -> None:
        for customer, owner_id in self._owner_id_by_customer.items():
            if score(node_id, customer) > score(owner_id, customer):
                self._owner_id_by_customer[customer] = node_id


class Owners:
    """Owners of customers in all regions, and the counts of their nodes."""

    def __init__(self, clock: Clock, local_record: MemberRecord) -> None:
        self.local_id = local_record.node_id
        self.local_region = local_record.region
        self._local_record = local_record
        self._clock = clock
        self._owners_by_region = {local_record.region: RegionOwners(clock)}
        self._owners_by_region[local_record.region].update_member(local_record)

    def update_member(self, record: MemberRecord) -> bool:
        """Apply a newer record of another node; return whether local owners may have changed."""
        owners = self._owners_by_region.get(record.region)
        if owners is None:
            owners = self._owners_by_region[record.region] = RegionOwners(self._clock)
        return owners.update_member(record) and record.region == self.local_region

    def owner_of(self, customer: int) -> MemberRecord:
        """Return the owner of a customer in the local region, which may be the local node."""
        return self._owners_by_region[self.local_region].owner_of(customer) or self._local_record

    def peer_owners_of(self, customer: int) -> list[MemberRecord]:
        """Return the owners of a customer in the other regions."""
        owners = [
            owners.owner_of(customer)
            for region, owners in self._owners_by_region.items()
            if region != self.local_region
        ]
        return [owner for owner in owners if owner is not None]

    def count_by_region(self) -> dict[str, int]:
        """Return the nodes of each region, including those that were lost lately."""
        counts = {region: owners.known_count() for region, owners in self._owners_by_region.items()}
        return {region: count for region, count in counts.items() if count}

    def known_count(self) -> int:
        """Return the number of nodes, including those that were lost lately."""
        return sum(owners.known_count() for owners in self._owners_by_region.values())

    def live_share(self) -> float:
        """Return the part of the local region's known nodes that is live."""
        return self._owners_by_region[self.local_region].live_share()

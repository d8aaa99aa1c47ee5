"""Roster of one data centre, as it is kept in the store: the records of all its members.

A new process learns all members by one listing of a few rosters. Where each node kept its own
record, a listing had as many objects as the fleet has nodes, and each start wrote one.
"""

from __future__ import annotations

import base64
import binascii
import zlib
from dataclasses import dataclass, field

import msgspec

from foxtailproxy.exceptions import FoxtailproxyError
from foxtailproxy.models.messages import MemberRecord

MEMBER_KIND = "members"
"""Kind of the objects that hold rosters and marks of upstreams that have left."""

ROSTER_PREFIX = "data-center."
"""Prefix of the name of a roster; the rest is its data centre. The id of a node has no dot."""

MAX_ROSTER_BYTES = 4_194_304
"""Largest size of a roster after decompression, in bytes."""


class MalformedRoster(FoxtailproxyError):
    """A stored roster that cannot be decoded."""


class StoredRoster(msgspec.Struct):
    """Value of a roster: compressed records, since new processes of other regions read them."""

    records: str


@dataclass(frozen=True, slots=True)
class Roster:
    """Members of one data centre, and the version of the object that they were read from."""

    version: int = 0
    record_by_id: dict[str, MemberRecord] = field(default_factory=dict)


def roster_path(data_center: str) -> str:
    """Return the path of a data centre's roster."""
    return f"{MEMBER_KIND}/{ROSTER_PREFIX}{data_center}"


def is_roster(path: str) -> bool:
    """Return whether an object of the kind of members is a roster."""
    return path.startswith(f"{MEMBER_KIND}/{ROSTER_PREFIX}")


def encode_roster(records: list[MemberRecord]) -> str:
    """Return the value of a roster."""
    data = zlib.compress(msgspec.msgpack.encode(records))
    return msgspec.json.encode(StoredRoster(base64.b64encode(data).decode())).decode()


def decode_roster(version: int, value: str) -> Roster:
    """Decode the value of a roster. Raises `MalformedRoster`."""
    try:
        stored = msgspec.json.decode(value, type=StoredRoster)
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(
            base64.b64decode(stored.records, validate=True), MAX_ROSTER_BYTES
        )
        records = msgspec.msgpack.decode(data, type=list[MemberRecord])
    except (msgspec.MsgspecError, binascii.Error, zlib.error) as error:
        raise MalformedRoster(f"{type(error).__name__}: {error}") from error
    return Roster(version, {record.node_id: record for record in records})


def members_differ(one: dict[str, MemberRecord], other: dict[str, MemberRecord]) -> bool:
    """Return whether two rosters would lead a new process to other nodes or other targets."""
    return {key: _usable_fields(record) for key, record in one.items()} != {
        key: _usable_fields(record) for key, record in other.items()
    }


def _usable_fields(record: MemberRecord) -> tuple[object, ...]:
    """Return the fields that are of use before the node itself sends a newer record."""
    return record.address, record.peer_port, record.gossip_port, record.service, record.slots

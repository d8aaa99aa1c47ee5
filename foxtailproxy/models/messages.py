"""Models generated from `schema/messages.schema.json`."""

from __future__ import annotations
from enum import StrEnum
from typing import Annotated, TypeAlias
from msgspec import Meta, Struct, field


class MemberState(StrEnum):
    """
    Membership state of a node.
    """

    alive = "alive"
    suspect = "suspect"
    leaving = "leaving"
    dead = "dead"


class MemberRecord(Struct, array_like=True):
    """
    Membership record of one node.
    """

    node_id: Annotated[str, Meta(max_length=63)]
    incarnation: Annotated[
        int,
        Meta(description="Incremented by the node itself each time it changes its record.", ge=0),
    ]
    """
    Incremented by the node itself each time it changes its record.
    """
    state: MemberState
    region: Annotated[str, Meta(max_length=63)]
    data_center: Annotated[str, Meta(max_length=63)]
    address: Annotated[str, Meta(max_length=45)]
    peer_port: Annotated[int, Meta(ge=0, le=65535)]
    gossip_port: Annotated[int, Meta(ge=0, le=65535)]
    admin_port: Annotated[int, Meta(ge=0, le=65535)]
    service: Annotated[
        str,
        Meta(
            description="Service of the node's local target; empty where it has none.",
            max_length=63,
        ),
    ] = ""
    """
    Service of the node's local target; empty where it has none.
    """
    slots: Annotated[
        int, Meta(description="Number of calls that the target runs concurrently.", ge=0, le=100000)
    ] = 0
    """
    Number of calls that the target runs concurrently.
    """
    boot_id: Annotated[
        str, Meta(description="Changes each time the node's process starts.", max_length=32)
    ] = ""
    """
    Changes each time the node's process starts.
    """
    instance: Annotated[str, Meta(description="Name of the upstream's process.", max_length=64)] = (
        ""
    )
    """
    Name of the upstream's process.
    """
    born_ms: Annotated[
        int,
        Meta(
            description="Start of the upstream's process, in milliseconds of the time of day.", ge=0
        ),
    ] = 0
    """
    Start of the upstream's process, in milliseconds of the time of day.
    """
    target_left: Annotated[
        bool,
        Meta(
            description="Whether that process announced that it is leaving; stays set until another process is announced."
        ),
    ] = False
    """
    Whether that process announced that it is leaving; stays set until another process is announced.
    """


class PacketKind(StrEnum):
    """
    Kind of a gossip packet.
    """

    ping = "ping"
    ack = "ack"
    ping_request = "ping-request"
    push = "push"
    digest = "digest"
    fingerprints = "fingerprints"
    request = "request"
    records = "records"


Upstream: TypeAlias = Annotated[str, Meta(max_length=63)]


class CrashReport(Struct, array_like=True):
    """
    Upstreams that requests with one fingerprint have crashed.
    """

    fingerprint: Annotated[str, Meta(max_length=32)]
    upstreams: Annotated[list[Upstream], Meta(max_length=16)]


DataCenter: TypeAlias = Annotated[str, Meta(max_length=63)]


class GossipPacket(Struct, array_like=True):
    """
    Gossip datagram between two nodes.
    """

    kind: PacketKind
    sender: Annotated[str, Meta(max_length=63)]
    sequence: Annotated[int, Meta(ge=0)]
    subject: Annotated[
        str,
        Meta(
            description="Node that a ping-request is about, or data centre that a digest of the previous release covers.",
            max_length=63,
        ),
    ] = ""
    """
    Node that a ping-request is about, or data centre that a digest of the previous release covers.
    """
    members: list[MemberRecord] = field(default_factory=list)
    data_center_hashes: Annotated[
        dict[str, int], Meta(description="Hash of all records of each data centre.")
    ] = field(default_factory=dict)
    """
    Hash of all records of each data centre.
    """
    incarnations: Annotated[
        dict[str, int],
        Meta(
            description="Rank of each record of one data centre. Only the previous release sends it; it keeps its place, so that both releases read each other's packets."
        ),
    ] = field(default_factory=dict)
    """
    Rank of each record of one data centre. Only the previous release sends it; it keeps its place, so that both releases read each other's packets.
    """
    crashes: list[CrashReport] = field(default_factory=list)
    config_generation: Annotated[int, Meta(ge=0)] = 0
    config_change: Annotated[str, Meta(max_length=64)] = ""
    data_centers: Annotated[
        list[DataCenter], Meta(description="Data centres that the fingerprints cover.")
    ] = field(default_factory=list)
    """
    Data centres that the fingerprints cover.
    """
    fingerprints: Annotated[
        bytes,
        Meta(
            description="Fingerprints of all records of these data centres, or of the records that are requested, one after another."
        ),
    ] = b""
    """
    Fingerprints of all records of these data centres, or of the records that are requested, one after another.
    """
    store_lost: Annotated[
        bool,
        Meta(
            description="Whether the sender would watch the store but does not reach it. The previous release does not send it."
        ),
    ] = False
    """
    Whether the sender would watch the store but does not reach it. The previous release does not send it.
    """


EvacuatedItem: TypeAlias = Annotated[str, Meta(max_length=63)]


HeldItem: TypeAlias = Annotated[str, Meta(max_length=63)]


class ExtendedPacket(GossipPacket):
    """
    Gossip datagram with the store's era and the evacuated data centres; sent only while there are some, or a short time after a change.
    """

    store_era: Annotated[
        int, Meta(description="Highest era of the store that the sender knows.", ge=0)
    ] = 0
    """
    Highest era of the store that the sender knows.
    """
    evacuation_era: Annotated[
        int, Meta(description="Era in which the evacuations were read.", ge=0)
    ] = 0
    """
    Era in which the evacuations were read.
    """
    evacuation_revision: Annotated[
        int, Meta(description="Revision of the store at which they were read.", ge=0)
    ] = 0
    """
    Revision of the store at which they were read.
    """
    evacuated: Annotated[
        list[EvacuatedItem], Meta(description="Data centres that were evacuated at that revision.")
    ] = field(default_factory=list)
    """
    Data centres that were evacuated at that revision.
    """
    held: Annotated[
        list[HeldItem],
        Meta(
            description="Data centres that count as evacuated although they were missing there, since the store came back from an older copy a short time ago."
        ),
    ] = field(default_factory=list)
    """
    Data centres that count as evacuated although they were missing there, since the store came back from an older copy a short time ago.
    """


class CallHead(Struct, array_like=True):
    """
    Metadata of one call, sent to the node of its target.
    """

    attempt: Annotated[str, Meta(max_length=512, min_length=1)]
    number: Annotated[
        int, Meta(description="Number of this send of the call, counted from 0.", ge=0)
    ]
    """
    Number of this send of the call, counted from 0.
    """
    service: str
    rule: Annotated[
        str,
        Meta(
            description="Fields of the rule that the target needs, from the sender's configuration."
        ),
    ]
    """
    Fields of the rule that the target needs, from the sender's configuration.
    """
    left_ms: Annotated[int, Meta(description="Time left until the deadline, in milliseconds.")]
    """
    Time left until the deadline, in milliseconds.
    """
    objective_left_ms: Annotated[
        int, Meta(description="Time left until the end of the latency objective, in milliseconds.")
    ]
    """
    Time left until the end of the latency objective, in milliseconds.
    """
    depth: Annotated[int, Meta(ge=0)]
    limit_ms: Annotated[
        int,
        Meta(
            description="Longest expected time with which the target accepts the call, in milliseconds; -1 for any.",
            ge=-1,
        ),
    ] = -1
    """
    Longest expected time with which the target accepts the call, in milliseconds; -1 for any.
    """
    hold_ms: Annotated[
        int,
        Meta(
            description="Longest time for which the target may hold the call, in milliseconds.",
            ge=0,
        ),
    ] = 0
    """
    Longest time for which the target may hold the call, in milliseconds.
    """
    tenant: str = ""
    crashed: Annotated[
        list[str],
        Meta(
            description="Upstreams that crashed while they ran a request with the call's fingerprint."
        ),
    ] = field(default_factory=list)
    """
    Upstreams that crashed while they ran a request with the call's fingerprint.
    """


class LoadQuery(Struct, array_like=True):
    """
    Datagram that asks a node for the load of its target.
    """

    sequence: Annotated[
        int,
        Meta(
            description="Repeated by the answer; no two queries of a process have the same.", ge=0
        ),
    ]
    """
    Repeated by the answer; no two queries of a process have the same.
    """
    service: Annotated[
        str, Meta(description="Service that the call to be sent is for.", max_length=63)
    ]
    """
    Service that the call to be sent is for.
    """
    class_name: Annotated[
        str, Meta(description="Class whose wait and run time the answer gives.", max_length=512)
    ]
    """
    Class whose wait and run time the answer gives.
    """


class LoadAnswer(Struct, array_like=True):
    """
    Datagram with the load of a target, for the class that was asked for.
    """

    sequence: Annotated[int, Meta(ge=0)]
    slots: Annotated[
        int,
        Meta(
            description="Number of calls that the target runs concurrently; 0 if it takes no calls of the service.",
            ge=0,
            le=100000,
        ),
    ]
    """
    Number of calls that the target runs concurrently; 0 if it takes no calls of the service.
    """
    running: Annotated[int, Meta(ge=0)] = 0
    queued: Annotated[int, Meta(ge=0)] = 0
    service_ms: Annotated[int, Meta(description="Mean service time, in milliseconds.", ge=0)] = 0
    """
    Mean service time, in milliseconds.
    """
    typical_ms: Annotated[
        int, Meta(description="Geometric mean of the service times, in milliseconds.", ge=0)
    ] = 0
    """
    Geometric mean of the service times, in milliseconds.
    """
    wait_ms: Annotated[
        int, Meta(description="Expected wait of the class, in milliseconds.", ge=0)
    ] = 0
    """
    Expected wait of the class, in milliseconds.
    """
    usual_ms: Annotated[
        int,
        Meta(
            description="Run time of the class at the usual speed, in milliseconds; 0 if unknown.",
            ge=0,
        ),
    ] = 0
    """
    Run time of the class at the usual speed, in milliseconds; 0 if unknown.
    """
    slowness_percent: Annotated[
        int,
        Meta(
            description="Factor by which work takes longer than usual, as a percentage; 0 if the upstream does not report it.",
            ge=0,
        ),
    ] = 0
    """
    Factor by which work takes longer than usual, as a percentage; 0 if the upstream does not report it.
    """
    slowness_age_ms: Annotated[
        int, Meta(description="Age of that report, in milliseconds.", ge=0)
    ] = 0
    """
    Age of that report, in milliseconds.
    """
    unreported_slowness_percent: Annotated[
        int,
        Meta(
            description="Factor by which the latest calls took longer than that, as a percentage.",
            ge=0,
        ),
    ] = 100
    """
    Factor by which the latest calls took longer than that, as a percentage.
    """
    failure_percent: Annotated[
        int, Meta(description="Share of calls that fail, as a percentage.", ge=0, le=100)
    ] = 0
    """
    Share of calls that fail, as a percentage.
    """


class AllowanceUse(Struct, array_like=True):
    """
    Draws of one node from the allowance of one customer.
    """

    customer: Annotated[int, Meta(description="Digest of the customer's name.", ge=0)]
    """
    Digest of the customer's name.
    """
    stream: Annotated[
        int,
        Meta(
            description="Random number of this series of totals; a new one for each owner and process.",
            ge=0,
            le=4294967295,
        ),
    ]
    """
    Random number of this series of totals; a new one for each owner and process.
    """
    total: Annotated[
        int,
        Meta(
            description="Draws since the stream began, less those given back.",
            ge=-9007199254740991,
            le=9007199254740991,
        ),
    ]
    """
    Draws since the stream began, less those given back.
    """
    unacknowledged: Annotated[
        int,
        Meta(
            description="Part of the total that no answer has confirmed.",
            ge=-9007199254740991,
            le=9007199254740991,
        ),
    ] = 0
    """
    Part of the total that no answer has confirmed.
    """
    waiting: Annotated[
        int, Meta(description="Requests that wait for the answer.", ge=0, le=1000000)
    ] = 0
    """
    Requests that wait for the answer.
    """
    entered: Annotated[
        int,
        Meta(
            description="Requests of the customer that entered at the node since the stream began.",
            ge=0,
            le=9007199254740991,
        ),
    ] = 0
    """
    Requests of the customer that entered at the node since the stream began.
    """


class AllowanceReport(Struct, array_like=True):
    """
    Datagram that reports draws to the owner of their customers, and asks for more.
    """

    sequence: Annotated[
        int, Meta(description="Increases with each report of a process.", ge=0, le=9007199254740991)
    ]
    """
    Increases with each report of a process.
    """
    uses: Annotated[list[AllowanceUse], Meta(max_length=64)]


class AllowanceLevel(Struct, array_like=True):
    """
    What the owner lets one node draw from the allowance of one customer.
    """

    customer: Annotated[int, Meta(ge=0)]
    total: Annotated[
        int, Meta(description="Total of the report.", ge=-9007199254740991, le=9007199254740991)
    ]
    """
    Total of the report.
    """
    granted: Annotated[
        int, Meta(description="Draws beyond the total that are already charged.", ge=0, le=1000000)
    ] = 0
    """
    Draws beyond the total that are already charged.
    """
    wait_ms: Annotated[
        int,
        Meta(
            description="0: draw without asking; -1: ask for each request; else reject what was not granted for this time, in milliseconds.",
            ge=-1,
            le=3600000,
        ),
    ] = 0
    """
    0: draw without asking; -1: ask for each request; else reject what was not granted for this time, in milliseconds.
    """


class AllowanceAnswer(Struct, array_like=True):
    """
    Datagram that answers a report.
    """

    sequence: Annotated[int, Meta(ge=0, le=9007199254740991)]
    levels: Annotated[list[AllowanceLevel], Meta(max_length=64)]


class RegionDemand(Struct, array_like=True):
    """
    Demand of one customer in the sender's region.
    """

    customer: Annotated[int, Meta(ge=0)]
    demand_per_min: Annotated[
        int,
        Meta(
            description="Requests that enter in the sender's region, per minute; -1 if it is not known yet.",
            ge=-1,
            le=60000000,
        ),
    ]
    """
    Requests that enter in the sender's region, per minute; -1 if it is not known yet.
    """
    confirmed_per_min: Annotated[
        int,
        Meta(
            description="Demand of the receiver's region as the sender has it; -1 if it was not heard of.",
            ge=-1,
            le=60000000,
        ),
    ] = -1
    """
    Demand of the receiver's region as the sender has it; -1 if it was not heard of.
    """


class AllowanceDemand(Struct, array_like=True):
    """
    Datagram between the owners of customers in two regions, from which each derives its share of the rate.
    """

    region: Annotated[str, Meta(description="Region of the sender.", max_length=63)]
    """
    Region of the sender.
    """
    reply: Annotated[bool, Meta(description="Whether the sender asks for the receiver's demand.")]
    """
    Whether the sender asks for the receiver's demand.
    """
    demands: Annotated[list[RegionDemand], Meta(max_length=64)]


class Announcement(Struct):
    """
    Announcement of an upstream to its node.
    """

    service: Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]
    address: Annotated[str, Meta(max_length=45)]
    port: Annotated[int, Meta(ge=1, le=65535)]
    slots: Annotated[int, Meta(ge=1, le=100000)]
    connections: Annotated[int, Meta(ge=1, le=100000)] = 220
    instance: Annotated[
        str, Meta(description="Changes each time the upstream's process starts.", max_length=64)
    ] = ""
    """
    Changes each time the upstream's process starts.
    """
    born_ms: Annotated[
        int,
        Meta(
            description="Start of the upstream's process, in milliseconds of the time of day; 0 where it is not known.",
            ge=0,
        ),
    ] = 0
    """
    Start of the upstream's process, in milliseconds of the time of day; 0 where it is not known.
    """
    sequence: Annotated[
        int,
        Meta(
            description="Increases with each announcement of one process, so that late ones are detected.",
            ge=0,
        ),
    ] = 0
    """
    Increases with each announcement of one process, so that late ones are detected.
    """
    leaving: Annotated[bool, Meta(description="The upstream takes no new work.")] = False
    """
    The upstream takes no new work.
    """
    cold_ms: Annotated[
        int,
        Meta(
            description="How much longer the upstream stays cold after its start, in milliseconds; -1 where it is not known.",
            ge=-1,
        ),
    ] = -1
    """
    How much longer the upstream stays cold after its start, in milliseconds; -1 where it is not known.
    """


class ClaimRecord(Struct):
    """
    Claim to dispatch the request of one idempotency key.
    """

    claim_id: Annotated[str, Meta(max_length=64)]
    node_id: Annotated[str, Meta(max_length=63)]
    boot_id: Annotated[str, Meta(max_length=32)]
    address: Annotated[str, Meta(max_length=45)]
    peer_port: Annotated[int, Meta(ge=1, le=65535)]
    fingerprint: Annotated[str, Meta(max_length=32)]


class ConfigObject(Struct):
    """
    Complete configuration as the platform stores it.
    """

    generation: Annotated[int, Meta(ge=1)]
    change_id: Annotated[str, Meta(max_length=64)]
    author: Annotated[str, Meta(max_length=100)]
    text: Annotated[str, Meta(description="The configuration in INI.")]
    """
    The configuration in INI.
    """


class Messages(Struct):
    packet: GossipPacket
    extended_packet: ExtendedPacket
    claim: ClaimRecord
    announcement: Announcement
    config: ConfigObject
    load_query: LoadQuery
    load_answer: LoadAnswer
    allowance_report: AllowanceReport
    allowance_answer: AllowanceAnswer
    allowance_demand: AllowanceDemand

"""Models generated from `schema/settings.schema.json`."""

from __future__ import annotations
from typing import Annotated
from msgspec import Meta, Struct, field


class NodeSection(Struct):
    """
    Who this node is and where it listens.
    """

    node_id: Annotated[
        str,
        Meta(
            description="Unique name of this node (lower-case letters, digits, dashes).",
            pattern="^[a-z0-9][a-z0-9-]{0,62}$",
        ),
    ]
    """
    Unique name of this node (lower-case letters, digits, dashes).
    """
    region: Annotated[
        str, Meta(description="Region of this node.", pattern="^[a-z0-9][a-z0-9-]{0,62}$")
    ]
    """
    Region of this node.
    """
    data_center: Annotated[
        str, Meta(description="Data centre of this node.", pattern="^[a-z0-9][a-z0-9-]{0,62}$")
    ]
    """
    Data centre of this node.
    """
    address: Annotated[
        str, Meta(description="IP address that this node listens on and that peers reach it at.")
    ]
    """
    IP address that this node listens on and that peers reach it at.
    """
    caller_port: Annotated[int, Meta(description="TCP port for callers.", ge=1, le=65535)]
    """
    TCP port for callers.
    """
    peer_port: Annotated[
        int, Meta(description="TCP port for calls from other nodes.", ge=1, le=65535)
    ]
    """
    TCP port for calls from other nodes.
    """
    admin_port: Annotated[
        int,
        Meta(
            description="TCP port for operators and for the upstream's announcements.",
            ge=1,
            le=65535,
        ),
    ]
    """
    TCP port for operators and for the upstream's announcements.
    """
    gossip_port: Annotated[
        int, Meta(description="UDP port for membership messages.", ge=1, le=65535)
    ]
    """
    UDP port for membership messages.
    """
    log_calls: Annotated[bool, Meta(description="Write one log line for each call.")] = True
    """
    Write one log line for each call.
    """


class PlatformSection(Struct):
    """
    The platform's object API.
    """

    url: Annotated[
        str,
        Meta(description="Base address of the platform's object API.", pattern="^https?://[^/]+$"),
    ]
    """
    Base address of the platform's object API.
    """
    timeout_ms: Annotated[
        int, Meta(description="Longest wait for one answer, in milliseconds.", ge=10, le=60000)
    ] = 1000
    """
    Longest wait for one answer, in milliseconds.
    """


class PeersSection(Struct):
    """
    Nodes to ask when the platform is out at start.
    """

    seeds: Annotated[
        list[str],
        Meta(description="Gossip addresses of other nodes, as ip:port, separated by spaces."),
    ] = field(default_factory=list)
    """
    Gossip addresses of other nodes, as ip:port, separated by spaces.
    """


class LimitsSection(Struct):
    """
    Bounds on what one connection or call may use.
    """

    header_bytes: Annotated[
        int, Meta(description="Largest request head, in bytes.", ge=1024, le=1048576)
    ] = 32768
    """
    Largest request head, in bytes.
    """
    body_bytes: Annotated[
        int, Meta(description="Largest request body, in bytes.", ge=0, le=1073741824)
    ] = 67108864
    """
    Largest request body, in bytes.
    """
    replay_bytes: Annotated[
        int,
        Meta(
            description="Largest request or answer body kept in memory so that it can be sent again, in bytes.",
            ge=0,
            le=1048576,
        ),
    ] = 65536
    """
    Largest request or answer body kept in memory so that it can be sent again, in bytes.
    """
    header_time_ms: Annotated[
        int,
        Meta(
            description="Longest time to receive a request head, in milliseconds.",
            ge=100,
            le=600000,
        ),
    ] = 10000
    """
    Longest time to receive a request head, in milliseconds.
    """
    idle_time_ms: Annotated[
        int,
        Meta(
            description="Longest time a connection may stay idle, in milliseconds.",
            ge=100,
            le=3600000,
        ),
    ] = 60000
    """
    Longest time a connection may stay idle, in milliseconds.
    """
    silence_ms: Annotated[
        int,
        Meta(
            description="Time without a heartbeat after which a peer's connection is taken as lost, in milliseconds.",
            ge=200,
            le=60000,
        ),
    ] = 1000
    """
    Time without a heartbeat after which a peer's connection is taken as lost, in milliseconds.
    """
    heartbeat_ms: Annotated[
        int,
        Meta(
            description="Time between two heartbeats of a running call, in milliseconds.",
            ge=50,
            le=10000,
        ),
    ] = 250
    """
    Time between two heartbeats of a running call, in milliseconds.
    """
    kept_answer_bytes: Annotated[
        int,
        Meta(
            description="Memory for finished answers that a sender may ask for again, in bytes.",
            ge=0,
            le=67108864,
        ),
    ] = 4194304
    """
    Memory for finished answers that a sender may ask for again, in bytes.
    """
    kept_answer_ms: Annotated[
        int,
        Meta(
            description="Time that a finished answer is kept, in milliseconds.", ge=100, le=3600000
        ),
    ] = 60000
    """
    Time that a finished answer is kept, in milliseconds.
    """
    leaving_notice_ms: Annotated[
        int,
        Meta(
            description="Time that a node which is being stopped still takes calls from callers and passes them on, so that they can turn to another node, in milliseconds.",
            ge=0,
            le=600000,
        ),
    ] = 2000
    """
    Time that a node which is being stopped still takes calls from callers and passes them on, so that they can turn to another node, in milliseconds.
    """
    drain_ms: Annotated[
        int,
        Meta(
            description="Longest time that a shutdown waits for calls in flight, in milliseconds.",
            ge=100,
            le=3600000,
        ),
    ] = 60000
    """
    Longest time that a shutdown waits for calls in flight, in milliseconds.
    """


class NodeSettings(Struct):
    node: NodeSection
    platform: PlatformSection
    peers: PeersSection
    limits: LimitsSection

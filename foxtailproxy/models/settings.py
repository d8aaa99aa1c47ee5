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
    caller_address: Annotated[
        str,
        Meta(description="IP address and port for callers, as ip:port; in place of caller_port."),
    ] = ""
    """
    IP address and port for callers, as ip:port; in place of caller_port.
    """
    caller_port: Annotated[
        int,
        Meta(
            description="TCP port for callers, on `address`; 0 where caller_address is given.",
            ge=0,
            le=65535,
        ),
    ] = 0
    """
    TCP port for callers, on `address`; 0 where caller_address is given.
    """
    advertised_peer_port: Annotated[
        int,
        Meta(
            description="Port at which other nodes reach the peer port, where something between them gives it another number; 0 for the same.",
            ge=0,
            le=65535,
        ),
    ] = 0
    """
    Port at which other nodes reach the peer port, where something between them gives it another number; 0 for the same.
    """
    log_calls: Annotated[bool, Meta(description="Write one log line for each call.")] = True
    """
    Write one log line for each call.
    """
    ready_address: Annotated[
        str,
        Meta(
            description="IP address and port that tells the platform whether this node is ready, as ip:port; empty for none."
        ),
    ] = ""
    """
    IP address and port that tells the platform whether this node is ready, as ip:port; empty for none.
    """
    control_address: Annotated[
        str,
        Meta(
            description="IP address and port for the upstream's heartbeats in the platform's form, as ip:port; empty for none."
        ),
    ] = ""
    """
    IP address and port for the upstream's heartbeats in the platform's form, as ip:port; empty for none.
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
    adapter: Annotated[
        bool,
        Meta(
            description="Speak the platform's interface with callers and upstreams, and take the configuration in its form."
        ),
    ] = False
    """
    Speak the platform's interface with callers and upstreams, and take the configuration in its form.
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
    stop_grace_s: Annotated[
        float,
        Meta(
            description="Time after SIGTERM at which this process is killed, in seconds; a shutdown ends before it. 0 where it is not.",
            ge=0.0,
            le=3600.0,
        ),
    ] = 0
    """
    Time after SIGTERM at which this process is killed, in seconds; a shutdown ends before it. 0 where it is not.
    """


class UpstreamSection(Struct):
    """
    The upstream beside this node.
    """

    service: Annotated[
        str,
        Meta(
            description="Service of the upstream, which is also the caller's service of all requests that begin here."
        ),
    ] = ""
    """
    Service of the upstream, which is also the caller's service of all requests that begin here.
    """
    address: Annotated[
        str,
        Meta(
            description="IP address and port of the upstream, as ip:port; with it a node that restarts finds an upstream that still runs."
        ),
    ] = ""
    """
    IP address and port of the upstream, as ip:port; with it a node that restarts finds an upstream that still runs.
    """
    health_path: Annotated[
        str,
        Meta(
            description="Path of the upstream's health check, until a configuration names another.",
            pattern="^/",
        ),
    ] = "/healthz"
    """
    Path of the upstream's health check, until a configuration names another.
    """
    slot_percent: Annotated[
        int,
        Meta(
            description="Share of the announced slots that calls may use, as a percentage; an upstream that slows down when nearly full wants less than 100.",
            ge=1,
            le=100,
        ),
    ] = 100
    """
    Share of the announced slots that calls may use, as a percentage; an upstream that slows down when nearly full wants less than 100.
    """
    reuse_idle_ms: Annotated[
        int,
        Meta(
            description="Idle time up to which an open connection is used for a call that may not run again, in milliseconds; 0 opens a new one for each. The upstream may close an idle connection as the call is sent, whose outcome is then unknown.",
            ge=0,
            le=60000,
        ),
    ] = 0
    """
    Idle time up to which an open connection is used for a call that may not run again, in milliseconds; 0 opens a new one for each. The upstream may close an idle connection as the call is sent, whose outcome is then unknown.
    """
    overdue_ms: Annotated[
        int,
        Meta(
            description="Time after its deadline for which a call that may not run again keeps its slot and connection, in milliseconds; little where the upstream stops work at the deadline that it is given.",
            ge=0,
            le=600000,
        ),
    ] = 30000
    """
    Time after its deadline for which a call that may not run again keeps its slot and connection, in milliseconds; little where the upstream stops work at the deadline that it is given.
    """


class BudgetsSection(Struct):
    """
    Budgets that all nodes share.
    """

    retry_ratio: Annotated[
        float,
        Meta(
            description="Calls sent to a further target, as a share of the calls of a service in one window.",
            ge=0.0,
            le=1.0,
        ),
    ] = 0.1
    """
    Calls sent to a further target, as a share of the calls of a service in one window.
    """
    retry_slack: Annotated[
        float,
        Meta(
            description="Calls sent to a further target that are allowed in one window beside that share, for all nodes together.",
            ge=0.0,
            le=1000000.0,
        ),
    ] = 0
    """
    Calls sent to a further target that are allowed in one window beside that share, for all nodes together.
    """
    retry_window_s: Annotated[
        float, Meta(description="Length of the window, in seconds.", ge=0.1, le=3600.0)
    ] = 10
    """
    Length of the window, in seconds.
    """


class LinksSection(Struct):
    """
    What traffic between instances costs, in requests (the worth of one answer in time).
    """

    data_center_cost_per_mb: Annotated[
        float,
        Meta(
            description="Cost of a megabyte to another data centre of the region.",
            ge=0.0,
            le=100000.0,
        ),
    ] = 0
    """
    Cost of a megabyte to another data centre of the region.
    """
    region_cost_per_mb: Annotated[
        float, Meta(description="Cost of a megabyte to another region.", ge=0.0, le=100000.0)
    ] = 0
    """
    Cost of a megabyte to another region.
    """


class NodeSettings(Struct):
    node: NodeSection
    platform: PlatformSection
    peers: PeersSection
    limits: LimitsSection
    upstream: UpstreamSection
    budgets: BudgetsSection
    links: LinksSection

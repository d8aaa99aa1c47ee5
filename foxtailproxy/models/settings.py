"""Models generated from `schema/settings.schema.json`."""

from __future__ import annotations
from typing import Annotated
from msgspec import Meta, Struct, field


class NodeSection(Struct):
    """
    Identity and addresses of this node.
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
        str, Meta(description="IP address that this node listens on and at which peers reach it.")
    ]
    """
    IP address that this node listens on and at which peers reach it.
    """
    peer_port: Annotated[int, Meta(description="TCP port for calls from peers.", ge=1, le=65535)]
    """
    TCP port for calls from peers.
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
            description="Port at which peers reach peer_port, where the network between them maps it to another number; 0 for the same.",
            ge=0,
            le=65535,
        ),
    ] = 0
    """
    Port at which peers reach peer_port, where the network between them maps it to another number; 0 for the same.
    """
    log_calls: Annotated[bool, Meta(description="Write one log line for each call.")] = True
    """
    Write one log line for each call.
    """
    ready_address: Annotated[
        str,
        Meta(
            description="IP address and port of the readiness check for the platform, as ip:port; empty for none."
        ),
    ] = ""
    """
    IP address and port of the readiness check for the platform, as ip:port; empty for none.
    """
    control_address: Annotated[
        str,
        Meta(
            description="IP address and port for the upstream's heartbeats in the platform's format, as ip:port; empty for none."
        ),
    ] = ""
    """
    IP address and port for the upstream's heartbeats in the platform's format, as ip:port; empty for none.
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
            description="Use the platform's interface with callers and upstreams, and read the configuration in its format."
        ),
    ] = False
    """
    Use the platform's interface with callers and upstreams, and read the configuration in its format.
    """
    evacuations: Annotated[
        bool,
        Meta(
            description="Watch the store for data centres that operators evacuate; each watcher keeps one more watch waiting."
        ),
    ] = False
    """
    Watch the store for data centres that operators evacuate; each watcher keeps one more watch waiting.
    """


class PeersSection(Struct):
    """
    Nodes to contact when the platform is unavailable at startup.
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
    Limits of connections, calls and shutdown.
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
            description="Largest request or answer body kept in memory so that it can be resent, in bytes.",
            ge=0,
            le=1048576,
        ),
    ] = 65536
    """
    Largest request or answer body kept in memory so that it can be resent, in bytes.
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
            description="Time without a heartbeat after which a peer's connection is declared lost, in milliseconds.",
            ge=200,
            le=60000,
        ),
    ] = 1000
    """
    Time without a heartbeat after which a peer's connection is declared lost, in milliseconds.
    """
    heartbeat_ms: Annotated[
        int,
        Meta(
            description="Interval between heartbeats of a running call, in milliseconds.",
            ge=50,
            le=10000,
        ),
    ] = 250
    """
    Interval between heartbeats of a running call, in milliseconds.
    """
    kept_answer_bytes: Annotated[
        int,
        Meta(
            description="Memory for finished answers that the sending node may request again, in bytes.",
            ge=0,
            le=67108864,
        ),
    ] = 4194304
    """
    Memory for finished answers that the sending node may request again, in bytes.
    """
    kept_answer_ms: Annotated[
        int,
        Meta(
            description="Time for which a finished answer is kept, in milliseconds.",
            ge=100,
            le=3600000,
        ),
    ] = 60000
    """
    Time for which a finished answer is kept, in milliseconds.
    """
    leaving_notice_ms: Annotated[
        int,
        Meta(
            description="Time for which a node that is shutting down still accepts calls from callers and forwards them, so that the callers can switch to another node, in milliseconds.",
            ge=0,
            le=600000,
        ),
    ] = 2000
    """
    Time for which a node that is shutting down still accepts calls from callers and forwards them, so that the callers can switch to another node, in milliseconds.
    """
    drain_ms: Annotated[
        int,
        Meta(
            description="Longest time for which a shutdown waits for calls in flight, in milliseconds.",
            ge=100,
            le=3600000,
        ),
    ] = 60000
    """
    Longest time for which a shutdown waits for calls in flight, in milliseconds.
    """
    stop_grace_s: Annotated[
        float,
        Meta(
            description="Time after SIGTERM at which this process is killed, in seconds; a shutdown ends before it. 0 where the process is not killed.",
            ge=0.0,
            le=3600.0,
        ),
    ] = 0
    """
    Time after SIGTERM at which this process is killed, in seconds; a shutdown ends before it. 0 where the process is not killed.
    """
    memory_mb: Annotated[
        float,
        Meta(
            description="Memory of this instance, in megabytes; 0 where it is not known, and the limits that follow from it are those of 256.",
            ge=0.0,
            le=1048576.0,
        ),
    ] = 0
    """
    Memory of this instance, in megabytes; 0 where it is not known, and the limits that follow from it are those of 256.
    """
    max_fds: Annotated[
        float,
        Meta(
            description="Descriptors that this process may open; 0 where it is not known. The limit of the operating system applies too.",
            ge=0.0,
            le=1048576.0,
        ),
    ] = 0
    """
    Descriptors that this process may open; 0 where it is not known. The limit of the operating system applies too.
    """
    header_lines: Annotated[
        int,
        Meta(
            description="Largest number of header lines of a request; a request with more gets 431.",
            ge=16,
            le=262144,
        ),
    ] = 8192
    """
    Largest number of header lines of a request; a request with more gets 431.
    """
    request_memory_bytes: Annotated[
        int,
        Meta(
            description="Largest memory for the decoded head of one request, in bytes; a request that takes more gets 431.",
            ge=65536,
            le=67108864,
        ),
    ] = 4194304
    """
    Largest memory for the decoded head of one request, in bytes; a request that takes more gets 431.
    """
    unfinished_percent: Annotated[
        int,
        Meta(
            description="Share of memory_mb that all unfinished requests of clients may hold, as a percentage; above it, the connections that hold the most are closed.",
            ge=1,
            le=80,
        ),
    ] = 20
    """
    Share of memory_mb that all unfinished requests of clients may hold, as a percentage; above it, the connections that hold the most are closed.
    """
    client_fd_percent: Annotated[
        int,
        Meta(
            description="Share of max_fds that the connections of clients may use, as a percentage; above it, the connection that was silent for the longest time is closed. The others are for the upstream, other nodes, the store and files.",
            ge=1,
            le=95,
        ),
    ] = 70
    """
    Share of max_fds that the connections of clients may use, as a percentage; above it, the connection that was silent for the longest time is closed. The others are for the upstream, other nodes, the store and files.
    """


class UpstreamSection(Struct):
    """
    The local upstream of this node.
    """

    service: Annotated[
        str,
        Meta(
            description="Service of the upstream; also the caller's service of all requests that enter at this node."
        ),
    ] = ""
    """
    Service of the upstream; also the caller's service of all requests that enter at this node.
    """
    address: Annotated[
        str,
        Meta(
            description="IP address and port of the upstream, as ip:port; lets a restarted node find an upstream that is still running."
        ),
    ] = ""
    """
    IP address and port of the upstream, as ip:port; lets a restarted node find an upstream that is still running.
    """
    health_path: Annotated[
        str,
        Meta(
            description="Path of the upstream's health check, until a configuration with another path is adopted.",
            pattern="^/",
        ),
    ] = "/healthz"
    """
    Path of the upstream's health check, until a configuration with another path is adopted.
    """
    slot_percent: Annotated[
        int,
        Meta(
            description="Share of the announced slots that calls may use, as a percentage; use less than 100 for an upstream that slows down when nearly full.",
            ge=1,
            le=100,
        ),
    ] = 100
    """
    Share of the announced slots that calls may use, as a percentage; use less than 100 for an upstream that slows down when nearly full.
    """
    reuse_idle_ms: Annotated[
        int,
        Meta(
            description="Idle time up to which an open connection is reused for a call that may not run again, in milliseconds; 0 opens a new connection for each. The upstream may close an idle connection while the call is sent, and the outcome of the call is then unknown.",
            ge=0,
            le=60000,
        ),
    ] = 0
    """
    Idle time up to which an open connection is reused for a call that may not run again, in milliseconds; 0 opens a new connection for each. The upstream may close an idle connection while the call is sent, and the outcome of the call is then unknown.
    """
    overdue_ms: Annotated[
        int,
        Meta(
            description="Time after its deadline for which a call that may not run again keeps its slot and connection, in milliseconds; set it low where the upstream stops work at the deadline that it receives.",
            ge=0,
            le=600000,
        ),
    ] = 30000
    """
    Time after its deadline for which a call that may not run again keeps its slot and connection, in milliseconds; set it low where the upstream stops work at the deadline that it receives.
    """


class BudgetsSection(Struct):
    """
    Retry budget shared by all nodes.
    """

    retry_ratio: Annotated[
        float,
        Meta(
            description="Sends to further targets that are allowed in one window, as a share of the calls of a service.",
            ge=0.0,
            le=1.0,
        ),
    ] = 0.1
    """
    Sends to further targets that are allowed in one window, as a share of the calls of a service.
    """
    retry_slack: Annotated[
        float,
        Meta(
            description="Sends to further targets that are allowed in one window beyond that share, for all nodes together.",
            ge=0.0,
            le=1000000.0,
        ),
    ] = 0
    """
    Sends to further targets that are allowed in one window beyond that share, for all nodes together.
    """
    retry_window_s: Annotated[
        float, Meta(description="Length of the window, in seconds.", ge=0.1, le=3600.0)
    ] = 10
    """
    Length of the window, in seconds.
    """


class LinksSection(Struct):
    """
    Cost of traffic between instances, in requests (the value of one answer in time).
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
    leave_by_chance: Annotated[
        bool,
        Meta(
            description="Send a call to another data centre only where that raises its chance of an answer within the objective by more than its bytes cost, and compare more targets of the own data centre first."
        ),
    ] = False
    """
    Send a call to another data centre only where that raises its chance of an answer within the objective by more than its bytes cost, and compare more targets of the own data centre first.
    """


class CustomersSection(Struct):
    """
    Terms of the customers' allowances and keys.
    """

    allowance_window_s: Annotated[
        float,
        Meta(
            description="Window in which the requests of a customer are counted, in seconds.",
            ge=0.1,
            le=3600.0,
        ),
    ] = 5
    """
    Window in which the requests of a customer are counted, in seconds.
    """
    allowance_overage: Annotated[
        float,
        Meta(
            description="Requests beyond the allowance of one window that all nodes together may admit, as a share of it.",
            ge=0.0,
            le=10.0,
        ),
    ] = 0
    """
    Requests beyond the allowance of one window that all nodes together may admit, as a share of it.
    """
    allowance_slack: Annotated[
        float,
        Meta(
            description="Requests beyond that share that all nodes together may admit in one window.",
            ge=0.0,
            le=1000000.0,
        ),
    ] = 0
    """
    Requests beyond that share that all nodes together may admit in one window.
    """
    fail_closed: Annotated[
        bool,
        Meta(
            description="Refuse requests that need a key when this node has not known for long whether its configuration is the newest."
        ),
    ] = False
    """
    Refuse requests that need a key when this node has not known for long whether its configuration is the newest.
    """
    fail_closed_after_ms: Annotated[
        int,
        Meta(
            description="Time without that knowledge after which it refuses, in milliseconds.",
            ge=0,
            le=3600000,
        ),
    ] = 5000
    """
    Time without that knowledge after which it refuses, in milliseconds.
    """


class ColdStartSection(Struct):
    """
    Terms of the limit on requests to cold upstreams.
    """

    overage: Annotated[
        float,
        Meta(
            description="Requests that a cold upstream may get in one second, as a multiple of its cold rate.",
            ge=0.0,
            le=100.0,
        ),
    ] = 1
    """
    Requests that a cold upstream may get in one second, as a multiple of its cold rate.
    """
    slack: Annotated[
        float,
        Meta(
            description="Requests beyond that multiple that a cold upstream may get in one second.",
            ge=0.0,
            le=1000000.0,
        ),
    ] = 0
    """
    Requests beyond that multiple that a cold upstream may get in one second.
    """


class NodeSettings(Struct):
    node: NodeSection
    platform: PlatformSection
    peers: PeersSection
    limits: LimitsSection
    upstream: UpstreamSection
    budgets: BudgetsSection
    links: LinksSection
    customers: CustomersSection
    cold_start: ColdStartSection

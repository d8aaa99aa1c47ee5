"""Models generated from `schema/rules.schema.json`."""

from __future__ import annotations
from msgspec import Meta, Struct, field
from typing import Annotated, TypeAlias


class FleetRule(Struct):
    """
    Budgets and limits that apply to every node.
    """

    retry_percent: Annotated[
        int, Meta(description="Retries allowed, as a percentage of calls.", ge=0, le=100)
    ] = 10
    """
    Retries allowed, as a percentage of calls.
    """
    measure_bytes_per_s: Annotated[
        int,
        Meta(
            description="Bandwidth that one node may use to measure other nodes, in bytes per second.",
            ge=0,
            le=1000000,
        ),
    ] = 4000
    """
    Bandwidth that one node may use to measure other nodes, in bytes per second.
    """
    paid_measure_bytes_per_s: Annotated[
        int,
        Meta(
            description="Bandwidth that one node may use for measurements over the paid link between regions, in bytes per second.",
            ge=0,
            le=1000000,
        ),
    ] = 500
    """
    Bandwidth that one node may use for measurements over the paid link between regions, in bytes per second.
    """
    paid_call_bytes_per_s: Annotated[
        int,
        Meta(
            description="Bandwidth that one node may use for calls over the paid link between regions, in bytes per second.",
            ge=0,
            le=125000000,
        ),
    ] = 250000
    """
    Bandwidth that one node may use for calls over the paid link between regions, in bytes per second.
    """
    crash_limit: Annotated[
        int,
        Meta(
            description="Upstreams that one request may crash before it is quarantined.",
            ge=1,
            le=10,
        ),
    ] = 2
    """
    Upstreams that one request may crash before it is quarantined.
    """
    quarantine_ms: Annotated[
        int,
        Meta(
            description="Time for which a request stays quarantined, in milliseconds.",
            ge=1000,
            le=86400000,
        ),
    ] = 600000
    """
    Time for which a request stays quarantined, in milliseconds.
    """
    header_bytes: Annotated[
        int,
        Meta(
            description="Largest request head, in bytes; 0 for the value in the node's settings.",
            ge=0,
            le=1048576,
        ),
    ] = 0
    """
    Largest request head, in bytes; 0 for the value in the node's settings.
    """
    body_bytes: Annotated[
        int,
        Meta(
            description="Largest request body, in bytes; 0 for the value in the node's settings.",
            ge=0,
            le=1073741824,
        ),
    ] = 0
    """
    Largest request body, in bytes; 0 for the value in the node's settings.
    """
    header_time_ms: Annotated[
        int,
        Meta(
            description="Longest time to receive a request head, in milliseconds; 0 for the value in the node's settings.",
            ge=0,
            le=600000,
        ),
    ] = 0
    """
    Longest time to receive a request head, in milliseconds; 0 for the value in the node's settings.
    """
    idle_time_ms: Annotated[
        int,
        Meta(
            description="Longest time a connection may stay idle, in milliseconds; 0 for the value in the node's settings.",
            ge=0,
            le=3600000,
        ),
    ] = 0
    """
    Longest time a connection may stay idle, in milliseconds; 0 for the value in the node's settings.
    """


class ServiceRule(Struct):
    """
    Service and the host names that callers use for it.
    """

    name: Annotated[
        str, Meta(description="Name of the service.", pattern="^[a-z0-9][a-z0-9-]{0,62}$")
    ]
    """
    Name of the service.
    """
    hosts: Annotated[
        list[str],
        Meta(
            description="Values of the Host header that name this service; empty where only routes refer to it."
        ),
    ] = field(default_factory=list)
    """
    Values of the Host header that name this service; empty where only routes refer to it.
    """
    tenant_header: Annotated[str, Meta(description="Request header that names the tenant.")] = (
        "x-tenant"
    )
    """
    Request header that names the tenant.
    """
    long_after_ms: Annotated[
        int,
        Meta(
            description="Run time above which a call counts as long, in milliseconds.",
            ge=1,
            le=3600000,
        ),
    ] = 500
    """
    Run time above which a call counts as long, in milliseconds.
    """
    long_percent: Annotated[
        int,
        Meta(
            description="Share of a target's slots that long calls may occupy, as a percentage.",
            ge=1,
            le=100,
        ),
    ] = 50
    """
    Share of a target's slots that long calls may occupy, as a percentage.
    """
    overflow_after_ms: Annotated[
        int,
        Meta(
            description="Expected wait in the local region from which calls may be sent to another region, in milliseconds.",
            ge=0,
            le=3600000,
        ),
    ] = 100
    """
    Expected wait in the local region from which calls may be sent to another region, in milliseconds.
    """
    local_margin_ms: Annotated[
        int,
        Meta(
            description="Extra expected wait at the local target that is accepted before a call is sent to a peer, in milliseconds.",
            ge=0,
            le=60000,
        ),
    ] = 5
    """
    Extra expected wait at the local target that is accepted before a call is sent to a peer, in milliseconds.
    """
    health_path: Annotated[
        str,
        Meta(
            description="Path of the health check of its upstreams; empty for the path in the node's settings.",
            pattern="^(/.*)?$",
        ),
    ] = ""
    """
    Path of the health check of its upstreams; empty for the path in the node's settings.
    """
    cold_per_s: Annotated[
        float,
        Meta(
            description="Requests per second that an upstream bears while it is cold after its start; 0 for no limit.",
            ge=0.0,
            le=1000000.0,
        ),
    ] = 0
    """
    Requests per second that an upstream bears while it is cold after its start; 0 for no limit.
    """


Method: TypeAlias = Annotated[str, Meta(pattern="^[A-Z]+$")]


Region: TypeAlias = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]


class ClassRule(Struct):
    """
    Requests of one service that share the rules for retries, load shedding and queueing.
    """

    service: Annotated[
        str,
        Meta(description="Service that the class belongs to.", pattern="^[a-z0-9][a-z0-9-]{0,62}$"),
    ]
    """
    Service that the class belongs to.
    """
    name: Annotated[
        str, Meta(description="Name of the class.", pattern="^[a-z0-9][a-z0-9-]{0,62}$")
    ]
    """
    Name of the class.
    """
    methods: Annotated[
        list[Method], Meta(description="HTTP methods of the class; empty for all.")
    ] = field(default_factory=list)
    """
    HTTP methods of the class; empty for all.
    """
    path_prefix: Annotated[
        str, Meta(description="Path prefix of the class; the longest match wins.", pattern="^/")
    ] = "/"
    """
    Path prefix of the class; the longest match wins.
    """
    idempotent: Annotated[bool, Meta(description="Whether a request may run more than once.")] = (
        False
    )
    """
    Whether a request may run more than once.
    """
    attempts: Annotated[
        int, Meta(description="Maximum number of targets that one request is sent to.", ge=1, le=10)
    ] = 3
    """
    Maximum number of targets that one request is sent to.
    """
    weight: Annotated[
        int,
        Meta(
            description="Weight of the class's share of a busy target, relative to the other classes.",
            ge=1,
            le=100,
        ),
    ] = 1
    """
    Weight of the class's share of a busy target, relative to the other classes.
    """
    priority: Annotated[
        int, Meta(description="Priority of the class; the lowest is shed first.", ge=0, le=9)
    ] = 5
    """
    Priority of the class; the lowest is shed first.
    """
    deadline_ms: Annotated[
        int, Meta(description="Longest time for the whole call, in milliseconds.", ge=1, le=3600000)
    ] = 5000
    """
    Longest time for the whole call, in milliseconds.
    """
    hold_ms: Annotated[
        int,
        Meta(
            description="Longest time for which a request may be held in a queue, in milliseconds.",
            ge=0,
            le=3600000,
        ),
    ] = 1000
    """
    Longest time for which a request may be held in a queue, in milliseconds.
    """
    queue: Annotated[
        int,
        Meta(
            description="Maximum number of queued requests of the class at one target.",
            ge=0,
            le=100000,
        ),
    ] = 100
    """
    Maximum number of queued requests of the class at one target.
    """
    long: Annotated[
        bool, Meta(description="Whether requests of the class count as long from the start.")
    ] = False
    """
    Whether requests of the class count as long from the start.
    """
    objective_ms: Annotated[
        int,
        Meta(
            description="Latency objective: time within which an answer is worth most, in milliseconds; 0 for none.",
            ge=0,
            le=3600000,
        ),
    ] = 0
    """
    Latency objective: time within which an answer is worth most, in milliseconds; 0 for none.
    """
    regions: Annotated[
        list[Region],
        Meta(description="Regions in which its requests may be served; empty for all."),
    ] = field(default_factory=list)
    """
    Regions in which its requests may be served; empty for all.
    """
    auth_exempt: Annotated[
        bool, Meta(description="Whether its requests need no key of a customer.")
    ] = False
    """
    Whether its requests need no key of a customer.
    """


Service: TypeAlias = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}(=[0-9]{1,6})?$")]


class RouteRule(Struct):
    """
    Requests of one host and path prefix, and the services that share them; takes precedence over the hosts of services.
    """

    name: Annotated[
        str,
        Meta(
            description="Name of the route and of the class that its requests form.",
            pattern="^[a-z0-9][a-z0-9-]{0,62}$",
        ),
    ]
    """
    Name of the route and of the class that its requests form.
    """
    host: Annotated[
        str, Meta(description="Value of the Host header of the route's requests.", min_length=1)
    ]
    """
    Value of the Host header of the route's requests.
    """
    services: Annotated[
        list[Service],
        Meta(
            description="Services that serve the route, each with its weight, as NAME=WEIGHT; the weight is 1 where none is given.",
            min_length=1,
        ),
    ]
    """
    Services that serve the route, each with its weight, as NAME=WEIGHT; the weight is 1 where none is given.
    """
    path_prefix: Annotated[
        str, Meta(description="Path prefix of the route; the longest match wins.", pattern="^/")
    ] = "/"
    """
    Path prefix of the route; the longest match wins.
    """
    idempotent: Annotated[bool, Meta(description="Whether a request may run more than once.")] = (
        False
    )
    """
    Whether a request may run more than once.
    """
    attempts: Annotated[
        int, Meta(description="Maximum number of targets that one request is sent to.", ge=1, le=10)
    ] = 3
    """
    Maximum number of targets that one request is sent to.
    """
    weight: Annotated[
        int,
        Meta(
            description="Weight of the class's share of a busy target, relative to the other classes.",
            ge=1,
            le=100,
        ),
    ] = 1
    """
    Weight of the class's share of a busy target, relative to the other classes.
    """
    priority: Annotated[
        int, Meta(description="Priority of the class; the lowest is shed first.", ge=0, le=9)
    ] = 5
    """
    Priority of the class; the lowest is shed first.
    """
    deadline_ms: Annotated[
        int, Meta(description="Longest time for the whole call, in milliseconds.", ge=1, le=3600000)
    ] = 5000
    """
    Longest time for the whole call, in milliseconds.
    """
    hold_ms: Annotated[
        int,
        Meta(
            description="Longest time for which a request may be held in a queue, in milliseconds.",
            ge=0,
            le=3600000,
        ),
    ] = 1000
    """
    Longest time for which a request may be held in a queue, in milliseconds.
    """
    queue: Annotated[
        int,
        Meta(
            description="Maximum number of queued requests of the class at one target.",
            ge=0,
            le=100000,
        ),
    ] = 100
    """
    Maximum number of queued requests of the class at one target.
    """
    objective_ms: Annotated[
        int,
        Meta(
            description="Latency objective: time within which an answer is worth most, in milliseconds; 0 for none.",
            ge=0,
            le=3600000,
        ),
    ] = 0
    """
    Latency objective: time within which an answer is worth most, in milliseconds; 0 for none.
    """
    regions: Annotated[
        list[Region],
        Meta(description="Regions in which its requests may be served; empty for all."),
    ] = field(default_factory=list)
    """
    Regions in which its requests may be served; empty for all.
    """
    auth_exempt: Annotated[
        bool, Meta(description="Whether its requests need no key of a customer.")
    ] = False
    """
    Whether its requests need no key of a customer.
    """


Key: TypeAlias = Annotated[str, Meta(min_length=1)]


class CustomerRule(Struct):
    """
    Customer whose callers identify themselves with one of its keys.
    """

    name: Annotated[
        str,
        Meta(
            description="Name of the customer, which its requests carry to upstreams.",
            max_length=63,
            min_length=1,
        ),
    ]
    """
    Name of the customer, which its requests carry to upstreams.
    """
    keys: Annotated[
        list[Key],
        Meta(
            description="Keys of the customer, separated by spaces; without any, its requests are refused."
        ),
    ] = field(default_factory=list)
    """
    Keys of the customer, separated by spaces; without any, its requests are refused.
    """
    priority: Annotated[
        int,
        Meta(
            description="Priority of the customer's requests, in place of that of their class or route; -1 for theirs.",
            ge=-1,
            le=9,
        ),
    ] = -1
    """
    Priority of the customer's requests, in place of that of their class or route; -1 for theirs.
    """
    rate_per_s: Annotated[
        float,
        Meta(
            description="Requests per second that the customer may send over all nodes; 0 for no limit.",
            ge=0.0,
            le=1000000.0,
        ),
    ] = 0
    """
    Requests per second that the customer may send over all nodes; 0 for no limit.
    """
    burst: Annotated[
        float,
        Meta(
            description="Requests that the customer may send at once beyond that rate.",
            ge=0.0,
            le=1000000.0,
        ),
    ] = 0
    """
    Requests that the customer may send at once beyond that rate.
    """
    regions: Annotated[
        list[Region],
        Meta(description="Regions in which the customer's requests may be served; empty for all."),
    ] = field(default_factory=list)
    """
    Regions in which the customer's requests may be served; empty for all.
    """


class Rules(Struct):
    fleet: FleetRule
    services: list[ServiceRule]
    classes: list[ClassRule]
    routes: list[RouteRule] = field(default_factory=list)
    customers: list[CustomerRule] = field(default_factory=list)

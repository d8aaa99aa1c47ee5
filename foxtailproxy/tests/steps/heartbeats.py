"""Steps for the heartbeats and leave notices that a node on the platform gets."""

from __future__ import annotations

import json
from typing import Any

from behave import given, then, when
from twisted.internet.defer import ensureDeferred, succeed
from twisted.internet.testing import MemoryReactorClock

from foxtailproxy.config.rules import RuleBook
from foxtailproxy.config.settings import parse_settings
from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.messages import RequestHead
from foxtailproxy.models.messages import Announcement
from foxtailproxy.node import Node
from foxtailproxy.platform.configuration import PlatformConfigSource
from foxtailproxy.platform.instances import ControlHandler
from foxtailproxy.tests.steps.announcements import parse_announcement, step_target_state
from standins.platform_configs import config_text

UPSTREAM_ADDRESS = "127.0.0.1:80"

NODE_SETTINGS = """
[node]
node_id = n1
region = pohja
data_center = tallinn-a
address = 127.0.0.1
caller_port = 1
peer_port = 2
gossip_port = 3
admin_port = 4
[upstream]
{upstream}
[platform]
url = http://127.0.0.1:5
adapter = true
"""


def node_settings(upstream: str) -> Any:
    """Parse the settings of a node with an upstream in the form of the tables."""
    service, _, address = upstream.partition(" at ")
    lines = [] if service == "any service" else [f"service = {service}"]
    lines += [] if address == "any address" else [f"address = {address}"]
    return parse_settings(NODE_SETTINGS.format(upstream="\n".join(lines)), "node.ini")


class ControlRequest:
    """Request of the local target to its node, and the status of the answer."""

    def __init__(self, method: bytes, instance: str, body: bytes) -> None:
        self.head = RequestHead(method, f"/instances/{instance}".encode(), [])
        self.body = BodyStream.from_bytes(body)
        self.status = 0

    def respond(self, head: Any, body: BodyStream) -> None:
        """Record the status of the answer."""
        self.status = head.status


def control_request(node: Node, method: bytes, instance: str, body: dict[str, Any] | None) -> int:
    """Return the status of a node's answer to a request of its target."""
    text = b"" if body is None else json.dumps(body).encode()
    request: Any = ControlRequest(method, instance, text)
    handled: Any = ControlHandler(node).handle(request)
    ensureDeferred(handled)
    return request.status


def heartbeat(words: list[str], service: str, address: str) -> dict[str, Any]:
    """Return a heartbeat of a process in the form of the tables."""
    return {
        "service": service,
        "address": address,
        "zone": "tallinn-a",
        "version": "v1",
        "slots": 12,
        "state": "draining" if "leaving" in words else "ready",
        "cold_ms": 0,
        "sequence": int(words[2]),
        "born": int(words[1]),
    }


@given("a node whose settings name {upstream} as its upstream, found by a health check")
def step_node(context: Any, upstream: str) -> None:
    context.node = Node(MemoryReactorClock(), node_settings(upstream), 1)
    context.node.lifecycle.started()
    context.node.registration.save_leaving = lambda: succeed(None)
    context.node.target.receive_announcement(
        Announcement("kalender", "127.0.0.1", 80, 12, instance="a")
    )


@when("its settings name {upstream} as its upstream")
def step_settings(context: Any, upstream: str) -> None:
    context.node.reload(node_settings(upstream))


@when("it gets a heartbeat of process {instance}, which serves {service} at {address}")
def step_heartbeat(context: Any, instance: str, service: str, address: str) -> None:
    body = heartbeat([instance, "100", "1"], service, address)
    context.status = control_request(context.node, b"PUT", instance, body)


@then("it answers {status:d}, and its upstream serves {used}")
def step_upstream_used(context: Any, status: int, used: str) -> None:
    announcement = context.node.target.announcement
    assert context.status == status, context.status
    actual = f"{announcement.service} at {announcement.address}:{announcement.port}"
    assert actual == used, actual


@given("a node on the platform whose target was announced as {text}")
def step_node_with_target(context: Any, text: str) -> None:
    step_node(context, f"kalender at {UPSTREAM_ADDRESS}")
    context.node.target.receive_announcement(parse_announcement(text))


@given("the node has a configuration without the target's service")
def step_other_config(context: Any) -> None:
    config = config_text().replace('"kalender"', '"almanac"')
    rule_book = RuleBook(PlatformConfigSource().parse(config, "test"))
    assert "kalender" not in rule_book.service_by_name
    context.node.config_sync.rule_book = rule_book


@when("it gets the heartbeat {text}")
def step_heartbeat_of_process(context: Any, text: str) -> None:
    words = text.split()
    body = heartbeat(words, "kalender", UPSTREAM_ADDRESS)
    context.status = control_request(context.node, b"PUT", words[0], body)


@when("it gets the leave notice {text}")
def step_leave_notice(context: Any, text: str) -> None:
    instance, *born = text.split()
    body = {"born": int(born[0])} if born else None
    context.status = control_request(context.node, b"DELETE", instance, body)


@then("it answers {status:d}, and the target is {state} with process {process}")
def step_node_target(context: Any, status: int, state: str, process: str) -> None:
    assert context.status == status, context.status
    context.target = context.node.target
    step_target_state(context, state, process)

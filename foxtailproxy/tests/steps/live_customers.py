"""Steps for the keys of customers, with real processes."""

from __future__ import annotations

import http.client
from typing import Any

from behave import then, when

from foxtailproxy.tests.live import HOST, services_ini
from standins.fleet import ADDRESS, Member

KEY_PREFIX = "live-key-"
TIMEOUT_S = 5.0


@when("a configuration with just the key {key} is applied")
def step_apply(context: Any, key: str) -> None:
    customer = f"\n[customer alder]\nkeys = {key}\npriority = 8\n"
    context.live.fleet.apply_config(services_ini() + customer)


@when("a node is killed and started again with its peers as seeds")
def step_restart(context: Any) -> None:
    fleet = context.live.fleet
    member, *peers = fleet.members
    fleet.kill(member.node_id)
    seeds = " ".join(f"{ADDRESS}:{peer.gossip_port}" for peer in peers)
    fleet.start_node(member, seeds)
    fleet.wait_until(lambda: _status(member, "") == 401, "the node answers by its configuration")


def _status(member: Member, key: str) -> int:
    """Return the status of a request with a key, or without one; 0 without an answer."""
    connection = http.client.HTTPConnection(ADDRESS, member.caller_port, timeout=TIMEOUT_S)
    headers = {"host": HOST} | ({"authorization": f"Bearer {key}"} if key else {})
    try:
        connection.request("GET", "/days", headers=headers)
        return connection.getresponse().status
    except OSError:
        return 0
    finally:
        connection.close()


@then(
    "the status at all nodes is {first:d} with {known}, {second:d} with {other} "
    "and {third:d} without a key"
)
def step_statuses(
    context: Any, first: int, known: str, second: int, other: str, third: int
) -> None:
    for member in context.live.members:
        actual = [_status(member, key) for key in (known, other, "")]
        assert actual == [first, second, third], (member.node_id, actual)


@then("no process has logged a key")
def step_no_key_logged(context: Any) -> None:
    logs = list(context.live.fleet.folder.glob("*.log"))
    texts = [path.read_text(errors="replace") for path in logs]
    assert any("request_unauthenticated" in text for text in texts), logs
    assert not any(KEY_PREFIX in text for text in texts)

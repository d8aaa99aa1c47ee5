"""Steps for membership."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when
from msgspec.structs import replace

from foxtailproxy.models.messages import MemberState
from foxtailproxy.models.rules import FleetRule
from foxtailproxy.node import CATCH_UP_ROUNDS
from foxtailproxy.tests.fakes import advance, fake_clock
from foxtailproxy.tests.wire_fakes import GossipNode, Wire, build_nodes, largest_window, view_of

SUBJECT = "n3"
SETTLE_MS = 12_000
STEP_MS = 5.0
COARSE_STEP_MS = 50.0
WINDOW_S = 10


@given("{count:d} nodes in 2 regions that know each other")
def step_nodes(context: Any, count: int) -> None:
    context.clock = fake_clock()
    context.wire = Wire(context.clock, random.Random(count))
    context.nodes = build_nodes(context.wire, count)
    advance(context.clock, SETTLE_MS, STEP_MS)


@when("one node is {change}")
def step_change(context: Any, change: str) -> None:
    subject = context.nodes[SUBJECT]
    if change == "killed":
        subject.kill()
    else:
        subject.leave()


@when("a node is cut off for {ms:d} ms")
def step_cut_off(context: Any, ms: int) -> None:
    context.nodes[SUBJECT].running = False
    advance(context.clock, ms, STEP_MS)
    context.nodes[SUBJECT].running = True


@when("it is started again")
def step_restart(context: Any) -> None:
    advance(context.clock, SETTLE_MS, STEP_MS)
    old = context.nodes[SUBJECT].record
    record = replace(old, incarnation=old.incarnation + 1000, boot_id="boot-again")
    again = GossipNode(context.wire, record)
    context.nodes[SUBJECT] = again
    for other in context.nodes.values():
        again.table.merge(other.table.me)
    again.gossip.spread(record)


@when("all announce a target, and a node restarts that knows them from before")
def step_restart_old(context: Any) -> None:
    before = [node.table.me for node in context.nodes.values()]
    for node in context.nodes.values():
        node.gossip.spread(node.table.update_me(service="wages", slots=3))
    advance(context.clock, SETTLE_MS, STEP_MS)
    old = context.nodes[SUBJECT]
    old.kill()
    record = replace(old.record, incarnation=old.record.incarnation + 1000, boot_id="boot-again")
    context.again = GossipNode(context.wire, record)
    for known in before:
        context.again.table.merge(known)
    context.again.gossip.spread(record)


@then("it knows all targets within {within:d} ms")
def step_knows_targets(context: Any, within: int) -> None:
    table = context.again.table
    for _ in range(CATCH_UP_ROUNDS):
        context.again.gossip.comparison.catch_up()
        advance(context.clock, within / CATCH_UP_ROUNDS, STEP_MS)
    stale = [name for name in context.nodes if table.by_id[name].service != "wages"]
    assert stale == [SUBJECT], stale


@when("the regions are apart for {ms:d} ms")
def step_apart(context: Any, ms: int) -> None:
    context.wire.apart = True
    advance(context.clock, ms / 2, COARSE_STEP_MS)
    context.nodes[SUBJECT].leave()
    advance(context.clock, ms / 2, COARSE_STEP_MS)
    context.wire.apart = False


@when("one packet in {share:d} is lost for {ms:d} ms")
def step_loss(context: Any, share: int, ms: int) -> None:
    context.wire.loss = 1 / share
    advance(context.clock, ms, STEP_MS)


@when("the fleet is {situation} for {ms:d} ms")
def step_situation(context: Any, situation: str, ms: int) -> None:
    names = list(context.nodes)
    if situation == "half replaced":
        for name in names[: len(names) // 2]:
            node = context.nodes[name]
            node.leave()
            advance(context.clock, 200, STEP_MS)
            node.kill()
            record = replace(node.record, incarnation=10**6, boot_id="boot-again")
            context.nodes[name] = GossipNode(context.wire, record)
            for other in context.nodes.values():
                context.nodes[name].table.merge(other.table.me)
            context.nodes[name].gossip.spread(record)
    advance(context.clock, ms, STEP_MS)


@then("all others see it {state} within {within:d} ms")
def step_seen(context: Any, state: str, within: int) -> None:
    waited = 0.0
    while waited < within:
        if set(view_of(context.nodes, SUBJECT).values()) == {MemberState(state)}:
            return
        advance(context.clock, 50, STEP_MS)
        waited += 50
    raise AssertionError(view_of(context.nodes, SUBJECT))


@then("a node that left meanwhile is known to have left within {within:d} ms")
def step_left(context: Any, within: int) -> None:
    step_seen(context, "leaving", within)


@then("no other node was taken for lost")
def step_nobody_lost(context: Any) -> None:
    running = {name: node for name, node in context.nodes.items() if node.running}
    lost = {name: node.seen_dead - {SUBJECT} for name, node in running.items()}
    assert not any(lost.values()), lost


@then("no live node is seen dead")
def step_none_dead(context: Any) -> None:
    context.wire.loss = 0.0
    advance(context.clock, SETTLE_MS, STEP_MS)
    for name in context.nodes:
        assert MemberState.dead not in view_of(context.nodes, name).values(), name


@then("over any 10 s no node sent more than its budget")
def step_budget(context: Any) -> None:
    fleet = FleetRule()
    budget = {False: fleet.measure_bytes_per_s, True: fleet.paid_measure_bytes_per_s}
    for (name, paid), per_second in context.wire.sent.items():
        seen = largest_window(per_second, WINDOW_S)
        assert seen <= budget[paid] * WINDOW_S, f"{name} paid={paid}: {seen} bytes"

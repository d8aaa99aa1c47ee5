"""Steps for evacuations of data centres and restores of the store."""

from __future__ import annotations

from typing import Any

import msgspec
from behave import given, then, when
from msgspec.structs import replace

from foxtailproxy.config_sync import watch_rank
from foxtailproxy.models.messages import GossipPacket, PacketKind
from foxtailproxy.tests.evacuation_fakes import EvacuationNode, build_fleet
from foxtailproxy.tests.fakes import advance, fake_clock

PATH = "evacuations/pohja-a"
STEP_MS = 5.0
SETTLE_MS = 12_000
"""Time after which the nodes know each other and the grace time of the first era has passed."""


@given("a fleet of {count:d} nodes, seed {seed:d}")
def step_fleet(context: Any, count: int, seed: int) -> None:
    context.clock = fake_clock()
    context.store, context.network, records = build_fleet(context.clock, count, seed)
    context.nodes = {}
    for record in records:
        _start(context, record)
    advance(context.clock, SETTLE_MS, STEP_MS)
    assert all(len(node.table.by_id) == count for node in context.nodes.values())


def _start(context: Any, record: Any) -> None:
    node = EvacuationNode(context.network, record, context.store)
    context.nodes[record.node_id] = node
    node.start()


def _kill(context: Any, node: Any) -> None:
    node.kill()
    context.store.links.remove(node.link)


def _restart(context: Any, nodes: list[Any]) -> None:
    for node in nodes:
        _kill(context, node)
    for node in nodes:
        record = node.table.local_record
        incarnation = record.incarnation + 1000
        _start(context, replace(node.record, incarnation=incarnation, boot_id=f"{record.boot_id}x"))


def _by_rank(context: Any) -> list[Any]:
    return sorted(context.nodes.values(), key=lambda node: watch_rank(node.record.node_id))


def _running(context: Any) -> list[Any]:
    return [node for node in context.nodes.values() if node.running]


@when("nothing fails")
@when("nobody requests it again")
def step_nothing(context: Any) -> None:
    pass


@when("{ms:d} ms pass in the fleet")
def step_pass(context: Any, ms: int) -> None:
    advance(context.clock, ms, STEP_MS)


@when("all watchers are killed")
def step_kill_watchers(context: Any) -> None:
    watchers = [node for node in context.nodes.values() if node.config_sync.is_watcher()]
    assert len(watchers) == 8, watchers
    for node in watchers:
        _kill(context, node)


@when("the first third by rank is cut off from the store")
def step_cut_third(context: Any) -> None:
    for node in _by_rank(context)[: len(context.nodes) // 3]:
        node.link.cut()


@when("one packet in five is lost")
def step_lose_packets(context: Any) -> None:
    context.network.loss_rate = 0.2


@when("the store comes back from a copy that is {ms:d} ms old")
def step_restore_older(context: Any, ms: int) -> None:
    context.store.take_snapshot()
    advance(context.clock, ms, STEP_MS)
    context.store.restore()


@when("the store takes a snapshot")
def step_snapshot(context: Any) -> None:
    context.store.take_snapshot()


@when("the store comes back from its snapshot")
def step_restore(context: Any) -> None:
    context.restored_ms = context.clock.now_ms()
    context.store.restore()


@when("the store is reachable")
def step_reachable(context: Any) -> None:
    pass


@when("the store is silent")
def step_silent(context: Any) -> None:
    for node in context.nodes.values():
        node.link.cut()
    # New processes find it silent as well.
    context.nodes_before_silence = set(context.nodes.values())
    context.silent = True


@when("the store is silent for {ms:d} ms")
def step_silent_for(context: Any, ms: int) -> None:
    for node in context.nodes.values():
        node.link.cut_off = True
        context.clock.call_later(ms, setattr, node.link, "cut_off", False)


@when("pohja-a is evacuated")
def step_evacuate(context: Any) -> None:
    context.store.put(PATH, "{}")


@when("after {ms:d} ms pohja-a is evacuated")
def step_evacuate_later(context: Any, ms: int) -> None:
    context.clock.call_later(ms, context.store.put, PATH, "{}")


@when("after {ms:d} ms half the nodes are restarted")
def step_restart_half_later(context: Any, ms: int) -> None:
    advance(context.clock, ms, STEP_MS)
    _restart(context, list(context.nodes.values())[::2])
    advance(context.clock, 300, STEP_MS)


@when("its evacuation is taken back")
def step_take_back(context: Any) -> None:
    context.store.put(PATH, None)


@when("all nodes are restarted")
def step_restart_all(context: Any) -> None:
    _restart(context, list(context.nodes.values()))


@when("half the nodes are restarted")
def step_restart_half(context: Any) -> None:
    _restart(context, list(context.nodes.values())[::2])
    if getattr(context, "silent", False):
        for node in context.nodes.values():
            node.link.cut_off = True
            # The peers that a new process knows are those of its settings.
            for peer in context.nodes_before_silence:
                node.table.merge(peer.table.local_record)


@then("it is in force on all nodes within {ms:d} ms")
def step_in_force(context: Any, ms: int) -> None:
    advance(context.clock, ms, STEP_MS)
    late = [node.record.node_id for node in _running(context) if node.in_force != {"pohja-a"}]
    assert not late, late


@then("it is in force on no node within {ms:d} ms")
def step_not_in_force(context: Any, ms: int) -> None:
    advance(context.clock, ms, STEP_MS)
    late = [node.record.node_id for node in _running(context) if node.in_force]
    assert not late, late


@then("it was in force on all nodes for {ms:d} ms since the restore")
def step_held(context: Any, ms: int) -> None:
    while context.clock.now_ms() < context.restored_ms + ms - STEP_MS:
        advance(context.clock, STEP_MS, STEP_MS)
        lost = [node.record.node_id for node in _running(context) if not node.in_force]
        assert not lost, (context.clock.now_ms() - context.restored_ms, lost)


@then("after another {ms:d} ms it is in force on {which} node")
def step_later(context: Any, ms: int, which: str) -> None:
    advance(context.clock, ms, STEP_MS)
    count = sum(node.in_force == {"pohja-a"} for node in _running(context))
    assert count == (len(_running(context)) if which == "each" else 0), count
    assert all(node.era.number == 2 for node in _running(context))


@when("the regions are separated, and louna is cut off from the store")
def step_separate(context: Any) -> None:
    context.network.partitioned = True
    for node in context.nodes.values():
        if node.record.region == "louna":
            node.link.cut()


@when("the regions are joined again")
def step_join(context: Any) -> None:
    context.network.partitioned = False


@then("it is in force in louna alone")
def step_louna_alone(context: Any) -> None:
    regions = {node.record.region for node in context.nodes.values() if node.in_force}
    assert regions == {"louna"}, regions


@then("a packet has {presence:w} further bytes")
def step_packet_bytes(context: Any, presence: str) -> None:
    for node in _running(context):
        packet = GossipPacket(PacketKind.ping, node.record.node_id, 1)
        extended = node.evacuations.extend(packet)
        same = msgspec.msgpack.encode(extended) == msgspec.msgpack.encode(packet)
        assert same == (presence == "no"), (node.record.node_id, extended)


@then("{count:d} nodes have called the store in the last {ms:d} ms, each {calls:d} times at most")
def step_calls(context: Any, count: int, ms: int, calls: int) -> None:
    called = {
        name: node.link.calls_since(context.clock.now_ms() - ms)
        for name, node in context.nodes.items()
    }
    callers = {name: number for name, number in called.items() if number}
    assert len(callers) == count and max(callers.values()) <= calls, callers


@when("the upstream of {name} leaves, and the store has it")
def step_leave(context: Any, name: str) -> None:
    node = context.nodes[name]
    node.table.update_local_record(instance="i-1", born_ms=7, target_left=True)
    saved = node.registration.save_leaving()
    advance(context.clock, 100, STEP_MS)
    assert saved.called


@then("the store has the leaving of {name} and the records of all nodes")
def step_leaving_stored(context: Any, name: str) -> None:
    records = {
        node_id: node.stored_record(context.store) for node_id, node in context.nodes.items()
    }
    assert all(records.values()), records
    assert records[name].target_left and records[name].born_ms == 7, records[name]
    assert all(node.era.number == 2 for node in context.nodes.values())

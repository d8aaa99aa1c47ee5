"""Steps for nodes on the platform, with real processes."""

from __future__ import annotations

import http.client
import signal
import socket
import threading
import time
from typing import Any

from behave import given, then, when

from standins.fleet import ADDRESS, http_json
from standins.platform_fleet import HOST_BY_SERVICE, PREFIX, Place, PlatformFleet

LOAD_S = 3.0
RESTART_LOAD_S = 1.0
FIRST_BEAT_S = 1.0
BUSY_CALLERS = 8
NEVER_TAKEN_S = 0.1


@given("nodes on the platform without a configuration")
def step_nodes_bare(context: Any) -> None:
    context.live = PlatformFleet()
    context.live.start()


@given("nodes on the platform with a configuration")
def step_nodes_configured(context: Any) -> None:
    step_nodes_bare(context)
    step_write_config(context)
    step_ready(context, 3000)


@then("a request to each node gets 503 and each node is not ready")
def step_unconfigured(context: Any) -> None:
    for place in context.live.places:
        reply = context.live.ask(place.caller, "/days/1")
        assert reply.status == 503 and float(reply.headers["retry-after"]) >= 0, reply
        assert not context.live.is_ready(place)


@when("the operator writes the configuration")
def step_write_config(context: Any) -> None:
    context.live.write_config()
    context.written_s = time.monotonic()


@then("each node is ready within {ms:d} ms")
def step_ready(context: Any, ms: int) -> None:
    end_s = context.written_s + ms / 1000
    for place in context.live.places:
        while not context.live.is_ready(place):
            assert time.monotonic() < end_s, place.name
            time.sleep(0.02)


@then("requests to each node for each service get the target's answer and receipt")
def step_answers(context: Any) -> None:
    for place in context.live.places:
        for host in HOST_BY_SERVICE.values():
            reply = context.live.ask(place.caller, f"/from/{place.service}", host)
            attempt = reply.headers[f"{PREFIX.lower()}attempt-id"]
            assert (reply.status, reply.body) == (200, f"ran {attempt}".encode()), reply
            assert reply.headers[f"{PREFIX.lower()}response-signature"] == f"receipt.{attempt}"


@then("the targets saw the caller's service and the time left")
def step_saw(context: Any) -> None:
    for place in context.live.places:
        for ran in context.live.report(place)["ledger"]:
            assert ran["path"] == f"/from/{ran['caller']}", ran
            assert 0 < int(ran["timeout_ms"]) <= 1200, ran


@then("a request without a route gets 404 at each node")
def step_no_route(context: Any) -> None:
    for place in context.live.places:
        assert context.live.ask(place.caller, "/days/1", "other.example").status == 404


def _other_places(context: Any, victim: Place) -> list[Place]:
    return [place for place in context.live.places if place is not victim]


@when("a target says that it leaves by {how} while requests go on")
def step_leaves(context: Any, how: str) -> None:
    live = context.live
    context.victim = live.places[0]
    thread = live.load(LOAD_S, live.places)
    time.sleep(LOAD_S / 3)
    word = "drain" if how == "heartbeat" else "leave"
    http_json("POST", f"{context.victim.standin}/{word}")
    thread.join()


def _last_s(live: PlatformFleet, place: Place) -> float:
    return max((ran["at_s"] for ran in live.report(place)["ledger"]), default=0.0)


@then("no request reaches it from {ms:d} ms after the acknowledgement")
def step_none_after(context: Any, ms: int) -> None:
    report = context.live.report(context.victim)
    assert report["acknowledged_s"] and report["ledger"]
    late_s = _last_s(context.live, context.victim) - report["acknowledged_s"]
    assert late_s <= ms / 1000, late_s


@then("no request was lost")
def step_none_lost(context: Any) -> None:
    assert not context.live.lost, context.live.lost[:5]


@then("after a restart of its node no request reaches it either")
def step_none_after_restart(context: Any) -> None:
    live, victim = context.live, context.victim
    before = len(live.report(victim)["ledger"])
    live.fleet.kill(victim.name)
    live.start_node(victim)
    time.sleep(FIRST_BEAT_S)
    live.load(RESTART_LOAD_S, live.places).join()
    assert len(live.report(victim)["ledger"]) == before


@when("a node is killed and started again")
def step_killed(context: Any) -> None:
    live = context.live
    context.victim = live.places[0]
    live.fleet.kill(context.victim.name)
    live.start_node(context.victim)
    context.started_s = time.monotonic()


@when("the store takes {ms:d} ms for each answer and a node is killed and started again")
def step_killed_slow_store(context: Any, ms: int) -> None:
    http_json("POST", f"{context.live.fleet.platform_url}/faults", {"delay_ms": ms})
    step_killed(context)


@then("the node is ready within {ms:d} ms of its first line")
def step_ready_soon(context: Any, ms: int) -> None:
    while not context.live.is_ready(context.victim):
        assert time.monotonic() < context.started_s + ms / 1000
        time.sleep(0.02)


@then("a request to it is answered by its own target within {ms:d} ms of its first line")
def step_own_answer(context: Any, ms: int) -> None:
    live, victim = context.live, context.victim
    before = len(live.report(victim)["ledger"])
    while len(live.report(victim)["ledger"]) == before:
        assert time.monotonic() < context.started_s + ms / 1000
        live.ask(victim.caller, "/after")
        time.sleep(0.02)


@when("a node gets SIGTERM while requests go on")
def step_terminated(context: Any) -> None:
    live = context.live
    context.victim = live.places[0]
    thread = live.load(LOAD_S, _other_places(context, context.victim))
    time.sleep(LOAD_S / 3)
    live.fleet.signal(context.victim.name, signal.SIGTERM)
    context.stopped_s = time.monotonic()
    time.sleep(0.2)
    context.ready_after = live.is_ready(context.victim)
    thread.join()


@then("it is not ready at once and ends within {ms:d} ms")
def step_ends_in_time(context: Any, ms: int) -> None:
    assert not context.ready_after
    process = context.live.fleet.process_by_name[context.victim.name]
    process.wait(max(0.1, context.stopped_s + ms / 1000 - time.monotonic()))


@when("a node gets SIGTERM while its own callers send requests of {run_ms:d} ms without a pause")
def step_terminated_busy(context: Any, run_ms: int) -> None:
    live = context.live
    context.victim = live.places[0]
    context.cut = []

    def call_on() -> None:
        while live.fleet.process_by_name[context.victim.name].poll() is None:
            sent_s = time.monotonic()
            try:
                live.ask(context.victim.caller, f"/busy?run_ms={run_ms}")
            except (OSError, http.client.HTTPException) as error:
                # A connection that the process never accepted fails at once.
                if time.monotonic() - sent_s > NEVER_TAKEN_S:
                    context.cut.append(repr(error))
                time.sleep(0.05)

    threads = [threading.Thread(target=call_on) for _ in range(BUSY_CALLERS)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    live.fleet.signal(context.victim.name, signal.SIGTERM)
    context.stopped_s = time.monotonic()
    for thread in threads:
        thread.join()


@then("it ends within {ms:d} ms and cut no request that it had taken")
def step_cut_none(context: Any, ms: int) -> None:
    process = context.live.fleet.process_by_name[context.victim.name]
    process.wait(max(0.1, context.stopped_s + ms / 1000 - time.monotonic()))
    assert not context.cut, context.cut


@when("a caller leaves a request that runs for {run_ms:d} ms after {ms:d} ms")
def step_caller_leaves(context: Any, run_ms: int, ms: int) -> None:
    live = context.live
    # The node's own target serves the other service, so the request goes to another node.
    place = next(place for place in live.places if place.service != "kalender")
    connection = http.client.HTTPConnection(ADDRESS, place.caller)
    headers = {"Host": "days.example", f"{PREFIX}Attempt-Id": "left-1"}
    connection.request("GET", f"/left?run_ms={run_ms}", headers=headers)
    time.sleep(ms / 1000)
    assert connection.sock is not None
    connection.sock.shutdown(socket.SHUT_RDWR)
    connection.close()
    time.sleep(0.5)


@then("the target stops work on it within {ms:d} ms")
def step_stopped(context: Any, ms: int) -> None:
    ran = [
        ran
        for place in context.live.places
        for ran in context.live.report(place)["ledger"]
        if ran["attempt"] == "left-1"
    ]
    assert ran and all(entry["cut"] for entry in ran), ran

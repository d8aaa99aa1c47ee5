"""Steps for fleets of real processes."""

from __future__ import annotations

import json
import re
import signal
import threading
import time
import urllib.request
from collections.abc import Callable
from typing import Any

from behave import given, then, when

from foxtailproxy.models.messages import PacketKind
from foxtailproxy.models.rules import FleetRule
from foxtailproxy.tests.live import (
    BOOKING,
    HOST,
    KEYLESS_BOOKING,
    LOOKUP,
    STREAM,
    LiveFleet,
    services_ini,
)
from standins.fleet import Member, http_json, upstream_name
from standins.load import RequestProfile

FAULT_AT_S = 2.0
ADOPTION_TIMEOUT_S = 3.0
CRASH = RequestProfile("crash", HOST, "GET", "/crash", 3.0, run_ms=50.0, unique_path=False)
CRASH.headers = [(b"x-crash", b"1")]


@given("{count:d} nodes with an upstream each, as real processes")
def step_start_fleet(context: Any, count: int) -> None:
    context.live = LiveFleet()
    context.live.start(count)
    context.subject = context.live.members[1]


def _pause_node(live: LiveFleet, subject: Member) -> None:
    live.fleet.signal(subject.node_id, signal.SIGSTOP)
    time.sleep(3)
    live.fleet.signal(subject.node_id, signal.SIGCONT)


def _cause_outage(live: LiveFleet) -> None:
    live.fleet.set_platform_faults(outage=True)
    time.sleep(2)
    live.fleet.set_platform_faults()


def _leave_upstream(live: LiveFleet, subject: Member) -> None:
    http_json("POST", f"{subject.upstream_control_url}/leave")
    live.event_times_s["leave"] = time.time()
    http_json("POST", f"http://{subject.admin_address}/leave")


def _leave_upstream_in_outage(live: LiveFleet, subject: Member) -> None:
    live.fleet.set_platform_faults(outage=True)
    _leave_upstream(live, subject)


def _terminate_node(live: LiveFleet, subject: Member) -> None:
    live.event_times_s["leave"] = time.time()
    live.fleet.signal(subject.node_id, signal.SIGTERM)
    # Callers switch to other nodes within the notice that a leaving node gives.
    time.sleep(1)
    live.callers.remove_port(subject.caller_port)


def _replace_upstream_cold(live: LiveFleet, subject: Member) -> None:
    live.fleet.kill(upstream_name(subject))
    live.fleet.start_upstream(subject)
    live.fleet.wait_until(
        lambda: live.fleet.set_faults(subject, cold_ms=10_000) is None, "cold start of the upstream"
    )


FAULTS: dict[str, Callable[[LiveFleet, Member], Any]] = {
    "nothing happens": lambda live, subject: None,
    "a node is killed": lambda live, subject: live.fleet.kill(subject.node_id),
    "a node is paused for 3 s": _pause_node,
    "the platform loses three answers in ten": lambda live, _: live.fleet.set_platform_faults(
        lose_answers=0.3
    ),
    "the platform is out for 2 s": lambda live, _: _cause_outage(live),
    "the platform answers after 300 ms": lambda live, _: live.fleet.set_platform_faults(
        delay_ms=300
    ),
    "a node is paused and the platform is out": lambda live, subject: (
        threading.Thread(target=_cause_outage, args=(live,)).start(),
        _pause_node(live, subject),
    ),
    "an upstream leaves": _leave_upstream,
    "an upstream leaves while the platform is out": _leave_upstream_in_outage,
    "a node is stopped with SIGTERM": _terminate_node,
    "an upstream is killed": lambda live, subject: live.fleet.kill(upstream_name(subject)),
    "an upstream fails everything fast": lambda live, subject: live.fleet.set_faults(
        subject, fail_fast=True
    ),
    "an upstream sheds everything": lambda live, subject: live.fleet.set_faults(subject, shed=True),
    "an upstream cuts its answers": lambda live, subject: live.fleet.set_faults(
        subject, cut_body=True
    ),
    "an upstream is replaced by a cold one": _replace_upstream_cold,
    "an upstream becomes ten times slow": lambda live, subject: live.fleet.set_faults(
        subject, slow_factor=10.0
    ),
}


def _run_load_with_fault(
    context: Any, shapes: list[RequestProfile], seconds: int, fault: str
) -> None:
    live = context.live
    event = (FAULT_AT_S, lambda: FAULTS[fault](live, context.subject))
    live.run_load(shapes, seconds, [event])


@when("bookings are sent for {seconds:d} s while {fault}")
def step_send_bookings(context: Any, seconds: int, fault: str) -> None:
    _run_load_with_fault(context, [BOOKING], seconds, fault)


@when("bookings without a key are sent for {seconds:d} s while {fault}")
def step_send_keyless_bookings(context: Any, seconds: int, fault: str) -> None:
    _run_load_with_fault(context, [KEYLESS_BOOKING], seconds, fault)


@when("look-ups are sent for {seconds:d} s while {fault}")
def step_send_lookups(context: Any, seconds: int, fault: str) -> None:
    if fault.startswith("a request that crashes"):
        context.live.run_load([LOOKUP, CRASH], seconds)
    else:
        _run_load_with_fault(context, [LOOKUP], seconds, fault)


@when("look-ups and long streams are sent for {seconds:d} s while {fault}")
def step_send_lookups_and_streams(context: Any, seconds: int, fault: str) -> None:
    _run_load_with_fault(context, [LOOKUP, STREAM], seconds, fault)


@when("look-ups, bookings and long streams are sent for {seconds:d} s while {fault}")
def step_send_mixed_load(context: Any, seconds: int, fault: str) -> None:
    _run_load_with_fault(context, [LOOKUP, BOOKING, STREAM], seconds, fault)


@then("no booking ran more than once")
def step_no_repeated_booking(context: Any) -> None:
    assert not context.live.repeated_bookings(), context.live.repeated_bookings()


@then('no caller got "not run" for a booking that had run')
def step_no_false_rejection(context: Any) -> None:
    assert not context.live.false_rejections(), context.live.false_rejections()


def _check_answered_share(live: LiveFleet, shape_name: str, share: int) -> None:
    """Check the percentage of answered requests of a shape; a resent request counts once."""
    results = [result for result in live.results if result.profile.name == shape_name]
    tags = {result.tag for result in results}
    answered = {result.tag for result in results if result.outcome == "answered"}
    summary = f"{len(answered)} of {len(tags)}: {live.outcome_counts(shape_name)}"
    assert len(answered) * 100 >= share * len(tags), summary


@then("at least {share:d} percent of the bookings were answered")
def step_bookings_answered(context: Any, share: int) -> None:
    _check_answered_share(context.live, "booking", share)


@then("at least {share:d} percent of the look-ups were answered")
def step_lookups_answered(context: Any, share: int) -> None:
    _check_answered_share(context.live, "lookup", share)


@then("no answer was wrong or incomplete")
def step_no_wrong_answer(context: Any) -> None:
    wrong_answers = [
        result
        for result in context.live.results
        if result.outcome == "answered" and not result.body_valid
    ]
    assert not wrong_answers, wrong_answers


@then("each request got a correct and complete answer")
def step_all_requests_answered(context: Any) -> None:
    failed = [
        (result.profile.name, result.outcome, result.reason)
        for result in context.live.failed_requests()
    ]
    assert not failed, failed
    not_answered = [
        (result.profile.name, result.outcome, result.reason)
        for result in context.live.results
        if result.outcome != "answered"
    ]
    assert not not_answered, not_answered


@then("the upstream ran no new request from {bound_s:d} s after it began to leave")
def step_no_new_work(context: Any, bound_s: int) -> None:
    ledger = http_json("GET", f"{context.subject.upstream_control_url}/ledger")
    limit_s = context.live.event_times_s["leave"] + bound_s
    late_tags = [entry["tag"] for entry in ledger if entry["at_s"] > limit_s]
    assert ledger and not late_tags, late_tags


@then("at most {max_count:d} upstreams crashed")
def step_limit_exited_upstreams(context: Any, max_count: int) -> None:
    fleet = context.live.fleet
    names = [upstream_name(member) for member in fleet.members]
    exited = [name for name in names if fleet.process_by_name[name].poll() is not None]
    assert 1 <= len(exited) <= max_count, exited


def _quarantined_fingerprints(member: Member) -> list[str]:
    reports = http_json("GET", f"http://{member.admin_address}/quarantine")
    return [report["fingerprint"] for report in reports if report["quarantined"]]


@then("the crashing request is quarantined on every node within {seconds:d} s")
def step_quarantined(context: Any, seconds: int) -> None:
    def on_every_node() -> bool:
        fingerprints = [_quarantined_fingerprints(member) for member in context.live.members]
        context.fingerprint = fingerprints[0][0] if fingerprints[0] else ""
        return all(node_fingerprints == [context.fingerprint] for node_fingerprints in fingerprints)

    context.live.fleet.wait_until(on_every_node, "quarantine on all nodes", seconds)


@when("an operator releases the request on one node")
def step_release_request(context: Any) -> None:
    admin = context.live.members[0].admin_address
    context.live.fleet.run_cli("quarantine", admin, "--release", context.fingerprint)


@then("that node no longer quarantines the request")
def step_not_quarantined(context: Any) -> None:
    assert not _quarantined_fingerprints(context.live.members[0])


# Configuration


def _apply_config(context: Any, name: str, retry_percent: int, *options: str) -> Any:
    fleet = context.live.fleet
    path = fleet.folder / f"{name}.ini"
    path.write_text(services_ini(retry_percent=retry_percent))
    arguments = ("config", "apply", str(path), "--platform", fleet.platform_url, "--json")
    return fleet.run_cli(*arguments, *options, check=False)


@when("{count:d} changes are applied one after another")
def step_apply_changes(context: Any, count: int) -> None:
    context.adoption_times_s = []
    for number in range(count):
        report = _apply_config(context, "change", number)
        generation = json.loads(report.stdout)["generation"]
        context.adoption_times_s.append(context.live.fleet.wait_for_generation(generation))


@then("each was adopted by all nodes within 3 s")
def step_changes_adopted_in_time(context: Any) -> None:
    assert max(context.adoption_times_s) <= ADOPTION_TIMEOUT_S, context.adoption_times_s


@when("{count:d} operators apply different changes concurrently")
def step_apply_concurrently(context: Any, count: int) -> None:
    context.reports = []
    threads = [
        threading.Thread(
            target=lambda number=number: context.reports.append(
                _apply_config(context, f"race{number}", 10 + number)
            )
        )
        for number in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("at least one command succeeded and the others ended with exit code 4")
def step_at_least_one_accepted(context: Any) -> None:
    exit_codes = [report.returncode for report in context.reports]
    assert 0 in exit_codes and set(exit_codes) <= {0, 4}, exit_codes
    accepted = [json.loads(report.stdout) for report in context.reports if report.returncode == 0]
    assert len({report["generation"] for report in accepted}) == len(accepted), accepted
    context.newest_report = max(accepted, key=lambda report: report["generation"])


@then("all nodes adopt the newest accepted change")
def step_nodes_agree(context: Any) -> None:
    fleet = context.live.fleet
    fleet.wait_until(
        lambda: all(
            fleet.status(member)["config_change"] == context.newest_report["change_id"]
            for member in fleet.members
        ),
        "adoption of the change by all nodes",
        ADOPTION_TIMEOUT_S,
    )


@when("a change is applied while the platform loses every answer")
def step_apply_with_lost_answers(context: Any) -> None:
    context.live.fleet.set_platform_faults(lose_answers=1.0)
    context.report = _apply_config(context, "lost", 33)


@then("the change is reported as accepted")
def step_change_accepted(context: Any) -> None:
    assert context.report.returncode == 0, context.report
    context.newest_report = json.loads(context.report.stdout)


@when("the platform is restored to its state before the last two changes")
def step_restore_platform(context: Any) -> None:
    fleet = context.live.fleet
    http_json("POST", f"{fleet.platform_url}/snapshot")
    for percent in (41, 42):
        report = _apply_config(context, "later", percent)
    context.newest_report = json.loads(report.stdout)
    step_nodes_agree(context)
    http_json("POST", f"{fleet.platform_url}/restore")


@when("a node is replaced")
def step_replace_node(context: Any) -> None:
    fleet = context.live.fleet
    fleet.kill(context.subject.node_id)
    fleet.start_node(context.subject)
    fleet.wait_until(lambda: fleet.status(context.subject), "restart of the node")


@then("no node adopted an older configuration")
def step_no_older_configuration(context: Any) -> None:
    peers = [member for member in context.live.members if member is not context.subject]
    generations = [context.live.fleet.status(member)["config_generation"] for member in peers]
    assert min(generations) >= context.newest_report["generation"], generations
    step_nodes_agree(context)


@then("a change based on the generation of a node is adopted by all nodes")
def step_apply_after_restore(context: Any) -> None:
    report = _apply_config(context, "after", 50, "--node", context.live.members[0].admin_address)
    assert report.returncode == 0, report
    context.newest_report = json.loads(report.stdout)
    step_nodes_agree(context)


@when("a node with its peers as seeds is replaced during an outage of the platform")
def step_replace_node_in_outage(context: Any) -> None:
    fleet = context.live.fleet
    fleet.set_platform_faults(outage=True)
    fleet.kill(context.subject.node_id)
    seeds = " ".join(
        f"127.0.0.1:{member.gossip_port}"
        for member in fleet.members
        if member is not context.subject
    )
    fleet.start_node(context.subject, seeds)


@then("that node adopts the current configuration within {seconds:d} s")
def step_configuration_adopted(context: Any, seconds: int) -> None:
    fleet = context.live.fleet
    fleet.wait_until(lambda: fleet.all_have_generation(1), "adoption of the configuration", seconds)


@when("the fleet is idle for {seconds:d} s")
def step_idle(context: Any, seconds: int) -> None:
    members = context.live.members
    before = [context.live.fleet.status(member)["traffic"] for member in members]
    time.sleep(seconds)
    after = [context.live.fleet.status(member)["traffic"] for member in members]
    context.idle_s = seconds
    context.traffic = list(zip(before, after, strict=True))


@then("the metrics of each node count its packets by kind, with no ping or ack unsent")
def step_packets_counted(context: Any) -> None:
    for member in context.live.members:
        with urllib.request.urlopen(f"http://{member.admin_address}/metrics", timeout=5) as answer:
            text = answer.read().decode()
        gauges = dict(re.findall(r'foxtailproxy_state{.*?name="(\w[\w-]*)".*?} (\S+)', text))
        assert float(gauges["gossip_sent_ping"]) and float(gauges["gossip_sent_ack"]), gauges
        unsent = {kind: float(gauges[f"gossip_skipped_{kind.value}"]) for kind in PacketKind}
        assert not unsent[PacketKind.ping] and not unsent[PacketKind.ack], unsent


@then("no node sent more than its measurement budget")
def step_within_budget(context: Any) -> None:
    budgets = {
        "sent_bytes": FleetRule().measure_bytes_per_s,
        "paid_sent_bytes": FleetRule().paid_measure_bytes_per_s,
    }
    for before, after in context.traffic:
        for counter, budget in budgets.items():
            sent_bytes = after[counter] - before[counter]
            assert sent_bytes <= budget * context.idle_s, (counter, sent_bytes)

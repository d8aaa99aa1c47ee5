"""Steps with real processes."""

from __future__ import annotations

import json
import signal
import threading
import time
from collections.abc import Callable
from typing import Any

from behave import given, then, when

from foxtailproxy.models.rules import FleetRule
from foxtailproxy.tests.live import (
    BOOKING,
    HOST,
    LOOKUP,
    PLAIN_BOOKING,
    STREAM,
    Live,
    configuration,
)
from standins.fleet import Member, http_json, upstream_name
from standins.load import RequestProfile

FAULT_AT_S = 2.0
IN_FORCE_S = 3.0
CRASH = RequestProfile("crash", HOST, "GET", "/crash", 3.0, run_ms=50.0, unique_path=False)
CRASH.headers = [(b"x-crash", b"1")]


@given("{count:d} nodes under real load")
def step_live(context: Any, count: int) -> None:
    context.live = Live()
    context.live.start(count)
    context.victim = context.live.members[1]


def _pause(live: Live, victim: Member) -> None:
    live.fleet.signal(victim.node_id, signal.SIGSTOP)
    time.sleep(3)
    live.fleet.signal(victim.node_id, signal.SIGCONT)


def _outage(live: Live) -> None:
    live.fleet.set_platform_faults(outage=True)
    time.sleep(2)
    live.fleet.set_platform_faults()


def _leave(live: Live, victim: Member) -> None:
    http_json("POST", f"{victim.upstream_control_url}/leave")
    live.marks["left_s"] = time.time()
    http_json("POST", f"http://{victim.admin_address}/leave")


def _leave_in_outage(live: Live, victim: Member) -> None:
    live.fleet.set_platform_faults(outage=True)
    _leave(live, victim)


def _terminate(live: Live, victim: Member) -> None:
    live.marks["left_s"] = time.time()
    live.fleet.signal(victim.node_id, signal.SIGTERM)
    # Callers turn to other nodes within the notice that the node gives.
    time.sleep(1)
    live.callers.remove_port(victim.caller_port)


def _replace_cold(live: Live, victim: Member) -> None:
    live.fleet.kill(upstream_name(victim))
    live.fleet.start_upstream(victim)
    live.fleet.wait_until(
        lambda: live.fleet.set_faults(victim, cold_ms=10_000) is None, "cold start"
    )


FAULTS: dict[str, Callable[[Live, Member], Any]] = {
    "nothing happens": lambda live, victim: None,
    "a node is killed": lambda live, victim: live.fleet.kill(victim.node_id),
    "a node is paused for 3 s": _pause,
    "the platform loses three answers in ten": lambda live, _: live.fleet.set_platform_faults(
        lose_answers=0.3
    ),
    "the platform is out for 2 s": lambda live, _: _outage(live),
    "the platform answers after 300 ms": lambda live, _: live.fleet.set_platform_faults(
        delay_ms=300
    ),
    "a node is paused and the platform is out": lambda live, victim: (
        threading.Thread(target=_outage, args=(live,)).start(),
        _pause(live, victim),
    ),
    "an upstream leaves": _leave,
    "an upstream leaves while the platform is out": _leave_in_outage,
    "a node is stopped with SIGTERM": _terminate,
    "an upstream is killed": lambda live, victim: live.fleet.kill(upstream_name(victim)),
    "an upstream fails everything fast": lambda live, victim: live.fleet.set_faults(
        victim, fail_fast=True
    ),
    "an upstream sheds everything": lambda live, victim: live.fleet.set_faults(victim, shed=True),
    "an upstream cuts its answers": lambda live, victim: live.fleet.set_faults(
        victim, cut_body=True
    ),
    "an upstream is replaced by a cold one": _replace_cold,
    "an upstream becomes ten times slow": lambda live, victim: live.fleet.set_faults(
        victim, slow_factor=10.0
    ),
}


def _run(context: Any, shapes: list[RequestProfile], seconds: int, fault: str) -> None:
    live = context.live
    event = (FAULT_AT_S, lambda: FAULTS[fault](live, context.victim))
    live.run(shapes, seconds, [event])


@when("bookings are made for {seconds:d} s while {fault}")
def step_bookings(context: Any, seconds: int, fault: str) -> None:
    _run(context, [BOOKING], seconds, fault)


@when("plain bookings are made for {seconds:d} s while {fault}")
def step_plain_bookings(context: Any, seconds: int, fault: str) -> None:
    _run(context, [PLAIN_BOOKING], seconds, fault)


@when("look-ups are sent for {seconds:d} s while {fault}")
def step_lookups(context: Any, seconds: int, fault: str) -> None:
    if fault.startswith("a request that crashes"):
        context.live.run([LOOKUP, CRASH], seconds)
    else:
        _run(context, [LOOKUP], seconds, fault)


@when("look-ups and long streams are sent for {seconds:d} s while {fault}")
def step_lookups_and_streams(context: Any, seconds: int, fault: str) -> None:
    _run(context, [LOOKUP, STREAM], seconds, fault)


@when("look-ups, bookings and long streams are sent for {seconds:d} s while {fault}")
def step_mixed(context: Any, seconds: int, fault: str) -> None:
    _run(context, [LOOKUP, BOOKING, STREAM], seconds, fault)


@then("no booking ran twice")
def step_no_double(context: Any) -> None:
    assert not context.live.doubles(), context.live.doubles()


@then('nobody was told "not run" of a booking that had run')
def step_no_false_refusal(context: Any) -> None:
    assert not context.live.false_refusals(), context.live.false_refusals()


def _check_answered(live: Live, name: str, share: int) -> None:
    """Of the requests of a shape, however often sent, a share in percent was answered."""
    ended = [one for one in live.ended if one.profile.name == name]
    tags = {one.tag for one in ended}
    answered = {one.tag for one in ended if one.outcome == "answered"}
    seen = f"{len(answered)} of {len(tags)}: {live.outcomes(name)}"
    assert len(answered) * 100 >= share * len(tags), seen


@then("at least {share:d} percent of the bookings were answered")
def step_bookings_answered(context: Any, share: int) -> None:
    _check_answered(context.live, "booking", share)


@then("at least {share:d} percent of the look-ups were answered")
def step_lookups_answered(context: Any, share: int) -> None:
    _check_answered(context.live, "lookup", share)


@then("no answer belonged to another request")
def step_own_answers(context: Any) -> None:
    wrong = [one for one in context.live.ended if one.outcome == "answered" and not one.body_valid]
    assert not wrong, wrong


@then("no request was cut and each got its own whole answer")
def step_nothing_cut(context: Any) -> None:
    cut = [(one.profile.name, one.outcome, one.reason) for one in context.live.cut()]
    assert not cut, cut
    refused = [
        (one.profile.name, one.outcome, one.reason)
        for one in context.live.ended
        if one.outcome != "answered"
    ]
    assert not refused, refused


@then("the upstream got no new work from {bound:d} s after it left")
def step_no_new_work(context: Any, bound: int) -> None:
    entries = http_json("GET", f"{context.victim.upstream_control_url}/ledger")
    limit_s = context.live.marks["left_s"] + bound
    late = [entry["tag"] for entry in entries if entry["at_s"] > limit_s]
    assert entries and not late, late


@then("at most {most:d} upstreams were lost")
def step_lost_upstreams(context: Any, most: int) -> None:
    fleet = context.live.fleet
    names = [upstream_name(member) for member in fleet.members]
    lost = [name for name in names if fleet.process_by_name[name].poll() is not None]
    assert 1 <= len(lost) <= most, lost


def _quarantined(member: Member) -> list[str]:
    reports = http_json("GET", f"http://{member.admin_address}/quarantine")
    return [report["fingerprint"] for report in reports if report["quarantined"]]


@then("the crashing request is quarantined on every node within {seconds:d} s")
def step_quarantined(context: Any, seconds: int) -> None:
    def everywhere() -> bool:
        found = [_quarantined(member) for member in context.live.members]
        context.fingerprint = found[0][0] if found[0] else ""
        return all(names == [context.fingerprint] for names in found)

    context.live.fleet.wait_until(everywhere, "quarantine", seconds)


@when("an operator releases the request on one node")
def step_release(context: Any) -> None:
    admin = context.live.members[0].admin_address
    context.live.fleet.run_cli("quarantine", admin, "--release", context.fingerprint)


@then("that node no longer quarantines it")
def step_released(context: Any) -> None:
    assert not _quarantined(context.live.members[0])


# Configuration


def _apply(context: Any, name: str, retry_percent: int, *options: str) -> Any:
    fleet = context.live.fleet
    path = fleet.folder / f"{name}.ini"
    path.write_text(configuration(retry_percent=retry_percent))
    arguments = ("config", "apply", str(path), "--platform", fleet.platform_url, "--json")
    return fleet.run_cli(*arguments, *options, check=False)


@when("{count:d} changes are applied one after another")
def step_changes(context: Any, count: int) -> None:
    context.delays = []
    for number in range(count):
        report = _apply(context, "change", number)
        generation = json.loads(report.stdout)["generation"]
        context.delays.append(context.live.fleet.wait_for_generation(generation))


@then("each was in force everywhere within 3 s")
def step_in_force(context: Any) -> None:
    assert max(context.delays) <= IN_FORCE_S, context.delays


@when("{count:d} operators apply different changes at once")
def step_race(context: Any, count: int) -> None:
    context.reports = []
    threads = [
        threading.Thread(
            target=lambda n=n: context.reports.append(_apply(context, f"race{n}", 10 + n))
        )
        for n in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("at least one was accepted and each other one got exit code 4")
def step_one_wins(context: Any) -> None:
    codes = [report.returncode for report in context.reports]
    assert 0 in codes and set(codes) <= {0, 4}, codes
    accepted = [json.loads(r.stdout) for r in context.reports if r.returncode == 0]
    assert len({report["generation"] for report in accepted}) == len(accepted), accepted
    context.newest = max(accepted, key=lambda report: report["generation"])


@then("all nodes agree on the newest accepted change")
def step_agree(context: Any) -> None:
    fleet = context.live.fleet
    fleet.wait_until(
        lambda: all(
            fleet.status(member)["config_change"] == context.newest["change_id"]
            for member in fleet.members
        ),
        "agreement",
        IN_FORCE_S,
    )


@when("the platform loses every answer and a change is applied")
def step_lost_answer(context: Any) -> None:
    context.live.fleet.set_platform_faults(lose_answers=1.0)
    context.report = _apply(context, "lost", 33)


@then("the change is reported as accepted")
def step_accepted(context: Any) -> None:
    assert context.report.returncode == 0, context.report
    context.newest = json.loads(context.report.stdout)


@when("the platform is restored to what it held two changes ago")
def step_restore(context: Any) -> None:
    fleet = context.live.fleet
    http_json("POST", f"{fleet.platform_url}/snapshot")
    for percent in (41, 42):
        report = _apply(context, "later", percent)
    context.newest = json.loads(report.stdout)
    step_agree(context)
    http_json("POST", f"{fleet.platform_url}/restore")


@when("a node is replaced")
def step_replace(context: Any) -> None:
    fleet = context.live.fleet
    fleet.kill(context.victim.node_id)
    fleet.start_node(context.victim)
    fleet.wait_until(lambda: fleet.status(context.victim), "restart")


@then("no node went back to an older configuration")
def step_not_older(context: Any) -> None:
    others = [m for m in context.live.members if m is not context.victim]
    generations = [context.live.fleet.status(m)["config_generation"] for m in others]
    assert min(generations) >= context.newest["generation"], generations
    step_agree(context)


@then("a change applied with the generation of a node is in force everywhere")
def step_apply_after_restore(context: Any) -> None:
    report = _apply(context, "after", 50, "--node", context.live.members[0].admin_address)
    assert report.returncode == 0, report
    context.newest = json.loads(report.stdout)
    step_agree(context)


@when("the platform is out and a node is replaced with peers as seeds")
def step_replace_in_outage(context: Any) -> None:
    fleet = context.live.fleet
    fleet.set_platform_faults(outage=True)
    fleet.kill(context.victim.node_id)
    seeds = " ".join(f"127.0.0.1:{m.gossip_port}" for m in fleet.members if m is not context.victim)
    fleet.start_node(context.victim, seeds)


@then("that node has the configuration in force within {seconds:d} s")
def step_has_config(context: Any, seconds: int) -> None:
    fleet = context.live.fleet
    fleet.wait_until(lambda: fleet.all_have_generation(1), "configuration", seconds)


@when("nothing happens for {seconds:d} s")
def step_rest(context: Any, seconds: int) -> None:
    members = context.live.members
    before = [context.live.fleet.status(member)["traffic"] for member in members]
    time.sleep(seconds)
    after = [context.live.fleet.status(member)["traffic"] for member in members]
    context.rest_s = seconds
    context.traffic = list(zip(before, after, strict=True))


@then("no node sent more than its budget for measuring")
def step_within_budget(context: Any) -> None:
    budgets = {
        "sent_bytes": FleetRule().measure_bytes_per_s,
        "paid_sent_bytes": FleetRule().paid_measure_bytes_per_s,
    }
    for before, after in context.traffic:
        for name, budget in budgets.items():
            spent = after[name] - before[name]
            assert spent <= budget * context.rest_s, (name, spent)

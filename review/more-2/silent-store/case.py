"""Connections to the store go silent; the nodes keep to a version that was replaced long ago."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "common-2"))

from rig import Rig, require, run_case  # noqa: E402

from standins.platform_configs import config_text, make_action, make_rule  # noqa: E402

CONFIG_APPLY_S = 2.5
STABLE_S = 3.0
"""The bounds `config_apply_ms` and `stability_ms` of the small deployments."""

WATCHED_S = 40.0
BEFORE, AFTER = 7, 9


def configuration(generation: int, has_old_route: bool) -> str:
    """Return a configuration, with the route that the second one drops or without it."""
    days = [make_rule("days", "/days/", make_action("kalender"))]
    if has_old_route:
        days.append(make_rule("old", "/old/", make_action("kalender")))
    book = [make_rule("book", "/", make_action("broneering"), route_type="non_idempotent")]
    listeners = [
        {"host": "days.example", "rule_set": days},
        {"host": "book.example", "rule_set": book},
    ]
    return config_text(generation, listeners=listeners)


def play(rig: Rig) -> tuple[bool, str]:
    rig.add_machines(4, ("pohja",))
    rig.add_store_relay()
    for machine in rig.machines:
        machine.data_center = "dc-0"
    rig.start_processes()
    rig.put_config(configuration(BEFORE, True), BEFORE)
    for machine in rig.machines:
        rig.fleet.wait_until(lambda m=machine: rig.is_ready(m), f"{machine.name} is ready")
    time.sleep(STABLE_S)
    for machine in rig.machines:
        require(rig.ask(machine, "/old/calm").status == 200, "the old route is not served")
    assert rig.store_relay is not None
    if rig.trouble:
        rig.store_relay.send_command("silence")
        rig.note("all open connections to the store are silent; new ones work")
    time.sleep(2 * STABLE_S)
    rig.put_config(configuration(AFTER, False), AFTER)
    acknowledged_s = time.monotonic()
    rig.note(f"version r{AFTER} was acknowledged; it drops /old/")
    late, checked, last_s = 0, 0, 0.0
    while time.monotonic() - acknowledged_s < WATCHED_S:
        for machine in rig.machines:
            sent_s = time.monotonic() - acknowledged_s
            status = rig.ask(machine, "/old/x").status
            if sent_s > CONFIG_APPLY_S:
                checked += 1
                late += status == 200
                last_s = sent_s if status == 200 else last_s
        time.sleep(0.25)
    summary = (
        f"{late} of {checked} requests were run on a route that was dropped more than"
        f" {CONFIG_APPLY_S:g} s before, the last one {last_s:.1f} s after the acknowledgement"
    )
    return not late, summary


if __name__ == "__main__":
    run_case("more-2/silent-store", play)

"""The configuration changes while two of six machines are cut off from the store."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[2]))

from review.lib.case import (  # noqa: E402
    STORE_PORT,
    Case,
    NotComparable,
    main,
    make_config,
    request_head,
)
from review.lib.http1 import Incomplete, format_message, read_message  # noqa: E402
from review.lib.machine import Machine  # noqa: E402
from review.lib.relay import Relay  # noqa: E402
from review.lib.target import Target  # noqa: E402

HOST = "days.example"
SERVICES = ("kalender", "broneering") * 3
BUDGET_MS = 2500
CONFIG_APPLY_S = 2.5
SETTLE_S = 32.0
"""Time after which the watches that nodes opened at their start have ended."""

CUT = os.environ.get("CUT", "silence")
"""`silence`: the other end of a connection acknowledges what it gets; `partition`: it does not."""

CUT_S = 5.5
LATE = {f"late-{number}" for number in range(12)}
RELAY_NUMBER = 30
"""Last number of the address of the first machine's way to the store."""


def config(version: str, service: str) -> dict[str, Any]:
    """Return the configuration that sends the route to a service."""
    route = {"host": HOST, "service": service, "route_type": "idempotent", "timeout_ms": 1200}
    return make_config([route], sorted(set(SERVICES))) | {"version": version}


async def call(case: Case, machine: Machine, attempt: str) -> None:
    """Send one request."""
    status: object = "no answer"
    try:
        reader, writer = await asyncio.open_connection(*machine.outbound)
        head = request_head(HOST, attempt, BUDGET_MS)
        writer.write(format_message(f"GET /days/{attempt}?work_ms=20 HTTP/1.1", head))
        answer = await asyncio.wait_for(read_message(reader), BUDGET_MS / 1000)
        status = answer.status if answer is not None else status
        writer.close()
    except (OSError, Incomplete, TimeoutError) as error:
        status = repr(error)
    case.record.add("caller", machine.name, attempt, status)


async def play(case: Case) -> bool:
    """Return whether machines in touch still act by the older configuration after its bound."""
    await case.start_store(config("r7", "kalender"))
    relays: dict[str, Relay] = {}
    ways: dict[str, tuple[str, int]] = {}
    targets = []
    for number, service in enumerate(SERVICES):
        relay = Relay()
        relay.upstream = case.store_address
        way = (case.address(RELAY_NUMBER + number), STORE_PORT)
        await relay.start(way)
        machine = case.add_machine(service, way)
        ways[machine.name] = way
        relays[machine.name] = relay
        target = Target(case.record, service, f"i-{machine.name}", 12)
        await target.start(machine.app)
        target.start_beats(machine.app, machine.control)
        targets.append(target)
    for machine in case.machines:
        await machine.wait_ready()
    await asyncio.sleep(SETTLE_S)
    cut = [m for m in case.machines if case.store.open_watches[ways[m.name][0]]]
    case.record.add("machines with a watch", *(machine.name for machine in cut))
    if len(cut) != 2:
        raise NotComparable("other than two machines watch the store")
    if case.trouble:
        for machine in cut:
            if CUT == "partition":
                relays[machine.name].partition()
            else:
                relays[machine.name].silence()
            case.record.add("cut off from the store", machine.name)
    await asyncio.sleep(0.5)
    await case.store.put("config", "main", config("r9", "broneering"))
    case.record.add("store acknowledges", "r9", "the route moves from kalender to broneering")
    await asyncio.sleep(CONFIG_APPLY_S + 0.2)
    in_touch = [machine for machine in case.machines if machine not in cut]
    for number, attempt in enumerate(sorted(LATE)):
        await call(case, in_touch[number % len(in_touch)], attempt)
        await asyncio.sleep(0.1)
    if case.trouble:
        for machine in cut:
            relays[machine.name].heal(case.store_address)
            case.record.add("path to the store is back", machine.name)
    old = [a for t in targets if t.service == "kalender" for a in t.run_counts if a in LATE]
    case.record.add("requests sent after the bound and run by the old service", *old)
    for target in targets:
        await target.close()
    for relay in relays.values():
        await relay.close()
    return bool(old)


if __name__ == "__main__":
    main(FOLDER, play)

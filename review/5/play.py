"""A target leaves during an outage of the store; then all node processes are killed."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.lib.case import Case, main, make_config, request_head  # noqa: E402
from review.lib.http1 import Incomplete, format_message, read_message  # noqa: E402
from review.lib.machine import Machine  # noqa: E402
from review.lib.target import Target  # noqa: E402

HOST = "book.example"
SERVICE = "broneering"
MACHINES = 3
CALLERS = 4
BUDGET_MS = 3000
WORK_MS = 140
OUTAGE_S = 4.5
KILL_AFTER_S = 0.5
DOWN_S = 0.9
LATE_BEAT_S = 3.5
DRAIN_S = 2.5
STABILITY_S = 3.0
STAY_S = 11.0
"""Time for which the target goes on serving after the acknowledgement of its leaving."""


async def call(case: Case, machine: Machine, attempt: str) -> None:
    """Send one booking."""
    status: object = "no answer"
    try:
        reader, writer = await asyncio.open_connection(*machine.outbound)
        head = request_head(HOST, attempt, BUDGET_MS)
        path = f"/book/{attempt}?work_ms={WORK_MS}"
        writer.write(format_message(f"POST {path} HTTP/1.1", head, b"crew 7"))
        answer = await asyncio.wait_for(read_message(reader), BUDGET_MS / 1000)
        status = answer.status if answer is not None else status
        writer.close()
    except (OSError, Incomplete, TimeoutError) as error:
        status = repr(error)
    case.record.add("caller", machine.name, attempt, status)


async def book_until(case: Case, machine: Machine, name: str, ends_s: float) -> None:
    """Send one booking after the other."""
    number = 0
    while time.monotonic() < ends_s:
        await call(case, machine, f"{name}-{number}")
        number += 1


async def play(case: Case) -> bool:
    """Return whether the target gets work long after its leaving was acknowledged."""
    route = {
        "host": HOST,
        "service": SERVICE,
        "route_type": "non_idempotent",
        "timeout_ms": 1500,
        "slo_latency_ms": 500,
    }
    await case.start_store(make_config([route], [SERVICE]))
    targets = []
    for number in range(MACHINES):
        machine = case.add_machine(SERVICE)
        target = Target(case.record, SERVICE, f"i-desk-{number}", 12)
        await target.start(machine.app)
        target.start_beats(machine.app, machine.control)
        targets.append(target)
    for machine in case.machines:
        await machine.wait_ready()
    await asyncio.sleep(STABILITY_S + 1)
    leaving, beside = targets[0], case.machines[0]
    if case.trouble:
        case.store.down = True
        case.record.add("store is down")
    outage_started_s = time.monotonic()
    late_beat = asyncio.ensure_future(leaving.send_late_beat(beside.control, LATE_BEAT_S))
    await asyncio.sleep(0.2)
    leaving.state = "gone"
    await leaving.leave(beside.control)
    acknowledged_s = time.monotonic()
    await asyncio.sleep(KILL_AFTER_S)
    if case.trouble:
        for machine in case.machines:
            machine.send_signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for machine in case.machines:
            machine.restart(case.store_address)
    await asyncio.sleep(outage_started_s + OUTAGE_S - time.monotonic())
    case.store.down = False
    case.record.add("store is up")
    await late_beat
    await asyncio.sleep(STABILITY_S)
    for machine in case.machines:
        await machine.wait_ready()
    ends_s = acknowledged_s + STAY_S
    callers = [
        asyncio.ensure_future(book_until(case, machine, f"booking-{number}-{caller}", ends_s + 1))
        for number, machine in enumerate(case.machines)
        for caller in range(CALLERS)
    ]
    await asyncio.sleep(ends_s - time.monotonic())
    case.record.add("target ends", leaving.instance, f"running={leaving.running}")
    started = set(leaving.run_counts) - leaving.ended
    await leaving.close()
    await asyncio.gather(*callers)
    case.record.add("bookings cut at its end", *started)
    case.record.add("bookings run by the target that left", len(leaving.run_counts))
    for target in targets:
        await target.close()
    return len(leaving.run_counts) > 0


if __name__ == "__main__":
    main(FOLDER, play)

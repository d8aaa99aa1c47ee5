"""Targets are restarted one after the other under their ids; then all node processes are killed."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[2]))

from review.lib.case import Case, NotComparable, main, make_config, request_head  # noqa: E402
from review.lib.http1 import Incomplete, format_message, read_message  # noqa: E402
from review.lib.machine import Machine  # noqa: E402
from review.lib.target import Target  # noqa: E402

HOST = "days.example"
SERVICE = "kalender"
BUDGET_MS = 2500
MACHINES = 3
DRAIN_S = 2.5
DOWN_S = 1.0
RECOVERY_S = 15.0
PHASE_S = 10.0
CALL_GAP_S = 0.1


async def call(case: Case, machine: Machine, attempt: str) -> bool:
    """Send one request; return whether it was served."""
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
    return status == 200


async def send_load(case: Case, name: str) -> float:
    """Send requests to all machines in turn; return the share that was served."""
    calls = []
    for number in range(int(PHASE_S / CALL_GAP_S)):
        machine = case.machines[number % MACHINES]
        calls.append(asyncio.ensure_future(call(case, machine, f"{name}-{number}")))
        await asyncio.sleep(CALL_GAP_S)
    served = sum(await asyncio.gather(*calls))
    case.record.add("served", name, f"{served} of {len(calls)}")
    return served / len(calls)


async def start_target(case: Case, machine: Machine, number: int) -> Target:
    """Start the target of a machine; each start has the same id and another `born`."""
    target = Target(case.record, SERVICE, f"i-calendar-{number}", 12)
    await target.start(machine.app)
    target.start_beats(machine.app, machine.control)
    case.record.add("target starts", machine.name, target.instance, f"born={target.born_ms}")
    return target


async def release(case: Case, machine: Machine, target: Target, number: int) -> Target:
    """Drain a target, end it and start it again under its id."""
    await target.drain(machine.control)
    await asyncio.sleep(DRAIN_S + 0.5)
    await target.leave(machine.control)
    await target.close()
    case.record.add("target has ended", target.instance)
    await asyncio.sleep(1.0)
    return await start_target(case, machine, number)


async def play(case: Case) -> bool:
    """Return whether less than a quarter is served after the restart of all nodes."""
    route = {"host": HOST, "service": SERVICE, "route_type": "idempotent", "timeout_ms": 1200}
    await case.start_store(make_config([route], [SERVICE]))
    targets = []
    for number in range(MACHINES):
        machine = case.add_machine(SERVICE)
        targets.append(await start_target(case, machine, number))
    for machine in case.machines:
        await machine.wait_ready()
    await asyncio.sleep(3)
    for number, machine in enumerate(case.machines):
        targets[number] = await release(case, machine, targets[number], number)
    await asyncio.sleep(4)
    before = await send_load(case, "before")
    if before < 0.25:
        raise NotComparable("less than a quarter was served before the fault")
    if case.trouble:
        for machine in case.machines:
            machine.send_signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for machine in case.machines:
            machine.restart(case.store_address)
        for machine in case.machines:
            await machine.wait_ready()
    await asyncio.sleep(RECOVERY_S)
    after = await send_load(case, "after")
    for target in targets:
        await target.close()
    return after < 0.25


if __name__ == "__main__":
    main(FOLDER, play)

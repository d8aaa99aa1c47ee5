"""A target falls silent with bookings waiting, and its address goes to another service."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.lib.case import Case, NotComparable, main, make_config, request_head  # noqa: E402
from review.lib.http1 import Incomplete, format_message, read_message  # noqa: E402
from review.lib.machine import APP_PORT, Machine  # noqa: E402
from review.lib.relay import Relay  # noqa: E402
from review.lib.target import Target  # noqa: E402

BOOK, DAYS = "book.example", "days.example"
OLD_SERVICE, NEW_SERVICE = "broneering", "kalender"
OTHER_SERVICES = ("kalender", "hinnang")
"""Services of the other two machines: one target in three falls silent."""

BUDGET_MS = 8100
SLO_MS = 1200
WORK_MS = 370
SLOTS = 5
CALLERS = 8
ADDR_REUSE_S = 2.0
OLD_PORT, NEW_PORT = APP_PORT + 100, APP_PORT + 101


async def call(case: Case, machine: Machine, attempt: str) -> None:
    """Send one booking to the old service and record its answer."""
    reader, writer = await asyncio.open_connection(*machine.outbound)
    path = f"/book/{attempt}?work_ms={WORK_MS}"
    head = request_head(BOOK, attempt, BUDGET_MS)
    writer.write(format_message(f"POST {path} HTTP/1.1", head, b"crew 7"))
    case.record.add("caller sends", attempt, "POST", f"host={BOOK}", path)
    try:
        answer = await asyncio.wait_for(read_message(reader), BUDGET_MS / 1000 + 1)
        case.record.add("caller reads", attempt, answer.status if answer else "no answer")
    except (OSError, Incomplete, TimeoutError) as error:
        case.record.add("caller gets no answer", attempt, repr(error))
    finally:
        writer.close()


async def play(case: Case) -> bool:
    """Return whether a target ran a request of a service that is not its own."""
    routes = [
        {"host": BOOK, "service": OLD_SERVICE, "route_type": "non_idempotent",
         "timeout_ms": BUDGET_MS, "slo_latency_ms": SLO_MS},
        {"host": DAYS, "service": NEW_SERVICE, "route_type": "idempotent",
         "timeout_ms": BUDGET_MS, "slo_latency_ms": SLO_MS},
    ]  # fmt: skip
    await case.start_store(make_config(routes, [OLD_SERVICE, *OTHER_SERVICES]))
    machine = case.add_machine(OLD_SERVICE)
    others = [await case.add_machine_with_target(service) for service in OTHER_SERVICES]
    relay = Relay()
    await relay.start(machine.app)
    old = Target(case.record, OLD_SERVICE, "i-desk-1", SLOTS)
    await old.start((machine.ip, OLD_PORT))
    relay.upstream = (machine.ip, OLD_PORT)
    old.start_beats(machine.app, machine.control)
    await machine.wait_ready()
    await asyncio.sleep(4)
    calls = [
        asyncio.ensure_future(call(case, machine, f"booking-{number}")) for number in range(CALLERS)
    ]
    await asyncio.sleep(0.15)
    if not old.run_counts:
        raise NotComparable("no request runs")
    if case.trouble:
        relay.silence()
        case.record.add("target falls silent", old.instance)
    else:
        await asyncio.gather(*calls)
    await old.close()
    case.record.add("target has ended", old.instance)
    await asyncio.sleep(ADDR_REUSE_S + 0.5)
    new = Target(case.record, NEW_SERVICE, "i-calendar-1", 12)
    await new.start((machine.ip, NEW_PORT))
    relay.upstream = (machine.ip, NEW_PORT)
    machine.write_settings(case.store_address, NEW_SERVICE)
    new.start_beats(machine.app, machine.control)
    case.record.add("target starts at the address", new.instance, new.service)
    await asyncio.gather(*calls)
    await asyncio.sleep(1)
    foreign = [attempt for attempt in new.run_counts if attempt.startswith("booking-")]
    case.record.add("requests of", OLD_SERVICE, "run by", NEW_SERVICE, *foreign)
    for target in (new, *others):
        await target.close()
    await relay.close()
    return bool(foreign)


if __name__ == "__main__":
    main(FOLDER, play)

"""A target turns slow while a caller on a kept connection has several look-ups under way."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[2]))

from review.lib.case import Case, NotComparable, main, make_config, request_head  # noqa: E402
from review.lib.http1 import Incomplete, format_message, read_message  # noqa: E402
from review.lib.machine import Machine  # noqa: E402
from review.lib.target import Target  # noqa: E402

HOST = "quotes.example"
SERVICE = "hinnang"
OTHER_SERVICES = ("kalender", "meistrid")
"""Services of the other two machines: one target in three turns slow."""

BUDGET_MS = 10_000
SLO_MS = 1200
WORK_MS = 410
SLOW_FACTOR = 12
REQUESTS = 10
HEAD_GAP_S = 0.3
"""Time between the two halves of the last request's head; the limit for a head is 3 s."""


async def call_many(case: Case, machine: Machine, target: Target, work_ms: int) -> list[str]:
    """Send look-ups on one kept connection; return those that ran and got no answer."""
    reader, writer = await asyncio.open_connection(*machine.outbound)
    answered: set[str] = set()
    try:
        await send(case, writer, ["warm"], 5)
        await read_answers(case, reader, ["warm"], answered)
        attempts = [f"quote-{number}" for number in range(REQUESTS)]
        await send(case, writer, attempts, work_ms)
        await read_answers(case, reader, attempts, answered)
    except (OSError, Incomplete, TimeoutError) as error:
        case.record.add("caller's connection fails", repr(error))
    finally:
        writer.close()
    ran = [attempt for attempt in attempts if target.run_counts.get(attempt)]
    return [attempt for attempt in ran if attempt not in answered]


async def send(case: Case, writer: asyncio.StreamWriter, attempts: list[str], work_ms: int) -> None:
    """Send requests one behind the other; the caller's link delays the end of the last one."""
    sent = b"".join(
        format_message(
            f"GET /quote/{attempt}?work_ms={work_ms} HTTP/1.1",
            request_head(HOST, attempt, BUDGET_MS),
        )
        for attempt in attempts
    )
    rest_bytes = 60
    writer.write(sent[:-rest_bytes])
    await writer.drain()
    case.record.add("caller sends all but the end of the last head of", *attempts)
    await asyncio.sleep(HEAD_GAP_S)
    writer.write(sent[-rest_bytes:])
    case.record.add("caller sends the end of the last head")


async def read_answers(
    case: Case, reader: asyncio.StreamReader, attempts: list[str], answered: set[str]
) -> None:
    """Read the answers in the order of the requests."""
    for attempt in attempts:
        answer = await asyncio.wait_for(read_message(reader), BUDGET_MS / 1000)
        if answer is None:
            case.record.add("the connection ended before the answer to", attempt)
            return
        case.record.add("caller reads the answer to", attempt, answer.status)
        answered.add(attempt)


async def play(case: Case) -> bool:
    """Return whether more than three requests ran and were never answered."""
    route = {
        "host": HOST,
        "service": SERVICE,
        "route_type": "idempotent",
        "timeout_ms": BUDGET_MS,
        "slo_latency_ms": SLO_MS,
    }
    await case.start_store(make_config([route], [SERVICE, *OTHER_SERVICES]))
    machine = case.add_machine(SERVICE)
    others = [await case.add_machine_with_target(service) for service in OTHER_SERVICES]
    target = Target(case.record, SERVICE, "i-quotes-1", 12)
    await target.start(machine.app)
    target.start_beats(machine.app, machine.control)
    await machine.wait_ready()
    await asyncio.sleep(4)
    work_ms = WORK_MS * SLOW_FACTOR if case.trouble else WORK_MS
    lost = await call_many(case, machine, target, work_ms)
    if "warm" not in target.run_counts:
        raise NotComparable("no request ran")
    case.record.add("ran and not answered", *lost)
    for ended in (target, *others):
        await ended.close()
    return len(lost) > 3


if __name__ == "__main__":
    main(FOLDER, play)

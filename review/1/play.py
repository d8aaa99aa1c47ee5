"""A node is frozen while the head of a further request is on its way behind a running booking."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.lib.case import Case, NotComparable, main, make_config, request_head  # noqa: E402
from review.lib.http1 import Incomplete, format_message, read_message  # noqa: E402
from review.lib.machine import Machine  # noqa: E402
from review.lib.target import Target  # noqa: E402

BOOK, DAYS = "book.example", "days.example"
ROUNDS = 3
WORK_MS = 1500
BUDGET_MS = 9000
FREEZE_S = 4.0
HEAD_GAP_S = 0.6
"""Time between the two halves of the second request's head; the limit for a head is 3 s."""

PROMISES = (408, 421, 429, 503)


async def play_round(case: Case, machine: Machine, target: Target, number: int) -> bool:
    """Send one booking with a further request behind it; return whether a promise was broken."""
    attempt, further = f"booking-{number}", f"lookup-{number}"
    reader, writer = await asyncio.open_connection(*machine.outbound)
    head = request_head(BOOK, attempt, BUDGET_MS)
    writer.write(format_message(f"POST /book/{number}?work_ms={WORK_MS} HTTP/1.1", head, b"crew 7"))
    case.record.add("caller sends", attempt, "POST", "non-idempotent")
    next_head = format_message("GET /days/1 HTTP/1.1", request_head(DAYS, further, BUDGET_MS))
    await asyncio.sleep(0.2)
    writer.write(next_head[: len(next_head) // 2])
    case.record.add("caller sends the first half of the head of", further, "idempotent")
    await asyncio.sleep(HEAD_GAP_S / 2)
    if case.trouble:
        machine.send_signal(signal.SIGSTOP)
    await asyncio.sleep(HEAD_GAP_S / 2)
    writer.write(next_head[len(next_head) // 2 :])
    case.record.add("caller sends the second half of the head of", further)
    await asyncio.sleep(FREEZE_S - HEAD_GAP_S / 2)
    if case.trouble:
        machine.send_signal(signal.SIGCONT)
    status = 0
    try:
        for name in (attempt, further):
            answer = await asyncio.wait_for(read_message(reader), BUDGET_MS / 1000)
            if answer is None:
                case.record.add("the connection ended before the answer to", name)
                break
            named = answer.headers.get("x-foxtailproxy-attempt-id", "-")
            case.record.add("caller reads the answer to", name, answer.status, f"id={named}")
            status = status or answer.status
    except (OSError, Incomplete, TimeoutError) as error:
        case.record.add("caller's connection fails", repr(error))
    finally:
        writer.close()
    runs = target.run_counts.get(attempt, 0)
    case.record.add("booking", attempt, f"answered={status or 'nothing'} runs={runs}")
    if not runs:
        raise NotComparable("the booking did not run")
    return status in PROMISES


async def play(case: Case) -> bool:
    """Return whether a booking that ran was answered with a promise that it had not run."""
    routes = [
        {"host": BOOK, "service": "broneering", "route_type": "non_idempotent",
         "timeout_ms": BUDGET_MS},
        {"host": DAYS, "service": "broneering", "route_type": "idempotent",
         "timeout_ms": BUDGET_MS},
    ]  # fmt: skip
    await case.start_store(make_config(routes, ["broneering"]))
    machine = case.add_machine("broneering")
    target = Target(case.record, "broneering", "i-desk-1", 12)
    await target.start(machine.app)
    target.start_beats(machine.app, machine.control)
    await machine.wait_ready()
    await asyncio.sleep(4)
    broken = [await play_round(case, machine, target, number) for number in range(ROUNDS)]
    await target.close()
    return any(broken)


if __name__ == "__main__":
    main(FOLDER, play)

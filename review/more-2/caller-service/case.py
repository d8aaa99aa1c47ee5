"""A request whose Connection header lists the caller's service runs without that header."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "common-2"))

from rig import PREFIX, Rig, require, run_case  # noqa: E402

HEADER = {"Connection": f"keep-alive, {PREFIX}Caller-Service"}
REQUESTS_PER_MACHINE = 5


def play(rig: Rig) -> tuple[bool, str]:
    rig.start_fleet(4)
    for machine in rig.machines:
        require(rig.ask(machine, "/calm").status == 200, "a request is not served")
    caller_by_attempt = {}
    for number in range(REQUESTS_PER_MACHINE):
        for machine in rig.machines:
            for service in ("kalender", "broneering"):
                answer = rig.ask(
                    machine,
                    f"/listed/{number}",
                    service,
                    more_headers=HEADER if rig.trouble else None,
                )
                caller_by_attempt[answer.headers["sent-attempt"]] = machine.service
        time.sleep(0.1)
    runs = [run for run in rig.ledger() if run["attempt"] in caller_by_attempt]
    wrong = [run for run in runs if run["caller"] != caller_by_attempt[run["attempt"]]]
    summary = f"{len(wrong)} of {len(runs)} runs without the service where the request began"
    require(len(runs) > 0, "nothing ran")
    return not wrong, summary


if __name__ == "__main__":
    run_case("more-2/caller-service", play)

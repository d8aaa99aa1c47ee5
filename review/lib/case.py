"""The frame of a script: folder, addresses, clean-up and exit status."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.lib.machine import APP_PORT, CONTROL_PORT, OUTBOUND_PORT, PEER_PORT, READY_PORT, Machine
from review.lib.record import Record
from review.lib.store import Store
from review.lib.target import Target

HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0
STORE_PORT = 8309
ADMIN_PORT = 9464
USED_PORTS = (
    APP_PORT, CONTROL_PORT, OUTBOUND_PORT, PEER_PORT, READY_PORT, STORE_PORT, ADMIN_PORT,
)  # fmt: skip

USED_NUMBERS = (1, *range(11, 28))
"""Last numbers of the loopback addresses of a run: the store, then the machines."""


class NotComparable(Exception):
    """The situation of the case did not come about, so that the run shows nothing."""


class Case:
    """Processes and stand-ins of one run."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.record.add("run", f"trouble={int(self.trouble)}")
        self.store = Store()
        self.machines: list[Machine] = []
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self._prefix = _free_prefix()

    def address(self, number: int) -> str:
        """Return a loopback address of this run."""
        return f"{self._prefix}.{number}"

    @property
    def store_address(self) -> tuple[str, int]:
        """Address of the store."""
        return self.address(1), STORE_PORT

    async def start_store(self, config: dict[str, Any]) -> None:
        """Start the store with a configuration."""
        await self.store.start(*self.store_address)
        await self.store.put("config", "main", config)

    def add_machine(self, service: str, store: tuple[str, int] | None = None) -> Machine:
        """Start the node of a further machine; `store` is the address at which it has the store."""
        number = len(self.machines) + 1
        machine = Machine(
            self.record,
            Path(self._temporary.name),
            self.address(10 + number),
            service,
            f"sidecar-{number}",
        )
        self.machines.append(machine)
        machine.start(store or self.store_address)
        return machine

    async def add_machine_with_target(self, service: str) -> Target:
        """Start the node and the target of a further machine, and return the target."""
        machine = self.add_machine(service)
        target = Target(self.record, service, f"i-{machine.name}", 12)
        await target.start(machine.app)
        target.start_beats(machine.app, machine.control)
        return target

    async def close(self) -> None:
        """End all processes."""
        for machine in self.machines:
            machine.close()
        await self.store.close()
        await asyncio.sleep(0.05)
        self._temporary.cleanup()


def _free_prefix() -> str:
    """Return a part of the loopback network where all ports of the case are free."""
    for _ in range(100):
        prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        if all(
            _is_free(f"{prefix}.{number}", port) for number in USED_NUMBERS for port in USED_PORTS
        ):
            return prefix
    raise NotComparable("no free loopback address")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
        return True


def make_config(routes: list[dict[str, Any]], services: list[str]) -> dict[str, Any]:
    """Return the operator's configuration with one host for each route."""
    listeners = [
        {
            "host": route["host"],
            "rule_set": [
                {
                    "name": f"r-{number}",
                    "route_type": route["route_type"],
                    "slo_latency_ms": route.get("slo_latency_ms", 1200),
                    "priority": 1,
                    "match": {"path_prefix": "/"},
                    "action": {
                        "service": route["service"],
                        "timeout_ms": route["timeout_ms"],
                        "max_attempts": 2,
                    },
                }
            ],
        }
        for number, route in enumerate(routes)
    ]
    clusters = [
        {"name": name, "health_path": "/healthz", "max_connections": 220} for name in services
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {"version": "r7", "limits": limits, "listeners": listeners, "clusters": clusters}


def request_head(host: str, attempt: str, timeout_ms: int) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {
        "Host": host,
        "X-Foxtailproxy-Attempt-Id": attempt,
        "X-Foxtailproxy-Timeout-Ms": str(timeout_ms),
    }


def main(folder: Path, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Play a case; `play` returns whether the rule was broken."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    sys.exit(asyncio.run(_run(folder, play)))


async def _run(folder: Path, play: Callable[[Case], Awaitable[bool]]) -> int:
    case = Case(folder)
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            broken = await play(case)
        status = BROKEN if broken else HELD
    except NotComparable as error:
        case.record.add("the case could not run", error)
        status = NOT_RUN
    except Exception:
        case.record.add("the case could not run", traceback.format_exc())
        status = NOT_RUN
    finally:
        await case.close()
    case.record.add("result", {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[status])
    case.record.close()
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[status])
    return status

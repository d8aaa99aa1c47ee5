"""Steps for crowds of clients that exceed the limits, with real processes."""

from __future__ import annotations

import http.client
import os
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from behave import given, then, when

from foxtailproxy.tests.crowd import Crowd, payloads
from foxtailproxy.tests.live import HOST, LiveFleet
from standins.fleet import ADDRESS, free_ports

OK_STATUS = 200
KB_PER_MB = 1024
ANSWER_WITHIN_S = 30.0
"""Time within which an ordinary request is answered, at one of its attempts: a bound for a hang."""

ATTEMPT_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.2

PAGE_LIMITS = {"header_bytes": 16384, "header_time_ms": 3000, "idle_time_ms": 15000}


@dataclass
class CrowdedNode(LiveFleet):
    """Node that is told what its instance has, and a crowd of its clients."""

    memory_mb: int = 0
    max_fds: int = 0
    crowd: Crowd | None = None

    def start_node(self) -> None:
        """Start the node, its upstream and the platform, with ports for the platform."""
        ready_port, control_port = free_ports(2)
        self.limits = {"memory_mb": self.memory_mb, "max_fds": self.max_fds, **PAGE_LIMITS}
        self.node_settings = {
            "ready_address": f"{ADDRESS}:{ready_port}",
            "control_address": f"{ADDRESS}:{control_port}",
        }
        self.start(1)
        self.port_by_name = {
            "caller": self.members[0].caller_port,
            "ready": ready_port,
            "control": control_port,
        }

    @property
    def process(self) -> Any:
        """Process of the node."""
        return self.fleet.process_by_name[self.members[0].node_id]

    def largest_memory_kb(self) -> int:
        """Return the largest resident memory that the node has had, in KB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1])

    def open_descriptors(self) -> int:
        """Return the number of descriptors that the node has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def is_answered(self, port_name: str) -> bool:
        """Return whether one ordinary request is answered, at one of its attempts."""
        deadline_s = time.monotonic() + ANSWER_WITHIN_S
        while time.monotonic() < deadline_s:
            if self._send_ordinary(port_name):
                return True
            time.sleep(RETRY_PAUSE_S)
        return False

    def _send_ordinary(self, port_name: str) -> bool:
        port = self.port_by_name[port_name]
        connection = http.client.HTTPConnection(ADDRESS, port, timeout=ATTEMPT_TIMEOUT_S)
        paths = {"caller": "/days/1", "ready": "/ready", "control": "/instances/none"}
        try:
            connection.request("GET", paths[port_name], headers={"Host": HOST})
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()
        # The control port answers a request of an unknown kind as such.
        return response.status == OK_STATUS or port_name == "control"

    def close(self) -> None:
        """Close the crowd, then stop all processes."""
        if self.crowd is not None:
            self.crowd.close()
        super().close()


@given("a node whose instance has {memory_mb:d} MB and {max_fds:d} descriptors")
def step_start(context: Any, memory_mb: int, max_fds: int) -> None:
    context.live = CrowdedNode(memory_mb=memory_mb, max_fds=max_fds)
    context.live.start_node()
    assert context.live.is_answered("caller")


@when("{count:d} clients at the {port} port send {traffic}")
def step_send(context: Any, count: int, port: str, traffic: str) -> None:
    live: CrowdedNode = context.live
    live.crowd = Crowd(live.port_by_name[port], count, payloads(traffic))
    live.crowd.send()


@then(
    "the node lives within its memory and descriptors and answers an ordinary request at the "
    "{port} port"
)
def step_check(context: Any, port: str) -> None:
    live: CrowdedNode = context.live
    assert live.process.poll() is None, "the node has ended"
    descriptors = live.open_descriptors()
    answered = [live.is_answered(name) for name in {port, "caller"}]
    memory_kb = live.largest_memory_kb()
    seen = f"{memory_kb} KB, {descriptors} descriptors, answered: {answered}"
    assert memory_kb <= live.memory_mb * KB_PER_MB, seen
    assert descriptors <= live.max_fds, seen
    assert all(answered), seen


@then("after the crowd has left, it answers an ordinary request at the {port} port")
def step_answers_after(context: Any, port: str) -> None:
    live: CrowdedNode = context.live
    assert live.crowd is not None
    live.crowd.close()
    assert live.is_answered(port) and live.is_answered("caller")
    assert live.process.poll() is None, "the node has ended"

"""Processes of a test fleet: platform stand-in, nodes, upstreams and relays."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path
from typing import Any

ADDRESS = "127.0.0.1"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.02

LOWEST_PORT = 12_000
HIGHEST_PORT = 32_000

PORT_RANGE_COUNT = 10
"""Disjoint ranges that the ports are divided into. Each process that starts fleets uses a range of
its own, so that two concurrent processes never choose the same port."""

_allocated_ports: set[int] = set()


@cache
def _process_port_range() -> tuple[range, socket.socket | None]:
    """Return the port range of this process and the bound socket that reserves it until exit."""
    range_size = (HIGHEST_PORT - LOWEST_PORT) // PORT_RANGE_COUNT
    for index in range(PORT_RANGE_COUNT):
        lock_socket = socket.socket()
        try:
            lock_socket.bind((ADDRESS, LOWEST_PORT - 1 - index))
        except OSError:
            lock_socket.close()
            continue
        first = LOWEST_PORT + index * range_size
        return range(first, first + range_size), lock_socket
    return range(LOWEST_PORT, HIGHEST_PORT), None


def free_ports(count: int) -> list[int]:
    """Return ports without a listener, below the ephemeral ports of the operating system."""
    ports: list[int] = []
    port_range, _ = _process_port_range()
    while len(ports) < count:
        port = random.choice(port_range)
        if port not in ports and port not in _allocated_ports and _is_free(port):
            ports.append(port)
    _allocated_ports.update(ports)
    return ports


def _is_free(port: int) -> bool:
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, socket_type) as probe:
            try:
                probe.bind((ADDRESS, port))
            except OSError:
                return False
    return True


def http_json(method: str, url: str, body: Any = None, timeout_s: float = 5.0) -> Any:
    """Send a JSON request and return the decoded answer. Raises `OSError` if the call fails."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    with urllib.request.urlopen(request, timeout=timeout_s) as response:
        return json.loads(response.read() or b"null")


@dataclass(slots=True)
class Member:
    """Configuration of one node and its upstream; `run_ms` is the mean run time of a request."""

    node_id: str
    region: str
    data_center: str
    service: str
    caller_port: int
    peer_port: int
    admin_port: int
    gossip_port: int
    upstream_port: int
    slots: int
    run_ms: float

    @property
    def admin_address(self) -> str:
        """Address of the admin port, as ip:port."""
        return f"{ADDRESS}:{self.admin_port}"

    @property
    def upstream_control_url(self) -> str:
        """URL of the control interface of the upstream stand-in."""
        return f"http://{ADDRESS}:{self.upstream_port}/_standin"


@dataclass(slots=True)
class Fleet:
    """Processes of one run, with their settings and logs in `folder`.

    `limits` holds the keys of the nodes' `[limits]` section, `node_settings` more of `[node]`.
    """

    folder: Path
    limits: dict[str, Any] = field(default_factory=dict)
    node_settings: dict[str, Any] = field(default_factory=dict)
    members: list[Member] = field(default_factory=list)
    process_by_name: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    platform_port: int = 0
    log_calls: bool = True

    @property
    def platform_url(self) -> str:
        """URL of the platform stand-in."""
        return f"http://{ADDRESS}:{self.platform_port}"

    def start_platform(self, port: int | None = None) -> None:
        """Start the platform stand-in."""
        self.platform_port = port or free_ports(1)[0]
        self._spawn("platform", "standins.platform", "--port", str(self.platform_port))
        self._wait_for_url(f"{self.platform_url}/counters")

    def add_member(
        self,
        node_id: str,
        region: str,
        data_center: str,
        service: str,
        slots: int = 12,
        run_ms: float = 5.0,
    ) -> Member:
        """Add a node and its upstream to the fleet without starting them."""
        ports = free_ports(5)
        member = Member(node_id, region, data_center, service, *ports, slots, run_ms)
        self.members.append(member)
        return member

    def start_members(self) -> None:
        """Start all nodes and upstreams and wait until every node serves."""
        for member in self.members:
            self.start_node(member)
        for member in self.members:
            self._wait_for_url(f"http://{member.admin_address}/status")
            self.start_upstream(member)
        for member in self.members:
            self.wait_until(
                lambda member=member: self._is_serving(member), f"{member.node_id} serves"
            )

    def _is_serving(self, member: Member) -> bool:
        status = self.status(member)
        alive_members = [m for m in status["members"] if m["service"] and m["state"] == "alive"]
        return status["upstream"] == "serving" and len(alive_members) >= len(self.members)

    def start_node(self, member: Member, seeds: str = "") -> None:
        """Write the settings file of a node and start the node."""
        limits = "\n".join(f"{key} = {value}" for key, value in self.limits.items())
        more = "".join(f"{key} = {value}\n" for key, value in self.node_settings.items())
        settings = self.folder / f"{member.node_id}.ini"
        settings.write_text(
            f"[node]\nnode_id = {member.node_id}\nregion = {member.region}\n"
            f"data_center = {member.data_center}\naddress = {ADDRESS}\n"
            f"caller_port = {member.caller_port}\npeer_port = {member.peer_port}\n"
            f"admin_port = {member.admin_port}\ngossip_port = {member.gossip_port}\n"
            f"log_calls = {str(self.log_calls).lower()}\n{more}"
            f"[platform]\nurl = {self.platform_url}\nevacuations = true\n"
            f"[peers]\nseeds = {seeds}\n[limits]\n{limits}\n"
        )
        self._spawn(member.node_id, "foxtailproxy", "node", str(settings))

    def start_upstream(self, member: Member, seed: int = 1) -> None:
        """Start the upstream of a member."""
        self._spawn(
            upstream_name(member),
            "standins.upstream",
            *("--port", str(member.upstream_port), "--service", member.service),
            *("--slots", str(member.slots), "--run-ms", str(member.run_ms)),
            *("--admin", member.admin_address, "--seed", str(seed)),
        )

    def start_relay(self, name: str, to_port: int) -> tuple[int, int]:
        """Start a relay to a port; return its port and its control port."""
        port, control = free_ports(2)
        self._spawn(
            name,
            "standins.relay",
            *("--port", str(port), "--to", f"{ADDRESS}:{to_port}", "--control", str(control)),
        )
        self._wait_for_url(f"http://{ADDRESS}:{control}/counters")
        return port, control

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        with open(self.folder / f"{name}.log", "ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def run_cli(self, *arguments: str, check: bool = True) -> subprocess.CompletedProcess[str]:
        """Run a command of the `foxtailproxy` command line."""
        return subprocess.run(
            [sys.executable, "-m", "foxtailproxy", *arguments],
            capture_output=True,
            text=True,
            timeout=30,
            check=check,
        )

    def apply_config(self, text: str) -> None:
        """Apply a configuration and wait until all nodes have adopted it."""
        path = self.folder / "services.ini"
        path.write_text(text)
        report = self.run_cli(
            "config", "apply", str(path), "--platform", self.platform_url, "--json"
        )
        generation = json.loads(report.stdout)["generation"]
        self.wait_for_generation(generation)

    def wait_for_generation(self, generation: int) -> float:
        """Wait until all live nodes have adopted a configuration; return the seconds waited."""
        return self.wait_until(
            lambda: self.all_have_generation(generation), f"generation {generation}"
        )

    def all_have_generation(self, generation: int) -> bool:
        """Return whether every live node has adopted this generation or a newer one."""
        return all(
            self.status(member)["config_generation"] >= generation
            for member in self.members
            if self.process_by_name[member.node_id].poll() is None
        )

    def status(self, member: Member) -> Any:
        """Return the status report of a node."""
        return http_json("GET", f"http://{member.admin_address}/status")

    def ledger(self) -> list[dict[str, Any]]:
        """Return the requests that ran at the upstreams that answer."""
        entries: list[dict[str, Any]] = []
        for member in self.members:
            try:
                entries.extend(http_json("GET", f"{member.upstream_control_url}/ledger"))
            except OSError:
                continue
        return entries

    def set_faults(self, member: Member, **faults: Any) -> None:
        """Set the faults of an upstream."""
        http_json("POST", f"{member.upstream_control_url}/faults", faults)

    def set_platform_faults(self, **faults: Any) -> None:
        """Set the faults of the platform stand-in."""
        http_json("POST", f"{self.platform_url}/faults", faults)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this fleet."""
        self.process_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process of this fleet."""
        self.process_by_name[name].kill()
        self.process_by_name[name].wait()

    def close(self) -> None:
        """Kill all processes, also paused ones."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            process.wait(STOP_TIMEOUT_S)

    def memory_kb(self, name: str) -> int:
        """Return the resident memory of a process in KB."""
        with open(f"/proc/{self.process_by_name[name].pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
        return 0

    def cpu_s(self, name: str) -> float:
        """Return the processor time that a process has used, in seconds."""
        with open(f"/proc/{self.process_by_name[name].pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def _wait_for_url(self, url: str) -> None:
        self.wait_until(lambda: http_json("GET", url) is not None, url)

    def wait_until(
        self, condition: Any, description: str, timeout_s: float = START_TIMEOUT_S
    ) -> float:
        """Wait until `condition()` is true and return the seconds waited. Raises `TimeoutError`.

        An `OSError` of the condition counts as false.
        """
        started_s = time.monotonic()
        while time.monotonic() - started_s < timeout_s:
            try:
                if condition():
                    return time.monotonic() - started_s
            except OSError:
                pass
            time.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"condition not met within {timeout_s} s: {description}")


def upstream_name(member: Member) -> str:
    """Return the process name of a member's upstream."""
    return f"{member.node_id}-upstream"

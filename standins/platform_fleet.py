"""Fleet on the platform: nodes with its interface, targets and the store, as separate processes."""

from __future__ import annotations

import http.client
import json
import re
import tempfile
import threading
import time
import uuid
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.fleet import ADDRESS, Fleet, free_ports, http_json
from standins.platform_configs import config_text, make_action, make_rule

HEADER_PREFIX = "X-Foxtailproxy-"
TEMPLATE = Path(__file__).parents[1] / "deploy" / "node.ini.template"
OPTIONAL_SETTING = re.compile(r"{{#([\w.]+)}}(.*?){{/\1}}")
"""Part of the template that is left out where the platform does not set the field."""

SERVICES = ("kalender", "broneering")
HOST_BY_SERVICE = {"kalender": "days.example", "broneering": "book.example"}
STOP_GRACE_S = 6
EVACUATE_MS = 5000
LOAD_PAUSE_S = 0.01


@dataclass
class RelayHandle:
    """Ports of a relay in front of a server; the relay injects network faults."""

    port: int
    control_port: int

    def send_command(self, command: str) -> None:
        """Make the relay start a fault or, with `heal`, end it."""
        http_json("POST", f"http://{ADDRESS}:{self.control_port}/{command}")


@dataclass
class Machine:
    """One machine of the platform: a node and its local target."""

    name: str
    service: str
    data_center: str
    caller_port: int
    ready_port: int
    control_port: int
    peer_port: int
    admin_port: int
    target_port: int
    region: str = "pohja"
    instance: str = ""
    target_options: tuple[str, ...] = ()
    peer_relay: RelayHandle | None = None
    target_relay: RelayHandle | None = None

    @property
    def standin_url(self) -> str:
        """URL of the control interface of the target's stand-in."""
        return f"http://{ADDRESS}:{self.target_port}/_standin"


@dataclass
class Reply:
    """HTTP response that a caller received."""

    status: int
    body: bytes
    headers: dict[str, str]


@dataclass
class PlatformFleet:
    """Processes of one scenario; `failed_requests` lists the load's failures."""

    fleet: Fleet = field(default_factory=lambda: Fleet(Path(tempfile.mkdtemp())))
    machines: list[Machine] = field(default_factory=list)
    failed_requests: list[str] = field(default_factory=list)

    store_relay: RelayHandle | None = None
    generation: int = 0
    target_module: str = "standins.platform_target"
    retry_slack: int = 56

    def start(
        self, count: int = 4, regions: tuple[str, ...] = ("pohja",), with_relays: bool = False
    ) -> None:
        """Start the store, nodes and targets; `with_relays` puts relays between them."""
        self.add_machines(count, regions)
        if with_relays:
            self.add_relays()
        self.start_processes()

    def add_machines(self, count: int, regions: tuple[str, ...]) -> None:
        """Start the store and add machines, without their processes."""
        self.fleet.start_platform()
        for number in range(count):
            service = SERVICES[number % len(SERVICES)]
            data_center = number // 2
            region = regions[data_center % len(regions)]
            ports = free_ports(6)
            machine = Machine(f"m{number}", service, f"dc-{data_center}", *ports, region=region)
            self.machines.append(machine)

    def start_processes(self) -> None:
        """Start nodes and targets, and wait until each node knows all targets."""
        for machine in self.machines:
            self.start_node(machine)
        for machine in self.machines:
            self.start_target(machine)
        for machine in self.machines:
            self.fleet.wait_until(
                lambda checked_machine=machine: self.knows_all_targets(checked_machine),
                f"{machine.name} knows all targets",
            )

    def add_relays(self) -> None:
        """Start relays in front of the store and of each node and target."""
        self.store_relay = self._start_relay("store", self.fleet.platform_port)
        for machine in self.machines:
            machine.peer_relay = self._start_relay(f"{machine.name}-peer", machine.peer_port)
            machine.target_relay = self._start_relay(f"{machine.name}-target", machine.target_port)

    def _start_relay(self, name: str, port: int) -> RelayHandle:
        return RelayHandle(*self.fleet.start_relay(f"{name}-relay", port))

    def start_node(self, machine: Machine, wait: bool = True) -> None:
        """Start a node with the settings from the deploy template."""
        target_port = machine.target_relay.port if machine.target_relay else machine.target_port
        store_port = self.store_relay.port if self.store_relay else self.fleet.platform_port
        values = {
            "node": machine.name,
            "region": machine.region,
            "zone": machine.data_center,
            "ip": ADDRESS,
            "listen_addrs.outbound": f"{ADDRESS}:{machine.caller_port}",
            "listen_addrs.ready": f"{ADDRESS}:{machine.ready_port}",
            "listen_addrs.control": f"{ADDRESS}:{machine.control_port}",
            "port_range.0": machine.peer_port,
            "service": machine.service,
            "app_addr": f"{ADDRESS}:{target_port}",
            "platform.address": f"{ADDRESS}:{store_port}",
            "bounds.retry_budget_ratio": 0.2,
            "bounds.budget_slack": self.retry_slack,
            "bounds.budget_window_s": 10,
            "bounds.grace_s": STOP_GRACE_S,
            "bounds.evacuate_ms": EVACUATE_MS,
            "limits.memory_mb": 200,
            "limits.max_fds": 4100,
        }
        text = TEMPLATE.read_text(encoding="utf-8")
        text = OPTIONAL_SETTING.sub(lambda match: match[2] if match[1] in values else "", text)
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", str(value))
        # All nodes share one address here, so the template's fixed port would already be in use.
        text = text.replace("admin_port = 9464", f"admin_port = {machine.admin_port}")
        if machine.peer_relay:
            port = machine.peer_relay.port
            text = text.replace("[upstream]", f"advertised_peer_port = {port}\n\n[upstream]")
        assert "{{" not in text, text
        settings = self.fleet.folder / f"{machine.name}.ini"
        settings.write_text(text)
        self.fleet._spawn(machine.name, "foxtailproxy", "node", str(settings))
        if wait:
            self.fleet._wait_for_url(f"http://{ADDRESS}:{machine.admin_port}/status")

    def start_target(self, machine: Machine) -> None:
        """Start the local target of a machine's node, with a new instance id."""
        machine.instance = f"i-{uuid.uuid4().hex[:8]}"
        self.fleet._spawn(
            f"{machine.name}-target",
            self.target_module,
            *("--port", str(machine.target_port), "--service", machine.service),
            *("--control", f"{ADDRESS}:{machine.control_port}", "--instance", machine.instance),
            *("--announced-port", str(machine.target_relay.port if machine.target_relay else 0)),
            *machine.target_options,
        )

    def knows_all_targets(self, machine: Machine) -> bool:
        """Return whether a node knows all targets."""
        status = http_json("GET", f"http://{ADDRESS}:{machine.admin_port}/status")
        return len([member for member in status["members"] if member["service"]]) == len(
            self.machines
        )

    def write_config(
        self, generation: int = 7, timeout_ms: int = 1200, prefixes: Iterable[str] = ()
    ) -> None:
        """Write a configuration to the store, as the operator does.

        The first service has a further rule, hence a class of its own, for each of the prefixes.
        """
        listeners = [
            {"host": HOST_BY_SERVICE[name], "rule_set": [make_rule(name, "/", make_action(name))]}
            for name in SERVICES
        ]
        for listener in listeners:
            listener["rule_set"][0]["action"]["timeout_ms"] = timeout_ms  # type: ignore[index]
        listeners[0]["rule_set"] += [  # type: ignore[operator]
            make_rule(prefix.strip("/"), prefix, make_action(SERVICES[0])) for prefix in prefixes
        ]
        listeners[1]["rule_set"][0]["route_type"] = "non_idempotent"  # type: ignore[index]
        text = config_text(generation, listeners=listeners)
        body = {"metadata": {"name": "main"}, "spec": json.loads(text)}
        method = "POST" if self.generation == 0 else "PUT"
        self.generation = generation
        http_json(method, f"{self.fleet.platform_url}/objects/config/main", body)

    def close(self) -> None:
        """End all processes."""
        self.fleet.close()

    def is_ready(self, machine: Machine) -> bool:
        """Return whether the node reports to the platform that it is ready."""
        return self.send_request(machine.ready_port, "/ready").status == 200

    def send_request(
        self, port: int, path: str, host: str = "days.example", timeout_s: float = 3.0
    ) -> Reply:
        """Send one request on a new connection. Raises `OSError`."""
        connection = http.client.HTTPConnection(ADDRESS, port, timeout=timeout_s)
        headers = {
            "Host": host,
            f"{HEADER_PREFIX}Attempt-Id": uuid.uuid4().hex[:16],
            f"{HEADER_PREFIX}Timeout-Ms": "2000",
        }
        try:
            connection.request("GET", path, headers=headers)
            response = connection.getresponse()
            response_headers = {name.lower(): value for name, value in response.getheaders()}
            return Reply(response.status, response.read(), response_headers)
        finally:
            connection.close()

    def start_load(self, seconds: float, machines: list[Machine]) -> threading.Thread:
        """Send requests for both services to the nodes, one after another, in a new thread."""
        thread = threading.Thread(target=self._send_load, args=(seconds, machines))
        thread.start()
        return thread

    def _send_load(self, seconds: float, machines: list[Machine]) -> None:
        deadline_s = time.monotonic() + seconds
        while time.monotonic() < deadline_s:
            for machine in machines:
                for host in HOST_BY_SERVICE.values():
                    try:
                        reply = self.send_request(machine.caller_port, "/load", host)
                    except (OSError, http.client.HTTPException) as error:
                        self.failed_requests.append(f"{machine.name} {host}: {error!r}")
                        continue
                    if reply.status != 200:
                        self.failed_requests.append(
                            f"{machine.name} {host}: {reply.status} {reply.body!r}"
                        )
            time.sleep(LOAD_PAUSE_S)

    def read_report(self, machine: Machine) -> Any:
        """Return the requests that a target ran, and when its leaving was acknowledged."""
        return http_json("GET", f"{machine.standin_url}/ledger")

"""Nodes with the platform's interface, their targets and the store, as separate processes."""

from __future__ import annotations

import http.client
import json
import tempfile
import threading
import time
import uuid
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.fleet import ADDRESS, Fleet, free_ports, http_json
from standins.platform_configs import action, config_text, rule

PREFIX = "X-Foxtailproxy-"
TEMPLATE = Path(__file__).parents[1] / "deploy" / "node.ini.template"
SERVICES = ("kalender", "broneering")
HOST_BY_SERVICE = {"kalender": "days.example", "broneering": "book.example"}
STOP_GRACE_S = 6
PAUSE_S = 0.01


@dataclass
class Relayed:
    """A relay before a port, for faults of the network."""

    port: int
    control: int

    def fault(self, command: str) -> None:
        """Tell the relay what goes wrong, or to heal."""
        http_json("POST", f"http://{ADDRESS}:{self.control}/{command}")


@dataclass
class Place:
    """One machine of the platform: a node and its target."""

    name: str
    service: str
    data_center: str
    caller: int
    ready: int
    control: int
    peer: int
    admin: int
    target: int
    region: str = "pohja"
    instance: str = ""
    peer_relay: Relayed | None = None
    target_relay: Relayed | None = None

    @property
    def standin(self) -> str:
        """Address of the target's control interface."""
        return f"http://{ADDRESS}:{self.target}/_standin"


@dataclass
class Reply:
    """What a caller got."""

    status: int
    body: bytes
    headers: dict[str, str]


@dataclass
class PlatformFleet:
    """All processes of one scenario."""

    fleet: Fleet = field(default_factory=lambda: Fleet(Path(tempfile.mkdtemp())))
    places: list[Place] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)

    store_relay: Relayed | None = None
    generation: int = 0

    def start(
        self, count: int = 4, regions: tuple[str, ...] = ("pohja",), relayed: bool = False
    ) -> None:
        """Start the store, nodes and targets, with relays between them where `relayed`."""
        self.fleet.start_platform()
        for number in range(count):
            service = SERVICES[number % len(SERVICES)]
            data_center = number // 2
            region = regions[data_center % len(regions)]
            ports = free_ports(6)
            place = Place(f"m{number}", service, f"dc-{data_center}", *ports, region=region)
            self.places.append(place)
        if relayed:
            self.add_relays()
        self.start_processes()

    def start_processes(self) -> None:
        """Start nodes and targets, and wait until they know each other."""
        for place in self.places:
            self.start_node(place)
        for place in self.places:
            self.start_target(place)
        for place in self.places:
            self.fleet.wait_until(lambda p=place: self.knows_all(p), f"{place.name} knows all")

    def add_relays(self) -> None:
        """Put relays before the store, and before each node and target."""
        self.store_relay = self._relay("store", self.fleet.platform_port)
        for place in self.places:
            place.peer_relay = self._relay(f"{place.name}-peer", place.peer)
            place.target_relay = self._relay(f"{place.name}-target", place.target)

    def _relay(self, name: str, port: int) -> Relayed:
        return Relayed(*self.fleet.start_relay(f"{name}-relay", port))

    def start_node(self, place: Place, wait: bool = True) -> None:
        """Start a node with the settings that the template gives."""
        target = place.target_relay.port if place.target_relay else place.target
        store = self.store_relay.port if self.store_relay else self.fleet.platform_port
        values = {
            "node": place.name,
            "region": place.region,
            "zone": place.data_center,
            "ip": ADDRESS,
            "listen_addrs.outbound": f"{ADDRESS}:{place.caller}",
            "listen_addrs.ready": f"{ADDRESS}:{place.ready}",
            "listen_addrs.control": f"{ADDRESS}:{place.control}",
            "port_range.0": place.peer,
            "service": place.service,
            "app_addr": f"{ADDRESS}:{target}",
            "platform.address": f"{ADDRESS}:{store}",
            "bounds.retry_budget_ratio": 0.2,
            "bounds.budget_slack": 56,
            "bounds.budget_window_s": 10,
            "bounds.grace_s": STOP_GRACE_S,
        }
        text = TEMPLATE.read_text(encoding="utf-8")
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", str(value))
        # All nodes share one address here, so the fixed port of the template would be taken.
        text = text.replace("admin_port = 9464", f"admin_port = {place.admin}")
        if place.peer_relay:
            port = place.peer_relay.port
            text = text.replace("[upstream]", f"advertised_peer_port = {port}\n\n[upstream]")
        assert "{{" not in text, text
        settings = self.fleet.folder / f"{place.name}.ini"
        settings.write_text(text)
        self.fleet._spawn(place.name, "foxtailproxy", "node", str(settings))
        if wait:
            self.fleet._wait_for_url(f"http://{ADDRESS}:{place.admin}/status")

    def start_target(self, place: Place) -> None:
        """Start a target beside its node."""
        place.instance = f"i-{uuid.uuid4().hex[:8]}"
        self.fleet._spawn(
            f"{place.name}-target",
            "standins.platform_target",
            *("--port", str(place.target), "--service", place.service),
            *("--control", f"{ADDRESS}:{place.control}", "--instance", place.instance),
            *("--announced-port", str(place.target_relay.port if place.target_relay else 0)),
        )

    def knows_all(self, place: Place) -> bool:
        """Whether a node knows all targets."""
        status = http_json("GET", f"http://{ADDRESS}:{place.admin}/status")
        return len([m for m in status["members"] if m["service"]]) == len(self.places)

    def write_config(self, generation: int = 7, timeout_ms: int = 1200) -> None:
        """Write a configuration as the operator does."""
        listeners = [
            {"host": HOST_BY_SERVICE[name], "rule_set": [rule(name, "/", action(name))]}
            for name in SERVICES
        ]
        for listener in listeners:
            listener["rule_set"][0]["action"]["timeout_ms"] = timeout_ms  # type: ignore[index]
        listeners[1]["rule_set"][0]["route_type"] = "non_idempotent"  # type: ignore[index]
        text = config_text(generation, listeners=listeners)
        body = {"metadata": {"name": "main"}, "spec": json.loads(text)}
        method = "POST" if self.generation == 0 else "PUT"
        self.generation = generation
        http_json(method, f"{self.fleet.platform_url}/objects/config/main", body)

    def close(self) -> None:
        """End all processes."""
        self.fleet.close()

    def is_ready(self, place: Place) -> bool:
        """What the node tells the platform."""
        return self.ask(place.ready, "/ready").status == 200

    def ask(
        self, port: int, path: str, host: str = "days.example", timeout_s: float = 3.0
    ) -> Reply:
        """Send one request on a connection of its own. Raises `OSError`."""
        connection = http.client.HTTPConnection(ADDRESS, port, timeout=timeout_s)
        headers = {
            "Host": host,
            f"{PREFIX}Attempt-Id": uuid.uuid4().hex[:16],
            f"{PREFIX}Timeout-Ms": "2000",
        }
        try:
            connection.request("GET", path, headers=headers)
            response = connection.getresponse()
            got = {name.lower(): value for name, value in response.getheaders()}
            return Reply(response.status, response.read(), got)
        finally:
            connection.close()

    def load(self, seconds: float, places: list[Place]) -> threading.Thread:
        """Send requests for both services to nodes, one after another, in the background."""
        thread = threading.Thread(target=self._load, args=(seconds, places))
        thread.start()
        return thread

    def _load(self, seconds: float, places: list[Place]) -> None:
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            for place in places:
                for host in HOST_BY_SERVICE.values():
                    try:
                        reply = self.ask(place.caller, "/load", host)
                    except (OSError, http.client.HTTPException) as error:
                        self.lost.append(f"{place.name} {host}: {error!r}")
                        continue
                    if reply.status != 200:
                        self.lost.append(f"{place.name} {host}: {reply.status} {reply.body!r}")
            time.sleep(PAUSE_S)

    def report(self, place: Place) -> Any:
        """What a target ran, and when its leaving was acknowledged."""
        return http_json("GET", f"{place.standin}/ledger")

"""One machine of a small deployment: the node's process, with the settings of the deploy file."""

from __future__ import annotations

import asyncio
import os
import shlex
import signal
import subprocess
import tomllib
from pathlib import Path

from review.lib.http1 import Incomplete, format_message, read_message
from review.lib.record import Record

ROOT = Path(__file__).resolve().parents[2]
OUTBOUND_PORT = 8304
INBOUND_PORT = 8300
READY_PORT = 8302
CONTROL_PORT = 8306
APP_PORT = 8301
PEER_PORT = 7620
START_TIMEOUT_S = 20.0

BOUNDS = {"retry_budget_ratio": 0.2, "budget_slack": 56, "budget_window_s": 10, "grace_s": 6}


class Machine:
    """A node with an address of its own on the loopback network."""

    def __init__(self, record: Record, folder: Path, ip: str, service: str, name: str) -> None:
        self.record = record
        self.ip = ip
        self.service = service
        self.name = name
        self.process: subprocess.Popen[bytes] | None = None
        self._folder = folder

    @property
    def outbound(self) -> tuple[str, int]:
        """Address for callers."""
        return self.ip, OUTBOUND_PORT

    @property
    def control(self) -> tuple[str, int]:
        """Address for heartbeats."""
        return self.ip, CONTROL_PORT

    @property
    def app(self) -> tuple[str, int]:
        """Address of the target."""
        return self.ip, APP_PORT

    def write_settings(self, store: tuple[str, int], service: str) -> Path:
        """Write the settings from the template of the deploy file, as the platform does."""
        self.service = service
        settings = self._folder / f"{self.name}.ini"
        template = (ROOT / _read_role()["template"]).read_text(encoding="utf-8")
        settings.write_text(self._render(template, store), encoding="utf-8")
        return settings

    def start(self, store: tuple[str, int]) -> None:
        """Start the node as the deploy file says."""
        role = _read_role()
        settings = self.write_settings(store, self.service)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["FOXTAILPROXY_CONFIG"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            shlex.split(role["run"]), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record.add("node starts", self.name, self.ip)

    def _render(self, template: str, store: tuple[str, int]) -> str:
        values = {
            "node": self.name,
            "region": "pohja",
            "zone": "tallinn-a",
            "ip": self.ip,
            "listen_addrs.outbound": f"{self.ip}:{OUTBOUND_PORT}",
            "listen_addrs.ready": f"{self.ip}:{READY_PORT}",
            "listen_addrs.control": f"{self.ip}:{CONTROL_PORT}",
            "port_range.0": PEER_PORT,
            "service": self.service,
            "app_addr": f"{self.ip}:{APP_PORT}",
            "platform.address": f"{store[0]}:{store[1]}",
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
        }
        for name, value in values.items():
            template = template.replace("{{" + name + "}}", str(value))
        assert "{{" not in template, template
        return template

    def restart(self, store: tuple[str, int]) -> None:
        """Start the node again after its process has ended."""
        assert self.process is not None
        self.process.wait()
        self.start(store)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the node."""
        assert self.process is not None
        self.record.add("signal", self.name, number.name)
        self.process.send_signal(number)

    async def wait_ready(self) -> None:
        """Wait until the node says that it is ready. Raises `TimeoutError`."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(0.1)
        self.record.add("node is ready", self.name)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
        except OSError:
            return False
        try:
            writer.write(format_message("GET /ready HTTP/1.1", {"Host": "ready"}))
            response = await read_message(reader)
            return response is not None and response.status == 200
        except (OSError, Incomplete):
            return False
        finally:
            writer.close()

    def close(self) -> None:
        """End the node."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


def _read_role() -> dict[str, str]:
    """Return the role of the nodes in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
    role: dict[str, str] = deploy["roles"]["node"]
    return role

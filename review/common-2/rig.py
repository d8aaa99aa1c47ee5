"""Small fleet of real processes for the scripts of the cases 6 to 10.

The nodes run with the command of the deploy file and with settings from its template. The store and
the targets are the project's stand-ins; the targets announce themselves as often as the pages say.
"""

from __future__ import annotations

import http.client
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import uuid
from pathlib import Path
from typing import Any

REPOSITORY = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(REPOSITORY))

from standins.fleet import ADDRESS, Fleet, http_json  # noqa: E402
from standins.platform_configs import config_text, make_action, make_rule  # noqa: E402
from standins.platform_fleet import HOST_BY_SERVICE, Machine, PlatformFleet  # noqa: E402

PREFIX = "X-Foxtailproxy-"
TARGET_PROGRAM = str(Path(__file__).with_name("target.py"))
TIME_LIMIT_S = 110.0

STANDIN_TARGET = "standins.platform_target"

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class DeployedFleet(Fleet):
    """Processes started with the commands of the deploy file."""

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        environment = dict(os.environ)
        command = [sys.executable, "-m", module, *arguments]
        if module == "foxtailproxy":
            environment["FOXTAILPROXY_CONFIG"] = arguments[1]
            command = [sys.executable, "-m", "foxtailproxy", "node"]
        elif module == "standins.platform_target":
            command = [sys.executable, TARGET_PROGRAM, *arguments]
        elif module.endswith(".py"):
            command = [sys.executable, module, *arguments]
        with open(self.folder / f"{name}.log", "ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                cwd=REPOSITORY,
            )


class Answer:
    """Answer that a client received; status 0 means that none came."""

    def __init__(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        self.status = status
        self.body = body
        self.headers = headers


class Rig(PlatformFleet):
    """Fleet of one script, with the record of what was sent, answered and run."""

    def __init__(self, case: str) -> None:
        super().__init__(fleet=DeployedFleet(Path(tempfile.mkdtemp(prefix="review-"))))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._record_path = REPOSITORY / "review" / case / "record.txt"
        self._record_path.write_text("")
        self._started_s = time.time()
        self._lock = threading.Lock()
        self.note(f"case {case}, with the disruption: {self.trouble}")

    def note(self, line: str) -> None:
        """Add a line to the record."""
        with self._lock, self._record_path.open("a", encoding="utf-8") as record:
            record.write(f"{time.time() - self._started_s:8.3f} {line}\n")

    def start_fleet(self, count: int = 4) -> None:
        """Start the store and `count` machines, and wait until all serve."""
        self.add_machines(count, ("pohja",))
        self.start_added()

    def start_added(self) -> None:
        """Start the machines that were added, and wait until all serve."""
        self.start_processes()
        self.put_config()
        for machine in self.machines:
            self.fleet.wait_until(lambda m=machine: self.is_ready(m), f"{machine.name} is ready")
        time.sleep(1.0)

    def add_store_relay(self) -> None:
        """Start a relay between the nodes and the store."""
        self.store_relay = self._start_relay("store", self.fleet.platform_port)

    def put_config(self, text: str | None = None, generation: int = 7) -> None:
        """Write a configuration to the store, as the operator does."""
        if text is None:
            listeners = [
                {
                    "host": HOST_BY_SERVICE["kalender"],
                    "rule_set": [make_rule("days", "/", make_action("kalender"))],
                },
                {
                    "host": HOST_BY_SERVICE["broneering"],
                    "rule_set": [
                        make_rule(
                            "book", "/", make_action("broneering"), route_type="non_idempotent"
                        )
                    ],
                },
            ]
            text = config_text(generation, listeners=listeners)
        body = {"metadata": {"name": "main"}, "spec": json.loads(text)}
        method = "POST" if self.generation == 0 else "PUT"
        self.generation = generation
        http_json(method, f"{self.fleet.platform_url}/objects/config/main", body)

    def ask(
        self,
        machine: Machine,
        path: str,
        service: str = "kalender",
        more_headers: dict[str, str] | None = None,
        client: str = "client",
    ) -> Answer:
        """Send one request on a new connection, with an attempt id of its own."""
        attempt = uuid.uuid4().hex[:16]
        headers = {
            "Host": HOST_BY_SERVICE[service],
            f"{PREFIX}Attempt-Id": attempt,
            f"{PREFIX}Timeout-Ms": "2000",
        } | (more_headers or {})
        connection = http.client.HTTPConnection(ADDRESS, machine.caller_port, timeout=4.0)
        try:
            connection.request("GET", path, headers=headers)
            response = connection.getresponse()
            named = {name.lower(): value for name, value in response.getheaders()}
            answer = Answer(response.status, response.read(), named)
        except (OSError, http.client.HTTPException) as error:
            answer = Answer(0, repr(error).encode(), {})
        finally:
            connection.close()
        more = f" with {more_headers}" if more_headers else ""
        self.note(
            f"{client} at {machine.name}: GET {path} attempt {attempt}{more}"
            f" -> {answer.status} {answer.body[:60]!r}"
        )
        answer.headers["sent-attempt"] = attempt
        return answer

    def ledger(self) -> list[dict[str, Any]]:
        """Return all runs at all targets, with the machine and the service that ran each."""
        runs = []
        for machine in self.machines:
            for run in self.read_report(machine)["ledger"]:
                runs.append(run | {"machine": machine.name, "service": machine.service})
        return runs

    def note_runs(self) -> None:
        """Add all runs to the record."""
        for run in sorted(self.ledger(), key=lambda run: run["at_s"]):
            self.note(
                f"ran at {run['at_s'] - self._started_s:.3f}: {run['machine']} ({run['service']})"
                f" attempt {run['attempt']} path {run['path']} caller-service {run['caller']!r}"
            )

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        super().close()
        shutil.rmtree(self.fleet.folder, ignore_errors=True)


def run_case(case: str, play: Any) -> None:
    """Play a case within the time limit; exit with 0 if the rule held, 1 if not, else 2."""

    def give_up(signal_number: int, frame: Any) -> None:
        raise TimeoutError(f"longer than {TIME_LIMIT_S} s")

    signal.signal(signal.SIGALRM, give_up)
    signal.setitimer(signal.ITIMER_REAL, TIME_LIMIT_S)
    result = CANNOT_RUN
    rig = Rig(case)
    try:
        held, summary = play(rig)
        if rig.target_module == STANDIN_TARGET:
            rig.note_runs()
        rig.note(f"result: {summary}")
        print(f"{case}: {'held' if held else 'BROKEN'}: {summary}")
        result = HELD if held else BROKEN
    except Exception as error:  # noqa: BLE001
        rig.note(f"cannot run: {error!r}")
        print(f"{case}: cannot run: {error!r}")
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        rig.close()
    sys.exit(result)


def require(condition: bool, what: str) -> None:
    """Give up if the calm part of a case doesn't work."""
    if not condition:
        raise RuntimeError(f"in calm: {what}")

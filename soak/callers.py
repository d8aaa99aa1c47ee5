"""Callers on kept connections, which remember what they were told."""

from __future__ import annotations

import http.client
import random
import threading
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.fleet import ADDRESS
from standins.platform_fleet import HEADER_PREFIX, HOST_BY_SERVICE, Machine

CALLERS_EACH = 3
"""Connections to each node."""

PAUSE_S = 0.08
TIMEOUT_S = 10.0
"""Longest wait of a caller; all of its time limits are far below."""

ALLOWED_MS = 2000

LONGEST_RUN_MS = 400
BOOKING_SHARE = 0.4


@dataclass(slots=True)
class Told:
    """One request and what its caller was told; status 0 is a closed connection.

    `kept` tells that the connection had served a request before.
    """

    attempt: str
    node: str
    service: str
    path: str
    sent_s: float
    kept: bool
    status: int = 0
    ended_s: float = 0.0
    whole: bool = False
    connected: bool = True


@dataclass
class Callers:
    """All callers of a run."""

    places: list[Machine]
    seed: int
    now_s: Callable[[], float] = time.time
    told: list[Told] = field(default_factory=list)
    _stopped: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def start(self) -> None:
        """Begin to send."""
        for place in self.places:
            for number in range(CALLERS_EACH):
                rng = random.Random(f"{self.seed} {place.name} {number}")
                thread = threading.Thread(target=self._call, args=(place, rng))
                thread.start()
                self._threads.append(thread)

    def close(self) -> None:
        """Stop sending, and wait for the last answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _call(self, place: Machine, rng: random.Random) -> None:
        connection = http.client.HTTPConnection(ADDRESS, place.caller_port, timeout=TIMEOUT_S)
        kept = False
        while not self._stopped.wait(rng.uniform(0, 2 * PAUSE_S)):
            kept = self._ask(connection, place, rng, kept)
            if not kept:
                connection.close()
        connection.close()

    def _ask(
        self,
        connection: http.client.HTTPConnection,
        place: Machine,
        rng: random.Random,
        kept: bool,
    ) -> bool:
        """Send one request; returns whether the connection stays open."""
        service = "broneering" if rng.random() < BOOKING_SHARE else "kalender"
        attempt = uuid.UUID(int=rng.getrandbits(128)).hex[:16]
        path = f"/{attempt}?run_ms={rng.randrange(LONGEST_RUN_MS)}"
        told = Told(attempt, place.name, service, path, self.now_s(), kept)
        self.told.append(told)
        headers = {
            "Host": HOST_BY_SERVICE[service],
            f"{HEADER_PREFIX}Attempt-Id": attempt,
            f"{HEADER_PREFIX}Timeout-Ms": str(ALLOWED_MS),
        }
        try:
            if connection.sock is None:
                connection.connect()
        except OSError:
            told.connected = False
            told.ended_s = self.now_s()
            return False
        try:
            connection.request("GET", path, headers=headers)
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException):
            told.ended_s = self.now_s()
            return False
        receipt = response.getheader(f"{HEADER_PREFIX}Response-Signature")
        told.ended_s = self.now_s()
        told.whole = (body, receipt) == (f"ran {attempt}".encode(), f"receipt.{attempt}")
        told.status = response.status
        return not response.will_close

"""Store that answers each call as a script says, in the process of the test."""

from __future__ import annotations

import json
from collections import deque
from dataclasses import dataclass, replace
from typing import Any

from twisted.internet import reactor
from twisted.internet.protocol import Factory

from standins.answer_scripts import AnswerScript, ScriptPlayer, answer_pieces

SENT_ONCE = "is sent once"

STATUS_LINE_BY_RESULT = {
    "Missing": b"404 Not Found",
    "Conflict": b"409 Conflict",
    "HistoryGone": b"410 Gone",
    "Refused": b"503 Service Unavailable",
    **{
        f"status {status}": b"%s Invalid" % status.encode()
        for status in ("000", "099", "199", "600")
    },
    **{
        f"redirect {status}": b"%d Redirect\r\nLocation: /objects/claims/a" % status
        for status in (301, 302, 303, 307)
    },
}


@dataclass(frozen=True, slots=True)
class StoreScript:
    """Answer to one call: the result that it gives, how it is sent, and its delay."""

    result: str
    script: AnswerScript
    delay_ms: int = 0


def _object(name: str, value: int) -> dict[str, Any]:
    return {"metadata": {"name": name, "revision": value}, "spec": value}


def _body_of(path: str, result: str) -> bytes:
    """Return the body of a response to a call on `path` that gives `result`."""
    number = int(result.split()[-1]) if result[-1].isdigit() else 0
    name = path.partition("?")[0].rpartition("/")[2]
    body: Any = _object(name, number)
    if "wait_ms=" in path:
        body = {
            "events": [{"object": _object("main", number), "deleted": False}] if number else [],
            "current_rev": 9,
        }
    elif path.count("/") == 2:
        body = {
            "items": [_object(f"n{index}", 1) for index in range(number)],
            "current_rev": 9,
        }
    return json.dumps(body).encode()


class _ScriptedConnection(ScriptPlayer):
    """Connection to the store; the second copies of a response come on its own connection."""

    def __init__(self) -> None:
        super().__init__()
        self._earlier = b""
        self._received = b""

    def connectionMade(self) -> None:  # noqa: N802
        """Count the connection, and write at once."""
        self.factory.open_connections += 1
        self.transport.setTcpNoDelay(True)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Count the closed connection."""
        self.factory.open_connections -= 1
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer a request once it has arrived in whole."""
        self._received += data
        head, separator, body = self._received.partition(b"\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
        if not separator or len(body) < int(length or 0):
            return
        self._received = b""
        method, path = head.decode().split()[:2]
        self.factory.requests.append(f"{method} {path}")
        scripts = self.factory.scripts
        self._answer(path, scripts.popleft() if scripts else self.factory.redirected)

    def _answer(self, path: str, step: StoreScript) -> None:
        script = step.script
        if "earlier" in script.event and not self._earlier:
            script = replace(script, event=SENT_ONCE)
        status_line = STATUS_LINE_BY_RESULT.get(step.result.split(" with ")[0], b"200 OK")
        body = _body_of(path, step.result)
        answer, copy = (
            [
                piece.replace(b"200 OK", status_line)
                for piece in answer_pieces(framing, b"", body, b"")
            ]
            for framing in (script.framing, script.copy_framing)
        )
        self.play(script, answer, b"".join(copy), self._earlier, step.delay_ms)
        self._earlier = b"".join(answer)


class ScriptedStore(Factory):
    """Store on a loopback port.

    `scripts` are those of the calls to come, in order, and `redirected` that of any other request.
    """

    protocol = _ScriptedConnection
    noisy = False

    def __init__(self) -> None:
        self.scripts: deque[StoreScript] = deque()
        self.redirected: StoreScript | None = None
        self.requests: list[str] = []
        self.open_connections = 0
        twisted_reactor: Any = reactor
        self._listening_port = twisted_reactor.listenTCP(0, self, interface="127.0.0.1")

    @property
    def url(self) -> str:
        """URL of the store."""
        return f"http://127.0.0.1:{self._listening_port.getHost().port}"

    def close(self) -> Any:
        """Stop listening."""
        return self._listening_port.stopListening()

"""Sends calls to the nodes beside other targets and recovers them when a connection is lost."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import msgspec
import structlog
from expression import Error, Ok

from foxtailproxy.clock import WorkTimer
from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.errors import ConnectFailed, ExchangeCancelled, HttpError, ReadTimeout
from foxtailproxy.http.messages import HeaderList, RequestHead, ResponseHead, get_header
from foxtailproxy.http.pool import ConnectionPool
from foxtailproxy.load import parse_load
from foxtailproxy.models.messages import ConfigObject
from foxtailproxy.outcome import Answer, NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from foxtailproxy.wire import BOOT, DEADLINE, LOAD, call_headers, parse_failure, without_own

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock
    from foxtailproxy.http.client import ClientConnection, ClientResponse
    from foxtailproxy.models.messages import MemberRecord
    from foxtailproxy.models.settings import LimitsSection

log = structlog.get_logger()

ATTEMPT_PATH = b"/attempts/"
CLAIM_PATH = b"/claims/"
CONFIG_PATH = b"/config"

CONFIG_LIMIT_BYTES = 2_097_152
"""Largest configuration taken from another node, compressed."""

CONNECT_TIMEOUT_MS = 250
"""Longest wait for a connection to another node; an instance without power refuses none, and the
call can still be in time elsewhere. Six round trips between regions."""

OK_STATUS = 200

RECOVERY_TRIES = 3
"""New connections tried to ask about a call whose connection was lost; one where the call may as
well run elsewhere."""

RECOVERY_PAUSE_MS = 100
"""Time between two of these tries, in milliseconds."""

WATCH_INTERVAL_MS = 100
"""Time between two looks for silent connections, in milliseconds."""


class PeerClient:
    """Connections to other nodes.

    `on_load` is called with a node id and the load that came with an answer or a heartbeat.
    """

    def __init__(
        self,
        clock: Clock,
        reactor: Any,
        limits: LimitsSection,
        on_load: Callable[[str, Any], None],
    ) -> None:
        self._clock = clock
        self._reactor = reactor
        self._limits = limits
        self._on_load = on_load
        self._pool_by_address: dict[tuple[str, int], ConnectionPool] = {}
        self._by_send: dict[str, ClientConnection] = {}
        self._longest_silence: dict[ClientConnection, float] = {}
        self._silence_timer = WorkTimer(clock, WATCH_INTERVAL_MS, self._find_silent)

    def close(self) -> None:
        """Close idle connections."""
        self._silence_timer.close()
        for pool in self._pool_by_address.values():
            pool.close()

    def forget(self, member: MemberRecord) -> None:
        """Close the idle connections to a node that has gone."""
        pool = self._pool_by_address.pop((member.address, member.peer_port), None)
        if pool is not None:
            pool.close()

    async def run(self, call: Call, member: MemberRecord) -> Outcome:
        """Run a call at the target of `member`."""
        head = RequestHead(call.head.method, call.head.target, call_headers(call, self._clock))
        pool = self._pool(member.address, member.peer_port)
        try:
            connection = await pool.acquire()
        except ConnectFailed:
            return Error(NotRun(NotRunReason.UNREACHABLE))
        try:
            self._by_send[call.send_id] = connection
            return await self._exchange(connection, head, call.body(), member.node_id)
        except ExchangeCancelled:
            return Error(Unknown(UnknownReason.CANCELLED))
        except HttpError as error:
            pool.close_idle_connections()
            log.warning(
                "peer_connection_lost",
                attempt=call.attempt_id,
                peer=member.node_id,
                error=type(error).__name__,
            )
            return await self._recover(call, member)
        finally:
            self._by_send.pop(call.send_id, None)

    def cancel(self, send_id: str) -> None:
        """The caller of an idempotent call does not want the answer any more."""
        connection = self._by_send.get(send_id)
        if connection is not None:
            connection.fail(ExchangeCancelled())

    async def ask_claim(self, claim_id: str, call: Call, address: str, port: int) -> Outcome:
        """Ask the node that holds a claim for the outcome of its call."""
        path = CLAIM_PATH + claim_id.encode()
        return await self._ask(path, call, address, port, "")

    async def fetch_config(self, member: MemberRecord) -> ConfigObject | None:
        """The configuration of another node, or `None` where it could not be had."""
        head = RequestHead(b"GET", CONFIG_PATH, [(b"host", b"node")])
        try:
            connection = await self._pool(member.address, member.peer_port).acquire()
            response = await self._request(connection, head, BodyStream.from_bytes(b""))
            whole = await response.body.buffer(CONFIG_LIMIT_BYTES)
        except HttpError:
            return None
        if response.head.status != OK_STATUS or not whole:
            return None
        try:
            text = zlib.decompress(response.body.buffered())
            return msgspec.json.decode(text, type=ConfigObject)
        except (zlib.error, msgspec.MsgspecError):
            return None

    async def _recover(self, call: Call, member: MemberRecord) -> Outcome:
        """Ask on new connections what became of a call; the node seals one it has not seen."""
        path = ATTEMPT_PATH + quote(call.send_id).encode()
        boot = [(BOOT, member.boot_id.encode())]
        for _ in range(1 if call.rule.idempotent else RECOVERY_TRIES):
            if call.remaining_ms(self._clock) <= 0:
                break
            try:
                return await self._ask(
                    path, call, member.address, member.peer_port, member.node_id, boot
                )
            except HttpError:
                await self._clock.sleep(RECOVERY_PAUSE_MS)
        return Error(Unknown(UnknownReason.PEER_LOST))

    async def _ask(
        self,
        path: bytes,
        call: Call,
        address: str,
        port: int,
        peer: str,
        extra: HeaderList | None = None,
    ) -> Outcome:
        remaining = b"%d" % max(0, call.remaining_ms(self._clock))
        head = RequestHead(b"POST", path, [(b"host", b"node"), (DEADLINE, remaining)])
        head.headers += extra or []
        connection = await self._pool(address, port).acquire(force_new=True)
        outcome = await self._exchange(connection, head, BodyStream.from_bytes(b""), peer)
        not_run = outcome.is_error() and isinstance(outcome.error, NotRun)
        if not_run and call.remaining_ms(self._clock) <= 0:
            # The node remembers a call only until some time after its deadline.
            return Error(Unknown(UnknownReason.DEADLINE))
        return outcome

    async def _exchange(
        self, connection: ClientConnection, head: RequestHead, body: BodyStream, peer: str
    ) -> Outcome:
        connection.on_data_received = self._heard
        connection.on_interim = lambda headers: self._observe(peer, headers)
        response = await self._request(connection, head, body)
        self._observe(peer, response.head.headers)
        return await self._read(response)

    async def _request(
        self, connection: ClientConnection, head: RequestHead, body: BodyStream
    ) -> ClientResponse:
        """Send a request and watch for silence: before the answer's head, then inside its body."""
        self._heard(connection)
        self._longest_silence[connection] = self._limits.silence_ms
        self._silence_timer.wake()
        try:
            response = await connection.request(head, body)
        except HttpError:
            del self._longest_silence[connection]
            raise
        if response.body.ended:
            del self._longest_silence[connection]
        else:
            self._longest_silence[connection] = self._limits.idle_time_ms
            response.body.on_done = lambda: self._end_watch(connection)
        return response

    def _end_watch(self, connection: ClientConnection) -> None:
        self._longest_silence.pop(connection, None)

    async def _read(self, response: ClientResponse) -> Outcome:
        failure = parse_failure(response.head.headers)
        await response.body.buffer(self._limits.replay_bytes)
        if failure is not None:
            return Error(failure)
        headers = without_own(response.head.headers)
        head = ResponseHead(response.head.status, response.head.reason, headers)
        return Ok(Answer(head, response.body))

    def _observe(self, peer: str, headers: HeaderList) -> None:
        load = parse_load(get_header(headers, LOAD))
        if load is not None and peer:
            self._on_load(peer, load)

    def _heard(self, connection: ClientConnection) -> None:
        connection.last_received_ms = self._clock.now_ms()

    def _find_silent(self) -> bool:
        now = self._clock.now_ms()
        for connection, longest_ms in list(self._longest_silence.items()):
            if now - connection.last_received_ms > longest_ms:
                connection.fail(ReadTimeout())
        return bool(self._longest_silence)

    def _pool(self, address: str, port: int) -> ConnectionPool:
        key = (address, port)
        pool = self._pool_by_address.get(key)
        if pool is None:
            pool = ConnectionPool(self._reactor, address, port, CONNECT_TIMEOUT_MS)
            self._pool_by_address[key] = pool
        return pool

"""Client for calls to the nodes of other targets, with recovery after a lost connection."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import msgspec
import structlog
from expression import Error, Ok

from foxtailproxy.clock import WorkTimer, cancel_timer
from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.errors import (
    ConnectFailed,
    ExchangeCancelled,
    HttpError,
    InvalidStatus,
    MalformedResponse,
    ReadTimeout,
)
from foxtailproxy.http.messages import HeaderList, RequestHead, ResponseHead, get_header
from foxtailproxy.http.pool import ConnectionPool
from foxtailproxy.load import parse_load
from foxtailproxy.models.messages import ConfigObject
from foxtailproxy.outcome import Answer, NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from foxtailproxy.wire import (
    BOOT_HEADER,
    DEADLINE_HEADER,
    LOAD_HEADER,
    call_headers,
    parse_failure,
    strip_node_headers,
)

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

MAX_CONFIG_BYTES = 2_097_152
"""Maximum compressed size of a configuration fetched from another node, in bytes."""

FETCH_TIMEOUT_MS = 1500
"""Timeout of the fetch of a configuration, in milliseconds. After a failed fetch there must be time
to fetch it from another node within the 3 s in which a change has to be in force."""

CONNECT_TIMEOUT_MS = 250
"""Connect timeout to another node, in milliseconds: six round trips between regions. An instance
without power does not refuse connections, and the call can still be in time at another target."""

OK_STATUS = 200

MAX_RECOVERY_ATTEMPTS = 3
"""Maximum number of connections opened to query the outcome of a call whose connection was lost. An
idempotent call gets one, since it can run elsewhere as well."""

RECOVERY_RETRY_DELAY_MS = 100
"""Delay between two recovery attempts, in milliseconds."""

SILENCE_CHECK_INTERVAL_MS = 100
"""Interval between two checks for silent connections, in milliseconds."""


@dataclass(eq=False, slots=True)
class OpenSend:
    """Send whose outcome is awaited; `connection` carries it, or the latest query about it."""

    connection: ClientConnection | None = None
    cancelled: bool = False


@dataclass(frozen=True, slots=True)
class PeerPool:
    """Connections to one process of a peer."""

    boot_id: str
    connections: ConnectionPool


class PeerClient:
    """Client for all other nodes, with a connection pool for each.

    `on_load` is called with a node id and the load report of an answer or a heartbeat.
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
        self._pool_by_address: dict[tuple[str, int], PeerPool] = {}
        self._open_send_by_id: dict[str, OpenSend] = {}
        self._max_silence_ms_by_connection: dict[ClientConnection, float] = {}
        self._silent_connections: set[ClientConnection] = set()
        self._silence_timer = WorkTimer(
            clock, SILENCE_CHECK_INTERVAL_MS, self._fail_silent_connections
        )

    def close(self) -> None:
        """Stop the check for silent connections and close idle connections."""
        self._silence_timer.close()
        for pool in self._pool_by_address.values():
            pool.connections.close()

    def remove_peer(self, member: MemberRecord) -> None:
        """Close the idle connections to a node that was declared dead."""
        pool = self._pool_by_address.pop((member.address, member.peer_port), None)
        if pool is not None:
            pool.connections.close()

    async def send_call(self, call: Call, member: MemberRecord) -> Outcome:
        """Send a call to the target of `member` and return its outcome."""
        send = OpenSend()
        self._open_send_by_id[call.send_id] = send
        try:
            return await self._send_call(call, member, send)
        except ExchangeCancelled:
            return Error(Unknown(UnknownReason.CANCELLED))
        finally:
            self._open_send_by_id.pop(call.send_id, None)

    async def _send_call(self, call: Call, member: MemberRecord, send: OpenSend) -> Outcome:
        pool = self._get_pool(member.address, member.peer_port, member.boot_id)
        try:
            connection = await pool.acquire()
        except ConnectFailed:
            return Error(NotRun(NotRunReason.UNREACHABLE))
        # The connection may have taken long to open, and this process may have been suspended.
        if send.cancelled or call.remaining_ms(self._clock) <= 0:
            pool.release(connection)
            reason = NotRunReason.CANCELLED if send.cancelled else NotRunReason.DEADLINE
            return Error(NotRun(reason))
        send.connection = connection
        head = RequestHead(call.head.method, call.head.target, call_headers(call, self._clock))
        try:
            return await self._exchange(connection, head, call.body_stream(), member.node_id)
        except ExchangeCancelled:
            raise
        except HttpError as error:
            pool.close_idle_connections()
            log.warning(
                "peer_connection_lost",
                attempt=call.attempt_id,
                peer=member.node_id,
                error=type(error).__name__,
            )
            if isinstance(error, InvalidStatus):
                # The call has run, and what the peer passes on is not its answer.
                return Error(Unknown(UnknownReason.PEER_LOST))
            return await self._recover(call, member, send)

    def cancel(self, send_id: str) -> None:
        """Cancel a send of an idempotent call whose answer is no longer needed."""
        send = self._open_send_by_id.get(send_id)
        if send is None:
            return
        send.cancelled = True
        if send.connection is not None:
            send.connection.fail(ExchangeCancelled())

    def withdraw(self, send_id: str) -> None:
        """Cancel a send of any call if no byte of it has been sent yet."""
        send = self._open_send_by_id.get(send_id)
        if send is not None and send.connection is None:
            send.cancelled = True

    async def query_claim(self, claim_id: str, call: Call, address: str, port: int) -> Outcome:
        """Query the node that holds a claim for the outcome of the claimed call."""
        path = CLAIM_PATH + claim_id.encode()
        return await self._query_outcome(path, call, address, port, "")

    async def fetch_config(self, member: MemberRecord) -> ConfigObject | None:
        """Return the configuration of another node, or `None` if it could not be fetched."""
        try:
            return await self._request_config(member)
        except (HttpError, zlib.error, msgspec.MsgspecError) as error:
            log.warning("config_fetch_failed", peer=member.node_id, error=type(error).__name__)
            return None

    async def _request_config(self, member: MemberRecord) -> ConfigObject:
        """Request the configuration of another node.

        Raises `HttpError`, `zlib.error` or `msgspec.MsgspecError`.
        """
        head = RequestHead(b"GET", CONFIG_PATH, [(b"host", b"node")])
        pool = self._get_pool(member.address, member.peer_port, member.boot_id)
        connection = await pool.acquire()
        timer = self._clock.call_later(FETCH_TIMEOUT_MS, connection.fail, ReadTimeout())
        try:
            response = await self._request(connection, head, BodyStream.from_bytes(b""))
            fits = await response.body.buffer(MAX_CONFIG_BYTES)
        finally:
            cancel_timer(timer)
        if response.head.status != OK_STATUS or not fits:
            connection.abort()
            raise MalformedResponse
        text = zlib.decompress(response.body.buffered())
        return msgspec.json.decode(text, type=ConfigObject)

    async def _recover(self, call: Call, member: MemberRecord, send: OpenSend) -> Outcome:
        """Query a call's outcome on new connections; the node seals a call it never received."""
        path = ATTEMPT_PATH + quote(call.send_id).encode()
        boot_headers = [(BOOT_HEADER, member.boot_id.encode())]
        for _ in range(1 if call.rule.idempotent else MAX_RECOVERY_ATTEMPTS):
            if call.remaining_ms(self._clock) <= 0:
                break
            try:
                return await self._query_outcome(
                    path,
                    call,
                    member.address,
                    member.peer_port,
                    member.node_id,
                    boot_headers,
                    send,
                )
            except ExchangeCancelled:
                raise
            except HttpError:
                await self._clock.sleep(RECOVERY_RETRY_DELAY_MS)
        return Error(Unknown(UnknownReason.PEER_LOST))

    async def _query_outcome(
        self,
        path: bytes,
        call: Call,
        address: str,
        port: int,
        peer_id: str,
        extra_headers: HeaderList | None = None,
        send: OpenSend | None = None,
    ) -> Outcome:
        pool = self._get_pool(address, port)
        connection = await pool.acquire(force_new=True)
        if send is not None:
            if send.cancelled:
                pool.release(connection)
                raise ExchangeCancelled
            send.connection = connection
        deadline_value = b"%d" % max(0, call.remaining_ms(self._clock))
        head = RequestHead(b"POST", path, [(b"host", b"node"), (DEADLINE_HEADER, deadline_value)])
        head.headers += extra_headers or []
        outcome = await self._exchange(connection, head, BodyStream.from_bytes(b""), peer_id)
        not_run = outcome.is_error() and isinstance(outcome.error, NotRun)
        if not_run and call.remaining_ms(self._clock) <= 0:
            # A node keeps a run only for some time after its deadline, so the call may have run.
            return Error(Unknown(UnknownReason.DEADLINE))
        return outcome

    async def _exchange(
        self, connection: ClientConnection, head: RequestHead, body: BodyStream, peer_id: str
    ) -> Outcome:
        connection.on_data_received = self._record_activity
        connection.on_interim = lambda headers: self._report_load(peer_id, headers)
        response = await self._request(connection, head, body)
        self._report_load(peer_id, response.head.headers)
        return await self._read_outcome(response)

    async def _request(
        self, connection: ClientConnection, head: RequestHead, body: BodyStream
    ) -> ClientResponse:
        """Send a request and check for silence: before the answer's head, then inside its body."""
        self._record_activity(connection)
        self._max_silence_ms_by_connection[connection] = self._limits.silence_ms
        self._silence_timer.wake()
        try:
            response = await connection.request(head, body)
        except HttpError:
            del self._max_silence_ms_by_connection[connection]
            raise
        if response.body.ended:
            del self._max_silence_ms_by_connection[connection]
        else:
            self._max_silence_ms_by_connection[connection] = self._limits.idle_time_ms
            response.body.on_done = lambda: self._stop_silence_check(connection)
        return response

    def _stop_silence_check(self, connection: ClientConnection) -> None:
        self._max_silence_ms_by_connection.pop(connection, None)

    async def _read_outcome(self, response: ClientResponse) -> Outcome:
        """Return the outcome that a response reports. Raises `HttpError`.

        Each answer of a node has its load. Another server may have got the address of the peer.
        """
        failure = parse_failure(response.head.headers)
        if failure is None and get_header(response.head.headers, LOAD_HEADER) is None:
            response.body.cancel()
            raise MalformedResponse
        await response.body.buffer(self._limits.replay_bytes)
        if failure is not None:
            return Error(failure)
        headers = strip_node_headers(response.head.headers)
        head = ResponseHead(response.head.status, response.head.reason, headers)
        return Ok(Answer(head, response.body))

    def _report_load(self, peer_id: str, headers: HeaderList) -> None:
        load = parse_load(get_header(headers, LOAD_HEADER))
        if load is not None and peer_id:
            self._on_load(peer_id, load)

    def _record_activity(self, connection: ClientConnection) -> None:
        connection.last_received_ms = self._clock.now_ms()

    def _fail_silent_connections(self) -> bool:
        """Fail the connections that two checks in a row find silent.

        Between them, bytes are read that arrived while this process was suspended.
        """
        now = self._clock.now_ms()
        silent_connections = {
            connection
            for connection, max_silence_ms in self._max_silence_ms_by_connection.items()
            if now - connection.last_received_ms > max_silence_ms
        }
        for connection in silent_connections & self._silent_connections:
            connection.fail(ReadTimeout())
        self._silent_connections = silent_connections
        return bool(self._max_silence_ms_by_connection)

    def _get_pool(self, address: str, port: int, boot_id: str = "") -> ConnectionPool:
        """Return the connections to the process of a node, or to any at its address if not given.

        Connections to another process are not reused: if a call were lost on one, this process
        would be queried, and would take the call for one that never arrived.
        """
        key = (address, port)
        pool = self._pool_by_address.get(key)
        if pool is not None and boot_id in ("", pool.boot_id):
            return pool.connections
        if pool is not None:
            pool.connections.close()
        connections = ConnectionPool(self._reactor, address, port, CONNECT_TIMEOUT_MS)
        self._pool_by_address[key] = PeerPool(boot_id, connections)
        return connections

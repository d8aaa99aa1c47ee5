"""Client of the operators' commands: the reactor, and requests to a node's admin port."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
import treq
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred

from foxtailproxy.exceptions import ResponseError, UnreachableError
from foxtailproxy.logs import configure_client_logs

if TYPE_CHECKING:
    from collections.abc import Coroutine

ResultT = TypeVar("ResultT")

REQUEST_TIMEOUT_S = 10


def run_async(coroutine: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine in the reactor until it ends; return its result or raise its error."""
    configure_client_logs()
    results: list[ResultT] = []
    errors: list[BaseException] = []
    twisted_reactor: Any = reactor

    def start() -> None:
        completion = ensureDeferred(coroutine)
        completion.addCallbacks(results.append, lambda failure: errors.append(failure.value))
        completion.addBoth(lambda _: twisted_reactor.stop())

    twisted_reactor.callWhenRunning(start)
    twisted_reactor.run()
    if errors:
        raise errors[0]
    return results[0]


async def request_admin(
    method: str,
    address: str,
    path: str,
    response_type: type[ResultT],
    body: msgspec.Struct | None = None,
) -> ResultT:
    """Send a request to the admin port of a node and return the decoded response.

    Raises `UnreachableError` or `ResponseError`.
    """
    url = f"http://{address}{path}"
    try:
        data = None if body is None else msgspec.json.encode(body)
        response = await treq.request(
            method, url, data=data, timeout=REQUEST_TIMEOUT_S, persistent=False
        )
        content = await treq.content(response)
    except Exception as error:
        raise UnreachableError(f"{url}: request failed: {type(error).__name__}") from error
    if response.code >= 300:
        text = content.decode("utf-8", "replace")
        raise ResponseError(f"{url}: error response with status {response.code}: {text}")
    try:
        return msgspec.json.decode(content, type=response_type)
    except msgspec.MsgspecError as error:
        raise ResponseError(f"{url}: invalid response: {error}") from error

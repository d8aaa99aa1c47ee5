"""Runs one asynchronous command of the operators' client in the reactor."""

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
    """Run a coroutine to its end and return its result or raise its error."""
    configure_client_logs()
    results: list[ResultT] = []
    errors: list[BaseException] = []
    loop: Any = reactor

    def start() -> None:
        completion = ensureDeferred(coroutine)
        completion.addCallbacks(results.append, lambda failure: errors.append(failure.value))
        completion.addBoth(lambda _: loop.stop())

    loop.callWhenRunning(start)
    loop.run()
    if errors:
        raise errors[0]
    return results[0]


async def request_admin(
    method: str, address: str, path: str, response_type: type[ResultT]
) -> ResultT:
    """Call the admin port of the node at `address`.

    Raises `UnreachableError` or `ResponseError`.
    """
    url = f"http://{address}{path}"
    try:
        response = await treq.request(method, url, timeout=REQUEST_TIMEOUT_S, persistent=False)
        body = await treq.content(response)
    except Exception as error:
        raise UnreachableError(f"{url}: {type(error).__name__}") from error
    if response.code >= 300:
        raise ResponseError(f"{url}: status {response.code}: {body.decode('utf-8', 'replace')}")
    try:
        return msgspec.json.decode(body, type=response_type)
    except msgspec.MsgspecError as error:
        raise ResponseError(f"{url}: {error}") from error

"""The lifecycle of a node: starting, serving, draining, closed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import structlog
from automat import TypeMachineBuilder
from twisted.internet.defer import Deferred

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

log = structlog.get_logger()


class LifecycleInputs(Protocol):
    """The inputs of a node's state machine."""

    def started(self) -> None:
        """Begin to serve: all sockets are open."""

    def drain(self) -> None:
        """Begin to drain: finish the calls, then stop."""

    def drained(self) -> None:
        """Close: no call is left, or the time limit for them has passed."""


class LifecycleState:
    """The name of the current state, and a deferred that fires once the node is closed."""

    def __init__(self) -> None:
        self.name = "starting"
        self.closed: Deferred[None] = Deferred()


_builder = TypeMachineBuilder(LifecycleInputs, LifecycleState)
_starting = _builder.state("starting")
_serving = _builder.state("serving")
_draining = _builder.state("draining")
_closed = _builder.state("closed")


@_starting.upon(LifecycleInputs.started).to(_serving)
def _begin_serving(inputs: LifecycleInputs, state: LifecycleState) -> None:
    state.name = "serving"
    log.info("node_serving")


@_serving.upon(LifecycleInputs.drain).to(_draining)
@_starting.upon(LifecycleInputs.drain).to(_draining)
def _begin_draining(inputs: LifecycleInputs, state: LifecycleState) -> None:
    state.name = "draining"
    log.info("node_draining")


@_draining.upon(LifecycleInputs.drained).to(_closed)
def _close(inputs: LifecycleInputs, state: LifecycleState) -> None:
    state.name = "closed"
    log.info("node_closed")
    state.closed.callback(None)


_draining.upon(LifecycleInputs.drain).loop().returns(None)
_draining.upon(LifecycleInputs.started).loop().returns(None)
_closed.upon(LifecycleInputs.drain).loop().returns(None)
_closed.upon(LifecycleInputs.drained).loop().returns(None)

build_lifecycle = _builder.build()


def log_close_failure(failure: Failure, function: Callable[..., Any]) -> None:
    """Log the error of a function that drains or closes a part of the node."""
    log.error(
        "close_failed",
        function=getattr(function, "__qualname__", repr(function)),
        error=repr(failure.value),
        traceback=failure.getTraceback(),
    )

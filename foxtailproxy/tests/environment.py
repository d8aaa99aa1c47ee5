"""Behave hooks: the reactor runs in a thread, for scenarios with real processes and sockets."""

from __future__ import annotations

import gc
import logging
import threading
from typing import Any

import structlog
from twisted.internet import reactor


def before_all(context: Any) -> None:
    """Start the reactor, and suppress the log lines of the code under test below critical."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    loop: Any = reactor
    run_arguments = {"installSignalHandlers": False}
    context.reactor_thread = threading.Thread(target=loop.run, kwargs=run_arguments, daemon=True)
    context.reactor_thread.start()


def before_feature(context: Any, feature: Any) -> None:
    """Exempt what earlier features left from garbage collection, as a node does when it starts.

    A full collection of one process that has run many features takes up to 300 ms.
    """
    gc.collect()
    gc.freeze()


def after_all(context: Any) -> None:
    """Stop the reactor."""
    loop: Any = reactor
    loop.callFromThread(loop.stop)
    context.reactor_thread.join(5)


def after_scenario(context: Any, scenario: Any) -> None:
    """End the processes of a scenario."""
    live = getattr(context, "live", None)
    if live is not None:
        live.close()
        context.live = None

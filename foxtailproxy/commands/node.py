"""`foxtailproxy node`: start-up and signals of the node's process."""

from __future__ import annotations

import gc
import signal
from typing import TYPE_CHECKING, Any

from foxtailproxy.clock import use_monotonic_time
from foxtailproxy.config.settings import parse_settings, read_text
from foxtailproxy.exceptions import FoxtailproxyError
from foxtailproxy.logs import configure_logs
from foxtailproxy.tls import prevent_tls_import

if TYPE_CHECKING:
    import socket


class ListenError(FoxtailproxyError):
    """Error for a port that the node cannot listen on."""

    exit_code = 7


def run_node(path: str, caller_socket: socket.socket | None = None) -> None:
    """Run a node until it is drained; `caller_socket` may already listen for its callers.

    Raises `SettingsError`, `FileError` or `ListenError`.
    """
    # The node freezes the objects of the imports once it has started; collecting garbage before
    # would take a tenth of the start-up time.
    gc.disable()
    text = read_text(path)
    settings = parse_settings(text, path)
    prevent_tls_import(settings.platform.url)
    from twisted.internet import reactor
    from twisted.internet.error import CannotListenError

    from foxtailproxy.lifecycle import log_close_failure
    from foxtailproxy.node import Node
    from foxtailproxy.settings_watch import SettingsWatch

    configure_logs()
    use_monotonic_time(reactor)
    node = Node(reactor, settings)
    try:
        node.start(caller_socket)
    except CannotListenError as error:
        raise ListenError(str(error)) from error
    gc.enable()

    twisted_reactor: Any = reactor

    def handle_stop_signal(signal_number: int, frame: Any) -> None:
        twisted_reactor.callFromThread(node.drain)

    settings_watch = SettingsWatch(node.clock, path, text, node.reload)
    settings_watch.start()

    def handle_reload_signal(signal_number: int, frame: Any) -> None:
        twisted_reactor.callFromThread(settings_watch.check)

    node.state.closed.addCallback(lambda _: settings_watch.close())
    node.state.closed.addErrback(log_close_failure, settings_watch.close)
    node.state.closed.addCallback(lambda _: twisted_reactor.stop())
    signal.signal(signal.SIGHUP, handle_reload_signal)
    twisted_reactor.callWhenRunning(settings_watch.check)
    signal.signal(signal.SIGTERM, handle_stop_signal)
    signal.signal(signal.SIGINT, handle_stop_signal)
    twisted_reactor.run(installSignalHandlers=False)

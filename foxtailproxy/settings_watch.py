"""Detection of changes to the settings file, on a signal or by its content."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from foxtailproxy.config.settings import parse_settings, read_text
from foxtailproxy.exceptions import FoxtailproxyError

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.task import LoopingCall

    from foxtailproxy.clock import Clock
    from foxtailproxy.models.settings import NodeSettings

log = structlog.get_logger()

CHECK_INTERVAL_MS = 1000
"""Time between two checks of the file, in milliseconds; a change without a signal takes effect
within it."""


class SettingsWatch:
    """A periodic check of the file at `path`, which passes changed valid settings to `on_change`.

    `text` is the content that the settings in force were read from.
    """

    def __init__(
        self, clock: Clock, path: str, text: str, on_change: Callable[[NodeSettings], None]
    ) -> None:
        self._clock = clock
        self._path = path
        self._on_change = on_change
        self._text = text
        self._loop: LoopingCall | None = None

    def start(self) -> None:
        """Start the periodic check."""
        self._loop = self._clock.repeat(CHECK_INTERVAL_MS, self.check)

    def close(self) -> None:
        """Stop the periodic check."""
        if self._loop is not None:
            self._loop.stop()

    def check(self) -> None:
        """Read the file and apply changes; invalid settings leave the previous ones in force."""
        try:
            text = read_text(self._path)
            if text == self._text:
                return
            self._text = text
            settings = parse_settings(text, self._path)
        except FoxtailproxyError as error:
            log.error("settings_invalid", error=error.format_message())
            return
        self._on_change(settings)

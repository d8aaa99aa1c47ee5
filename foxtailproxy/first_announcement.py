"""The first announcement of an upstream that a new process of this node receives."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from twisted.internet.defer import ensureDeferred

from foxtailproxy.clock import WorkTimer
from foxtailproxy.upstream_process import is_stale, same_process

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.clock import Clock
    from foxtailproxy.models.messages import Announcement
    from foxtailproxy.target import Target

log = structlog.get_logger()

CHECK_INTERVAL_MS = 500
"""Interval between health checks of an upstream that is to be confirmed, in milliseconds."""

CONFIRMATION_MS = 2_500
"""Time after which further announcements confirm an upstream whose health check fails, and without
any after which the check ends, in milliseconds. Upstreams announce themselves every 1.5 s."""


class FirstAnnouncement:
    """Confirmation of the first announcement, which may have arrived late.

    Its sender may have left before this process started, and a new process knows of no leaving
    that the store does not have. The announcement is passed to the target once the upstream's
    health check succeeds, or once the upstream has gone on announcing itself and the record of
    the earlier process of this node was read (`record_read`). The target processes later
    announcements itself.
    """

    def __init__(self, clock: Clock, target: Target, record_read: Callable[[], bool]) -> None:
        self._clock = clock
        self._target = target
        self._record_read = record_read
        self._pending: Announcement | None = None
        self._first_ms = 0.0
        self._last_ms = 0.0
        self._checking = False
        self._check_timer = WorkTimer(clock, CHECK_INTERVAL_MS, self._check_again)

    def close(self) -> None:
        """Stop the health checks."""
        self._pending = None
        self._check_timer.close()

    def receive(self, announcement: Announcement) -> None:
        """Pass an announcement to the target, at once or after its confirmation."""
        if self._target.announcement is not None or not announcement.instance:
            self._accept(announcement, "none-needed")
            return
        now_ms = self._clock.now_ms()
        pending = self._pending
        if is_stale(pending, announcement):
            return
        # After a pause of this process it is not known whether the upstream went on meanwhile.
        interrupted = now_ms - self._last_ms > CONFIRMATION_MS
        if pending is None or interrupted or not same_process(pending, announcement):
            log.info(
                "announcement_unconfirmed",
                instance=announcement.instance,
                born_ms=announcement.born_ms,
                sequence=announcement.sequence,
            )
            self._first_ms = now_ms
        elif announcement.sequence == pending.sequence:
            return
        self._pending = announcement
        self._last_ms = now_ms
        if now_ms - self._first_ms >= CONFIRMATION_MS and self._record_read():
            self._accept(announcement, "announcements")
        else:
            self._check()

    def _accept(self, announcement: Announcement, confirmed_by: str) -> None:
        if self._pending is not None:
            log.info(
                "announcement_confirmed", instance=announcement.instance, confirmed_by=confirmed_by
            )
        self._pending = None
        self._target.receive_announcement(announcement)

    def _check(self) -> None:
        if not self._checking:
            self._checking = True
            ensureDeferred(self._check_health())  # type: ignore[arg-type]
        self._check_timer.wake()

    def _check_again(self) -> bool:
        if self._pending is None or self._target.announcement is not None:
            self._pending = None
            return False
        if self._clock.now_ms() - self._last_ms > CONFIRMATION_MS:
            log.info("announcement_ignored", instance=self._pending.instance)
            self._pending = None
            return False
        self._check()
        return True

    async def _check_health(self) -> None:
        assert self._pending is not None
        metadata = await self._target.check_health(self._pending.address, self._pending.port)
        self._checking = False
        pending = self._pending
        if pending is None or self._target.announcement is not None:
            return
        if metadata is not None and metadata.instance == pending.instance:
            self._accept(pending, "health-check")

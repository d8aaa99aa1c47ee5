"""Identity of the upstream process behind an announcement, and the processes that have left.

A process is identified by its instance name and its start time, which is 0 if it is unknown.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foxtailproxy.models.messages import Announcement

MAX_LEFT_PROCESSES = 64
"""Maximum number of processes remembered as having left."""


@dataclass(frozen=True, slots=True)
class UpstreamProcess:
    """One process of the upstream."""

    instance: str
    born_ms: int


def same_process(current: Announcement, announcement: Announcement) -> bool:
    """Return whether two announcements are from the same process."""
    same = (current.instance, current.address, current.port, current.service) == (
        announcement.instance,
        announcement.address,
        announcement.port,
        announcement.service,
    )
    return same and _same_start(current.born_ms, announcement.born_ms)


def is_stale(current: Announcement | None, announcement: Announcement) -> bool:
    """Return whether an announcement is older than the current one."""
    if current is None:
        return False
    if announcement.born_ms and announcement.born_ms < current.born_ms:
        return True
    return (
        same_process(current, announcement)
        and announcement.born_ms == current.born_ms
        and announcement.sequence < current.sequence
    )


def _same_start(first_ms: int, second_ms: int) -> bool:
    return first_ms == second_ms or not first_ms or not second_ms


class LeftProcesses:
    """Processes that have announced that they take no new work."""

    def __init__(self) -> None:
        self._processes: dict[UpstreamProcess, None] = {}

    @property
    def latest(self) -> UpstreamProcess | None:
        """The process that started last, as far as that is known."""
        return max(self._processes, key=lambda process: process.born_ms, default=None)

    def add(self, process: UpstreamProcess) -> bool:
        """Record that a process has left; return `False` if that was recorded before.

        The process recorded first is dropped beyond the maximum.
        """
        if process in self._processes:
            return False
        self._processes[process] = None
        if len(self._processes) > MAX_LEFT_PROCESSES:
            del self._processes[next(iter(self._processes))]
        return True

    def contains(self, process: Announcement | UpstreamProcess) -> bool:
        """Return whether the process has left; an unknown start matches any process of its name."""
        return self.find(process) is not None

    def find(self, process: Announcement | UpstreamProcess) -> UpstreamProcess | None:
        """Return the process as it was recorded, the last one started if several match."""
        matches = [
            left
            for left in self._processes
            if left.instance == process.instance and _same_start(left.born_ms, process.born_ms)
        ]
        return max(matches, key=lambda left: left.born_ms, default=None)

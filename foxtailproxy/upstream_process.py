"""Which process of the upstream an announcement is from, and which processes have left.

A process is known by its name and the moment of its start; the start is 0 where it is not known.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foxtailproxy.models.messages import Announcement

MAX_LEFT_PROCESSES = 64
"""Processes remembered as having left at most."""


def same_process(current: Announcement, announcement: Announcement) -> bool:
    """Whether two announcements are from one process."""
    same = (current.instance, current.address, current.port, current.service) == (
        announcement.instance,
        announcement.address,
        announcement.port,
        announcement.service,
    )
    return same and _same_start(current.born_ms, announcement.born_ms)


def is_stale(current: Announcement | None, announcement: Announcement) -> bool:
    """Whether something newer is known than what an announcement says."""
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
    """The processes that said that they take no new work."""

    def __init__(self) -> None:
        self._processes: dict[tuple[str, int], None] = {}

    def add(self, instance: str, born_ms: int) -> None:
        """A process leaves."""
        self._processes[instance, born_ms] = None
        if len(self._processes) > MAX_LEFT_PROCESSES:
            del self._processes[next(iter(self._processes))]

    def contains(self, announcement: Announcement) -> bool:
        """Whether the process has left; one whose start is not known counts as one of its name."""
        return any(
            instance == announcement.instance and _same_start(born_ms, announcement.born_ms)
            for instance, born_ms in self._processes
        )

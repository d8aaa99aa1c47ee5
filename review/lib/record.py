"""The record of one run of a script: what was sent, answered and run, with the time."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Lines of a file, each with the seconds since the start of the run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def add(self, *parts: object) -> None:
        """Write one line."""
        text = " | ".join(str(part) for part in parts)
        self._file.write(f"{time.monotonic() - self._start_s:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()

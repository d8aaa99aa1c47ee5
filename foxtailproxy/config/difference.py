"""A plain difference between two configurations, for review."""

from __future__ import annotations

import difflib


def difference(old: str, new: str, old_name: str, new_name: str) -> str:
    """A unified difference; empty where the texts are the same."""
    lines = difflib.unified_diff(
        old.splitlines(keepends=True), new.splitlines(keepends=True), old_name, new_name
    )
    return "".join(lines)

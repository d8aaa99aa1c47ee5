"""Unified diff of two configurations, for review."""

from __future__ import annotations

import difflib


def difference(old: str, new: str, old_name: str, new_name: str) -> str:
    """Return a unified diff; empty where the texts are equal."""
    lines = difflib.unified_diff(
        old.splitlines(keepends=True), new.splitlines(keepends=True), old_name, new_name
    )
    return "".join(lines)

"""Comparison of test output with golden files."""

from __future__ import annotations

import os
from pathlib import Path

GOLDEN_FOLDER = Path(__file__).parent / "golden"

UPDATE_VARIABLE = "FOXTAILPROXY_UPDATE_GOLDEN"
"""Environment variable that rewrites the golden files; their diff is then reviewed like any other
change."""


def check_golden(name: str, text: str) -> None:
    """Compare a text with its golden file. Raises `AssertionError`."""
    path = GOLDEN_FOLDER / f"{name}.txt"
    if os.environ.get(UPDATE_VARIABLE):
        path.write_text(text, encoding="utf-8")
    expected = path.read_text(encoding="utf-8") if path.exists() else ""
    assert text == expected, f"{path.name} differs:\n--- expected\n{expected}\n--- actual\n{text}"

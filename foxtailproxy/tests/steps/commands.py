"""Steps for the command line."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

from behave import then, when

DATA = str(Path(__file__).parents[1] / "data")
TIMEOUT_S = 30


@when("foxtailproxy is run with {arguments}")
def step_run(context: Any, arguments: str) -> None:
    command = [sys.executable, "-m", "foxtailproxy", *arguments.replace("DATA", DATA).split()]
    context.ended = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
    )


@then("it ends with exit code {code:d} and says {expected}")
def step_ends(context: Any, code: int, expected: str) -> None:
    said = context.ended.stdout + context.ended.stderr
    assert context.ended.returncode == code, (context.ended.returncode, said)
    assert expected in said and "Traceback" not in said, said

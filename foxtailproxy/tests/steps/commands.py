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
def step_run_command(context: Any, arguments: str) -> None:
    command = [sys.executable, "-m", "foxtailproxy", *arguments.replace("DATA", DATA).split()]
    context.completed = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
    )


@then("it exits with code {code:d} and prints {expected}")
def step_check_exit(context: Any, code: int, expected: str) -> None:
    output = context.completed.stdout + context.completed.stderr
    assert context.completed.returncode == code, (context.completed.returncode, output)
    assert expected in output and "Traceback" not in output, output

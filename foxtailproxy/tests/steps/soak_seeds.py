"""Steps for the short soak test."""

from __future__ import annotations

import subprocess
import sys
from typing import Any

from behave import then, when

SOAK_TIMEOUT_S = 180


@when("the soak test runs seed {seed:d} for {duration:d} s with {places:d} nodes")
def step_run_soak(context: Any, seed: int, duration: int, places: int) -> None:
    command = [sys.executable, "-m", "soak", "--seed", str(seed), "--duration", str(duration)]
    command += ["--places", str(places)]
    context.soak_process = subprocess.run(
        command, capture_output=True, text=True, timeout=SOAK_TIMEOUT_S, check=False
    )


@then("every guarantee held")
def step_no_violation(context: Any) -> None:
    assert context.soak_process.returncode == 0, (
        context.soak_process.stdout + context.soak_process.stderr
    )

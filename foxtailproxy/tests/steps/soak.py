"""Steps for the short soak."""

from __future__ import annotations

import subprocess
import sys
from typing import Any

from behave import then, when

TIMEOUT_S = 180


@when("the soak plays seed {seed:d} for {duration:d} s at {places:d} places")
def step_soak(context: Any, seed: int, duration: int, places: int) -> None:
    command = [sys.executable, "-m", "soak", "--seed", str(seed), "--duration", str(duration)]
    command += ["--places", str(places)]
    context.ended = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
    )


@then("every promise held")
def step_held(context: Any) -> None:
    assert context.ended.returncode == 0, context.ended.stdout + context.ended.stderr

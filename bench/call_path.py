"""Added time of one and two nodes against direct calls and a byte relay, interleaved in one run."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from foxtailproxy.config.builder import Configuration
from standins.fleet import Fleet
from standins.load import Callers, Shape, quantile_ms

HOST = "kalender.example"
WARM_UP = 100
PAUSE_S = 0.003
QUANTILES = (50, 90, 99)

SHAPE = Shape("lookup", HOST, "GET", "/days", 50.0, run_ms=0.0)


class PathResult(msgspec.Struct):
    """Times of one path, and what exceeds the direct path, in milliseconds."""

    path: str
    quantiles_ms: dict[str, float]
    added_ms: dict[str, float]


class CallPathReport(msgspec.Struct):
    """All paths; memory in KB, processor time in microseconds for a call."""

    calls: int
    paths: list[PathResult]
    idle_kb: int
    loaded_kb: int
    node_cpu_us: float


def measure(calls: int) -> CallPathReport:
    """Send `calls` calls on each path, in turn."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), log_calls=False)
        try:
            return _measure(fleet, calls)
        finally:
            fleet.close()


def _measure(fleet: Fleet, calls: int) -> CallPathReport:
    fleet.start_platform()
    near = fleet.add("near", "pohja", "tallinn-a", "kalender")
    far = fleet.add("far", "pohja", "tallinn-b", "other")
    fleet.start_members()
    config = Configuration()
    config.service("kalender", hosts=[HOST]).idempotent("lookup", methods=["GET"])
    fleet.apply(config.to_ini())
    relay_port, _ = fleet.start_relay("relay", near.upstream_port)
    ports = {
        "direct": near.upstream_port,
        "byte relay": relay_port,
        "one node": near.caller_port,
        "two nodes": far.caller_port,
    }
    idle_kb = fleet.memory_kb("near")
    begun_s = fleet.cpu_s("near")
    times = _run(ports, calls)
    cpu_us = (fleet.cpu_s("near") - begun_s) / (2 * calls) * 1e6
    direct = {f"p{q}": quantile_ms(times["direct"], q) for q in QUANTILES}
    paths = []
    for name, values in times.items():
        quantiles = {f"p{q}": quantile_ms(values, q) for q in QUANTILES}
        added = {key: quantiles[key] - direct[key] for key in quantiles}
        paths.append(PathResult(name, quantiles, added))
    return CallPathReport(calls, paths, idle_kb, fleet.memory_kb("near"), cpu_us)


def _run(ports: dict[str, int], calls: int) -> dict[str, list[float]]:
    times: dict[str, list[float]] = {name: [] for name in ports}
    loop: Any = reactor

    async def send_all() -> None:
        callers = {name: Callers([port], 1) for name, port in ports.items()}
        for number in range(WARM_UP + calls):
            for name, one in callers.items():
                ended = await one.send_now(SHAPE)
                assert ended.outcome == "answered", ended
                if number >= WARM_UP:
                    times[name].append(ended.ms)
                await deferLater(loop, PAUSE_S, lambda: None)

    def begin() -> None:
        done = ensureDeferred(send_all())
        done.addErrback(lambda failure: failure.printTraceback())
        done.addBoth(lambda _: loop.stop())

    loop.callWhenRunning(begin)
    loop.run()
    return times


def print_report(report: CallPathReport) -> None:
    """Print the table."""
    print(f"{report.calls} calls on each path, interleaved; times in ms")
    print(f"{'path':<12} {'p50':>7} {'p90':>7} {'p99':>7} {'added p50':>10} {'added p99':>10}")
    for path in report.paths:
        cells = " ".join(f"{value:>7.3f}" for value in path.quantiles_ms.values())
        print(
            f"{path.path:<12} {cells} {path.added_ms['p50']:>10.3f} {path.added_ms['p99']:>10.3f}"
        )
    print(
        f"node: {report.node_cpu_us:.0f} us of processor time a call, "
        f"{report.idle_kb} KB idle, {report.loaded_kb} KB after the load"
    )

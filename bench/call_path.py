"""Latency added by one and two nodes to direct calls, and a byte relay, interleaved in one run."""

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
from standins.load import LoadGenerator, RequestProfile, percentile_ms

HOST = "kalender.example"
WARM_UP_CALLS = 100
PAUSE_S = 0.003
PERCENTILES = (50, 90, 99)

PROFILE = RequestProfile("lookup", HOST, "GET", "/days", 50.0, run_ms=0.0)


class PathResult(msgspec.Struct):
    """Latencies of one path, and the latencies added to the direct path, in milliseconds."""

    path: str
    quantiles_ms: dict[str, float]
    added_ms: dict[str, float]


class CallPathReport(msgspec.Struct):
    """Results of all paths; memory in KB, processor time in microseconds per call."""

    calls: int
    paths: list[PathResult]
    idle_kb: int
    loaded_kb: int
    node_cpu_us: float


def measure(calls: int) -> CallPathReport:
    """Send `calls` calls on each path, interleaved."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), log_calls=False)
        try:
            return _measure(fleet, calls)
        finally:
            fleet.close()


def _measure(fleet: Fleet, calls: int) -> CallPathReport:
    fleet.start_platform()
    local_member = fleet.add_member("local", "pohja", "tallinn-a", "kalender")
    remote_member = fleet.add_member("remote", "pohja", "tallinn-b", "other")
    fleet.start_members()
    config = Configuration()
    config.service("kalender", hosts=[HOST]).idempotent("lookup", methods=["GET"])
    fleet.apply_config(config.to_ini())
    relay_port, _ = fleet.start_relay("relay", local_member.upstream_port)
    ports = {
        "direct": local_member.upstream_port,
        "byte relay": relay_port,
        "one node": local_member.caller_port,
        "two nodes": remote_member.caller_port,
    }
    idle_kb = fleet.memory_kb("local")
    started_cpu_s = fleet.cpu_s("local")
    times = _send_interleaved(ports, calls)
    cpu_us = (fleet.cpu_s("local") - started_cpu_s) / (2 * calls) * 1e6
    direct = {f"p{q}": percentile_ms(times["direct"], q) for q in PERCENTILES}
    paths = []
    for name, path_times_ms in times.items():
        quantiles = {f"p{q}": percentile_ms(path_times_ms, q) for q in PERCENTILES}
        added = {key: quantiles[key] - direct[key] for key in quantiles}
        paths.append(PathResult(name, quantiles, added))
    return CallPathReport(calls, paths, idle_kb, fleet.memory_kb("local"), cpu_us)


def _send_interleaved(ports: dict[str, int], calls: int) -> dict[str, list[float]]:
    times: dict[str, list[float]] = {name: [] for name in ports}
    loop: Any = reactor

    async def send_all() -> None:
        generator_by_path = {name: LoadGenerator([port], 1) for name, port in ports.items()}
        for number in range(WARM_UP_CALLS + calls):
            for name, generator in generator_by_path.items():
                result = await generator.send_now(PROFILE)
                assert result.outcome == "answered", result
                if number >= WARM_UP_CALLS:
                    times[name].append(result.latency_ms)
                await deferLater(loop, PAUSE_S, lambda: None)

    def begin() -> None:
        done = ensureDeferred(send_all())
        done.addErrback(lambda failure: failure.printTraceback())
        done.addBoth(lambda _: loop.stop())

    loop.callWhenRunning(begin)
    loop.run()
    return times


def print_report(report: CallPathReport) -> None:
    """Print the results as a table."""
    print(f"{report.calls} calls on each path, interleaved; times in ms")
    print(f"{'path':<12} {'p50':>7} {'p90':>7} {'p99':>7} {'added p50':>10} {'added p99':>10}")
    for path in report.paths:
        cells = " ".join(f"{value:>7.3f}" for value in path.quantiles_ms.values())
        print(
            f"{path.path:<12} {cells} {path.added_ms['p50']:>10.3f} {path.added_ms['p99']:>10.3f}"
        )
    print(
        f"node: {report.node_cpu_us:.0f} us of processor time per call, "
        f"{report.idle_kb} KB idle, {report.loaded_kb} KB after the load"
    )

"""Command that benchmarks the call path and the policy.

Usage: python -m bench [--calls N] [--seeds 1,2] [--json FILE] [--only path|policy]
"""

from __future__ import annotations

import click
import msgspec

from bench import call_path, policy


class BenchReport(msgspec.Struct):
    """Results of all benchmarks that ran."""

    call_path: call_path.CallPathReport | None
    policy: list[policy.Row]


@click.command()
@click.option("--calls", default=1500, help="Measured calls on each path.")
@click.option("--seeds", default="1,2", help="Comma-separated seeds of the policy runs.")
@click.option("--only", type=click.Choice(["path", "policy"]), help="Run only this benchmark.")
@click.option(
    "--workload", default="", help="Run only the policy workloads whose name contains this text."
)
@click.option("--json", "json_file", type=click.Path(), help="Write the results to this file.")
def main(calls: int, seeds: str, only: str | None, workload: str, json_file: str | None) -> None:
    """Benchmark the call path and the policy."""
    report = BenchReport(None, [])
    if only != "policy":
        report.call_path = call_path.measure(calls)
        call_path.print_report(report.call_path)
    if only != "path":
        for case in [case for case in policy.workloads() if workload in case.name]:
            for seed in [int(seed) for seed in seeds.split(",")]:
                for variant in policy.VARIANTS:
                    report.policy.extend(policy.simulate(case, variant, seed))
        policy.print_rows(report.policy)
    if json_file is not None:
        with open(json_file, "wb") as file:
            file.write(msgspec.json.encode(report))


if __name__ == "__main__":
    main()

"""Command line of foxtailproxy."""

from __future__ import annotations

from typing import Any

import click

from foxtailproxy import __version__

EXIT_CODES = """\b
Exit codes: 0 success, 1 other error, 2 usage error, 3 invalid file, 4 conflict with another
operator, 5 no response, 6 error response, 7 port in use.
"""

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
platform_option = click.option(
    "--platform",
    required=True,
    metavar="URL",
    envvar="FOXTAILPROXY_PLATFORM",
    help="Address of the platform's object API.",
)


class AddressType(click.ParamType):
    """Parameter type of an address as IP:PORT."""

    name = "address"

    def convert(self, value: Any, param: Any, ctx: Any) -> Any:
        """Return the address, or fail with a usage error if it is invalid."""
        from foxtailproxy.config.settings import is_address

        if not is_address(value):
            self.fail(f"{value!r} is not an address as IP:PORT", param, ctx)
        return value


address_argument = click.argument("address", metavar="IP:PORT", type=AddressType())
file_argument = click.argument("file", type=click.Path())


def _print_result(result: Any, text: str, as_json: bool) -> None:
    import msgspec

    click.echo(msgspec.json.encode(result).decode() if as_json else text)


@click.group(epilog=EXIT_CODES, context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """A load balancer for servers whose load shifts in milliseconds."""


@cli.command(epilog=EXIT_CODES)
@json_option
def version(as_json: bool) -> None:
    """Print the version.

    Example: foxtailproxy version
    """
    _print_result({"version": __version__}, __version__, as_json)


@cli.command(epilog=EXIT_CODES)
@click.argument("settings", type=click.Path(), envvar="FOXTAILPROXY_CONFIG")
@click.option("--check", is_flag=True, help="Check the settings and stop.")
@click.pass_obj
def node(caller_socket: Any, settings: str, check: bool) -> None:
    """Run the node that SETTINGS (an INI file) describes, until it is drained.

    Example: foxtailproxy node node.ini
    """
    if check:
        from foxtailproxy.config.settings import load_settings

        load_settings(settings)
        click.echo("valid")
        return
    from foxtailproxy.commands.node import run_node

    run_node(settings, caller_socket)


@cli.command(epilog=EXIT_CODES)
@click.argument("attempt_id", metavar="ID")
@click.argument("files", metavar="FILE...", nargs=-1, required=True, type=click.Path())
@json_option
def explain(attempt_id: str, files: tuple[str, ...], as_json: bool) -> None:
    """Explain the outcome of the request ID from the log FILEs of all nodes.

    Example: foxtailproxy explain 9c41d07be2a35f68 logs/*.log
    """
    from foxtailproxy.commands import explain as commands

    explanation = commands.explain(attempt_id, list(files))
    _print_result(explanation, commands.format_explanation(explanation), as_json)


@cli.group(epilog=EXIT_CODES)
def config() -> None:
    """Check, compare, apply and show the configuration."""


@config.command(epilog=EXIT_CODES)
@file_argument
@json_option
def check(file: str, as_json: bool) -> None:
    """Check the configuration in FILE and report every problem.

    Example: foxtailproxy config check services.ini
    """
    from foxtailproxy.commands import config as commands

    report = commands.check(file)
    _print_result(report, f"valid: {report.services} services, {report.classes} classes", as_json)


@config.command(epilog=EXIT_CODES)
@file_argument
@platform_option
@json_option
def diff(file: str, platform: str, as_json: bool) -> None:
    """Show what applying FILE would change.

    Example: foxtailproxy config diff services.ini --platform http://127.0.0.1:7000
    """
    from foxtailproxy.commands import config as commands
    from foxtailproxy.commands.client import run_async

    text = run_async(commands.compare(commands.open_platform(platform), file))
    _print_result({"difference": text}, text or "no difference", as_json)


@config.command(epilog=EXIT_CODES)
@file_argument
@platform_option
@click.option("--expect", type=int, help="Generation that the change is based on.")
@click.option(
    "--node",
    "node_address",
    metavar="IP:PORT",
    type=AddressType(),
    help="Admin port of a node to ask for the generation in force.",
)
@json_option
def apply(
    file: str, platform: str, expect: int | None, node_address: str | None, as_json: bool
) -> None:
    """Apply the configuration in FILE, unless another operator has applied one meanwhile.

    Example: foxtailproxy config apply services.ini --platform http://127.0.0.1:7000 --expect 4
    """
    from foxtailproxy.commands import config as commands
    from foxtailproxy.commands.client import run_async

    report = run_async(commands.apply(commands.open_platform(platform), file, expect, node_address))
    summary = f"accepted: generation {report.generation} (change {report.change_id})"
    _print_result(report, f"{report.difference}{summary}", as_json)


@config.command(epilog=EXIT_CODES)
@platform_option
@json_option
def show(platform: str, as_json: bool) -> None:
    """Print the configuration that the platform holds.

    Example: foxtailproxy config show --platform http://127.0.0.1:7000
    """
    from foxtailproxy.commands import config as commands
    from foxtailproxy.commands.client import run_async

    current = run_async(commands.fetch_current(commands.open_platform(platform)))
    if current.config is None:
        _print_result(current, "# no configuration", as_json)
        return
    title = f"# generation {current.config.generation} by {current.config.author}"
    _print_result(current, f"{title}\n{current.config.text}", as_json)


@cli.command(epilog=EXIT_CODES)
@address_argument
@json_option
def status(address: str, as_json: bool) -> None:
    """Show the state of the node whose admin port is IP:PORT.

    Example: foxtailproxy status 127.0.0.1:7103
    """
    from foxtailproxy.admin import StatusReport
    from foxtailproxy.commands.client import request_admin, run_async
    from foxtailproxy.commands.report import format_status

    report = run_async(request_admin("GET", address, "/status", StatusReport))
    _print_result(report, format_status(report), as_json)


@cli.command(epilog=EXIT_CODES)
@click.option(
    "--node",
    "node_address",
    required=True,
    metavar="IP:PORT",
    type=AddressType(),
    help="Admin port of the node at which the request would enter.",
)
@click.option("--host", required=True, help="Host of the request.")
@click.option("--method", default="GET", show_default=True, help="Method of the request.")
@click.option("--path", default="/", show_default=True, help="Path of the request.")
@click.option("--customer", default="", metavar="NAME", help="Name of its customer, never a key.")
@json_option
def where(
    node_address: str, host: str, method: str, path: str, customer: str, as_json: bool
) -> None:
    """Show where a request would go now, and why, without sending it.

    Example: foxtailproxy where --node 127.0.0.1:7103 --host kalender.example --path /days
    """
    from foxtailproxy.choice.preview_report import WhereQuery, WhereReport
    from foxtailproxy.commands.client import request_admin, run_async
    from foxtailproxy.commands.where import format_where

    query = WhereQuery(host, method, path, customer)
    report = run_async(request_admin("POST", node_address, "/where", WhereReport, query))
    _print_result(report, format_where(report), as_json)


@cli.command(epilog=EXIT_CODES)
@address_argument
@json_option
def drain(address: str, as_json: bool) -> None:
    """Drain the node; its process exits when all its calls have ended.

    Example: foxtailproxy drain 127.0.0.1:7103
    """
    from foxtailproxy.commands.client import request_admin, run_async

    report = run_async(request_admin("POST", address, "/drain", dict[str, str]))
    _print_result(report, report.get("state", ""), as_json)


@cli.command(epilog=EXIT_CODES)
@address_argument
@json_option
def histograms(address: str, as_json: bool) -> None:
    """Plot the latency of each class and tenant.

    Example: foxtailproxy histograms 127.0.0.1:7103
    """
    from foxtailproxy.commands.client import request_admin, run_async
    from foxtailproxy.commands.report import format_histograms
    from foxtailproxy.metrics import HistogramSummary

    summaries = run_async(request_admin("GET", address, "/histograms", list[HistogramSummary]))
    _print_result(summaries, format_histograms(summaries), as_json)


@cli.command(epilog=EXIT_CODES)
@address_argument
@click.option("--release", metavar="FINGERPRINT", help="Release this request from quarantine.")
@json_option
def quarantine(address: str, release: str | None, as_json: bool) -> None:
    """Show the requests that were running when upstreams crashed, or release one.

    Example: foxtailproxy quarantine 127.0.0.1:7103
    """
    from foxtailproxy.admin import SuspectReport
    from foxtailproxy.commands.client import request_admin, run_async
    from foxtailproxy.commands.report import format_suspects

    if release is not None:
        path = f"/quarantine/{release}"
        released = run_async(request_admin("DELETE", address, path, dict[str, str]))
        _print_result(released, f"released {release}", as_json)
        return
    suspects = run_async(request_admin("GET", address, "/quarantine", list[SuspectReport]))
    _print_result(suspects, format_suspects(suspects), as_json)

"""The ``wagtailkeel`` command line for operators."""

from __future__ import annotations

import os
from pathlib import Path

import click

from wagtailkeel.console.commands.booking import booking
from wagtailkeel.console.commands.data_centre import data_centre
from wagtailkeel.console.commands.dump import dump
from wagtailkeel.console.commands.explain import explain
from wagtailkeel.console.commands.server import server
from wagtailkeel.console.commands.servers import servers
from wagtailkeel.console.commands.service import service
from wagtailkeel.console.commands.status import status
from wagtailkeel.console.commands.traffic_class import traffic_class
from wagtailkeel.console.commands.where import where
from wagtailkeel.console.context import ConsoleContext
from wagtailkeel.console.control_client import Address
from wagtailkeel.console.exit_codes import ExitCode
from wagtailkeel.errors import SettingsError
from wagtailkeel.settings import load_settings

CONTROL_VARIABLE = "WAGTAILKEEL_CONTROL"
DEFAULT_DEADLINE_S = 15.0


@click.group()
@click.option("--control", multiple=True, help="HOST:PORT of a control instance; may be repeated.")
@click.option(
    "--settings",
    type=click.Path(path_type=Path),
    help="Settings file that lists the control instances.",
)
@click.option("--output", type=click.Choice(["text", "json"]), default="text", show_default=True)
@click.option(
    "--deadline",
    type=float,
    default=DEFAULT_DEADLINE_S,
    show_default=True,
    help="Seconds to wait for an answer of control.",
)
@click.option("--author", default="", help="Author of the change; default: the login name.")
@click.pass_context
def main(
    context: click.Context,
    control: tuple[str, ...],
    settings: Path | None,
    output: str,
    deadline: float,
    author: str,
) -> None:
    """Operate wagtailkeel.

    Exit status: 0 success, 2 usage error, 3 version conflict, 4 rejected, 5 outcome unknown,
    6 control unreachable, 7 accepted, but not yet in force on all nodes.

    Example: wagtailkeel --control 10.0.0.1:7002 status
    """
    addresses = [_parse_address(text) for text in control]
    if not addresses and settings is not None:
        addresses = _load_addresses(settings)
    if not addresses and os.environ.get(CONTROL_VARIABLE):
        addresses = [_parse_address(text) for text in os.environ[CONTROL_VARIABLE].split(",")]
    context.obj = ConsoleContext(addresses, output == "json", deadline, author)


def _parse_address(text: str) -> Address:
    host, separator, port = text.strip().rpartition(":")
    if not separator or not port.isdigit() or not host:
        raise click.UsageError(f"expected HOST:PORT, found {text!r}")
    return host.strip("[]"), int(port)


def _load_addresses(settings: Path) -> list[Address]:
    try:
        loaded = load_settings(settings)
    except SettingsError as error:
        click.echo(f"error: {error}", err=True)
        raise SystemExit(ExitCode.USAGE) from error
    return [
        (control_instance.host, control_instance.rpc_port)
        for control_instance in loaded.control_instances
    ]


for command in (
    booking,
    data_centre,
    dump,
    explain,
    server,
    servers,
    service,
    status,
    traffic_class,
    where,
):
    main.add_command(command)

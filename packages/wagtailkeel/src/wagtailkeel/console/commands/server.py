"""The ``wagtailkeel server`` commands."""

from __future__ import annotations

import click

from wagtailkeel.console.context import ConsoleContext
from wagtailkeel.console.context import command_options
from wagtailkeel.console.context import pass_console
from wagtailkeel_state.commands import DrainServer
from wagtailkeel_state.commands import RestoreServer


@click.group()
def server() -> None:
    """Drain backend servers and return them to service."""


@server.command()
@click.argument("server_id")
@click.option(
    "--deadline-s",
    type=click.FloatRange(min=1),
    default=3_600.0,
    show_default=True,
    help="Seconds after which the flows that are left may be cut.",
)
@command_options
@pass_console
def drain(
    console: ConsoleContext,
    server_id: str,
    deadline_s: float,
    command_id: str,
    expect_version: int | None,
    wait: bool,
) -> None:
    """Send no new work to a server; its flows continue until they end or the deadline passes.

    Example: wagtailkeel server drain desk-3 --wait
    """
    command = DrainServer(server_id=server_id, deadline_s=deadline_s)
    console.send(command, command_id, expect_version, wait, f"{server_id} is draining")


@server.command()
@click.argument("server_id")
@command_options
@pass_console
def restore(
    console: ConsoleContext, server_id: str, command_id: str, expect_version: int | None, wait: bool
) -> None:
    """Return a draining server to service.

    Example: wagtailkeel server restore desk-3
    """
    command = RestoreServer(server_id=server_id)
    console.send(command, command_id, expect_version, wait, f"{server_id} is serving")

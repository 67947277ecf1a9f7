"""The ``wagtailkeel datacentre`` commands."""

from __future__ import annotations

import click

from wagtailkeel.console.context import ConsoleContext
from wagtailkeel.console.context import command_options
from wagtailkeel.console.context import pass_console
from wagtailkeel_state.commands import SetDataCentreState
from wagtailkeel_state.enums import DataCentreState


@click.group(name="datacentre")
def data_centre() -> None:
    """Take data centres out of service and bring them back."""


@data_centre.command(name="out")
@click.argument("name")
@command_options
@pass_console
def take_out(
    console: ConsoleContext, name: str, command_id: str, expect_version: int | None, wait: bool
) -> None:
    """Take a data centre out of service now; the flows of its servers are ended.

    Example: wagtailkeel datacentre out vadodara --wait
    """
    command = SetDataCentreState(name=name, state=DataCentreState.OUT_OF_SERVICE)
    console.send(command, command_id, expect_version, wait, f"{name} is out of service")


@data_centre.command(name="back")
@click.argument("name")
@command_options
@pass_console
def bring_back(
    console: ConsoleContext, name: str, command_id: str, expect_version: int | None, wait: bool
) -> None:
    """Bring a data centre back into service.

    Example: wagtailkeel datacentre back vadodara
    """
    command = SetDataCentreState(name=name, state=DataCentreState.IN_SERVICE)
    console.send(command, command_id, expect_version, wait, f"{name} is in service")

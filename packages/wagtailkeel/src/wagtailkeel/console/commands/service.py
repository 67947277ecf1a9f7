"""The ``wagtailkeel service`` commands."""

from __future__ import annotations

import click

from wagtailkeel.console.context import ConsoleContext
from wagtailkeel.console.context import command_options
from wagtailkeel.console.context import pass_console
from wagtailkeel_state.commands import CreateService


@click.group()
def service() -> None:
    """Manage services; callers reach a service at one address."""


@service.command()
@click.argument("name")
@command_options
@pass_console
def create(
    console: ConsoleContext, name: str, command_id: str, expect_version: int | None, wait: bool
) -> None:
    """Create a service; its address is allocated from the pool.

    Example: wagtailkeel service create marshal-desk
    """
    command = CreateService(name=name)
    console.send(command, command_id, expect_version, wait, f"service {name} created")

"""The ``wagtailkeel class`` commands."""

from __future__ import annotations

import click

from wagtailkeel.console.context import ConsoleContext
from wagtailkeel.console.context import command_options
from wagtailkeel.console.context import pass_console
from wagtailkeel.console.target_type import TARGET
from wagtailkeel_state.commands import ChangeTarget
from wagtailkeel_state.commands import CreateClass
from wagtailkeel_state.enums import FlowProtocol
from wagtailkeel_state.target import Target


@click.group(name="class")
def traffic_class() -> None:
    """Manage the traffic classes of a service, each with its own target."""


@traffic_class.command()
@click.argument("service")
@click.argument("name")
@click.option("--protocol", type=click.Choice(["tcp", "udp"]), required=True)
@click.option("--target", type=TARGET, required=True, help="'p99<200ms' or 'held<2000'.")
@click.option("--non-idempotent", is_flag=True, help="A request must be executed at most once.")
@click.option(
    "--idle-limit",
    type=click.FloatRange(min=1),
    default=30.0,
    help="Seconds without a packet after which a flow is closed.",
)
@command_options
@pass_console
def create(
    console: ConsoleContext,
    service: str,
    name: str,
    protocol: str,
    target: Target,
    non_idempotent: bool,
    idle_limit: float,
    command_id: str,
    expect_version: int | None,
    wait: bool,
) -> None:
    """Add a class to a service; its port is allocated from the pool.

    Example: wagtailkeel class create marshal-desk feed --protocol tcp --target 'held<2000'
    """
    command = CreateClass(
        service=service,
        name=name,
        protocol=FlowProtocol(protocol),
        target=target,
        is_idempotent=not non_idempotent,
        idle_limit_s=idle_limit,
    )
    console.send(command, command_id, expect_version, wait, f"class {service}/{name} created")


@traffic_class.command(name="target")
@click.argument("service")
@click.argument("name")
@click.argument("target", type=TARGET)
@command_options
@pass_console
def change_target(
    console: ConsoleContext,
    service: str,
    name: str,
    target: Target,
    command_id: str,
    expect_version: int | None,
    wait: bool,
) -> None:
    """Change the target of a class.

    Example: wagtailkeel class target marshal-desk checkpoint 'p99<150ms'
    """
    command = ChangeTarget(service=service, name=name, target=target)
    console.send(command, command_id, expect_version, wait, f"target is {target}")

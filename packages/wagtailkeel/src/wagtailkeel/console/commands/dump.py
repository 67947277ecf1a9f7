"""The ``wagtailkeel dump`` command."""

from __future__ import annotations

import click

from wagtailkeel.console.context import ConsoleContext
from wagtailkeel.console.context import pass_console
from wagtailkeel.console.control_client import Address
from wagtailkeel.console.control_client import ControlClient
from wagtailkeel.errors import ControlUnreachableError


@click.command()
@click.argument("instance")
@pass_console
def dump(console: ConsoleContext, instance: str) -> None:
    """Print the state of a process as JSON; INSTANCE is an id or HOST:PORT.

    Example: wagtailkeel dump desk-3
    """

    async def fetch_dump(client: ControlClient) -> bytes:
        address = await _find_address(client, instance)
        if address is None:
            raise ControlUnreachableError(f"no instance {instance} is known to control")
        return await client.dump(address)

    click.echo(console.run(fetch_dump).decode())


async def _find_address(client: ControlClient, instance: str) -> Address | None:
    host, separator, port = instance.rpartition(":")
    if separator and port.isdigit():
        return host, int(port)
    config = (await client.status()).configuration
    member = config.servers_by_id.get(instance) or config.balancers_by_id.get(instance)
    return (member.host, member.rpc_port) if member else None

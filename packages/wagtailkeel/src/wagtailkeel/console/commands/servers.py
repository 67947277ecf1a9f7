"""The ``wagtailkeel servers`` command."""

from __future__ import annotations

import click

from wagtailkeel.console.context import ConsoleContext
from wagtailkeel.console.context import pass_console
from wagtailkeel.console.control_client import ControlClient


@click.command()
@pass_console
def servers(console: ConsoleContext) -> None:
    """List the registered backend servers.

    Example: wagtailkeel servers
    """
    status = console.run(ControlClient.status)
    members = sorted(status.configuration.servers_by_id.values(), key=lambda m: m.server_id)
    capacities_by_id = {node.instance_id: node.capacity for node in status.nodes}
    lines = [
        f"{m.server_id:24} {m.service:20} {m.data_centre:14} {m.state.value:14} "
        f"slots {m.slots:<3} capacity {capacities_by_id.get(m.server_id, 0)}"
        for m in members
    ]
    console.print(members, "\n".join(lines) or "no servers are registered")

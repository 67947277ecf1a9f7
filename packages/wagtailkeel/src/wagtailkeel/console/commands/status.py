"""The ``wagtailkeel status`` command."""

from __future__ import annotations

import click

from wagtailkeel.console.context import ConsoleContext
from wagtailkeel.console.context import pass_console
from wagtailkeel.console.control_client import ControlClient
from wagtailkeel.console.exit_codes import ExitCode
from wagtailkeel_protocol.messages import StatusReply


@click.command()
@click.option(
    "--wait", type=int, default=None, help="Wait until this version is in force on all nodes."
)
@pass_console
def status(console: ConsoleContext, wait: int | None) -> None:
    """Show the current version, and the nodes on which it is not yet in force.

    Example: wagtailkeel status --wait 118
    """

    async def wait_and_query(client: ControlClient) -> tuple[list[str], StatusReply]:
        lagging_nodes = await client.wait_in_force(wait) if wait is not None else []
        return lagging_nodes, await client.status()

    lagging_nodes, reply = console.run(wait_and_query)
    console.print(reply, format_status(reply))
    if lagging_nodes:
        console.fail(
            ExitCode.NOT_IN_FORCE, f"version {wait} is not in force on {', '.join(lagging_nodes)}"
        )


def format_status(reply: StatusReply) -> str:
    """Format a status as text that marks the nodes with an older version."""
    leader = reply.leader_id or "none"
    lines = [
        f"version {reply.version}, leader {leader}",
        f"last change by an operator: version {reply.configuration.operator_version}",
    ]
    if not reply.is_leader:
        lines.append("answered by an instance that is not the leader: this may be out of date")
    for data_centre in reply.configuration.data_centres_by_name.values():
        lines.append(f"data centre {data_centre.name}: {data_centre.state.value}")
    for service in reply.configuration.services_by_name.values():
        lines.append(f"service {service.name} at {service.address}")
        for traffic_class in service.classes_by_name.values():
            kind = "idempotent" if traffic_class.is_idempotent else "at most once"
            lines.append(
                f"  class {traffic_class.name}: {traffic_class.protocol.value} "
                f"port {traffic_class.port}, target {traffic_class.target}, {kind}"
            )
    for node in reply.nodes:
        suffix = "" if node.version >= reply.version else f"  NOT IN FORCE (has {node.version})"
        lines.append(f"{node.role:9} {node.instance_id:24} {node.state:14}{suffix}")
    return "\n".join(lines)

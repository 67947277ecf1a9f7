"""The ``wagtailkeel where`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click
import msgspec

from wagtailkeel.console.context import ConsoleContext
from wagtailkeel.console.context import pass_console
from wagtailkeel.console.exit_codes import ExitCode
from wagtailkeel_protocol.where_messages import WhereReply
from wagtailkeel_protocol.where_messages import WhereRequest

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtailkeel.console.control_client import ControlClient
    from wagtailkeel_protocol.where_messages import KnownServer
    from wagtailkeel_protocol.where_messages import PlacementPreview
    from wagtailkeel_state.balancer_member import BalancerMember
    from wagtailkeel_state.configuration import Configuration
    from wagtailkeel_state.server_member import ServerMember


class _Explanation(msgspec.Struct):
    """The answers of a balancer and of the directory owner, None where there is none.

    ``out_of_service`` are the data centres that operators have taken out. ``error`` says why the
    explanation is incomplete, and ``exit_code`` is the command's exit status.
    """

    balancer: str = ""
    route: WhereReply | None = None
    owner: str = ""
    placement: WhereReply | None = None
    out_of_service: list[str] = []
    error: str = ""
    exit_code: ExitCode = ExitCode.DONE


@click.command()
@click.argument("caller")
@click.argument("route")
@click.option("--data-centre", default="", help="Data centre at which the caller arrives.")
@pass_console
def where(console: ConsoleContext, caller: str, route: str, data_centre: str) -> None:
    """Explain where an opening from CALLER to ROUTE would go now, without sending it.

    CALLER and ROUTE are IP:PORT. Without --data-centre, the first balancer that answers is asked.
    Exit status 1: no route; 6: the directory owner or all balancers do not answer. Example:

    wagtailkeel where 100.64.0.7:40001 198.18.0.1:443 --data-centre east
    """
    request = WhereRequest(caller, route)

    async def explain(client: ControlClient) -> _Explanation:
        config = (await client.status()).configuration
        return await _explain(client, config, request, data_centre)

    explanation = console.run(explain)
    console.print(explanation, "\n".join(_format(explanation)))
    if explanation.error:
        console.fail(explanation.exit_code, explanation.error)


async def _explain(
    client: ControlClient, config: Configuration, request: WhereRequest, data_centre: str
) -> _Explanation:
    data_centres = sorted(config.data_centres_by_name)
    explanation = _Explanation(
        out_of_service=[name for name in data_centres if not config.is_in_service(name)]
    )
    if data_centre and data_centre not in data_centres:
        return _fail(explanation, ExitCode.USAGE, f"unknown data centre {data_centre}")
    balancers = [b for b in config.balancers_by_id.values() if _is_in(b, data_centre)]
    route = await _ask_balancers(client, balancers, request, explanation)
    if route is None:
        return _fail(explanation, ExitCode.UNREACHABLE, "no balancer answered")
    if route.error:
        return _fail(explanation, ExitCode.USAGE, route.error)
    if not route.service:
        error = f"no route to {request.route} in routing version {route.routing_version}"
        return _fail(explanation, ExitCode.FAILURE, error)
    owner = _find_owner(config, route)
    if owner is None:
        return _fail(explanation, ExitCode.UNREACHABLE, "the balancer knows no directory owner")
    explanation.owner = owner.server_id
    explanation.placement = await client.where((owner.host, owner.rpc_port), request)
    if explanation.placement is None:
        error = f"the directory owner {owner.server_id} does not answer"
        return _fail(explanation, ExitCode.UNREACHABLE, error)
    return explanation


def _fail(explanation: _Explanation, exit_code: ExitCode, error: str) -> _Explanation:
    explanation.exit_code = exit_code
    explanation.error = error
    return explanation


def _is_in(balancer: BalancerMember, data_centre: str) -> bool:
    return not data_centre or balancer.data_centre == data_centre


async def _ask_balancers(
    client: ControlClient,
    balancers: list[BalancerMember],
    request: WhereRequest,
    explanation: _Explanation,
) -> WhereReply | None:
    """Ask the balancers in turn until one answers, and record which one did."""
    for balancer in balancers:
        reply = await client.where((balancer.host, balancer.rpc_port), request)
        if reply is not None:
            explanation.balancer = balancer.instance_id
            explanation.route = reply
            return reply
    return None


def _find_owner(config: Configuration, route: WhereReply) -> ServerMember | None:
    address = (route.owner_host, route.owner_port)
    members = config.servers_by_id.values()
    return next((m for m in members if (m.host, m.port) == address), None)


def _format(explanation: _Explanation) -> Iterator[str]:
    for name in explanation.out_of_service:
        yield f"data centre {name} is out of service"
    route = explanation.route
    if route is not None and route.service:
        yield (
            f"{explanation.balancer}: routing version {route.routing_version}, "
            f"service {route.service}, priority {route.priority}, "
            f"target {route.target_ms:g} ms, timeout {route.timeout_ms:g} ms"
        )
    placement = explanation.placement
    if placement is not None and placement.preview is not None:
        yield from _format_preview(explanation.owner, placement.preview)


def _format_preview(owner: str, preview: PlacementPreview) -> Iterator[str]:
    target = f" at {preview.agent}" if preview.agent else ""
    reason = f" ({preview.reason})" if preview.reason else ""
    known = f"{len(preview.servers)} of {preview.members} loads known"
    yield f"{owner}: {preview.outcome.value}{target}{reason}; {known}"
    for server in preview.servers:
        yield f"  {_format_server(server)}"


def _format_server(server: KnownServer) -> str:
    marks = [name for name in ("is_cold", "is_outlier") if getattr(server, name)]
    return " ".join(
        [
            f"{server.agent} {server.data_centre} {server.state}",
            f"expected {server.expected_ms:g} ms,",
            f"in flight {server.in_flight}, load {server.load_age_ms:g} ms old",
            *(mark.removeprefix("is_") for mark in marks),
        ]
    )

"""The ``wagtailkeel explain`` command."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

from wagtailkeel.console.exit_codes import ExitCode
from wagtailkeel.errors import InvalidFlowError
from wagtailkeel.flow_explanation import explain_flow
from wagtailkeel.flow_explanation import parse_flow_id

if TYPE_CHECKING:
    from collections.abc import Iterator
    from typing import BinaryIO


@click.command()
@click.argument("flow")
@click.argument("logs", nargs=-1, type=click.File("rb"))
def explain(flow: str, logs: tuple[BinaryIO, ...]) -> None:
    """Explain what happened to FLOW, from the LOGS of all processes or standard input.

    FLOW is an id from a log line, or "caller:port>route:port". The exit status is 1 if the logs
    have no line about FLOW. Example:

    wagtailkeel explain "100.64.0.7:40001>198.18.0.1:443" balancer.log agent-*.log
    """
    try:
        flow_id = parse_flow_id(flow)
    except InvalidFlowError as error:
        click.echo(f"error: {error}", err=True)
        raise SystemExit(ExitCode.USAGE) from error
    explanation = explain_flow(flow_id, _read_lines(logs))
    for line in explanation.lines:
        details = " ".join(f"{name}={value}" for name, value in line.fields.items())
        click.echo(f"{line.at:.3f} {line.node} {line.event} {details}")
    click.echo(f"flow {flow_id}: {explanation.cause}")
    if explanation.unreadable or explanation.unrelated:
        counts = f"{explanation.unreadable} unreadable and {explanation.unrelated} other lines"
        click.echo(f"ignored: {counts}", err=True)
    if not explanation.lines:
        raise SystemExit(ExitCode.FAILURE)


def _read_lines(logs: tuple[BinaryIO, ...]) -> Iterator[bytes]:
    for log in logs or (sys.stdin.buffer,):
        yield from log

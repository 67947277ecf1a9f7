"""State shared by all commands: control addresses, output format and exit codes."""

from __future__ import annotations

import json
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NoReturn
from typing import TypeVar

import click
import msgspec

from wagtailkeel.console.control_client import Address
from wagtailkeel.console.control_client import ControlClient
from wagtailkeel.console.exit_codes import ExitCode
from wagtailkeel.errors import ControlUnreachableError
from wagtailkeel_state.commands import AnyCommand
from wagtailkeel_state.commands import CommandAnswer
from wagtailkeel_state.enums import AnswerStatus

Result = TypeVar("Result")

EXIT_CODES_BY_STATUS = {
    AnswerStatus.ACCEPTED: ExitCode.DONE,
    AnswerStatus.CONFLICT: ExitCode.CONFLICT,
    AnswerStatus.REJECTED: ExitCode.REJECTED,
    AnswerStatus.UNKNOWN: ExitCode.UNKNOWN,
}


class ConsoleContext:
    """Options of the command group, passed to its commands by click."""

    __slots__ = ("addresses", "author", "deadline_s", "is_json")

    def __init__(
        self, addresses: list[Address], is_json: bool, deadline_s: float, author: str
    ) -> None:
        self.addresses = addresses
        self.is_json = is_json
        self.deadline_s = deadline_s
        self.author = author

    def run(self, operation: Callable[[ControlClient], Awaitable[Result]]) -> Result:
        """Run an operation with a client; exit if it finds control unreachable."""
        client = self._create_client()
        try:
            return client.run(lambda: operation(client))
        except ControlUnreachableError as error:
            self.fail(ExitCode.UNREACHABLE, str(error))

    def _create_client(self) -> ControlClient:
        """Create a client of the control instances; exit if no address is known."""
        if not self.addresses:
            self.fail(
                ExitCode.USAGE,
                "control address missing: use --control HOST:PORT or --settings FILE",
            )
        return ControlClient(self.addresses, self.deadline_s)

    def print(self, value: Any, text: str) -> None:
        """Print a value as JSON or as text, as the --output option requests."""
        if self.is_json:
            click.echo(json.dumps(msgspec.to_builtins(value), sort_keys=True))
        else:
            click.echo(text)

    def fail(self, code: ExitCode, message: str) -> NoReturn:
        """Print an error and exit with a code."""
        click.echo(f"error: {message}", err=True)
        raise SystemExit(code)

    def send(
        self,
        command: AnyCommand,
        command_id: str,
        expected_version: int | None,
        wait: bool,
        success_text: str,
    ) -> None:
        """Send a command and print its answer; exit with the matching code unless it succeeds."""

        async def send_and_wait(client: ControlClient) -> tuple[CommandAnswer, list[str]]:
            answer = await client.send(command, command_id, self.author, expected_version)
            lagging_nodes: list[str] = []
            if wait and answer.is_accepted:
                lagging_nodes = await client.wait_in_force(answer.index)
            return answer, lagging_nodes

        answer, lagging_nodes = self.run(send_and_wait)
        self._report_answer(answer, lagging_nodes, success_text)

    def _report_answer(
        self, answer: CommandAnswer, lagging_nodes: list[str], success_text: str
    ) -> None:
        if answer.is_accepted:
            self.print(answer, f"{success_text} (version {answer.index})")
            if lagging_nodes:
                self.fail(ExitCode.NOT_IN_FORCE, f"not yet in force on {', '.join(lagging_nodes)}")
            return
        if self.is_json:
            self.print(answer, "")
        self.fail(EXIT_CODES_BY_STATUS[answer.status], f"{answer.status.value}: {answer.reason}")


pass_console = click.make_pass_decorator(ConsoleContext)


def command_options(function: Callable[..., None]) -> Callable[..., None]:
    """Add the options shared by all commands that change the configuration."""
    function = click.option(
        "--command-id", default="", help="Command id; resend a command under the same id."
    )(function)
    function = click.option(
        "--expect-version",
        type=int,
        default=None,
        help="Apply only if this is the version of the last change by an operator.",
    )(function)
    return click.option(
        "--wait", is_flag=True, help="Wait until the change is in force on all nodes."
    )(function)

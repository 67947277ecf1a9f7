"""Client of the control instances, for operators' commands and status queries."""

from __future__ import annotations

import getpass
import time
import uuid
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeVar

import anyio

from wagtailkeel.errors import ControlUnreachableError
from wagtailkeel_protocol.messages import CommandRequest
from wagtailkeel_protocol.messages import DumpRequest
from wagtailkeel_protocol.messages import StatusReply
from wagtailkeel_protocol.messages import StatusRequest
from wagtailkeel_state.commands import CommandAnswer
from wagtailkeel_state.enums import AnswerStatus
from wagtailkeel_transport import RpcError
from wagtailkeel_transport.methods import COMMAND
from wagtailkeel_transport.methods import DUMP
from wagtailkeel_transport.methods import STATUS
from wagtailkeel_transport.methods import WHERE
from wagtailkeel_transport.rpc import RpcClient

if TYPE_CHECKING:
    from wagtailkeel_protocol.where_messages import WhereReply
    from wagtailkeel_protocol.where_messages import WhereRequest
    from wagtailkeel_state.commands import AnyCommand

Address = tuple[str, int]
Result = TypeVar("Result")

RETRY_INTERVAL_S = 0.2
STATUS_POLL_INTERVAL_S = 0.1
COMMAND_TIMEOUT_S = 6.0


class ControlClient:
    """Sends requests to the control instances in turn until the leader answers."""

    def __init__(self, addresses: list[Address], deadline_s: float) -> None:
        self._addresses = addresses
        self._deadline_s = deadline_s
        self._rpc_client = RpcClient()

    def run(self, operation: Callable[[], Awaitable[Result]]) -> Result:
        """Run an operation in a new event loop and close all connections afterwards."""

        async def run_and_close() -> Result:
            try:
                return await operation()
            finally:
                self.close()

        return anyio.run(run_and_close)

    def close(self) -> None:
        """Close all connections."""
        self._rpc_client.close()

    async def send(
        self,
        command: AnyCommand,
        command_id: str = "",
        author: str = "",
        expected_version: int | None = None,
    ) -> CommandAnswer:
        """Send a command until it is answered or the deadline passes.

        All attempts have the same command id, so that a retry is not applied twice. The answer is
        UNKNOWN if the command may or may not have been applied.
        """
        request = CommandRequest(
            command, command_id or uuid.uuid4().hex, author or getpass.getuser(), expected_version
        )
        deadline = time.monotonic() + self._deadline_s
        may_have_applied = False
        leader_id = ""
        while True:
            for address in self._addresses:
                try:
                    reply = await self._rpc_client.call(
                        address, COMMAND, request, COMMAND_TIMEOUT_S
                    )
                except RpcError:
                    may_have_applied = True
                    continue
                if reply.answer is None:
                    leader_id = reply.leader_id
                    continue
                if reply.answer.status is not AnswerStatus.UNKNOWN:
                    return reply.answer
                may_have_applied = True
            if time.monotonic() > deadline:
                break
            await anyio.sleep(RETRY_INTERVAL_S)
        if not may_have_applied:
            raise ControlUnreachableError(_describe_missing_leader(leader_id))
        return CommandAnswer(
            AnswerStatus.UNKNOWN,
            f"no answer; resend it with --command-id {request.command_id} to learn the outcome",
        )

    async def status(self) -> StatusReply:
        """Return the leader's status, or without a leader the newest status of any instance."""
        newest_reply: StatusReply | None = None
        for address in self._addresses:
            try:
                reply = await self._rpc_client.call(address, STATUS, StatusRequest())
            except RpcError:
                continue
            if reply.is_leader:
                return reply
            if newest_reply is None or reply.version > newest_reply.version:
                newest_reply = reply
        if newest_reply is None:
            raise ControlUnreachableError("no control instance answered; check the addresses")
        return newest_reply

    async def wait_in_force(self, version: int) -> list[str]:
        """Wait until every node has a version; return the nodes that lack it at the deadline.

        If all nodes have it but control's status is still older, "control" is returned.
        """
        deadline = time.monotonic() + self._deadline_s
        while True:
            status = await self.status()
            lagging_nodes = [node.instance_id for node in status.nodes if node.version < version]
            if not lagging_nodes and status.version >= version:
                return []
            if time.monotonic() > deadline:
                return lagging_nodes or ["control"]
            await anyio.sleep(STATUS_POLL_INTERVAL_S)

    async def dump(self, address: Address) -> bytes:
        """Return the state of the process at an address, as JSON text."""
        try:
            reply = await self._rpc_client.call(address, DUMP, DumpRequest())
        except RpcError as error:
            raise ControlUnreachableError(str(error)) from error
        return reply.body

    async def where(self, address: Address, request: WhereRequest) -> WhereReply | None:
        """Return how the balancer or agent at an address would treat an opening.

        Return None if it does not answer.
        """
        try:
            return await self._rpc_client.call(address, WHERE, request)
        except RpcError:
            return None


def _describe_missing_leader(leader_id: str) -> str:
    if not leader_id:
        return "no control instance is the leader; nothing was changed"
    return (
        f"control instance {leader_id} is the leader; nothing was changed: "
        "add its address with --control"
    )

"""Requests of a member to control that are repeated until one instance has decided on them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import anyio

from wagtailkeel_protocol.messages import LeaveRequest
from wagtailkeel_protocol.messages import RecordServerRequest
from wagtailkeel_transport import RpcError
from wagtailkeel_transport.methods import LEAVE
from wagtailkeel_transport.methods import RECORD_SERVER

if TYPE_CHECKING:
    from wagtailkeel.roles.address_book import AddressBook
    from wagtailkeel.roles.control_caller import ControlCaller
    from wagtailkeel.roles.node_link.current_leader import CurrentLeader
    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_protocol.messages import AnnounceReply
    from wagtailkeel_state.server_member import ServerRecord
    from wagtailkeel_transport.rpc_method import RpcMethod

Request = TypeVar("Request")

CHANGE_TIMEOUT_S = 0.5
CHANGE_RETRY_INTERVAL_S = 0.1


class ChangeRequests:
    """Asks the leader first, then the other control instances."""

    def __init__(
        self,
        instance_id: str,
        leader: CurrentLeader,
        address_book: AddressBook,
        caller: ControlCaller,
        counters: Counters,
    ) -> None:
        self._instance_id = instance_id
        self._leader = leader
        self._address_book = address_book
        self._caller = caller
        self._counters = counters

    async def leave(self, boot_id: int) -> None:
        """Notify control that the backend server of an incarnation of this agent has ended."""
        await self._repeat(LEAVE, LeaveRequest(self._instance_id, boot_id), "leave_failures")

    async def record_server(self, boot_id: int, number: int, record: ServerRecord) -> bool:
        """Let control record what an incarnation of this agent acknowledges.

        Return whether control has recorded it.
        """
        request = RecordServerRequest(self._instance_id, boot_id, number, record)
        reply = await self._repeat(RECORD_SERVER, request, "record_failures")
        return reply.is_joined

    async def _repeat(
        self,
        method: RpcMethod[Request, AnnounceReply],
        request: Request,
        failure_counter: str,
    ) -> AnnounceReply:
        """Send a request to one control instance after the other until one has decided on it."""
        while True:
            for control_id in dict.fromkeys(
                [self._leader.instance_id, *self._address_book.control_ids]
            ):
                try:
                    reply = await self._caller.call(control_id, method, request, CHANGE_TIMEOUT_S)
                except RpcError:
                    self._counters[failure_counter] += 1
                    continue
                if reply.is_joined or reply.reason:
                    return reply
            await anyio.sleep(CHANGE_RETRY_INTERVAL_S)

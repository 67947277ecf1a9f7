"""Calls of nodes that change their own membership or record: each becomes a command."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_protocol.messages import AnnounceReply
from wagtailkeel_protocol.messages import CommandRequest
from wagtailkeel_state.commands import JoinBalancer
from wagtailkeel_state.commands import JoinServer
from wagtailkeel_state.commands import RecordServer
from wagtailkeel_state.commands import RemoveServer
from wagtailkeel_state.commands import StopAgent
from wagtailkeel_transport.methods import ANNOUNCE
from wagtailkeel_transport.methods import LEAVE
from wagtailkeel_transport.methods import RECORD_SERVER
from wagtailkeel_transport.methods import STOP_AGENT

if TYPE_CHECKING:
    from wagtailkeel.roles.control.consensus import Consensus
    from wagtailkeel_protocol.messages import AnnounceRequest
    from wagtailkeel_protocol.messages import LeaveRequest
    from wagtailkeel_protocol.messages import RecordServerRequest
    from wagtailkeel_protocol.messages import StopRequest
    from wagtailkeel_state.commands import AnyCommand
    from wagtailkeel_transport.rpc_method import RpcHandlers


class MemberChanges:
    """Proposes the commands of nodes; a repeated call has the same command id and answer."""

    def __init__(self, instance_id: str, consensus: Consensus) -> None:
        self._instance_id = instance_id
        self._consensus = consensus

    @property
    def handlers(self) -> RpcHandlers:
        """The handlers of the calls."""
        return {
            ANNOUNCE: self._announce,
            STOP_AGENT: self._stop_agent,
            LEAVE: self._leave,
            RECORD_SERVER: self._record_server,
        }

    async def _announce(self, request: AnnounceRequest) -> AnnounceReply:
        if request.server is not None:
            command: AnyCommand = JoinServer(member=request.server)
            command_id = f"join/{request.server.server_id}/{request.server.boot_id}"
        elif request.balancer is not None:
            command = JoinBalancer(member=request.balancer)
            command_id = f"join/{request.balancer.instance_id}/{request.balancer.boot_id}"
        else:
            return AnnounceReply(False, reason="the announcement contains no member")
        return await self._propose(command, command_id)

    async def _stop_agent(self, request: StopRequest) -> AnnounceReply:
        command = StopAgent(server_id=request.server_id, boot_id=request.boot_id)
        return await self._propose(command, f"stop/{request.server_id}/{request.boot_id}")

    async def _leave(self, request: LeaveRequest) -> AnnounceReply:
        command = RemoveServer(server_id=request.server_id, boot_id=request.boot_id, has_ended=True)
        return await self._propose(command, f"leave/{request.server_id}/{request.boot_id}")

    async def _record_server(self, request: RecordServerRequest) -> AnnounceReply:
        command = RecordServer(
            agent_id=request.agent_id, boot_id=request.boot_id, record=request.record
        )
        return await self._propose(
            command, f"server/{request.agent_id}/{request.boot_id}/{request.number}"
        )

    async def _propose(self, command: AnyCommand, command_id: str) -> AnnounceReply:
        await self._consensus.wait_for_leader()
        raft = self._consensus.raft
        answer = await self._consensus.proposer.propose(CommandRequest(command, command_id, "node"))
        if answer is None:
            return AnnounceReply(False, leader_id=raft.leader_id)
        if not answer.is_accepted:
            return AnnounceReply(False, answer.index, raft.leader_id, answer.reason)
        return AnnounceReply(True, answer.index, self._instance_id)

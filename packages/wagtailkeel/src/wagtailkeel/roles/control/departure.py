"""How a control instance that is about to stop hands over its vote."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from wagtailkeel_coordination import events
from wagtailkeel_coordination.raft.handover_wait import HandoverWait
from wagtailkeel_protocol.raft_messages import VoteHandover
from wagtailkeel_protocol.raft_messages import VoteHandoverReply
from wagtailkeel_protocol.raft_messages import VoteHandoverRequest
from wagtailkeel_transport import RpcError
from wagtailkeel_transport import clock
from wagtailkeel_transport.methods import VOTE_HANDOVER

if TYPE_CHECKING:
    from wagtailkeel.roles.address_book import AddressBook
    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_coordination.events import EventSink
    from wagtailkeel_coordination.raft import RaftNode
    from wagtailkeel_transport.rpc import RpcClient

RETRY_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 0.5


class Departure:
    """Hands over the vote of this instance; as leader, answers the requests of others to do so.

    An instance that is stopped for good would otherwise keep its vote until the leader has missed
    it for some time, while the instance that replaces it has none.
    """

    def __init__(
        self,
        instance_id: str,
        identity: str,
        raft: RaftNode,
        address_book: AddressBook,
        rpc_client: RpcClient,
        counters: Counters,
        event_sink: EventSink,
    ) -> None:
        self._request = VoteHandoverRequest(instance_id, identity)
        self._raft = raft
        self._address_book = address_book
        self._rpc_client = rpc_client
        self._counters = counters
        self._emit = event_sink.emit

    async def hand_over_vote(self) -> None:
        """Wait until another instance has replaced this voter, if one can in time."""
        if not self._raft.is_voter:
            return
        started_at = clock.seconds()
        wait = HandoverWait(started_at)
        state = await self._request_handover()
        while not wait.is_over(state, clock.seconds()):
            await anyio.sleep(RETRY_INTERVAL_S)
            state = await self._request_handover()
        waited_ms = round((clock.seconds() - started_at) * 1_000)
        self._emit(events.VoteHandedOver(state.value, waited_ms))

    async def _request_handover(self) -> VoteHandover:
        """Ask the leader that this instance knows, which may be itself."""
        if not self._raft.has_committed_vote(self._request.instance_id, self._request.identity):
            return VoteHandover.COMPLETE
        if self._raft.is_leader:
            return (await self.on_request(self._request)).state
        address = self._address_book.rpc_address(self._raft.leader_id)
        if not self._raft.leader_id or address is None:
            return VoteHandover.NOT_LEADER
        try:
            reply = await self._rpc_client.call(
                address, VOTE_HANDOVER, self._request, CALL_TIMEOUT_S
            )
        except RpcError:
            self._counters["vote_handover_failures"] += 1
            return VoteHandover.NOT_LEADER
        return reply.state

    async def on_request(self, request: VoteHandoverRequest) -> VoteHandoverReply:
        """Replace the vote of an instance that is about to stop, if this instance leads."""
        state = self._raft.hand_over_vote(request.instance_id, request.identity, clock.seconds())
        return VoteHandoverReply(state)

"""How a control instance joins a cluster: as a founder, or as a learner of its log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from wagtailkeel_coordination.raft.formation import find_initial_voters
from wagtailkeel_protocol.messages import ControlJoinReply
from wagtailkeel_protocol.messages import ControlJoinRequest
from wagtailkeel_protocol.raft_messages import FormationReply
from wagtailkeel_protocol.raft_messages import FormationRequest
from wagtailkeel_transport import RpcError
from wagtailkeel_transport import clock
from wagtailkeel_transport.log import logger
from wagtailkeel_transport.methods import CONTROL_JOIN
from wagtailkeel_transport.methods import FORMATION

if TYPE_CHECKING:
    from wagtailkeel.roles.address_book import AddressBook
    from wagtailkeel.settings import DiscoverySettings
    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_coordination.raft import RaftNode
    from wagtailkeel_transport.rpc import RpcClient

FORMATION_RETRY_S = 0.2
CONTROL_CALL_TIMEOUT_S = 1.0
LEARNER_RETRY_S = 0.5


class ClusterFormation:
    """Forms or joins a cluster; without discovery, the settings list all control instances.

    ``may_join`` is false once the instance is about to stop.
    """

    def __init__(
        self,
        instance_id: str,
        identity: str,
        discovery: DiscoverySettings | None,
        raft: RaftNode,
        address_book: AddressBook,
        rpc_client: RpcClient,
        counters: Counters,
    ) -> None:
        self._instance_id = instance_id
        self._identity = identity
        self._discovery = discovery
        self._raft = raft
        self._address_book = address_book
        self._rpc_client = rpc_client
        self._counters = counters
        self.may_join = True

    @property
    def may_form(self) -> bool:
        """Return whether this instance may be one of the initial voters."""
        discovery = self._discovery
        if discovery is None:
            return True
        return discovery.may_form and self._instance_id in self._address_book.seeds

    async def join_as_learner_forever(self) -> None:
        """Request replication of the log while the leader may not know this instance."""
        while True:
            if self.may_join and self._raft.must_ask_for_replication(clock.seconds()):
                await self._join_as_learner()
            await anyio.sleep(LEARNER_RETRY_S)

    async def _join_as_learner(self) -> None:
        """Query the known control instances, and leaders they reply with, until a leader accepts.

        If none accepts, reload the seeds for the next attempt.
        """
        request = ControlJoinRequest(self._instance_id, self._identity)
        queried_ids: set[str] = {self._instance_id}
        pending_ids = [id_ for id_ in self._address_book.control_ids if id_ not in queried_ids]
        while pending_ids:
            control_id = pending_ids.pop(0)
            address = self._address_book.rpc_address(control_id)
            if control_id in queried_ids or address is None:
                continue
            queried_ids.add(control_id)
            try:
                reply = await self._rpc_client.call(
                    address, CONTROL_JOIN, request, CONTROL_CALL_TIMEOUT_S
                )
            except RpcError:
                self._counters["control_join_failures"] += 1
                continue
            if reply.is_noted:
                return
            if reply.leader_id:
                pending_ids.insert(0, reply.leader_id)
        self._address_book.reload_seeds()

    async def on_join_request(self, request: ControlJoinRequest) -> ControlJoinReply:
        """Start replicating to an instance if leader; otherwise reply with the leader's id."""
        if not self._raft.is_leader:
            return ControlJoinReply(False, self._raft.leader_id)
        self._raft.add_learner(request.instance_id, clock.seconds())
        return ControlJoinReply(True, self._instance_id)

    async def form(self) -> None:
        """Append the first entry of a new cluster once all founders have answered."""
        while not self._raft.voters_by_id:
            replies = await self._query_founders()
            founder_ids = self._founder_ids
            voters = find_initial_voters(self._instance_id, self._identity, founder_ids, replies)
            if voters is not None and not self._raft.voters_by_id:
                self._raft.form(voters)
                logger.info("formed a cluster with the voters {}", ", ".join(sorted(voters)))
                return
            await anyio.sleep(FORMATION_RETRY_S)

    @property
    def _founder_ids(self) -> list[str]:
        if self._discovery is not None:
            return self._address_book.seeds
        return self._address_book.control_ids

    async def _query_founders(self) -> list[FormationReply]:
        replies: list[FormationReply] = []

        async def query(control_id: str) -> None:
            address = self._address_book.rpc_address(control_id)
            assert address is not None, "founders are seeds or in control_instances"
            request = FormationRequest(self._instance_id, self._identity)
            try:
                replies.append(
                    await self._rpc_client.call(address, FORMATION, request, CONTROL_CALL_TIMEOUT_S)
                )
            except RpcError:
                self._counters["formation_failures"] += 1

        async with anyio.create_task_group() as tasks:
            for control_id in self._founder_ids:
                if control_id != self._instance_id:
                    tasks.start_soon(query, control_id)
        return replies

    async def on_formation_request(self, request: FormationRequest) -> FormationReply:
        """Reply with the voters of this instance's cluster, none if it belongs to no cluster."""
        return FormationReply(self._instance_id, self._identity, dict(self._raft.voters_by_id))

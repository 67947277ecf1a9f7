"""Calls that read the state of a control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel.roles.control.node_statuses import list_node_statuses
from wagtailkeel.roles.process_dump import build_dump
from wagtailkeel_protocol.messages import StatusReply
from wagtailkeel_transport import clock

if TYPE_CHECKING:
    from wagtailkeel.roles.configuration_store import ConfigurationStore
    from wagtailkeel.roles.control.leader_duties import LeaderDuties
    from wagtailkeel.roles.metrics import Metrics
    from wagtailkeel_coordination.raft import RaftNode
    from wagtailkeel_protocol.messages import DumpReply
    from wagtailkeel_protocol.messages import DumpRequest
    from wagtailkeel_protocol.messages import StatusRequest


class StateQueries:
    """Answers with the nodes and the configuration, or with a dump for developers."""

    def __init__(
        self,
        instance_id: str,
        identity: str,
        raft: RaftNode,
        duties: LeaderDuties,
        store: ConfigurationStore,
        metrics: Metrics,
    ) -> None:
        self._instance_id = instance_id
        self._identity = identity
        self._raft = raft
        self._duties = duties
        self._store = store
        self._metrics = metrics

    async def on_status_request(self, request: StatusRequest) -> StatusReply:
        """Return the configuration and the nodes as this instance knows them."""
        now = clock.seconds()
        return StatusReply(
            self._store.version,
            self._raft.leader_id,
            self._raft.has_read_lease(now),
            list_node_statuses(self._store.configuration, self._duties.membership, now),
            self._store.configuration,
        )

    async def on_dump_request(self, request: DumpRequest) -> DumpReply:
        """Return the state of the process."""
        raft = self._raft
        return build_dump(
            {
                "role": "control",
                "instance": self._instance_id,
                "identity": self._identity,
                "raft_role": raft.role.value,
                "term": raft.term,
                "leader": raft.leader_id,
                "is_voter": raft.is_voter,
                "voters": sorted(raft.voters_by_id),
                "learners": raft.learner_ids,
                "version": self._store.version,
                "commit_index": raft.commit_index,
                "last_index": raft.log.last_index,
                "base_index": raft.log.base_index,
                "has_failed": raft.has_storage_failed,
                "mass_silence_events": self._duties.membership.mass_silence_events,
                "metrics": self._metrics.dump(),
            }
        )

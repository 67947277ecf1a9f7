"""Acknowledges the heartbeats of nodes; the leader's acknowledgement renews their leases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.membership import is_current_incarnation
from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.messages import HeartbeatAck
from wagtailkeel_transport import clock

if TYPE_CHECKING:
    from wagtailkeel.roles.configuration_store import ConfigurationStore
    from wagtailkeel.roles.control.leader_duties import LeaderDuties
    from wagtailkeel.roles.control_datagrams import ControlDatagrams
    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_coordination.raft import RaftNode
    from wagtailkeel_protocol.messages import Heartbeat


class HeartbeatAcks:
    """Records heartbeats as leader, and names the leader to nodes that reach another instance."""

    def __init__(
        self,
        instance_id: str,
        raft: RaftNode,
        duties: LeaderDuties,
        store: ConfigurationStore,
        datagrams: ControlDatagrams,
        counters: Counters,
    ) -> None:
        self._instance_id = instance_id
        self._raft = raft
        self._duties = duties
        self._store = store
        self._datagrams = datagrams
        self._counters = counters

    def on_heartbeat(self, message: Heartbeat) -> None:
        """Process a heartbeat and acknowledge it to its sender, if the sender's address is known.

        The lease that the acknowledgement grants is 0 s unless this instance leads.
        """
        now = clock.seconds()
        config = self._store.configuration
        is_leader = self._raft.has_read_lease(now)
        lease_s = self._duties.membership.on_heartbeat(message, config, now) if is_leader else 0.0
        ack = HeartbeatAck(
            self._instance_id,
            config.index,
            lease_s,
            self._instance_id if is_leader else self._raft.leader_id,
            is_current_incarnation(message, config),
            message.sent_at,
            message.boot_id,
        )
        if self._datagrams.send(message.sender, encode_datagram(ack)):
            self._counters["heartbeats"] += 1

"""Failure detection by the leader of control: it grants leases and plans removals of nodes.

Control removes an agent that sends no heartbeats only after every lease it may hold has expired.
If the leader itself paused, or most nodes time out at once, the fault is more likely the leader's
than the nodes', and none of them is removed.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_coordination.lease import LEASE_S
from wagtailkeel_coordination.lease import REMOVAL_TIMEOUT_S
from wagtailkeel_protocol.messages import Heartbeat
from wagtailkeel_state.commands import RemoveBalancer
from wagtailkeel_state.commands import RemoveServer

if TYPE_CHECKING:
    from wagtailkeel_state.configuration import Configuration

MAX_CHECK_GAP_S = 1.0
MAX_VERSION_LAG_S = 2.0
MAX_TIMED_OUT_FRACTION = 0.5
AGENT_STOP_TIMEOUT_S = 30.0


class NodeReport(msgspec.Struct):
    """The last heartbeat of a node and the time it was received at."""

    heartbeat: Heartbeat
    received_at: float


class Membership:
    """Last heartbeats by node id; each term of a leader starts with none."""

    def __init__(self, now: float) -> None:
        self.reports_by_id: dict[str, NodeReport] = {}
        self.mass_silence_events = 0
        self._first_seen_by_incarnation: dict[tuple[str, int], float] = {}
        self._epochs_by_service: dict[str, deque[tuple[float, int]]] = {}
        self._checked_at = now
        self._grace_since = now

    def on_heartbeat(self, message: Heartbeat, config: Configuration, now: float) -> float:
        """Record a heartbeat; return the lease to grant in seconds, 0 for none."""
        earlier = self.reports_by_id.get(message.sender)
        if earlier is not None and earlier.heartbeat.boot_id == message.boot_id:
            if message.sent_at < earlier.heartbeat.sent_at:
                return 0.0
        if not is_current_incarnation(message, config):
            return 0.0
        self.reports_by_id[message.sender] = NodeReport(message, now)
        return LEASE_S if self._has_recent_table(message, config, now) else 0.0

    def _has_recent_table(self, message: Heartbeat, config: Configuration, now: float) -> bool:
        """Return whether a node's owner table is recent enough for a lease.

        The table may lack only changes of the last ``MAX_VERSION_LAG_S``. Their number does not
        matter, so that frequent changes alone do not cost a node its lease.
        """
        member = config.servers_by_id.get(message.sender)
        if member is None or member.service not in config.services_by_name:
            return True
        epoch = config.services_by_name[member.service].table_epoch
        epochs = self._epochs_by_service.setdefault(member.service, deque())
        if not epochs or epochs[-1][1] != epoch:
            epochs.append((now, epoch))
        while len(epochs) > 1 and now - epochs[1][0] > MAX_VERSION_LAG_S:
            epochs.popleft()
        required = epochs[0][1] if now - epochs[0][0] > MAX_VERSION_LAG_S else 0
        return message.version >= required

    def find_removals(
        self, config: Configuration, now: float
    ) -> list[RemoveServer | RemoveBalancer]:
        """Return the commands that remove nodes which have sent no heartbeat for too long.

        If more than MAX_CHECK_GAP_S passed since the last check, for instance since the leader
        paused, the timeouts of all nodes start anew. No node is removed if more than one, and more
        than MAX_TIMED_OUT_FRACTION of all nodes, have timed out at once.
        """
        if now - self._checked_at > MAX_CHECK_GAP_S:
            self._grace_since = now
        self._checked_at = now
        boot_ids = _boot_ids(config)
        self._discard_former_nodes(boot_ids)
        timed_out = [
            key for key, boot_id in boot_ids.items() if self._has_timed_out(key, boot_id, now)
        ]
        if len(timed_out) > 1 and len(timed_out) > MAX_TIMED_OUT_FRACTION * len(boot_ids):
            self.mass_silence_events += 1
            return []
        return [_removal_command(key, boot_ids[key], config) for key in timed_out]

    def _discard_former_nodes(self, boot_ids: dict[str, int]) -> None:
        """Discard the records of nodes that are no longer members.

        Only done if there are more records than members, since this runs several times a second.
        """
        if len(self.reports_by_id) > len(boot_ids):
            for node_id in set(self.reports_by_id) - set(boot_ids):
                del self.reports_by_id[node_id]
        if len(self._first_seen_by_incarnation) > len(boot_ids):
            for incarnation in set(self._first_seen_by_incarnation) - set(boot_ids.items()):
                del self._first_seen_by_incarnation[incarnation]

    def _has_timed_out(self, node_id: str, boot_id: int, now: float) -> bool:
        report = self.reports_by_id.get(node_id)
        last_contact_at = self._grace_since
        if report is not None and report.heartbeat.boot_id == boot_id:
            last_contact_at = max(last_contact_at, report.received_at)
        else:
            first_seen = self._first_seen_by_incarnation.setdefault((node_id, boot_id), now)
            last_contact_at = max(last_contact_at, first_seen)
        timeout_s = REMOVAL_TIMEOUT_S
        if report is not None and report.heartbeat.is_stopping:
            timeout_s = AGENT_STOP_TIMEOUT_S
        return now - last_contact_at > timeout_s


def is_current_incarnation(message: Heartbeat, config: Configuration) -> bool:
    """Return whether the sender's incarnation is a member."""
    member = config.servers_by_id.get(message.sender)
    balancer = config.balancers_by_id.get(message.sender)
    node = member or balancer
    return node is not None and node.boot_id == message.boot_id


def _boot_ids(config: Configuration) -> dict[str, int]:
    boot_ids = {key: member.boot_id for key, member in config.servers_by_id.items()}
    boot_ids.update({key: member.boot_id for key, member in config.balancers_by_id.items()})
    return boot_ids


def _removal_command(
    node_id: str, boot_id: int, config: Configuration
) -> RemoveServer | RemoveBalancer:
    if node_id in config.servers_by_id:
        return RemoveServer(server_id=node_id, boot_id=boot_id)
    return RemoveBalancer(instance_id=node_id, boot_id=boot_id)

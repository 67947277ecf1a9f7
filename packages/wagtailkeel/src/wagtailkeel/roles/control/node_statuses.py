"""The status that each node last reported to control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_protocol.messages import NodeStatus

if TYPE_CHECKING:
    from wagtailkeel_coordination.membership import Membership
    from wagtailkeel_state.configuration import Configuration


def list_node_statuses(
    config: Configuration, membership: Membership, now: float
) -> list[NodeStatus]:
    """Return all members, sorted by id.

    Version 0 means that this instance, as leader, has received no heartbeat from the node.
    """
    nodes = [
        NodeStatus(m.server_id, "agent", m.data_centre, 0, None, m.state.value, m.service)
        for m in config.servers_by_id.values()
    ]
    nodes += [
        NodeStatus(m.instance_id, "balancer", m.data_centre, 0, None, "serving")
        for m in config.balancers_by_id.values()
    ]
    for node in nodes:
        report = membership.reports_by_id.get(node.instance_id)
        if report is not None:
            node.version = report.heartbeat.version
            node.capacity = report.heartbeat.capacity
            node.age_s = now - report.received_at
    return sorted(nodes, key=lambda node: node.instance_id)

"""Expiry of the pointers that an authority has for flows on other servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_protocol.flow_key import endpoint_of

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wagtailkeel_state.flow_directory import FlowDirectory
    from wagtailkeel_state.remote_flow import RemoteFlow
    from wagtailkeel_state.traffic_class import TrafficClass

REFUSAL_RETENTION_S = 15.0
CLOSING_RETENTION_S = 30.0
SWEEP_INTERVAL_S = 5.0
DEFAULT_IDLE_LIMIT_S = 30.0


class RemoteFlowSweeper:
    """Removes pointers to flows that have ended or exceeded the idle limit of their class."""

    def __init__(self, directory: FlowDirectory) -> None:
        self._directory = directory
        self._swept_at = float("-inf")

    def tick(self, classes_by_endpoint: Mapping[bytes, TrafficClass], now: float) -> None:
        """Remove expired pointers every ``SWEEP_INTERVAL_S``."""
        if now - self._swept_at < SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        for bucket, flows in list(self._directory.remote_flows_by_bucket.items()):
            for key, flow in list(flows.items()):
                if now - flow.last_seen_at > _retention_s(key, flow, classes_by_endpoint):
                    self._directory.remove_remote(bucket, key)


def _retention_s(
    key: bytes, flow: RemoteFlow, classes_by_endpoint: Mapping[bytes, TrafficClass]
) -> float:
    if flow.is_refused:
        return REFUSAL_RETENTION_S
    if flow.is_closing:
        return CLOSING_RETENTION_S
    traffic_class = classes_by_endpoint.get(endpoint_of(key))
    return traffic_class.idle_limit_s if traffic_class else DEFAULT_IDLE_LIMIT_S

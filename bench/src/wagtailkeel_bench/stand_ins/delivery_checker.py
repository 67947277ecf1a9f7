"""Counts of repeated runs, misrouted packets and late packets over all backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from wagtailkeel_coordination.flows.round_trip_probe import PROBE_SOURCE_IPV4
from wagtailkeel_protocol.flow_key import endpoint_of

if TYPE_CHECKING:
    from wagtailkeel_bench.stand_ins.payload import RequestPayload
    from wagtailkeel_bench.stand_ins.server_plan import ServerPlan


class DeliveryChecker:
    """Shared by the servers of one bench, so that a second run on any server is detected."""

    def __init__(self) -> None:
        self.misrouted_packets = 0
        self.late_packets = 0
        self.late_openings = 0
        self.double_runs = 0
        self.multi_server_flows = 0
        self._server_ids_by_request_id: dict[int, str] = {}
        self._services_by_endpoint: dict[bytes, str] = {}
        self._server_ids_by_flow: dict[bytes, str] = {}
        self._late_since_by_data_centre: dict[str, float] = {}
        self._late_since_by_server_id: dict[str, float] = {}

    def set_endpoints(self, services_by_endpoint: dict[str, str]) -> bool:
        """Set the service of each endpoint (hex text)."""
        self._services_by_endpoint = {
            bytes.fromhex(key): service for key, service in services_by_endpoint.items()
        }
        return True

    def close_data_centre(self, name: str, grace_s: float) -> bool:
        """Count packets to a data centre as late, starting ``grace_s`` seconds from now."""
        self._late_since_by_data_centre[name] = asyncio.get_running_loop().time() + grace_s
        return True

    def open_data_centre(self, name: str) -> bool:
        """Stop counting packets to a data centre as late."""
        self._late_since_by_data_centre.pop(name, None)
        return True

    def close_server(self, server_id: str, grace_s: float) -> bool:
        """Count new flows at a server as late, starting ``grace_s`` seconds from now."""
        self._late_since_by_server_id[server_id] = asyncio.get_running_loop().time() + grace_s
        return True

    def open_server(self, server_id: str) -> bool:
        """Stop counting new flows at a server as late."""
        self._late_since_by_server_id.pop(server_id, None)
        return True

    def check_arrival(self, plan: ServerPlan, key: bytes) -> None:
        """Count a caller's packet if it is misrouted or late, or if its flow has changed servers.

        Agents' round-trip probes are skipped; their source address is from a network that is
        reserved for documentation.
        """
        if key.startswith(PROBE_SOURCE_IPV4):
            return
        if self._services_by_endpoint.get(endpoint_of(key)) != plan.service:
            self.misrouted_packets += 1
        late_since = self._late_since_by_data_centre.get(plan.data_centre)
        if late_since is not None and asyncio.get_running_loop().time() > late_since:
            self.late_packets += 1
        late_since = self._late_since_by_server_id.get(plan.server_id)
        is_new = key not in self._server_ids_by_flow
        if is_new and late_since is not None and asyncio.get_running_loop().time() > late_since:
            self.late_openings += 1
        previous_server_id = self._server_ids_by_flow.setdefault(key, plan.server_id)
        if previous_server_id != plan.server_id:
            self.multi_server_flows += 1
            self._server_ids_by_flow[key] = plan.server_id

    def record_run(self, request: RequestPayload, server_id: str) -> None:
        """Record that a server has accepted a request; count a second run unless idempotent."""
        if request.request_id in self._server_ids_by_request_id and not request.is_idempotent:
            self.double_runs += 1
        self._server_ids_by_request_id[request.request_id] = server_id

    def count_runs(self, request_ids: list[int]) -> int:
        """Return how many of the requests a server has accepted to run."""
        return sum(request_id in self._server_ids_by_request_id for request_id in request_ids)

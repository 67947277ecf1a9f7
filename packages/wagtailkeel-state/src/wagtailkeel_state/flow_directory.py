"""The flow directory of one agent.

Local flows are the flows on the agent's backend server; their records are authoritative on where a
flow is. Remote flows are pointers to other servers, kept for the buckets whose authority this agent
is.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_state.flow_record import FlowRecord
from wagtailkeel_state.remote_flow import RemoteFlow

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wagtailkeel_state.local_flow import LocalFlow


class FlowDirectory:
    """Records of local flows by key and by bucket, and of remote flows by bucket."""

    __slots__ = ("local_flows_by_key", "local_keys_by_bucket", "remote_flows_by_bucket")

    def __init__(self) -> None:
        self.local_flows_by_key: dict[bytes, LocalFlow] = {}
        self.local_keys_by_bucket: dict[int, set[bytes]] = {}
        self.remote_flows_by_bucket: dict[int, dict[bytes, RemoteFlow]] = {}

    @property
    def remote_flow_count(self) -> int:
        """The number of pointers and recorded refusals."""
        return sum(len(flows) for flows in self.remote_flows_by_bucket.values())

    def add_local(self, flow: LocalFlow) -> None:
        """Record a flow of the local backend server and remove a pointer to it, if any."""
        self.local_flows_by_key[flow.key] = flow
        self.local_keys_by_bucket.setdefault(flow.bucket, set()).add(flow.key)
        self.remove_remote(flow.bucket, flow.key)

    def remove_local(self, flow: LocalFlow) -> None:
        """Remove a flow of the local backend server."""
        self.local_flows_by_key.pop(flow.key, None)
        keys = self.local_keys_by_bucket.get(flow.bucket)
        if keys is None:
            return
        keys.discard(flow.key)
        if not keys:
            del self.local_keys_by_bucket[flow.bucket]

    def find_remote(self, bucket: int, key: bytes) -> RemoteFlow | None:
        """Return the pointer or refusal recorded for a flow, or None."""
        flows = self.remote_flows_by_bucket.get(bucket)
        return flows.get(key) if flows else None

    def add_remote(self, bucket: int, key: bytes, server_id: str, now: float) -> None:
        """Record which server has a flow, or by REFUSED_SERVER_ID that the flow was refused."""
        flows = self.remote_flows_by_bucket.setdefault(bucket, {})
        flows[key] = RemoteFlow(server_id, now)

    def remove_remote(self, bucket: int, key: bytes) -> None:
        """Remove the pointer or refusal recorded for a flow."""
        flows = self.remote_flows_by_bucket.get(bucket)
        if flows is None or flows.pop(key, None) is None:
            return
        if not flows:
            del self.remote_flows_by_bucket[bucket]

    def remove_remotes(self, bucket: int) -> None:
        """Remove all pointers and refusals of a bucket after its token was granted elsewhere."""
        self.remote_flows_by_bucket.pop(bucket, None)

    def records_of(self, bucket: int, own_id: str) -> list[FlowRecord]:
        """Return the records of all local and remote flows of a bucket, for its next owner."""
        local = [FlowRecord(key, own_id) for key in self.local_keys_by_bucket.get(bucket, ())]
        remote = self.remote_flows_by_bucket.get(bucket, {})
        return local + [FlowRecord(key, flow.server_id) for key, flow in remote.items()]

    def local_records(self, buckets: Iterable[int], own_id: str) -> list[FlowRecord]:
        """Return the records of the local backend server's flows in the given buckets."""
        return [
            FlowRecord(key, own_id)
            for bucket in buckets
            for key in self.local_keys_by_bucket.get(bucket, ())
        ]

    def install_records(self, bucket: int, records: Iterable[FlowRecord], now: float) -> None:
        """Add or replace pointers and refusals by another agent's records.

        Records of flows that are on the local backend server are ignored.
        """
        for record in records:
            if record.key not in self.local_flows_by_key:
                self.add_remote(bucket, record.key, record.server_id, now)

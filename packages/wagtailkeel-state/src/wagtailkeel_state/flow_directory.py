"""The flow directory of one agent.

Local flows live on the agent's own server and are the ground truth of where a flow is. Remote
flows are pointers, kept for the buckets whose authority this agent is.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_state.flow_record import FlowRecord
from wagtailkeel_state.remote_flow import RemoteFlow

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wagtailkeel_state.local_flow import LocalFlow


class FlowDirectory:
    """Local flows by key and by bucket, remote flows by bucket."""

    __slots__ = ("local_flows_by_key", "local_keys_by_bucket", "remote_flows_by_bucket")

    def __init__(self) -> None:
        self.local_flows_by_key: dict[bytes, LocalFlow] = {}
        self.local_keys_by_bucket: dict[int, set[bytes]] = {}
        self.remote_flows_by_bucket: dict[int, dict[bytes, RemoteFlow]] = {}

    @property
    def remote_flow_count(self) -> int:
        """The number of pointers and refusals."""
        return sum(len(flows) for flows in self.remote_flows_by_bucket.values())

    def add_local(self, flow: LocalFlow) -> None:
        """Record a flow of the own server; a pointer to it is no longer needed."""
        self.local_flows_by_key[flow.key] = flow
        self.local_keys_by_bucket.setdefault(flow.bucket, set()).add(flow.key)
        self.remove_remote(flow.bucket, flow.key)

    def remove_local(self, flow: LocalFlow) -> None:
        """Forget a flow of the own server."""
        self.local_flows_by_key.pop(flow.key, None)
        keys = self.local_keys_by_bucket.get(flow.bucket)
        if keys is None:
            return
        keys.discard(flow.key)
        if not keys:
            del self.local_keys_by_bucket[flow.bucket]

    def find_remote(self, bucket: int, key: bytes) -> RemoteFlow | None:
        """Return the pointer for a flow, if there is one."""
        flows = self.remote_flows_by_bucket.get(bucket)
        return flows.get(key) if flows else None

    def add_remote(self, bucket: int, key: bytes, server_id: str, now: float) -> None:
        """Record which server has a flow, or its refusal."""
        flows = self.remote_flows_by_bucket.setdefault(bucket, {})
        flows[key] = RemoteFlow(server_id, now)

    def remove_remote(self, bucket: int, key: bytes) -> None:
        """Forget a pointer."""
        flows = self.remote_flows_by_bucket.get(bucket)
        if flows is None or flows.pop(key, None) is None:
            return
        if not flows:
            del self.remote_flows_by_bucket[bucket]

    def remove_remotes(self, bucket: int) -> None:
        """Forget all pointers of a bucket, after its token has gone elsewhere."""
        self.remote_flows_by_bucket.pop(bucket, None)

    def records_of(self, bucket: int, own_id: str) -> list[FlowRecord]:
        """Return all that is known of a bucket, as its next owner needs it."""
        local = [FlowRecord(key, own_id) for key in self.local_keys_by_bucket.get(bucket, ())]
        remote = self.remote_flows_by_bucket.get(bucket, {})
        return local + [FlowRecord(key, flow.server_id) for key, flow in remote.items()]

    def local_records(self, buckets: Iterable[int], own_id: str) -> list[FlowRecord]:
        """Return the flows of some buckets that live on the own server."""
        return [
            FlowRecord(key, own_id)
            for bucket in buckets
            for key in self.local_keys_by_bucket.get(bucket, ())
        ]

    def install_records(self, bucket: int, records: Iterable[FlowRecord], now: float) -> None:
        """Take over another agent's records; flows of the own server stay as they are."""
        for record in records:
            if record.key not in self.local_flows_by_key:
                self.add_remote(bucket, record.key, record.server_id, now)

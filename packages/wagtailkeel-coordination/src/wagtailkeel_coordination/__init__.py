"""State machines of the roles, without sockets, clocks, files or randomness of their own.

Names are imported on first use, so that an instance imports only what its role needs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_state.lazy_exports import lazy_exports

if TYPE_CHECKING:
    from wagtailkeel_coordination.buckets.bucket_authority import BucketAuthority
    from wagtailkeel_coordination.errors import CoordinationError
    from wagtailkeel_coordination.flows.agent_identity import AgentIdentity
    from wagtailkeel_coordination.flows.concurrency_limiter import ConcurrencyLimiter
    from wagtailkeel_coordination.flows.flow_router import FlowRouter
    from wagtailkeel_coordination.lease import PlacementLease

__all__ = [
    "AgentIdentity",
    "BucketAuthority",
    "ConcurrencyLimiter",
    "CoordinationError",
    "FlowRouter",
    "PlacementLease",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "AgentIdentity": "flows.agent_identity",
        "BucketAuthority": "buckets.bucket_authority",
        "ConcurrencyLimiter": "flows.concurrency_limiter",
        "CoordinationError": "errors",
        "FlowRouter": "flows.flow_router",
        "PlacementLease": "lease",
    },
)

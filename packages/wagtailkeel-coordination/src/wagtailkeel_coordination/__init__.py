"""Decisions: state machines without sockets, clocks, files or randomness of their own."""

from __future__ import annotations

from wagtailkeel_coordination.agent_identity import AgentIdentity
from wagtailkeel_coordination.bucket_authority import BucketAuthority
from wagtailkeel_coordination.concurrency_limiter import ConcurrencyLimiter
from wagtailkeel_coordination.errors import CoordinationError
from wagtailkeel_coordination.flow_router import FlowRouter
from wagtailkeel_coordination.lease import PlacementLease

__all__ = [
    "AgentIdentity",
    "BucketAuthority",
    "ConcurrencyLimiter",
    "CoordinationError",
    "FlowRouter",
    "PlacementLease",
]

"""Which agent is the authority of a bucket of flows, and how its token moves."""

from __future__ import annotations

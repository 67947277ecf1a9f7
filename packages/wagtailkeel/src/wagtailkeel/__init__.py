"""A layer-4 load balancer."""

from __future__ import annotations

"""Role of an instance in its term."""

from __future__ import annotations

from enum import Enum


class RaftRole(str, Enum):
    """Role of an instance in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"

"""Consensus among control instances."""

from __future__ import annotations

from wagtailkeel_coordination.raft.proposal import Proposal
from wagtailkeel_coordination.raft.raft_log import RaftLog
from wagtailkeel_coordination.raft.raft_node import RaftNode
from wagtailkeel_coordination.raft.role import RaftRole
from wagtailkeel_coordination.raft.storage import RaftStorage
from wagtailkeel_coordination.raft.storage import StorageFaultError

__all__ = [
    "Proposal",
    "RaftLog",
    "RaftNode",
    "RaftRole",
    "RaftStorage",
    "StorageFaultError",
]

"""Connects a node to control: joins, sends heartbeats and pulls newer configurations."""

from __future__ import annotations

from wagtailkeel.roles.node_link.boot_id import generate_boot_id
from wagtailkeel.roles.node_link.node_link import NodeLink

__all__ = ["NodeLink", "generate_boot_id"]

"""Builds the reply to a request for a process's state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_protocol.messages import DumpReply

if TYPE_CHECKING:
    from collections.abc import Mapping


def build_dump(state: Mapping[str, object]) -> DumpReply:
    """Return the reply with the state as JSON."""
    return DumpReply(msgspec.json.encode(state))

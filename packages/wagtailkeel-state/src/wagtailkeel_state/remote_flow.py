"""A flow of an owned bucket that lives on another agent's server."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.flow_record import REFUSED_SERVER_ID


class RemoteFlow(msgspec.Struct):
    """A pointer to a flow's server, or the memory of a refusal."""

    server_id: str
    last_seen_at: float
    is_closing: bool = False

    @property
    def is_refused(self) -> bool:
        """Tell whether the flow was refused."""
        return self.server_id == REFUSED_SERVER_ID

"""A flow of one of the agent's buckets that is on another agent's server."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.flow_record import REFUSED_SERVER_ID


class RemoteFlow(msgspec.Struct):
    """A pointer to the server that has a flow, or the record that the flow was refused.

    ``last_seen_at`` is in monotonic seconds; ``is_closing`` is set once a FIN or RST was forwarded,
    and unset by data after it.
    """

    server_id: str
    last_seen_at: float
    is_closing: bool = False

    @property
    def is_refused(self) -> bool:
        """Return whether the flow was refused."""
        return self.server_id == REFUSED_SERVER_ID

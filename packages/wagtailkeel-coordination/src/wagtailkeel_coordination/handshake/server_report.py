"""Status reports of a backend server, and what becomes of them at its agent."""

from __future__ import annotations

from enum import Enum

import msgspec

from wagtailkeel_state.server_member import ServerIncarnation


class ServerReport(msgspec.Struct, frozen=True):
    """A status report of a backend server.

    ``started_at_ms`` identifies the server's incarnation and ``sequence`` orders its reports.
    ``cold_for_s`` is how long the server stays slow. ``has_left`` is set in its last report.
    """

    server_id: str
    service: str
    started_at_ms: int
    sequence: int
    slots: int
    is_draining: bool = False
    has_left: bool = False
    cold_for_s: float = 0.0

    @property
    def incarnation(self) -> ServerIncarnation:
        """The incarnation of the server that has sent the report."""
        return ServerIncarnation(self.server_id, self.started_at_ms)

    @property
    def takes_openings(self) -> bool:
        """Return whether the server neither drains nor has left."""
        return not (self.is_draining or self.has_left)

    def covers(self, earlier: ServerReport) -> bool:
        """Return whether all that holds by an earlier report still holds by this one."""
        is_same_incarnation = self.incarnation == earlier.incarnation
        return is_same_incarnation and (self.is_draining or not earlier.is_draining)


class ReportOutcome(Enum):
    """What an agent does with a report."""

    APPLIED = "applied"
    OUTDATED = "outdated"
    """It is late, but what it says of the server holds."""
    REFUSED = "refused"
    """It says what does not hold here, or is not known to be from the server that runs."""

"""Enumerations shared by settings, log records and messages."""

from __future__ import annotations

from enum import Enum


class FlowProtocol(str, Enum):
    """Transport protocol of a traffic class."""

    TCP = "tcp"
    UDP = "udp"

    @property
    def number(self) -> int:
        """The IP protocol number."""
        return 6 if self is FlowProtocol.TCP else 17


class ServerState(str, Enum):
    """Life-cycle state of a backend server, as recorded in the replicated log."""

    SERVING = "serving"
    DRAINING = "draining"
    AGENT_STOPPING = "agent-stopping"


class DataCentreState(str, Enum):
    """Whether a data centre takes traffic."""

    IN_SERVICE = "in-service"
    OUT_OF_SERVICE = "out-of-service"


class BookingState(str, Enum):
    """Life-cycle state of a booking."""

    BOOKED = "booked"
    ACTIVE = "active"
    DONE = "done"
    CANCELLED = "cancelled"
    LAPSED = "lapsed"
    FAILED = "failed"

    @property
    def is_final(self) -> bool:
        """Return whether the state is final, that is, never changes again."""
        return self not in (BookingState.BOOKED, BookingState.ACTIVE)


class AnswerStatus(str, Enum):
    """Outcome of a command."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REJECTED = "rejected"
    UNKNOWN = "unknown"

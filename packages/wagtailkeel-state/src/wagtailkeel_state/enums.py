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
    """Life-cycle state of a backend server, as recorded in the replicated log.

    New flows are placed only on a serving server. AGENT_STOPPING means that the agent is about to
    stop as planned while the server keeps its flows; the agent's next incarnation is serving again.
    """

    SERVING = "serving"
    DRAINING = "draining"
    AGENT_STOPPING = "agent-stopping"


class DataCentreState(str, Enum):
    """Whether a data centre takes traffic."""

    IN_SERVICE = "in-service"
    OUT_OF_SERVICE = "out-of-service"


class BookingState(str, Enum):
    """Life-cycle state of a booking.

    A booking that did not become active before its window ended has lapsed; a booking whose change
    was rejected when it became active has failed.
    """

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
    """Outcome of a command.

    CONFLICT means that the expected version was not in force, REJECTED that the command could not
    be applied: in both cases it had no effect. UNKNOWN means that no outcome is known: the command
    may still take effect.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REJECTED = "rejected"
    UNKNOWN = "unknown"

"""How a caller's request has ended."""

from __future__ import annotations

from enum import Enum

import msgspec


class RequestOutcome(Enum):
    """Outcome of a request."""

    PENDING = "pending"
    ANSWERED = "answered"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class RequestResult(msgspec.Struct, frozen=True):
    """A request that has ended; times are in seconds, ``started_at`` by the clock of the loop."""

    request_id: int
    outcome: RequestOutcome
    started_at: float
    response_s: float

"""Where events go."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from wagtailkeel_coordination.events.event import Event


class EventSink(Protocol):
    """Accepts events without blocking."""

    def emit(self, event: Event) -> None:
        """Log an event, or count it as left out."""


class UnloggedEvents:
    """The event sink of a process that writes no events."""

    def emit(self, event: Event) -> None:
        """Drop the event."""


UNLOGGED = UnloggedEvents()

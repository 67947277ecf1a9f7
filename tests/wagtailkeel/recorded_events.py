"""An event sink for tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wagtailkeel_coordination.events import Event


class RecordedEvents:
    """Keeps events in a list."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def emit(self, event: Event) -> None:
        self.events.append(event)

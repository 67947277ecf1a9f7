"""The base class of all events."""

from __future__ import annotations

import msgspec


class Event(msgspec.Struct, tag_field="event"):
    """Base class of all events; essential events are left out only after all others."""

    @classmethod
    def name(cls) -> str:
        """The event's name in logs and counters."""
        return str(cls.__struct_config__.tag)

    @classmethod
    def is_essential(cls) -> bool:
        """Return whether the event reports a refusal, a recovery or a change of a node's state."""
        return True

"""Sets up the log of a process: loguru, JSON lines, a writer that never blocks."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from loguru import logger

from wagtailkeel.event_log import EventLog
from wagtailkeel.event_log import format_as_json
from wagtailkeel.line_writer import LineWriter

if TYPE_CHECKING:
    from loguru import Message


def configure_logging(instance: str, level: str) -> EventLog:
    """Send all lines to standard output as JSON; return the sink for events."""
    writer = LineWriter(sys.stdout.fileno())

    def write_message(message: Message) -> None:
        # Events are lines already; whatever else is logged gets their form.
        is_event = message.startswith('{"at"')
        writer.write(str(message) if is_event else format_as_json(instance, message))

    logger.remove()
    logger.add(write_message, level=level, format="{message}", catch=True)
    return EventLog(instance, writer)

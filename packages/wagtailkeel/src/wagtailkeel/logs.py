"""Configures the logging of a process: loguru, JSON lines and a writer that never blocks."""

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
    """Write all log messages to standard output as JSON lines; return the event sink."""
    writer = LineWriter(sys.stdout.fileno())

    def write_message(message: Message) -> None:
        # Events are already JSON lines; all other messages are converted to the same format.
        is_event = message.startswith('{"at"')
        writer.write(str(message) if is_event else format_as_json(instance, message))

    logger.remove()
    logger.add(write_message, level=level, format="{message}", catch=True)
    return EventLog(instance, writer)

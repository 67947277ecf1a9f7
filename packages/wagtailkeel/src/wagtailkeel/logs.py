"""Configures the logging of a process: loguru, JSON lines and a writer that never blocks."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from wagtailkeel.event_log import EventLog
from wagtailkeel.event_log import format_as_json
from wagtailkeel.line_writer import LineWriter
from wagtailkeel_transport.log import logger

if TYPE_CHECKING:
    from loguru import Logger
    from loguru import Message


def configure_logging(instance: str, level: str) -> EventLog:
    """Write events and log messages to standard output as JSON lines; return the event sink."""
    writer = LineWriter(sys.stdout.fileno())

    def write_message(message: Message) -> None:
        writer.write(format_as_json(instance, message))

    def configure(loguru_logger: Logger) -> None:
        loguru_logger.remove()
        loguru_logger.add(write_message, level=level, format="{message}", catch=True)

    logger.set_up(configure)
    return EventLog(instance, writer)

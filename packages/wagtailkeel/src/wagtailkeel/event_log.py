"""Writes events as JSON lines, with a rate limit for each kind of event."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_coordination.events import EventsLeftOut
from wagtailkeel_coordination.token_bucket import TokenBucket
from wagtailkeel_transport import clock

if TYPE_CHECKING:
    from loguru import Message

    from wagtailkeel.line_writer import LineWriter
    from wagtailkeel_coordination.events import Event

ESSENTIAL_EVENTS_PER_S = 40
OTHER_EVENTS_PER_S = 20
BURST_S = 2.0
SUMMARY_INTERVAL_S = 1.0


class EventLog:
    """Implements the event sink, with a separate rate limit for each kind of event.

    Events over the limit and lines dropped by the writer are counted; the counts are logged
    while events are emitted, at most once a second.
    """

    def __init__(self, instance: str, writer: LineWriter) -> None:
        self.omitted_counts: Counter[str] = Counter()
        self._instance = instance
        self._writer = writer
        self._token_buckets_by_event: dict[str, TokenBucket] = {}
        self._summary_written_at = float("-inf")

    def emit(self, event: Event) -> None:
        """Write an event, or count it as omitted if its kind is over the rate limit.

        Then write a summary of the omitted events and of the lines dropped by the writer, if there
        are any and the last summary is at least SUMMARY_INTERVAL_S old. Otherwise their counts wait
        for a later event.
        """
        now = clock.seconds()
        name = event.name()
        if self._token_bucket(event, name, now).try_consume(now):
            self._write(event)
        else:
            self.omitted_counts[name] += 1
        has_omissions = bool(self.omitted_counts) or self._writer.dropped_lines
        if has_omissions and now - self._summary_written_at >= SUMMARY_INTERVAL_S:
            self._write_summary(now)

    def _token_bucket(self, event: Event, name: str, now: float) -> TokenBucket:
        bucket = self._token_buckets_by_event.get(name)
        if bucket is None:
            rate = ESSENTIAL_EVENTS_PER_S if event.is_essential() else OTHER_EVENTS_PER_S
            bucket = TokenBucket.full(rate, BURST_S, now)
            self._token_buckets_by_event[name] = bucket
        return bucket

    def _write_summary(self, now: float) -> None:
        self._summary_written_at = now
        if self._writer.dropped_lines:
            self.omitted_counts["unread_lines"] += self._writer.dropped_lines
            self._writer.dropped_lines = 0
        summary = EventsLeftOut(dict(self.omitted_counts))
        self.omitted_counts.clear()
        self._write(summary)

    def _write(self, event: Event) -> None:
        body = msgspec.json.encode(event)
        prefix = msgspec.json.encode({"at": round(time.time(), 3), "node": self._instance})
        self._writer.write((prefix[:-1] + b"," + body[1:] + b"\n").decode())


def format_as_json(instance: str, message: Message) -> str:
    """Return a log message other than an event as a JSON line in the format of events."""
    record = message.record
    line = {
        "at": round(record["time"].timestamp(), 3),
        "node": instance,
        "level": record["level"].name.lower(),
        "message": record["message"],
    }
    if record["exception"] is not None:
        line["exception"] = str(message)
    return msgspec.json.encode(line).decode() + "\n"

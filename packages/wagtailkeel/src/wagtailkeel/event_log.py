"""Writes events as JSON lines, bounded in volume."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from wagtailkeel_coordination.events import EventsLeftOut
from wagtailkeel_transport import clock

if TYPE_CHECKING:
    from loguru import Message

    from wagtailkeel.line_writer import LineWriter
    from wagtailkeel_coordination.events import Event

ESSENTIAL_PER_S = 40
OTHER_PER_S = 20
BURST_S = 2.0
SUMMARY_INTERVAL_S = 1.0


class TokenBucket(msgspec.Struct):
    """Rate limit of one kind of event; times in seconds."""

    rate: float
    tokens: float
    filled_at: float

    def take(self, now: float) -> bool:
        """Take one token, if there is one."""
        self.tokens = min(self.rate * BURST_S, self.tokens + (now - self.filled_at) * self.rate)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class EventLog:
    """Implements the event sink: each kind of event has a rate limit of its own.

    What is left out, here or by the writer, is counted and said once a second.
    """

    def __init__(self, instance: str, writer: LineWriter) -> None:
        self.left_out: Counter[str] = Counter()
        self._instance = instance
        self._writer = writer
        self._buckets_by_name: dict[str, TokenBucket] = {}
        self._summarised_at = float("-inf")

    def emit(self, event: Event) -> None:
        """Write an event, or count it as left out."""
        now = clock.seconds()
        name = event.name()
        if self._bucket_of(event, name, now).take(now):
            self._write(event)
        else:
            self.left_out[name] += 1
        has_losses = bool(self.left_out) or self._writer.dropped_lines
        if has_losses and now - self._summarised_at >= SUMMARY_INTERVAL_S:
            self._summarise(now)

    def _bucket_of(self, event: Event, name: str, now: float) -> TokenBucket:
        bucket = self._buckets_by_name.get(name)
        if bucket is None:
            rate = ESSENTIAL_PER_S if event.is_essential() else OTHER_PER_S
            bucket = TokenBucket(rate, rate * BURST_S, now)
            self._buckets_by_name[name] = bucket
        return bucket

    def _summarise(self, now: float) -> None:
        self._summarised_at = now
        if self._writer.dropped_lines:
            self.left_out["unread_lines"] += self._writer.dropped_lines
            self._writer.dropped_lines = 0
        summary = EventsLeftOut(dict(self.left_out))
        self.left_out.clear()
        self._write(summary)

    def _write(self, event: Event) -> None:
        body = msgspec.json.encode(event)
        head = msgspec.json.encode({"at": round(time.time(), 3), "node": self._instance})
        logger.opt(raw=True).info((head[:-1] + b"," + body[1:] + b"\n").decode())


def format_as_json(instance: str, message: Message) -> str:
    """Return a log line that is no event in the form of events."""
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

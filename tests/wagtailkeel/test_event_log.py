from __future__ import annotations

import json
import os
import unittest
from collections.abc import Iterator
from contextlib import contextmanager

from loguru import logger

from wagtailkeel.event_log import ESSENTIAL_EVENTS_PER_S
from wagtailkeel.event_log import EventLog
from wagtailkeel.line_writer import PENDING_LIMIT_BYTES
from wagtailkeel.line_writer import LineWriter
from wagtailkeel_coordination import events
from wagtailkeel_coordination.events import Event

EVENT_COUNT = 2_000


@contextmanager
def log_to_unread_pipe() -> Iterator[tuple[EventLog, LineWriter, int]]:
    """Yield an event log that writes into a pipe, its writer, and the pipe's end for reading.

    Nothing reads the pipe until the test does.
    """
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor)
    logger.remove()
    sink = logger.add(lambda message: writer.write(str(message)), format="{message}")
    try:
        yield EventLog("n1", writer), writer, reader
    finally:
        logger.remove(sink)
        os.close(reader)
        os.close(descriptor)


def read_lines(reader: int) -> list[dict[str, object]]:
    return [json.loads(line) for line in os.read(reader, 1_000_000).splitlines()]


class EventLogTest(unittest.TestCase):
    def test_event_is_written_as_a_json_line_with_its_name(self) -> None:
        with log_to_unread_pipe() as (log, _, reader):
            log.emit(events.OpeningRefused("f1", "all_tried", 2, 3, 7))
            (line,) = read_lines(reader)
        self.assertEqual(line["event"], "opening_refused")
        self.assertEqual((line["node"], line["flow"], line["tried"]), ("n1", "f1", 2))

    def test_event_types_have_unique_names_and_docstrings(self) -> None:
        self.assertEqual(len(events.EVENTS_BY_NAME), len(events.EVENT_TYPES))
        for event_type in events.EVENT_TYPES:
            with self.subTest(event_type.name()):
                self.assertTrue(event_type.__doc__)
                self.assertNotEqual(event_type.name(), event_type.__name__)

    def test_event_burst_is_limited_and_omissions_are_counted(self) -> None:
        with log_to_unread_pipe() as (log, _, reader):
            for _ in range(EVENT_COUNT):
                log.emit(events.OpeningPlaced("f", "10.0.0.1", 1, 1, 1.0, 1.0))
            lines = read_lines(reader)
            not_yet_reported = sum(log.omitted_counts.values())
        omitted_in_summaries = sum(
            count
            for line in lines
            if line["event"] == "events_left_out"
            for count in dict(line["counts"]).values()  # type: ignore[call-overload]
        )
        placed = sum(line["event"] == "opening_placed" for line in lines)
        self.assertLess(placed, EVENT_COUNT / 10)
        self.assertEqual(placed + omitted_in_summaries + not_yet_reported, EVENT_COUNT)

    def test_placements_do_not_use_up_the_limit_of_refusals(self) -> None:
        with log_to_unread_pipe() as (log, _, reader):
            for _ in range(EVENT_COUNT):
                log.emit(events.OpeningPlaced("f", "10.0.0.1", 1, 1, 1.0, 1.0))
            for _ in range(ESSENTIAL_EVENTS_PER_S):
                log.emit(events.OpeningRefused("f", "all_tried", 1, 1, 1))
            refused = [x for x in read_lines(reader) if x["event"] == "opening_refused"]
        self.assertEqual(len(refused), ESSENTIAL_EVENTS_PER_S)

    def test_unread_pipe_drops_lines_without_blocking(self) -> None:
        with log_to_unread_pipe() as (log, writer, _):
            for number in range(EVENT_COUNT):
                name = f"{number:0200d}"
                for kind in (events.FlowAdopted, events.FlowReturned):
                    writer.write(name * 2 + "\n")
                    log.emit(kind(name))
            self.assertGreater(writer.dropped_lines + log.omitted_counts["unread_lines"], 0)
            self.assertLessEqual(len(writer._pending), PENDING_LIMIT_BYTES)

    def test_flow_ids_are_hexadecimal_and_differ_by_flow(self) -> None:
        self.assertEqual(len({events.flow_id(bytes(11) + bytes([n])) for n in range(200)}), 200)
        self.assertRegex(events.flow_id(b"x"), "^[0-9a-f]{16}$")


class EventTypesTest(unittest.TestCase):
    def test_base_class_is_not_an_event_type(self) -> None:
        self.assertNotIn(Event, events.EVENT_TYPES)


if __name__ == "__main__":
    unittest.main()

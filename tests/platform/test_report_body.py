from __future__ import annotations

import json
import unittest
from typing import Any

from wagtailkeel_platform.errors import InvalidBodyError
from wagtailkeel_platform.report_body import decode_leave
from wagtailkeel_platform.report_body import decode_report

ADDRESS = "10.128.0.9:8080"
BODY: dict[str, Any] = {
    "service": "a",
    "address": ADDRESS,
    "zone": "east",
    "version": "v1",
    "capacity": 2,
    "state": "healthy",
    "warmup-left-ms": 1500,
    "seq": 4,
    "born": 1_700_000_000_000,
}
INVALID_CHANGES: dict[str, dict[str, Any]] = {
    "another address": {"address": "10.128.0.8:8080"},
    "capacity as text": {"capacity": "2"},
    "capacity 0": {"capacity": 0},
    "unknown state": {"state": "odd"},
    "negative sequence": {"seq": -1},
    "sequence missing": {"seq": None},
    "service missing": {"service": None},
    "birth as text": {"born": "x"},
}


class ReportBodyTest(unittest.TestCase):
    def test_heartbeat_is_decoded(self) -> None:
        report = decode_report("i-1", json.dumps(BODY).encode(), ADDRESS)
        self.assertEqual((report.started_at_ms, report.sequence), (1_700_000_000_000, 4))
        self.assertEqual((report.service, report.slots), ("a", 2))
        self.assertEqual(report.cold_for_s, 1.5)
        self.assertFalse(report.is_draining)

    def test_invalid_heartbeats_are_rejected(self) -> None:
        for name, change in INVALID_CHANGES.items():
            with self.subTest(name):
                body = {k: v for k, v in {**BODY, **change}.items() if v is not None}
                with self.assertRaises(InvalidBodyError):
                    decode_report("i-1", json.dumps(body).encode(), ADDRESS)
        with self.assertRaises(InvalidBodyError):
            decode_report("i-1", b"\xff\x00", ADDRESS)

    def test_leave_is_decoded(self) -> None:
        self.assertEqual(decode_leave(b""), 0)
        self.assertEqual(decode_leave(b'{"born": 5}'), 5)
        with self.assertRaises(InvalidBodyError):
            decode_leave(b"{")


if __name__ == "__main__":
    unittest.main()

from __future__ import annotations

import unittest

from wagtailkeel_coordination.handshake import ColdLimit
from wagtailkeel_coordination.handshake import ServerGate
from wagtailkeel_coordination.handshake import ServerReport

REPORT_TIMEOUT_S = 2.0
STARTED_AT_MS = 5_000


class ReportOrderTest(unittest.TestCase):
    """A server whose clock was set back between two starts got no openings from then on."""

    def test_which_reports_are_accepted(self) -> None:
        silent_s = REPORT_TIMEOUT_S + 0.1
        # The start and the number of a report, and the time since that of STARTED_AT_MS, number 9.
        table = [
            ("next report", STARTED_AT_MS, 10, 0.5, True),
            ("late report", STARTED_AT_MS, 8, 0.5, False),
            ("late report after a silence", STARTED_AT_MS, 8, silent_s, False),
            ("later start", STARTED_AT_MS + 1, 1, 0.5, True),
            ("late report of an earlier start", STARTED_AT_MS - 1, 20, 0.5, False),
            ("earlier start after a silence", STARTED_AT_MS - 1, 1, silent_s, True),
        ]
        for name, started_at_ms, sequence, after_s, expected in table:
            with self.subTest(name):
                gate = ServerGate("desk", REPORT_TIMEOUT_S, ColdLimit(), 0.0)
                self.assertTrue(gate.on_report(self.build(STARTED_AT_MS, 9), 1.0))
                is_accepted = gate.on_report(self.build(started_at_ms, sequence), 1.0 + after_s)
                self.assertEqual(is_accepted, expected)

    def build(self, started_at_ms: int, sequence: int) -> ServerReport:
        return ServerReport("server", "desk", started_at_ms, sequence, 1)


if __name__ == "__main__":
    unittest.main()

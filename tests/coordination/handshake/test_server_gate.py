from __future__ import annotations

import unittest

from wagtailkeel_coordination.handshake import ColdLimit
from wagtailkeel_coordination.handshake import RecordedServer
from wagtailkeel_coordination.handshake import ReportOutcome
from wagtailkeel_coordination.handshake import ServerGate
from wagtailkeel_coordination.handshake import ServerReport
from wagtailkeel_state import ServerIncarnation
from wagtailkeel_state import ServerRecord

REPORT_TIMEOUT_S = 2.0
STARTED_AT_MS = 5_000


class ReportOrderTest(unittest.TestCase):
    """Late reports of an earlier start opened the gate of a server that drained."""

    def setUp(self) -> None:
        self.gate = ServerGate("desk", REPORT_TIMEOUT_S, ColdLimit(), 0.0)

    def report(
        self, started_at_ms: int, sequence: int, now: float, *, is_draining: bool = False
    ) -> ReportOutcome:
        report = ServerReport("server", "desk", started_at_ms, sequence, 1, is_draining=is_draining)
        return self.gate.on_report(report, now)

    def test_one_report_after_that_of_a_known_start(self) -> None:
        silent_s = REPORT_TIMEOUT_S + 0.1
        applied, refused = ReportOutcome.APPLIED, ReportOutcome.REFUSED
        outdated = ReportOutcome.OUTDATED
        # The start and the number of a report, and the time since that of STARTED_AT_MS, number 9.
        table = [
            ("next report", STARTED_AT_MS, 10, 0.5, applied),
            ("late report", STARTED_AT_MS, 8, 0.5, outdated),
            ("late report after a silence", STARTED_AT_MS, 8, silent_s, outdated),
            ("later start", STARTED_AT_MS + 1, 1, 0.5, refused),
            ("late report of an earlier start", STARTED_AT_MS - 1, 20, 0.5, refused),
            ("earlier start after a silence", STARTED_AT_MS - 1, 1, silent_s, refused),
        ]
        for name, started_at_ms, sequence, after_s, expected in table:
            with self.subTest(name):
                self.setUp()
                self.assertEqual(self.report(STARTED_AT_MS, 9, 1.0), applied)
                self.assertEqual(self.report(started_at_ms, sequence, 1.0 + after_s), expected)
                self.assertEqual(
                    self.gate.accepts(1.0 + after_s),
                    expected is applied or (expected is outdated and after_s < REPORT_TIMEOUT_S),
                )

    def test_a_start_that_reports_again_follows_a_silent_one(self) -> None:
        missed_s, silent_s = 0.6 * REPORT_TIMEOUT_S, REPORT_TIMEOUT_S + 0.1
        # The start, whether the known one drains, for how long that is silent, whether it follows.
        table = [
            ("later, soon", STARTED_AT_MS + 1, False, 0.5, False),
            ("later, a report is missing", STARTED_AT_MS + 1, False, missed_s, True),
            ("later, while the known one drains", STARTED_AT_MS + 1, True, missed_s, False),
            ("later, after a drain", STARTED_AT_MS + 1, True, silent_s, True),
            ("clock set back, soon", STARTED_AT_MS - 1, False, missed_s, False),
            ("clock set back", STARTED_AT_MS - 1, False, silent_s, True),
            ("clock set back, after a drain", STARTED_AT_MS - 1, True, silent_s, True),
        ]
        for name, started_at_ms, is_draining, silence_s, follows in table:
            with self.subTest(name):
                self.setUp()
                self.report(STARTED_AT_MS, 9, 1.0, is_draining=is_draining)
                self.report(started_at_ms, 1, 1.0 + silence_s - 0.1)
                outcome = self.report(started_at_ms, 2, 1.0 + silence_s)
                self.assertEqual(outcome is ReportOutcome.APPLIED, follows)
                self.assertEqual(self.gate.accepts(1.0 + silence_s), follows)

    def test_a_start_that_was_followed_never_returns(self) -> None:
        for step_ms in (-1, 1):
            with self.subTest(step_ms=step_ms):
                self.setUp()
                self.report(STARTED_AT_MS, 9, 1.0)
                self.report(STARTED_AT_MS + step_ms, 1, 4.0)
                self.report(STARTED_AT_MS + step_ms, 2, 4.2, is_draining=True)
                for number in range(20):
                    now = 4.3 + number
                    self.assertEqual(
                        self.report(STARTED_AT_MS, 10 + number, now), ReportOutcome.REFUSED
                    )
                    self.assertFalse(self.gate.accepts(now))

    def test_a_drain_lasts_as_long_as_its_start(self) -> None:
        self.report(STARTED_AT_MS, 1, 1.0, is_draining=True)
        self.assertEqual(self.report(STARTED_AT_MS, 2, 1.5), ReportOutcome.APPLIED)
        self.assertFalse(self.gate.accepts(1.5))

    def test_a_start_that_has_left_does_not_return(self) -> None:
        self.gate.on_leave(ServerIncarnation("server", STARTED_AT_MS), 1.0)
        self.assertEqual(self.report(STARTED_AT_MS, 1, 1.1), ReportOutcome.REFUSED)
        self.assertFalse(self.gate.accepts(1.1))


class RestartedAgentTest(unittest.TestCase):
    """A restarted agent admitted openings by a report of before the drain."""

    def test_what_the_record_of_control_says_holds(self) -> None:
        drained = ServerIncarnation("server", STARTED_AT_MS)
        ended = ServerIncarnation("server", STARTED_AT_MS + 1)
        # The record, the first report as (start, number), whether openings are admitted then.
        table: list[tuple[str, ServerRecord | None, tuple[int, int], bool]] = [
            ("nothing recorded", None, (STARTED_AT_MS, 1), True),
            ("drain", ServerRecord(drained, 5, True), (STARTED_AT_MS, 9), False),
            ("before the drain", ServerRecord(drained, 5, True), (STARTED_AT_MS, 3), False),
            ("earlier start", ServerRecord(drained, 5, True), (STARTED_AT_MS - 1, 9), False),
            ("later start", ServerRecord(drained, 5, True), (STARTED_AT_MS + 2, 1), False),
            ("ended", ServerRecord(drained, 5, False, (ended,)), (STARTED_AT_MS + 1, 9), False),
            ("runs", ServerRecord(drained, 5, False, (ended,)), (STARTED_AT_MS, 9), True),
        ]
        for name, record, (started_at_ms, sequence), expected in table:
            with self.subTest(name):
                gate = ServerGate("desk", REPORT_TIMEOUT_S, ColdLimit(), 0.0)
                gate.begin_recovery(0.0)
                gate.on_report(ServerReport("server", "desk", started_at_ms, sequence, 1), 0.1)
                self.assertFalse(gate.accepts(0.1))
                RecordedServer(gate).restore(record, 0.2)
                self.assertEqual(gate.accepts(0.2), expected)


if __name__ == "__main__":
    unittest.main()

"""Checks that the page for on-call engineers lists every event, reason and counter in the code."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from wagtailkeel_coordination import events
from wagtailkeel_coordination.handshake.server_gate import GateReason
from wagtailkeel_protocol import Malformed

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "OPERATIONS.md"
COUNTER_FOLDERS = (
    "packages/wagtailkeel-coordination/src/wagtailkeel_coordination/handshake",
    "packages/wagtailkeel/src/wagtailkeel/roles/handshake",
    "packages/wagtailkeel/src/wagtailkeel/roles/control",
    "packages/wagtailkeel/src/wagtailkeel/roles/node_link",
    "packages/wagtailkeel-transport/src",
    "platform",
)
COUNTER_FILES = ("packages/wagtailkeel/src/wagtailkeel/roles/control_datagrams.py",)
_COUNTER_PATTERN = re.compile(r'counters\["([a-z_]+)"\]')


class OperationsPageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.documented = set(re.findall(r"`([a-z_]+)`", PAGE.read_text()))

    def test_events_are_documented(self) -> None:
        self.assertLessEqual(set(events.EVENTS_BY_NAME), self.documented)

    def test_gate_reasons_are_documented(self) -> None:
        names = {reason.value for reason in GateReason}
        self.assertLessEqual(names, self.documented)
        self.assertLessEqual({f"rejected_{name}" for name in names}, self.documented)

    def test_counters_are_documented(self) -> None:
        files = [path for folder in COUNTER_FOLDERS for path in (ROOT / folder).rglob("*.py")]
        files += [ROOT / name for name in COUNTER_FILES]
        counters = {name for path in files for name in _COUNTER_PATTERN.findall(path.read_text())}
        self.assertGreater(len(counters), 30)
        self.assertLessEqual(counters, self.documented)
        self.assertLessEqual({f"dropped_{reason.value}" for reason in Malformed}, self.documented)


if __name__ == "__main__":
    unittest.main()

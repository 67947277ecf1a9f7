from __future__ import annotations

import json
import unittest
from typing import Any

from click.testing import CliRunner
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from wagtailkeel.console.application import main
from wagtailkeel.errors import InvalidFlowError
from wagtailkeel.flow_explanation import explain_flow
from wagtailkeel.flow_explanation import parse_flow_id
from wagtailkeel_coordination.events import flow_id

FLOW = "0123456789abcdef"
KEY = bytes([100, 64, 0, 7, 198, 18, 0, 1]) + b"\x9c\x41\x01\xbb"


def line(at: float, node: str, event: str, **fields: Any) -> str:
    return json.dumps({"at": at, "node": node, "event": event, "flow": FLOW, **fields})


REFUSED = [
    line(
        5.0,
        "owner",
        "opening_refused",
        reason="all_tried",
        tried=2,
        candidates=2,
        routing_version=4,
    ),
    line(9.0, "agent", "opening_rejected", reason="server_full", service="a", routing_version=4),
    line(4.9, "owner", "opening_placed", server_agent="10.0.0.1", routing_version=4),
]


class ExplainTest(unittest.TestCase):
    def test_explains_a_refused_flow(self) -> None:
        explanation = explain_flow(FLOW, REFUSED)
        self.assertIn("refused: all_tried", explanation.cause)
        self.assertEqual(len(explanation.lines), 3)

    def test_explains_a_flow_lost_with_its_server(self) -> None:
        logs = [
            line(1.0, "a", "search_started", reason="not_in_directory", asked=3),
            line(1.2, "a", "search_ended", outcome="nowhere", server_agent="", silent=0),
            line(1.2, "a", "flow_reset", reason="held_nowhere"),
        ]
        self.assertIn("held_nowhere", explain_flow(FLOW, logs).cause)

    def test_older_routing_version_sorts_first_despite_clock_skew(self) -> None:
        logs = [
            line(3.0, "new", "opening_placed", server_agent="x", routing_version=8),
            line(7.0, "old", "route_missing", endpoint="", routing_version=7, is_refused=False),
        ]
        self.assertEqual([x.node for x in explain_flow(FLOW, logs).lines], ["old", "new"])

    def test_unrelated_and_truncated_lines_are_counted(self) -> None:
        logs = ["", "words", '{"event":', json.dumps({"event": "else"}), "[1]", *REFUSED]
        explanation = explain_flow(FLOW, [*logs, b"\xff{\xfe"])
        self.assertEqual((explanation.unreadable, explanation.unrelated), (5, 1))
        self.assertEqual(len(explanation.lines), 3)

    def test_prefix_of_a_log_collector_is_skipped(self) -> None:
        self.assertEqual(len(explain_flow(FLOW, [f"12.0 node {REFUSED[0]}"]).lines), 1)

    def test_flow_without_log_lines(self) -> None:
        self.assertIn("do not contain", explain_flow(FLOW, []).cause)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.data())
    def test_mutated_lines_never_raise(self, data: st.DataObject) -> None:
        text = bytearray(data.draw(st.sampled_from(REFUSED)).encode())
        for _ in range(data.draw(st.integers(1, 5))):
            text[data.draw(st.integers(0, len(text) - 1))] = data.draw(st.integers(0, 255))
        self.assertTrue(explain_flow(FLOW, [bytes(text)]).cause)


class FlowIdTest(unittest.TestCase):
    def test_valid_flows(self) -> None:
        expected = flow_id(KEY)
        self.assertEqual(parse_flow_id("100.64.0.7:40001>198.18.0.1:443"), expected)
        self.assertEqual(parse_flow_id(FLOW), FLOW)
        self.assertEqual(flow_id(KEY + b"\x06"), expected)

    def test_invalid_flows(self) -> None:
        for flow in ("", "x", "1.2.3.4:5", "1.2.3.4:0>1.2.3.4:1", "1.2.3:4>5.6.7.8:9"):
            with self.subTest(flow), self.assertRaises(InvalidFlowError):
                parse_flow_id(flow)


class ExplainCommandTest(unittest.TestCase):
    def test_exit_code_and_output(self) -> None:
        table = [
            (FLOW, "\n".join(REFUSED), 0, "refused: all_tried"),
            (FLOW, "", 1, "do not contain"),
            ("odd", "", 2, "is not a flow"),
        ]
        for flow, logs, status, expected in table:
            with self.subTest(flow=flow, size=len(logs)):
                result = CliRunner().invoke(main, ["explain", flow], input=logs)
                self.assertEqual(result.exit_code, status)
                self.assertIn(expected, result.output)


if __name__ == "__main__":
    unittest.main()

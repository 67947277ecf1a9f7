from __future__ import annotations

import unittest
from pathlib import Path

from wagtailkeel_bench.scenario.model import Expectation
from wagtailkeel_bench.scenario.parser import ScenarioError
from wagtailkeel_bench.scenario.parser import parse_scenario

SCENARIOS = Path(__file__).parents[2] / "bench" / "scenarios"


class ScenarioLanguageTest(unittest.TestCase):
    """Guards the parser of scenario files."""

    def test_statements_are_parsed_into_their_fields(self) -> None:
        text = """
        # comment
        deployment guild
        balancers 2
        fabric loss 2% delay 5
        feeds 10 of count-desk/session every 500ms over 2s
        requests 30 per second of count-desk/tally work 10ms parts 3
        at 3s cut control-1   # later
        at 1s changes 4 2s
        expect response_ms.p99 <= 12.5
        baseline
        """
        found = parse_scenario(text, "inline")
        self.assertEqual(
            (found.deployment, found.balancers, found.has_baseline), ("guild", 2, True)
        )
        self.assertEqual(found.fabric_rule, {"loss": 0.02, "delay_ms": 5.0})
        self.assertEqual((found.feeds[0].interval_s, found.feeds[0].over_s), (0.5, 2.0))
        self.assertEqual((found.requests[0].work_ms, found.requests[0].parts), (10.0, 3))
        steps = [(step.at_s, step.verb, step.arguments) for step in found.steps]
        self.assertEqual(steps, [(1.0, "changes", ["4", "2.0"]), (3.0, "cut", ["control-1"])])
        self.assertEqual(found.expectations, [Expectation("response_ms.p99", "<=", 12.5)])

    def test_errors_state_file_and_line(self) -> None:
        table = [("deployment marshals\nfeeds many", 2), ("expect x 5", 1), ("at 3 kill a", 1)]
        for text, line in table:
            with self.subTest(text=text), self.assertRaises(ScenarioError) as caught:
                parse_scenario(text, "inline")
            self.assertIn(f"inline:{line}:", str(caught.exception))

    def test_all_scenario_files_parse_and_have_expectations(self) -> None:
        paths = sorted(SCENARIOS.glob("*.scenario"))
        self.assertGreaterEqual(len(paths), 20)
        for path in paths:
            with self.subTest(path.name):
                self.assertTrue(parse_scenario(path.read_text(), path.name).expectations)


if __name__ == "__main__":
    unittest.main()

"""Agents, servers, balancers and callers in virtual time: resets of flows that servers hold."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest import mock

from wagtailkeel_bench.flow_simulation import FlowHistory
from wagtailkeel_bench.flow_simulation import draw_flow_history
from wagtailkeel_bench.flow_simulation.flow_checks import FlowCheckError
from wagtailkeel_bench.flow_simulation.flow_checks import FlowChecks
from wagtailkeel_bench.flow_simulation.flow_checks import HoldingStart
from wagtailkeel_bench.flow_simulation.flow_checks import ServerFlow
from wagtailkeel_bench.flow_simulation.flow_history import FlowFault
from wagtailkeel_bench.flow_simulation.flow_history import FlowFaultKind
from wagtailkeel_bench.flow_simulation.player import is_broken
from wagtailkeel_bench.flow_simulation.player import play_flow_history
from wagtailkeel_coordination.handshake.flow_holder import FlowHolder
from wagtailkeel_coordination.handshake.flow_search import FlowSearches
from wagtailkeel_coordination.handshake.held_flows import HeldFlows
from wagtailkeel_coordination.handshake.server_gate import ServerGate

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from wagtailkeel_coordination.handshake.held_flows import HeldFlow
    from wagtailkeel_protocol.packet_format import PacketHeader

HISTORIES = range(12)
DRAWN = range(100)
PLANTED_SEEDS = range(12)
KEY = b"key"
SEQUENCE = 7


class DrawTest(unittest.TestCase):
    def test_a_seed_gives_one_history(self) -> None:
        self.assertEqual(draw_flow_history(5), draw_flow_history(5))
        self.assertNotEqual(draw_flow_history(5), draw_flow_history(6))

    def test_all_kinds_are_drawn(self) -> None:
        histories = [draw_flow_history(seed) for seed in DRAWN]
        kinds = {fault.kind for history in histories for fault in history.faults}
        self.assertEqual(kinds, set(FlowFaultKind))


class ResetCheckTest(unittest.TestCase):
    """The checks judge a reset by the flows that running servers hold when it arrives."""

    def test_resets(self) -> None:
        # What is said of the flow, who wrote the reset (2 is the flow's start), and the verdict.
        table = [
            ("of the system", {}, 0, True),
            ("of another server", {}, 3, True),
            ("of the flow's server", {}, 2, False),
            ("of a flow that is not open", {"is_open": False}, 0, False),
            ("of a flow that has ended", {"has_ended": True}, 0, False),
            ("of an earlier flow", {"initial_sequence": SEQUENCE - 1}, 0, False),
            ("of an idle flow", {"last_seen_at": 10.0}, 0, False),
        ]
        for name, changes, writer, is_violation in table:
            with self.subTest(name):
                flow = ServerFlow(KEY, SEQUENCE, 1, 99.0, is_open=True)
                for attribute, value in changes.items():
                    setattr(flow, attribute, value)
                checks = FlowChecks(lambda f=flow: [HoldingStart(2, "server", {KEY: f})])
                if is_violation:
                    with self.assertRaises(FlowCheckError):
                        checks.on_reset(KEY, SEQUENCE, writer, 100.0)
                else:
                    checks.on_reset(KEY, SEQUENCE, writer, 100.0)

    def test_packets_that_reach_only_other_servers_are_counted(self) -> None:
        for times, spans in (([0.0, 1.0, 2.0], 1), ([0.0, 2.0], 0), ([0.0, 0.5, 1.0], 0)):
            with self.subTest(times=times):
                flow = ServerFlow(KEY, SEQUENCE, 1, 0.0, is_open=True)
                checks = FlowChecks(lambda f=flow: [HoldingStart(2, "server", {KEY: f})])
                for now in times:
                    checks.on_stray_packet(KEY, 1, now)
                self.assertEqual(checks.stray_spans, spans)


class OpenFlowTest(unittest.TestCase):
    """Open flows were reset while their servers held them."""

    def test_drawn_histories(self) -> None:
        for seed in HISTORIES:
            with self.subTest(seed=seed):
                outcomes = play_flow_history(draw_flow_history(seed))
                self.assertGreater(outcomes.answered, outcomes.unanswered)


PLANTED_FAULTS: list[tuple[str, type, str, Callable[..., object], tuple[FlowFault, ...], bool]] = []


class PlantedFaultTest(unittest.TestCase):
    """The checks find what they are there for."""

    def test_faults_are_found(self) -> None:
        for name, owner, method, replacement, faults, returns_packets in PLANTED_FAULTS:
            histories = [FlowHistory(seed, faults, returns_packets) for seed in PLANTED_SEEDS]
            with self.subTest(name), mock.patch.object(owner, method, replacement):
                self.assertTrue(any(is_broken(history) for history in histories))
            with self.subTest(f"without {name}"):
                self.assertFalse(is_broken(histories[0]))


if __name__ == "__main__":
    unittest.main()

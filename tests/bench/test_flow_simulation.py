"""Agents, servers, balancers and callers in virtual time: resets of flows that servers hold."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

import msgspec

from wagtailkeel_bench.flow_simulation import FlowHistory
from wagtailkeel_bench.flow_simulation import draw_flow_history
from wagtailkeel_bench.flow_simulation.flow_checks import FlowCheckError
from wagtailkeel_bench.flow_simulation.flow_checks import FlowChecks
from wagtailkeel_bench.flow_simulation.flow_checks import HoldingStart
from wagtailkeel_bench.flow_simulation.flow_checks import ServerFlow
from wagtailkeel_bench.flow_simulation.flow_history import FlowFault
from wagtailkeel_bench.flow_simulation.flow_history import FlowFaultKind
from wagtailkeel_bench.flow_simulation.flow_outcomes import LostFlowOutcome
from wagtailkeel_bench.flow_simulation.loss_cost import LOSSES_BY_NAME
from wagtailkeel_bench.flow_simulation.player import is_broken
from wagtailkeel_bench.flow_simulation.player import play_flow_history
from wagtailkeel_coordination.handshake.flow_holder import FlowHolder
from wagtailkeel_coordination.handshake.flow_locator import FlowLocator
from wagtailkeel_coordination.handshake.held_flows import HeldFlows
from wagtailkeel_coordination.handshake.server_gate import ServerGate
from wagtailkeel_protocol import packet_format as packet_flags
from wagtailkeel_protocol.malformed import Malformed

if TYPE_CHECKING:
    from wagtailkeel_coordination.handshake import ReportOutcome
    from wagtailkeel_coordination.handshake import ServerReport
    from wagtailkeel_coordination.handshake.held_flows import HeldFlow

HISTORIES = range(12)
DRAWN = range(100)
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
        table: list[tuple[str, dict[str, Any], int, bool]] = [
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
                start = HoldingStart(2, "server", {KEY: flow})
                checks = FlowChecks([start].copy)
                if is_violation:
                    with self.assertRaises(FlowCheckError):
                        checks.on_reset(KEY, SEQUENCE, writer, 100.0)
                else:
                    checks.on_reset(KEY, SEQUENCE, writer, 100.0)

    def test_packets_that_reach_only_other_servers_are_counted(self) -> None:
        for times, spans in (([0.0, 1.0, 2.0], 1), ([0.0, 2.0], 0), ([0.0, 0.5, 1.0], 0)):
            with self.subTest(times=times):
                flow = ServerFlow(KEY, SEQUENCE, 1, 0.0, is_open=True)
                start = HoldingStart(2, "server", {KEY: flow})
                checks = FlowChecks([start].copy)
                for now in times:
                    checks.on_stray_packet(KEY, 1, now)
                self.assertEqual(checks.stray_spans, spans)


RETURNED_PACKET_OF_AN_EARLIER_FLOW = FlowHistory(
    9,
    (
        FlowFault(6.0, FlowFaultKind.FREEZE_AGENT, 1, 4.5),
        FlowFault(6.2, FlowFaultKind.STOP_AGENT, 0, 3.0),
        FlowFault(8.6, FlowFaultKind.STOP_AGENT, 2, 2.0),
    ),
)
DRAWN_THAT_FAILED = (85, 90, 118, 5055, 5094)
LOST_FLOWS_SEEDS = range(3)


class OpenFlowTest(unittest.TestCase):
    """Open flows were reset while their servers held them."""

    def test_a_late_packet_of_an_earlier_flow_of_the_port(self) -> None:
        """The server returned it, and its agent then denied the flow that the server held."""
        play_flow_history(RETURNED_PACKET_OF_AN_EARLIER_FLOW)
        for seed in DRAWN_THAT_FAILED:
            with self.subTest(seed=seed):
                play_flow_history(draw_flow_history(seed))

    def test_drawn_histories(self) -> None:
        for seed in HISTORIES:
            with self.subTest(seed=seed):
                outcomes = play_flow_history(draw_flow_history(seed))
                self.assertGreater(outcomes.answered, outcomes.unanswered)


class LostFlowTest(unittest.TestCase):
    """Callers waited in vain on flows that had ended with their servers."""

    def test_callers_are_reset_if_the_agent_lives_on(self) -> None:
        for name in ("server back after 0.05 s", "server back after 2.5 s"):
            for seed in LOST_FLOWS_SEEDS:
                with self.subTest(name, seed=seed):
                    history = FlowHistory(seed, LOSSES_BY_NAME[name])
                    outcomes = {flow.outcome for flow in play_flow_history(history).lost}
                    self.assertIn(LostFlowOutcome.RESET, outcomes)
                    self.assertNotIn(LostFlowOutcome.UNANSWERED, outcomes)


def end_searches_without_former_members(locator: FlowLocator) -> None:
    """Count a removed agent that is silent as denying the flow."""
    _tick_locator(locator)
    now = locator._context.now
    for key, search in list(locator.searches.by_key.items()):
        is_overdue = not search.is_locating and now - search.queried_at > 0.5
        if is_overdue and search.pending <= locator.former_members:
            locator._end_exhausted(key)


def complete_table_by_first_report(
    holder: FlowHolder, report: ServerReport, now: float
) -> ReportOutcome:
    """Take the table of a restarted agent for complete once its server reports."""
    is_first = holder.gate.report is None
    outcome = _process_report(holder, report, now)
    if is_first:
        holder._incomplete_since = None
    return outcome


def deny_all(held: HeldFlows, now: float) -> None:
    """Deny the flows of before, with another incarnation of the server."""
    held._clear()


def deny(held: HeldFlows, flow: HeldFlow, now: float) -> None:
    """Deny a flow that is not tracked any more."""
    _remove_flow(held, flow, now)
    held.forgotten.clear()


def forward_late_reset(holder: FlowHolder, packet: bytes) -> None:
    """Pass on the reset of a server that was only asked for the flow, if it comes late."""
    header = holder._context.packet_format.parse_outbound(packet)
    assert not isinstance(header, Malformed)
    is_reset = header.flags & packet_flags.RESET and header.key not in holder.held.by_key
    if is_reset and holder.probes.remove(header.key) is None:
        holder._context.outbox.reply(packet, "")
    else:
        _process_server_packet(holder, packet)


_tick_locator = FlowLocator.tick
_remove_flow = HeldFlows.remove
_process_report = FlowHolder.on_report
_process_server_packet = FlowHolder.on_server_packet
_has_ended_or_is_inactive = property(lambda gate: gate._is_absent or gate.is_inactive)


class PlantedFault(msgspec.Struct):
    """What is put in place of a method, and histories that find it but hold without it."""

    name: str
    owner: type
    method: str
    replacement: object
    faults: tuple[FlowFault, ...]
    seeds: tuple[int, ...] = (2, 4, 7)
    returns_packets: bool = True


PLANTED_FAULTS = [
    PlantedFault(
        "a removed agent that is silent counts as denying",
        FlowLocator,
        "tick",
        end_searches_without_former_members,
        (
            FlowFault(6.0, FlowFaultKind.FREEZE_AGENT, 1, 4.5),
            FlowFault(6.2, FlowFaultKind.STOP_AGENT, 0, 3.0),
            FlowFault(8.6, FlowFaultKind.STOP_AGENT, 2, 2.0),
        ),
    ),
    PlantedFault(
        "inactivity is taken for the end of the server",
        ServerGate,
        "has_ended",
        _has_ended_or_is_inactive,
        (
            FlowFault(6.0, FlowFaultKind.FAIL_REPORTS, 1, 6.0),
            FlowFault(6.2, FlowFaultKind.STOP_AGENT, 1, 1.0),
            FlowFault(8.5, FlowFaultKind.STOP_AGENT, 0, 2.0),
        ),
    ),
    PlantedFault(
        "the table of a restarted agent counts as complete at once",
        FlowHolder,
        "on_report",
        complete_table_by_first_report,
        (
            FlowFault(6.0, FlowFaultKind.KILL_AGENT, 1, 0.5),
            FlowFault(6.1, FlowFaultKind.STOP_AGENT, 0, 1.0),
        ),
    ),
    PlantedFault(
        "another incarnation's report lets the agent deny the flows of before",
        HeldFlows,
        "clear",
        deny_all,
        (
            FlowFault(6.0, FlowFaultKind.CRASH_SERVER, 1, 0.02, late_report_s=1.2),
            FlowFault(7.5, FlowFaultKind.STOP_AGENT, 0, 2.0),
            FlowFault(8.5, FlowFaultKind.STOP_AGENT, 2, 2.0),
        ),
        seeds=(4, 7, 8),
    ),
    PlantedFault(
        "the agent denies flows that were idle for longer than a lower limit",
        HeldFlows,
        "remove",
        deny,
        (
            FlowFault(6.0, FlowFaultKind.IDLE_LIMIT, 0, 2.5),
            FlowFault(8.6, FlowFaultKind.STOP_AGENT, 0, 1.0),
            FlowFault(8.8, FlowFaultKind.STOP_AGENT, 2, 2.0),
        ),
    ),
    PlantedFault(
        "a server's late reset is forwarded",
        FlowHolder,
        "on_server_packet",
        forward_late_reset,
        (
            FlowFault(6.0, FlowFaultKind.STOP_AGENT, 1, 0.3),
            FlowFault(6.6, FlowFaultKind.SLOW_SERVER, 1, 4.0),
            FlowFault(6.8, FlowFaultKind.STOP_AGENT, 0, 1.0),
            FlowFault(7.6, FlowFaultKind.STOP_AGENT, 2, 1.0),
        ),
        returns_packets=False,
    ),
]


class PlantedFaultTest(unittest.TestCase):
    """The checks find what they are there for."""

    def test_faults_are_found(self) -> None:
        for planted in PLANTED_FAULTS:
            histories = [
                FlowHistory(seed, planted.faults, planted.returns_packets) for seed in planted.seeds
            ]
            patch = mock.patch.object(planted.owner, planted.method, planted.replacement)
            with self.subTest(planted.name), patch:
                self.assertTrue(any(is_broken(history) for history in histories))
            with self.subTest(f"without: {planted.name}"):
                self.assertFalse(is_broken(histories[0]))


if __name__ == "__main__":
    unittest.main()

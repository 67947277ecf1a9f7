"""An agent and its server in virtual time: what reaches the server after an acknowledgement."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest import mock

import msgspec

from wagtailkeel_bench.agent_simulation import AgentHistory
from wagtailkeel_bench.agent_simulation import draw_agent_history
from wagtailkeel_bench.agent_simulation import play_agent_history
from wagtailkeel_bench.agent_simulation.agent_history import AgentFault
from wagtailkeel_bench.agent_simulation.agent_history import AgentFaultKind
from wagtailkeel_bench.agent_simulation.player import is_broken
from wagtailkeel_coordination.handshake import RecordedServer
from wagtailkeel_coordination.handshake import ReportOutcome
from wagtailkeel_coordination.handshake import ServerGate
from wagtailkeel_coordination.handshake.server_incarnations import ServerIncarnations

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_coordination.handshake import ServerReport
    from wagtailkeel_state import ServerRecord

HISTORIES = range(40)
DRAWN = range(100)
PLANTED_SEEDS = range(40)

FAILED_ONCE = [
    (
        "a restarted agent took a report of before the drain",
        AgentHistory(
            9,
            (
                AgentFault(6.0, AgentFaultKind.DRAIN_SERVER, 14.0),
                AgentFault(10.0, AgentFaultKind.KILL_AGENT, 0.5),
                AgentFault(10.5, AgentFaultKind.REPEAT_CALLS, 2.0, position=0.0),
            ),
        ),
    ),
    (
        "a report of an earlier start, by a clock that was set back since, ended a drain",
        AgentHistory(
            0,
            (
                AgentFault(6.0, AgentFaultKind.CRASH_SERVER, 1.0),
                AgentFault(8.5, AgentFaultKind.CRASH_SERVER, 3.0, clock_step_s=-5.0),
                AgentFault(16.0, AgentFaultKind.DRAIN_SERVER, 14.0),
                AgentFault(21.0, AgentFaultKind.REPEAT_CALLS, 2.0, position=0.2),
            ),
        ),
    ),
    (
        "a report of an earlier start ended a drain after a silence",
        AgentHistory(
            8,
            (
                AgentFault(6.0, AgentFaultKind.CRASH_SERVER, 3.0),
                AgentFault(12.0, AgentFaultKind.DRAIN_SERVER, 14.0),
                AgentFault(17.0, AgentFaultKind.CUT_SERVER, 3.0),
                AgentFault(19.5, AgentFaultKind.REPEAT_CALLS, 2.0, position=0.0),
            ),
        ),
    ),
    (
        "a restarted agent did not know yet that its data centre was out of service",
        AgentHistory(
            2,
            (
                AgentFault(6.0, AgentFaultKind.OUT_OF_SERVICE, 30.0),
                AgentFault(20.0, AgentFaultKind.KILL_AGENT, 0.5),
                AgentFault(26.0, AgentFaultKind.KILL_AGENT, 0.5),
                AgentFault(32.0, AgentFaultKind.KILL_AGENT, 0.5),
            ),
        ),
    ),
    (
        "a restarted agent let a cold server have its limit twice",
        AgentHistory(
            0,
            (
                AgentFault(6.0, AgentFaultKind.CRASH_SERVER, 2.5),
                AgentFault(8.7, AgentFaultKind.KILL_AGENT, 0.0),
            ),
        ),
    ),
    (
        "a cold server whose clock was set back was taken for its earlier start",
        AgentHistory(
            0,
            (
                AgentFault(6.0, AgentFaultKind.CRASH_SERVER, 1.0),
                AgentFault(10.0, AgentFaultKind.CRASH_SERVER, 1.0, clock_step_s=-5.0),
            ),
        ),
    ),
]


class DrawTest(unittest.TestCase):
    def test_a_seed_gives_one_history(self) -> None:
        self.assertEqual(draw_agent_history(5), draw_agent_history(5))
        self.assertNotEqual(draw_agent_history(5), draw_agent_history(6))

    def test_all_kinds_are_drawn(self) -> None:
        histories = [draw_agent_history(seed) for seed in DRAWN]
        kinds = {fault.kind for history in histories for fault in history.faults}
        self.assertEqual(kinds, set(AgentFaultKind))


class ServerEndTest(unittest.TestCase):
    """Openings reached servers that drained, were cold, or whose data centre was out of service."""

    def test_histories_that_failed(self) -> None:
        for name, history in FAILED_ONCE:
            with self.subTest(name):
                play_agent_history(history)

    def test_drawn_histories(self) -> None:
        for seed in HISTORIES:
            with self.subTest(seed=seed):
                play_agent_history(draw_agent_history(seed))


class PlantedFaultTest(unittest.TestCase):
    """The checks find what they are there for, by the histories that failed."""

    def test_faults_are_found(self) -> None:
        # What is put in place of a method, and the number of the history that finds it.
        table: list[tuple[str, type, str, Callable[..., object], int]] = [
            ("no record is read", RecordedServer, "restore", restore_nothing, 0),
            ("a start follows at once", ServerIncarnations, "_on_other", follow_at_once, 1),
            ("openings before the join", ServerGate, "begin_recovery", begin_nothing, 3),
        ]
        for name, owner, method, replacement, number in table:
            history = FAILED_ONCE[number][1]
            with self.subTest(name), mock.patch.object(owner, method, replacement):
                seeds = (msgspec.structs.replace(history, seed=seed) for seed in PLANTED_SEEDS)
                self.assertTrue(any(is_broken(seeded) for seeded in seeds))


def restore_nothing(recorded: RecordedServer, record: ServerRecord | None, now: float) -> None:
    """Admit openings by what this process of the agent knows alone."""
    recorded._gate.confirm(None, (), now)


def follow_at_once(
    incarnations: ServerIncarnations, known: ServerReport, report: ServerReport, now: float
) -> ReportOutcome:
    """Take each report of another start for one of the start that runs."""
    incarnations._apply(report, now)
    return ReportOutcome.APPLIED


def begin_nothing(gate: ServerGate, now: float) -> None:
    """Admit openings from the first report on."""


if __name__ == "__main__":
    unittest.main()

"""The soak of the handshake roles: how it judges resets, its schedules, and one short run of it."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

import msgspec

from wagtailkeel_bench.flow_records import FlowRecord
from wagtailkeel_bench.flow_records import Judgement
from wagtailkeel_bench.flow_records import RecordKind
from wagtailkeel_bench.flow_records import judge
from wagtailkeel_bench.handshake_soak import draw_handshake_schedule
from wagtailkeel_bench.handshake_soak import run_handshake_soak
from wagtailkeel_bench.handshake_soak.schedule import FaultKind

DURATION_S = 20.0
SHORT_RUN_SEED = 1
SHORT_RUN_S = 8.0
KNOWN_SEEDS: list[tuple[int, float, str]] = []
"""Seeds that ever failed: seed, length in seconds, cause."""

FLOW = "127.0.0.1:2000>198.18.0.1:443"
OWN, OTHER = "server-1#1", "server-2#1"


def record(at: float, kind: RecordKind, server: str = OWN, **fields: Any) -> FlowRecord:
    flow = "" if kind is RecordKind.ENDED else FLOW
    connection = 0 if kind is RecordKind.ENDED else 1
    return msgspec.structs.replace(FlowRecord(at, kind, server, flow, connection), **fields)


def reset(at: float, **fields: Any) -> FlowRecord:
    return record(at, RecordKind.RESET, **fields)


ACCEPTED = record(1.0, RecordKind.ACCEPTED)
OPENED = record(1.1, RecordKind.OPENED)
CLOSED = record(2.0, RecordKind.CLOSED)
ENDED = record(2.0, RecordKind.ENDED)
LATER_OPENED = record(2.5, RecordKind.OPENED, connection=2)
NEXT_OPENED = record(2.5, RecordKind.OPENED, "server-1#2", connection=2)
OTHER_OPENED = record(1.2, RecordKind.OPENED, OTHER)
OTHER_ENDED = record(2.0, RecordKind.ENDED, OTHER)


class JudgementTest(unittest.TestCase):
    """A reset is judged by what the flow's own server holds when the caller gets it."""

    def count(self, judgement: Judgement) -> tuple[int, int, int, int]:
        return (
            len(judgement.broken_flows),
            judgement.resets_of_openings,
            judgement.resets_of_lost_flows,
            judgement.resets_by_own_server,
        )

    def test_resets(self) -> None:
        broken, of_opening, of_lost, by_own = (1, 0, 0, 0), (0, 1, 0, 0), (0, 0, 1, 0), (0, 0, 0, 1)
        table = [
            ("held", [ACCEPTED, OPENED, reset(3.0)], broken),
            ("held, and another server has written it", [OPENED, reset(3.0, writer=OTHER)], broken),
            ("held while another server has ended", [OPENED, OTHER_ENDED, reset(3.0)], broken),
            ("held at the time, closed later", [OPENED, reset(1.5), CLOSED], broken),
            ("held, and the caller knows no server", [OPENED, reset(3.0, server="")], broken),
            ("the server has written it", [OPENED, reset(3.0, writer=OWN)], by_own),
            ("the server wrote it on its end", [OPENED, CLOSED, reset(3.0, writer=OWN)], by_own),
            ("closed", [OPENED, CLOSED, reset(3.0)], of_lost),
            ("lost with its server", [OPENED, ENDED, reset(3.0)], of_lost),
            ("held by another server only", [OPENED, OTHER_OPENED, CLOSED, reset(3.0)], of_lost),
            ("never opened", [reset(3.0, server="")], of_opening),
            ("accepted, and not open yet", [ACCEPTED, reset(1.05), OPENED], of_opening),
            ("earlier flow of the port", [OPENED, reset(3.0, connection=2)], of_opening),
            (
                "later flow of the port",
                [OPENED, CLOSED, LATER_OPENED, reset(3.0)],
                of_lost,
            ),
            (
                "another incarnation of the server runs",
                [OPENED, ENDED, NEXT_OPENED, reset(3.0)],
                of_lost,
            ),
        ]
        for name, records, expected in table:
            with self.subTest(name):
                self.assertEqual(self.count(judge(records)), expected)

    def test_records_of_several_writers_are_ordered_by_time(self) -> None:
        self.assertEqual(self.count(judge([reset(3.0), OPENED])), (1, 0, 0, 0))

    def test_a_broken_flow_names_its_server_and_how_long_it_was_held(self) -> None:
        (broken,) = judge([OPENED, reset(3.1)]).broken_flows
        self.assertEqual((broken.flow, broken.server, broken.writer), (FLOW, OWN, ""))
        self.assertAlmostEqual(broken.held_s, 2.0)


class HandshakeScheduleTest(unittest.TestCase):
    def test_a_seed_gives_one_schedule(self) -> None:
        schedules = [draw_handshake_schedule(seed, DURATION_S) for seed in (5, 5, 6)]
        self.assertEqual(schedules[0], schedules[1])
        self.assertNotEqual(schedules[0], schedules[2])

    def test_all_kinds_are_drawn_and_faults_overlap(self) -> None:
        """Two faults of one target hide each other; those of an agent and its server do not."""
        kinds: set[FaultKind] = set()
        beside = 0
        for seed in range(60):
            faults = draw_handshake_schedule(seed, DURATION_S).faults
            kinds |= {fault.kind for fault in faults}
            until_by_target: dict[str, float] = {}
            for fault in faults:
                with self.subTest(seed=seed, fault=str(fault)):
                    for target in fault.targets:
                        self.assertLessEqual(until_by_target.get(target, 0.0), fault.at_s)
                        until_by_target[target] = fault.at_s + fault.lasts_s
                        peer = target.replace("server", "agent")
                        beside += peer != target and until_by_target.get(peer, 0.0) > fault.at_s
                    self.assertLess(fault.at_s + fault.lasts_s, DURATION_S)
        self.assertEqual(kinds, set(FaultKind))
        self.assertGreater(beside, 20)


class HandshakeSoakTest(unittest.TestCase):
    """An agent that was restarted, suspended or cut off had flows reset that its server held."""

    def test_a_short_run_resets_no_flow_that_its_server_holds(self) -> None:
        schedule = draw_handshake_schedule(SHORT_RUN_SEED, SHORT_RUN_S)
        result = asyncio.run(run_handshake_soak(schedule))
        self.assertEqual(result.failed, [], f"{schedule}; logs in {result.folder}")
        self.assertGreater(result.judgement.opened_flows, 0)
        self.assertGreater(result.counters["ports_reused"], 0)

    def test_seeds_that_ever_failed(self) -> None:
        for seed, duration_s, cause in KNOWN_SEEDS:
            with self.subTest(seed=seed, cause=cause):
                result = asyncio.run(run_handshake_soak(draw_handshake_schedule(seed, duration_s)))
                self.assertEqual(result.failed, [], f"logs in {result.folder}")


if __name__ == "__main__":
    unittest.main()

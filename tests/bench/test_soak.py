"""The soak's schedules, how they are shrunk, and one short run of it."""

from __future__ import annotations

import asyncio
import unittest

from wagtailkeel_bench.soak import Schedule
from wagtailkeel_bench.soak import draw_schedule
from wagtailkeel_bench.soak import run_soak
from wagtailkeel_bench.soak import shrink
from wagtailkeel_bench.soak.schedule import NETWORK

DURATION_S = 20.0
SHORT_RUN_SEED = 4
SHORT_RUN_S = 10.0
KNOWN_SEEDS: list[tuple[int, float, str, str]] = []
"""Seeds that ever failed: seed, length in seconds, deployment, cause."""


class ScheduleTest(unittest.TestCase):
    def test_a_seed_gives_one_schedule(self) -> None:
        self.assertEqual(draw_schedule(5, DURATION_S), draw_schedule(5, DURATION_S))
        self.assertNotEqual(draw_schedule(5, DURATION_S), draw_schedule(6, DURATION_S))

    def test_a_target_has_one_fault_at_a_time(self) -> None:
        """Overlapping faults are of different instances: two of one would hide each other."""
        for seed in range(200):
            with self.subTest(seed=seed):
                until_by_target: dict[str, float] = {}
                for fault in draw_schedule(seed, DURATION_S).faults:
                    for target in fault.targets:
                        self.assertLessEqual(until_by_target.get(target, 0.0), fault.at_s)
                        until_by_target[target] = fault.at_s + fault.lasts_s

    def test_all_kinds_are_drawn_and_faults_overlap(self) -> None:
        schedules = [draw_schedule(seed, DURATION_S) for seed in range(60)]
        names = {fault.name for schedule in schedules for fault in schedule.faults}
        expected = {"restart", "drain", "commands", "race", "crash", "pause", "cut-pair"}
        self.assertEqual(names, expected | {"cut-one-way", "wipe", "cold", "drain-and-restart"})
        self.assertTrue(any(schedule.is_planned for schedule in schedules))
        overlapping = [
            (one, other)
            for schedule in schedules
            for one, other in zip(schedule.faults, schedule.faults[1:], strict=False)
            if other.at_s < one.at_s + one.lasts_s
        ]
        self.assertGreater(len(overlapping), len(schedules))

    def test_each_fault_ends_before_the_checks(self) -> None:
        for seed in range(200):
            schedule = draw_schedule(seed, DURATION_S)
            for fault in schedule.faults:
                last_s = max(action.after_s for action in fault.actions)
                self.assertLess(fault.at_s + last_s, DURATION_S, f"seed {seed}: {fault.name}")


class ShrinkTest(unittest.TestCase):
    def test_only_the_faults_that_matter_remain(self) -> None:
        schedule = next(
            drawn
            for drawn in (draw_schedule(seed, DURATION_S) for seed in range(100))
            if sum(NETWORK in fault.targets for fault in drawn.faults) == 1
            and len(drawn.faults) > 4
        )

        async def fails(smaller: Schedule) -> bool:
            return any(NETWORK in fault.targets for fault in smaller.faults)

        shrunk = asyncio.run(shrink(schedule, fails, max_runs=50))
        self.assertEqual([fault.targets for fault in shrunk.faults], [(NETWORK,)])
        unchanged = asyncio.run(shrink(schedule, fails, max_runs=0))
        self.assertEqual(unchanged, schedule)


class SoakTest(unittest.TestCase):
    def test_a_short_run_breaks_no_promise(self) -> None:
        schedule = draw_schedule(SHORT_RUN_SEED, SHORT_RUN_S, "small")
        self.assertTrue(schedule.faults)
        result = asyncio.run(run_soak(schedule))
        self.assertEqual(result.failed, [], f"{schedule}; logs in {result.folder}")

    def test_seeds_that_ever_failed(self) -> None:
        for seed, duration_s, deployment, cause in KNOWN_SEEDS:
            with self.subTest(seed=seed, cause=cause):
                result = asyncio.run(run_soak(draw_schedule(seed, duration_s, deployment)))
                self.assertEqual(result.failed, [], f"logs in {result.folder}")


if __name__ == "__main__":
    unittest.main()

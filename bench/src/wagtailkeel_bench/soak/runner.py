"""Runs a schedule against real processes and checks what must hold."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol
from typing import Self
from typing import TypeVar

import msgspec

from wagtailkeel_bench.scenario.model import Expectation
from wagtailkeel_bench.scenario.model import FeedTraffic
from wagtailkeel_bench.scenario.model import RequestTraffic
from wagtailkeel_bench.scenario.model import Scenario
from wagtailkeel_bench.scenario.model import Step
from wagtailkeel_bench.scenario.runner import ScenarioRun
from wagtailkeel_bench.scenario.runner import get_by_path
from wagtailkeel_bench.soak.schedule import CONTROLS
from wagtailkeel_bench.soak.schedule import Schedule

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from pathlib import Path

    from wagtailkeel_bench.scenario.runner import Result

IN_FORCE_LIMIT_S = 10.0
IN_FORCE_CHECK_S = 4.0
"""The last command is sent this long before the end."""

ALWAYS_ZERO = (
    "misrouted_packets",
    "multi_server_flows",
    "double_runs",
    "false_refusals",
    "wrong_answers",
    "accepted_lost",
    "answers_changed",
    "double_winners",
    "version_reversals",
    "resets_of_held_flows",
)
"""Counts of broken promises that no fault excuses."""


class SoakResult(msgspec.Struct):
    """What a schedule led to; ``failed`` are the expectations that were not met."""

    schedule: Schedule
    failed: list[str]
    folder: str
    measured: dict[str, object]

    def save(self, folder: Path) -> Path:
        """Write the result to a file named after the seed; return its path."""
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / f"soak-{self.schedule.seed}.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self)))
        return path


class _SoakRun(ScenarioRun):
    """A scenario run whose steps overlap: a step does not wait for the end of those before."""

    async def _run_steps(self) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        async with asyncio.TaskGroup() as tasks:
            for step in self._scenario.steps:
                await asyncio.sleep(max(0.0, started_at + step.at_s - loop.time()))
                tasks.create_task(self._actions.run(step))
            await asyncio.sleep(max(0.0, started_at + self._scenario.duration_s - loop.time()))
        await self._actions.finish()


def build_scenario(schedule: Schedule) -> Scenario:
    """Return the scenario of a schedule: its faults, the traffic, and what must hold."""
    steps = [
        Step(fault.at_s + action.after_s, action.verb, list(action.arguments), 0)
        for fault in schedule.faults
        for action in fault.actions
    ]
    steps.append(Step(0.0, "watch-versions", [], 0))
    steps.append(Step(schedule.duration_s - IN_FORCE_CHECK_S, "in-force", [], 0))
    steps.sort(key=lambda step: step.at_s)
    expectations = [Expectation(path, "==", 0) for path in ALWAYS_ZERO]
    expectations.append(Expectation("in_force_s", "<=", IN_FORCE_LIMIT_S))
    if schedule.is_planned:
        expectations.append(Expectation("broken_flows", "==", 0))
        expectations.append(Expectation("late_openings", "==", 0))
    return Scenario(
        deployment=schedule.deployment,
        controls=CONTROLS,
        duration_s=schedule.duration_s,
        feeds=[FeedTraffic(200, "marshal-desk/feed", 1.0, 2.0)],
        requests=[RequestTraffic(40.0, "marshal-desk/checkpoint", 10.0, 2)],
        network_rule=schedule.network_rule,
        steps=steps,
        expectations=expectations,
    )


async def run_soak(schedule: Schedule) -> SoakResult:
    """Run a schedule; raise BenchError if the site itself can't be run."""
    scenario = build_scenario(schedule)
    run = _SoakRun(scenario, schedule.seed)
    measured = await run.run()
    failed = [
        str(expectation)
        for expectation in scenario.expectations
        if not expectation.is_met(get_by_path(measured, expectation.path))
    ]
    return SoakResult(schedule, failed, str(run.folder), _without_counters(measured))


def _without_counters(measured: Result) -> dict[str, object]:
    return {name: value for name, value in measured.items() if name != "counters"}


class ShrinkableSchedule(Protocol):
    """A schedule from which faults can be left out."""

    @property
    def faults(self) -> tuple[Any, ...]:
        """All faults."""

    def without(self, fault: Any) -> Self:
        """Return the schedule without one fault."""


AnySchedule = TypeVar("AnySchedule", bound=ShrinkableSchedule)


async def shrink(
    schedule: AnySchedule, fails: Callable[[AnySchedule], Awaitable[bool]], max_runs: int
) -> AnySchedule:
    """Leave out faults one by one while the schedule still fails, in at most ``max_runs`` runs."""
    for fault in schedule.faults:
        if max_runs <= 0:
            break
        max_runs -= 1
        smaller = schedule.without(fault)
        if await fails(smaller):
            schedule = smaller
    return schedule

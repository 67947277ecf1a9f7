"""Draws random schedules of faults from a seed."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_bench.deployment import DEPLOYMENT_SPECS_BY_NAME

if TYPE_CHECKING:
    from collections.abc import Callable

CONTROLS = 3
FIRST_FAULT_AT_S = 1.0
MAX_FAULT_GAP_S = 2.5
RECOVERY_S = 6.0
"""The last fault begins this long before the end, so that the site recovers before the checks."""
REST_S = 2.0
"""An instance has no further fault for this long after one."""
NETWORK = "network"
"""Stands for all links in a fault's targets, since healing ends all partitions."""

NETWORK_RULES: list[dict[str, float]] = [
    {},
    {},
    {"loss": 0.02, "duplicate": 0.05, "reorder": 0.2},
    {"delay_ms": 20.0, "jitter_ms": 60.0},
]


class TimedAction(msgspec.Struct, frozen=True):
    """An action of the scenario language, ``after_s`` seconds after its fault begins."""

    after_s: float
    verb: str
    arguments: tuple[str, ...] = ()


class Fault(msgspec.Struct, frozen=True):
    """One fault or planned change; ``targets`` have no other one until ``lasts_s`` are over."""

    name: str
    at_s: float
    lasts_s: float
    targets: tuple[str, ...]
    actions: tuple[TimedAction, ...]
    is_planned: bool


class Schedule(msgspec.Struct, frozen=True):
    """All faults of one run, in the order of their begin; times are in seconds."""

    seed: int
    deployment: str
    duration_s: float
    network_rule: dict[str, float]
    faults: tuple[Fault, ...]

    @property
    def is_planned(self) -> bool:
        """Return whether all faults are planned changes, which must not break a feed."""
        return all(fault.is_planned for fault in self.faults) and not self.network_rule

    def without(self, fault: Fault) -> Schedule:
        """Return the schedule without one fault."""
        faults = tuple(other for other in self.faults if other is not fault)
        return msgspec.structs.replace(self, faults=faults)


class _FaultDrawer:
    """Draws faults of random instances of a deployment."""

    def __init__(self, deployment: str, random: Random) -> None:
        spec = DEPLOYMENT_SPECS_BY_NAME[deployment]
        self._random = random
        self._servers = [
            f"{service.name}-{number + 1}"
            for service in spec.services
            for number in range(service.servers)
        ]
        self._balancers = [f"balancer-{number + 1}" for number in range(spec.balancers)]
        self._controls = [f"control-{number + 1}" for number in range(CONTROLS)]
        self._nodes = [*self._servers, *self._balancers]

    def planned(self) -> list[Callable[[float], Fault]]:
        """Return the kinds of planned changes."""
        return [
            partial(self._restart, "restart", True),
            self._drain,
            self._drain_and_restart,
            self._commands,
            self._race,
        ]

    def unplanned(self) -> list[Callable[[float], Fault]]:
        """Return the kinds of faults."""
        return [
            partial(self._restart, "crash", False),
            self._pause,
            self._cut,
            self._cut_one_way,
            self._wipe,
            self._turn_cold,
        ]

    def _restart(self, verb: str, is_planned: bool, at_s: float) -> Fault:
        name = self._random.choice([*self._nodes, *self._controls])
        action = TimedAction(0.0, verb, (name,))
        return Fault(verb, at_s, 3.0, (name,), (action,), is_planned)

    def _drain(self, at_s: float) -> Fault:
        name = self._random.choice(self._servers)
        lasts_s = self._random.uniform(0.2, 4.0)
        actions = (TimedAction(0.0, "drain", (name,)), TimedAction(lasts_s, "restore", (name,)))
        return Fault("drain", at_s, lasts_s, (name,), actions, True)

    def _drain_and_restart(self, at_s: float) -> Fault:
        """Restart the agent of a server that drains; its drain holds on."""
        name = self._random.choice(self._servers)
        restarts_after_s = self._random.uniform(0.2, 1.5)
        lasts_s = restarts_after_s + self._random.uniform(2.0, 3.5)
        actions = (
            TimedAction(0.0, "drain", (name,)),
            TimedAction(restarts_after_s, "restart", (name,)),
            TimedAction(lasts_s, "restore", (name,)),
        )
        return Fault("drain-and-restart", at_s, lasts_s, (name,), actions, True)

    def _commands(self, at_s: float) -> Fault:
        count, over_s = self._random.randint(5, 60), self._random.uniform(0.5, 4.0)
        action = TimedAction(0.0, "commands", (str(count), str(over_s)))
        return Fault("commands", at_s, over_s, ("operator",), (action,), True)

    def _race(self, at_s: float) -> Fault:
        action = TimedAction(0.0, "race", (str(2 * self._random.randint(1, 8)),))
        return Fault("race", at_s, 2.0, ("operator",), (action,), True)

    def _pause(self, at_s: float) -> Fault:
        name = self._random.choice([*self._nodes, *self._controls])
        lasts_s = self._random.uniform(0.2, 4.0)
        actions = (TimedAction(0.0, "pause", (name,)), TimedAction(lasts_s, "resume", (name,)))
        return Fault("pause", at_s, lasts_s, (name,), actions, False)

    def _cut(self, at_s: float) -> Fault:
        return self._draw_cut("cut-pair", at_s)

    def _cut_one_way(self, at_s: float) -> Fault:
        return self._draw_cut("cut-one-way", at_s)

    def _draw_cut(self, verb: str, at_s: float) -> Fault:
        one, other = self._random.sample([*self._nodes, *self._controls], 2)
        lasts_s = self._random.uniform(0.5, 5.0)
        actions = (TimedAction(0.0, verb, (one, other)), TimedAction(lasts_s, "heal"))
        return Fault(verb, at_s, lasts_s, (NETWORK,), actions, False)

    def _wipe(self, at_s: float) -> Fault:
        name = self._random.choice(self._controls)
        # No other control instance fails until this one votes again.
        targets = tuple(self._controls)
        return Fault("wipe", at_s, 8.0, targets, (TimedAction(0.0, "wipe", (name,)),), False)

    def _turn_cold(self, at_s: float) -> Fault:
        name = self._random.choice(self._servers)
        return Fault("cold", at_s, 1.0, (name,), (TimedAction(0.0, "cold", (name,)),), False)


def draw_schedule(seed: int, duration_s: float, deployment: str = "marshals") -> Schedule:
    """Return the schedule of a seed; one in three has planned changes only."""
    random = Random(seed)
    drawer = _FaultDrawer(deployment, random)
    is_planned = random.random() < 1 / 3
    kinds = drawer.planned() if is_planned else [*drawer.planned(), *drawer.unplanned()]
    network_rule = {} if is_planned else random.choice(NETWORK_RULES)
    faults: list[Fault] = []
    busy_until_by_target: dict[str, float] = {}
    at_s = FIRST_FAULT_AT_S
    while at_s < duration_s - RECOVERY_S:
        fault = random.choice(kinds)(round(at_s, 2))
        if all(busy_until_by_target.get(target, 0.0) <= at_s for target in fault.targets):
            faults.append(fault)
            for target in fault.targets:
                busy_until_by_target[target] = at_s + fault.lasts_s + REST_S
        at_s += random.uniform(0.0, MAX_FAULT_GAP_S)
    return Schedule(seed, deployment, duration_s, network_rule, tuple(faults))

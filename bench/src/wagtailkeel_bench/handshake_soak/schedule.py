"""Draws random schedules of overlapping faults of a handshake site from a seed."""

from __future__ import annotations

from enum import Enum
from random import Random

import msgspec

AGENTS = 6
BALANCERS = 2
CONTROLS = 3
FIRST_FAULT_AT_S = 1.0
MAX_FAULT_GAP_S = 1.5
RECOVERY_S = 3.0
"""All faults end this long before the end of the run."""
REST_S = 1.0
"""A target has no further fault for this long after one."""
HERD_SIZES = (1, 1, 1, 2, 3, AGENTS)


class FaultKind(Enum):
    """What happens to the targets of a fault."""

    KILL_AGENTS = "kill-agents"
    RESTART_AGENTS = "restart-agents"
    PAUSE_AGENTS = "pause-agents"
    KILL_CONTROL = "kill-control"
    RESTART_BALANCER = "restart-balancer"
    CRASH_SERVER = "crash-server"
    LEAVE = "leave"
    """A server drains, leaves, and starts again."""
    FAIL_REPORTS = "fail-reports"


LENGTHS_S: dict[FaultKind, tuple[float, float]] = {
    FaultKind.KILL_AGENTS: (0.0, 5.0),
    FaultKind.RESTART_AGENTS: (2.0, 2.0),
    # Control removes an agent after 2.5 s.
    FaultKind.PAUSE_AGENTS: (0.5, 6.0),
    FaultKind.KILL_CONTROL: (0.5, 4.0),
    FaultKind.RESTART_BALANCER: (4.0, 4.0),
    FaultKind.CRASH_SERVER: (0.1, 4.0),
    FaultKind.LEAVE: (4.0, 6.0),
    FaultKind.FAIL_REPORTS: (1.0, 6.0),
}
"""The shortest and longest fault of each kind, in seconds."""


class HandshakeFault(msgspec.Struct, frozen=True):
    """One fault, which ends after ``lasts_s`` seconds.

    ``has_new_id`` tells under which id a server starts again.
    """

    kind: FaultKind
    at_s: float
    lasts_s: float
    targets: tuple[str, ...]
    has_new_id: bool = False

    def __str__(self) -> str:
        return f"{self.kind.value}@{self.at_s:g}+{self.lasts_s:g}({','.join(self.targets)})"


class HandshakeSchedule(msgspec.Struct, frozen=True):
    """All faults of one run, in the order of their begin."""

    seed: int
    duration_s: float
    faults: tuple[HandshakeFault, ...]

    def without(self, fault: HandshakeFault) -> HandshakeSchedule:
        """Return the schedule without one fault."""
        faults = tuple(other for other in self.faults if other is not fault)
        return msgspec.structs.replace(self, faults=faults)


def names(role: str, count: int) -> list[str]:
    """Return the names of the instances of a role, or of the backend servers."""
    return [f"{role}-{number + 1}" for number in range(count)]


class _FaultDrawer:
    """Draws faults whose targets have no other one at the time."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._busy_until_by_target: dict[str, float] = {}

    def draw(self, at_s: float, end_s: float) -> HandshakeFault | None:
        """Draw a fault that ends before ``end_s``; return None if all its targets have one."""
        kind = self._random.choice(list(FaultKind))
        shortest_s, longest_s = LENGTHS_S[kind]
        if at_s + shortest_s > end_s:
            return None
        lasts_s = round(self._random.uniform(shortest_s, min(longest_s, end_s - at_s)), 2)
        targets = self._draw_targets(kind, at_s)
        if not targets:
            return None
        for target in targets:
            self._busy_until_by_target[target] = at_s + lasts_s + REST_S
        return HandshakeFault(kind, at_s, lasts_s, targets, self._random.random() < 0.5)

    def _draw_targets(self, kind: FaultKind, at_s: float) -> tuple[str, ...]:
        if kind is FaultKind.KILL_CONTROL:
            # Without a majority, no agent can join or be removed.
            all_free = self._free(names("control", CONTROLS), at_s)
            return (self._random.choice(all_free),) if len(all_free) == CONTROLS else ()
        if kind is FaultKind.RESTART_BALANCER:
            all_free = self._free(names("balancer", BALANCERS), at_s)
            return (self._random.choice(all_free),) if len(all_free) == BALANCERS else ()
        if kind in (FaultKind.CRASH_SERVER, FaultKind.LEAVE, FaultKind.FAIL_REPORTS):
            free, size = self._free(names("server", AGENTS), at_s), 1
        else:
            free, size = self._free(names("agent", AGENTS), at_s), self._random.choice(HERD_SIZES)
        return tuple(sorted(self._random.sample(free, min(size, len(free)))))

    def _free(self, targets: list[str], at_s: float) -> list[str]:
        return [name for name in targets if self._busy_until_by_target.get(name, 0.0) <= at_s]


def draw_handshake_schedule(seed: int, duration_s: float) -> HandshakeSchedule:
    """Return the schedule of a seed."""
    random = Random(seed)
    drawer = _FaultDrawer(random)
    faults: list[HandshakeFault] = []
    at_s = FIRST_FAULT_AT_S
    while at_s < duration_s - RECOVERY_S:
        fault = drawer.draw(round(at_s, 2), duration_s - RECOVERY_S)
        if fault is not None:
            faults.append(fault)
        at_s += random.uniform(0.0, MAX_FAULT_GAP_S)
    return HandshakeSchedule(seed, duration_s, tuple(faults))

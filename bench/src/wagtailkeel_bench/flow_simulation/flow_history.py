"""Draws what happens to agents, their backend servers, balancers and the links between them."""

from __future__ import annotations

from enum import Enum
from random import Random

import msgspec

AGENTS = 5
FIRST_FAULT_AT_S = 4.0
LAST_FAULT_AT_S = 24.0
RECOVERY_S = 12.0
"""The last fault has ended by then, and callers have repeated what was not answered."""
MAX_GAP_S = 2.0


class FlowFaultKind(str, Enum):
    """What happens to the agent, server or balancer ``target``; ``lasts_s`` says for how long."""

    KILL_AGENT = "kill agent"
    FREEZE_AGENT = "freeze agent"
    """Datagrams and calls wait in the sockets of the agent."""
    STOP_AGENT = "stop agent"
    """The agent stops as planned and starts again."""
    ISOLATE_AGENT = "isolate agent"
    """The agent and the other instances don't reach each other; its server reaches it."""
    CRASH_SERVER = "crash server"
    """The server ends; another incarnation starts ``lasts_s`` later."""
    LOSE_BOTH = "lose both"
    """Agent and server are gone for good."""
    DRAIN_SERVER = "drain server"
    """The server drains, leaves, and its agent stops."""
    FAIL_REPORTS = "fail reports"
    """No report reaches the agent; the server backs off."""
    LATE_REPORTS = "late reports"
    """Reports reach the agent late, each at its own time."""
    REPEAT_REPORTS = "repeat reports"
    """Reports made earlier arrive once more."""
    SLOW_SERVER = "slow server"
    """The server answers and returns packets late."""
    DEAF_BALANCER = "deaf balancer"
    """A balancer does not hear of the agent, and takes another owner for its entries."""
    IDLE_LIMIT = "idle limit"
    """The idle limit falls, and rises again ``lasts_s`` later."""
    POWER_LOSS = "power loss"
    """All agents and servers end, and start again ``lasts_s`` later."""


class FlowFault(msgspec.Struct, frozen=True):
    """One fault; ``target`` is the number of the agent whose instance it concerns.

    ``keeps_id`` says whether the server's next start has the same id, ``late_report_s`` how long
    after it the first report is sent.
    """

    at_s: float
    kind: FlowFaultKind
    target: int = 0
    lasts_s: float = 0.0
    keeps_id: bool = True
    late_report_s: float = 0.0

    def __str__(self) -> str:
        details = f"instance {self.target}, lasts {self.lasts_s:.3f}"
        if self.kind is FlowFaultKind.CRASH_SERVER:
            details += f", keeps id {self.keeps_id}, first report after {self.late_report_s:.3f}"
        return f"{self.at_s:.3f} {self.kind.value}: {details}"


class FlowHistory(msgspec.Struct, frozen=True):
    """Faults in the order of their begin; the seed decides delays and traffic too.

    With ``returns_packets``, servers return packets of flows that they don't hold, else they reset
    them. Callers wait for an answer for up to ``deadline_s``. The history goes on for
    ``recovery_s`` after the last fault.
    """

    seed: int
    faults: tuple[FlowFault, ...]
    returns_packets: bool = True
    deadline_s: float = 8.0
    recovery_s: float = RECOVERY_S

    @property
    def duration_s(self) -> float:
        """Time after which everything has recovered."""
        ends = [fault.at_s + fault.lasts_s for fault in self.faults]
        return max(ends, default=FIRST_FAULT_AT_S) + self.recovery_s

    def without(self, fault: FlowFault) -> FlowHistory:
        """Return the history without one fault."""
        faults = tuple(other for other in self.faults if other is not fault)
        return msgspec.structs.replace(self, faults=faults)


MAX_LASTS_S: dict[FlowFaultKind, float] = {
    FlowFaultKind.KILL_AGENT: 5.0,
    FlowFaultKind.FREEZE_AGENT: 6.0,
    FlowFaultKind.STOP_AGENT: 5.0,
    FlowFaultKind.ISOLATE_AGENT: 6.0,
    FlowFaultKind.CRASH_SERVER: 4.0,
    FlowFaultKind.LOSE_BOTH: 0.0,
    FlowFaultKind.DRAIN_SERVER: 3.0,
    FlowFaultKind.FAIL_REPORTS: 6.0,
    FlowFaultKind.LATE_REPORTS: 5.0,
    FlowFaultKind.REPEAT_REPORTS: 3.0,
    FlowFaultKind.SLOW_SERVER: 4.0,
    FlowFaultKind.DEAF_BALANCER: 5.0,
    FlowFaultKind.IDLE_LIMIT: 6.0,
    FlowFaultKind.POWER_LOSS: 4.0,
}
RARE_KINDS = (FlowFaultKind.LOSE_BOTH, FlowFaultKind.DRAIN_SERVER, FlowFaultKind.POWER_LOSS)
"""After a few of these, no flow is left that could be reset."""
RARE_SHARE = 0.15
SHORT_LASTS_SHARE = 0.2
SHORT_LASTS_S = 0.1
MAX_LATE_REPORT_S = 1.5


def draw_flow_history(seed: int, *, returns_packets: bool = True) -> FlowHistory:
    """Return the history of a seed: two to five kinds of faults, often close to each other."""
    random = Random(seed)
    kinds = random.sample(list(FlowFaultKind), random.randint(2, 5))
    targets = random.sample(range(AGENTS), random.randint(1, AGENTS))
    faults = []
    at_s = FIRST_FAULT_AT_S
    while at_s < LAST_FAULT_AT_S:
        kind = random.choice(kinds)
        at_s += random.choice([0.05, 0.5, MAX_GAP_S]) * random.random()
        if kind in RARE_KINDS and random.random() > RARE_SHARE:
            continue
        is_short = random.random() < SHORT_LASTS_SHARE
        max_lasts_s = SHORT_LASTS_S if is_short else MAX_LASTS_S[kind]
        faults.append(
            FlowFault(
                round(at_s, 3),
                kind,
                random.choice(targets),
                round(random.uniform(0.0, max_lasts_s), 3),
                random.random() < 0.5,
                round(random.choice([0.0, random.uniform(0.0, MAX_LATE_REPORT_S)]), 3),
            )
        )
    return FlowHistory(seed, tuple(faults), returns_packets)

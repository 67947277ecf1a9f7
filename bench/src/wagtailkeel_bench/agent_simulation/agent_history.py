"""Draws what happens to an agent, its backend server and the links between them and control."""

from __future__ import annotations

from enum import Enum
from random import Random

import msgspec

FIRST_FAULT_AT_S = 4.0
LAST_FAULT_AT_S = 40.0
RECOVERY_S = 14.0
"""The last fault has ended by then, and the server is up and heard."""
MAX_GAP_S = 2.5
MAX_CLOCK_STEP_S = 5.0


class AgentFaultKind(str, Enum):
    """What happens; ``lasts_s`` says for how long."""

    KILL_AGENT = "kill agent"
    FREEZE_AGENT = "freeze agent"
    """Datagrams and calls wait in the sockets of the agent."""
    CUT_CONTROL = "cut control"
    """Control and the agent don't reach each other."""
    CRASH_SERVER = "crash server"
    """The server ends and starts again; ``clock_step_s`` is how its clock was set meanwhile."""
    DRAIN_SERVER = "drain server"
    """The server says that it leaves; it ends ``lasts_s`` after the drain period."""
    CUT_SERVER = "cut server"
    """No packet reaches the server; its calls reach the agent late, each at its own time."""
    REPEAT_CALLS = "repeat calls"
    """Calls that the server made earlier arrive once more."""
    OUT_OF_SERVICE = "out of service"
    """An operator takes the data centre out of service, and back ``lasts_s`` later."""


class AgentFault(msgspec.Struct, frozen=True):
    """One fault; ``keeps_id`` says whether the server's next start has the same id.

    ``position`` (0 to 1) selects the first of the calls to repeat, the latest being 1.
    """

    at_s: float
    kind: AgentFaultKind
    lasts_s: float = 0.0
    clock_step_s: float = 0.0
    keeps_id: bool = True
    position: float = 1.0

    def __str__(self) -> str:
        details = f"lasts {self.lasts_s:.3f}"
        if self.kind is AgentFaultKind.CRASH_SERVER:
            details += f", clock {self.clock_step_s:+.3f}, keeps id {self.keeps_id}"
        if self.kind is AgentFaultKind.REPEAT_CALLS:
            details += f", position {self.position:.3f}"
        return f"{self.at_s:.3f} {self.kind.value}: {details}"


class AgentHistory(msgspec.Struct, frozen=True):
    """Faults in the order of their begin; the seed decides delays and the openings too."""

    seed: int
    faults: tuple[AgentFault, ...]

    @property
    def duration_s(self) -> float:
        """Time after which everything has recovered."""
        ends = [fault.at_s + fault.lasts_s for fault in self.faults]
        return max(ends, default=FIRST_FAULT_AT_S) + RECOVERY_S

    def without(self, fault: AgentFault) -> AgentHistory:
        """Return the history without one fault."""
        faults = tuple(other for other in self.faults if other is not fault)
        return msgspec.structs.replace(self, faults=faults)


MAX_LASTS_S: dict[AgentFaultKind, float] = {
    AgentFaultKind.KILL_AGENT: 3.0,
    AgentFaultKind.FREEZE_AGENT: 4.0,
    AgentFaultKind.CUT_CONTROL: 6.0,
    AgentFaultKind.CRASH_SERVER: 4.0,
    AgentFaultKind.DRAIN_SERVER: 15.0,
    AgentFaultKind.CUT_SERVER: 5.0,
    AgentFaultKind.REPEAT_CALLS: 3.0,
    AgentFaultKind.OUT_OF_SERVICE: 12.0,
}


def draw_agent_history(seed: int) -> AgentHistory:
    """Return the history of a seed: two to five kinds of faults, often close to each other."""
    random = Random(seed)
    kinds = random.sample(list(AgentFaultKind), random.randint(2, 5))
    faults = []
    at_s = FIRST_FAULT_AT_S
    while at_s < LAST_FAULT_AT_S:
        kind = random.choice(kinds)
        faults.append(
            AgentFault(
                round(at_s, 3),
                kind,
                round(random.uniform(0.0, MAX_LASTS_S[kind]), 3),
                random.choice([0.0, random.uniform(-MAX_CLOCK_STEP_S, MAX_CLOCK_STEP_S)]),
                random.random() < 0.5,
                random.random(),
            )
        )
        at_s += random.choice([0.05, 0.5, MAX_GAP_S]) * random.random()
    return AgentHistory(seed, tuple(faults))

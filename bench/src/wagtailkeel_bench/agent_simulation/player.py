"""Plays histories of an agent and its server, and leaves out what a failure does not need."""

from __future__ import annotations

import struct
from random import Random
from typing import TYPE_CHECKING

from wagtailkeel_bench.agent_simulation.agent_history import AgentFaultKind
from wagtailkeel_bench.agent_simulation.server_checks import ServerCheckError
from wagtailkeel_bench.agent_simulation.server_checks import ServerChecks
from wagtailkeel_bench.agent_simulation.simulated_agent import DATA_CENTRE
from wagtailkeel_bench.agent_simulation.simulated_agent import ROUTE_PORT
from wagtailkeel_bench.agent_simulation.simulated_agent import START_S
from wagtailkeel_bench.agent_simulation.simulated_agent import AgentProcess
from wagtailkeel_bench.agent_simulation.simulated_agent import SimulatedControl
from wagtailkeel_bench.agent_simulation.simulated_server import SimulatedServer
from wagtailkeel_bench.event_scheduler import EventScheduler
from wagtailkeel_bench.fault_shrinking import shrink_faults
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.packet_builder import build_tcp
from wagtailkeel_state.commands import SetDataCentreState
from wagtailkeel_state.enums import DataCentreState

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_bench.agent_simulation.agent_history import AgentFault
    from wagtailkeel_bench.agent_simulation.agent_history import AgentHistory
    from wagtailkeel_coordination.handshake import ServerReport

OPENING_INTERVAL_S = 0.02
PORTS = 200
"""Callers use a port again after some seconds, mostly while its last flow is still held."""
LATE_COPY_SHARE = 0.05
MAX_COPY_DELAY_S = 6.0
CHECK_INTERVAL_S = 0.5
REST_S = 16.0
"""Openings are expected again for some time before the end of a history."""
NOTICE_S = 0.1
CALLER = bytes((100, 64, 0, 1))
ROUTE = bytes((198, 18, 0, 1))

AGENT_FAULTS = (
    AgentFaultKind.KILL_AGENT,
    AgentFaultKind.FREEZE_AGENT,
    AgentFaultKind.CUT_CONTROL,
    AgentFaultKind.CUT_SERVER,
)
"""While one of these lasts, nobody expects the agent to learn or acknowledge anything."""
SERVER_DELAYS = (AgentFaultKind.FREEZE_AGENT, AgentFaultKind.CUT_SERVER)
CONTROL_DELAYS = (AgentFaultKind.FREEZE_AGENT, AgentFaultKind.CUT_CONTROL)


class _Player:
    """One agent, one server, control and the callers of a history."""

    def __init__(self, history: AgentHistory) -> None:
        self.scheduler = EventScheduler()
        self.checks = ServerChecks()
        self._seed = history.seed
        self._random = Random(f"{history.seed}/player")
        self._control = SimulatedControl()
        self._process: AgentProcess | None = None
        self._starts = 0
        self._openings = 0
        self._server = SimulatedServer(
            self.scheduler, self._random, self.checks, self._call_agent, self._on_server_packet
        )
        self._begin_by_kind: dict[AgentFaultKind, Callable[[AgentFault], None]] = {
            AgentFaultKind.KILL_AGENT: lambda fault: self._kill_agent(),
            AgentFaultKind.FREEZE_AGENT: lambda fault: self._freeze_agent(),
            AgentFaultKind.CUT_CONTROL: lambda fault: self._set_reachable(False),
            AgentFaultKind.CRASH_SERVER: lambda fault: self._server.crash(),
            AgentFaultKind.DRAIN_SERVER: lambda fault: self._server.drain(fault.lasts_s),
            AgentFaultKind.CUT_SERVER: self._cut_server,
            AgentFaultKind.REPEAT_CALLS: self._repeat_calls,
            AgentFaultKind.OUT_OF_SERVICE: lambda fault: self._set_in_service(False),
        }
        self._end_by_kind: dict[AgentFaultKind, Callable[[AgentFault], None]] = {
            AgentFaultKind.KILL_AGENT: lambda fault: self._start_agent(),
            AgentFaultKind.FREEZE_AGENT: lambda fault: self._thaw_agent(),
            AgentFaultKind.CUT_CONTROL: lambda fault: self._set_reachable(True),
            AgentFaultKind.CRASH_SERVER: lambda fault: self._server.begin(
                clock_step_s=fault.clock_step_s, keeps_id=fault.keeps_id
            ),
            AgentFaultKind.OUT_OF_SERVICE: lambda fault: self._set_in_service(True),
        }

    def start(self) -> None:
        """Start all processes and the callers."""
        self._start_agent()
        self._server.begin()
        self._open_forever()
        self._check_forever()

    def begin(self, fault: AgentFault) -> None:
        """Begin a fault, which ends by itself."""
        self._begin_by_kind[fault.kind](fault)
        self._record_disturbance(fault)
        self.scheduler.call_later(fault.lasts_s, lambda: self._end(fault))

    def _end(self, fault: AgentFault) -> None:
        end = self._end_by_kind.get(fault.kind)
        if end is not None:
            end(fault)

    def _record_disturbance(self, fault: AgentFault) -> None:
        end = self.scheduler.now + fault.lasts_s
        if fault.kind in AGENT_FAULTS:
            self.checks.disturbed_at = max(self.checks.disturbed_at, end)
        if fault.kind in SERVER_DELAYS:
            self.checks.delayed_at = max(self.checks.delayed_at, end)
        if fault.kind in CONTROL_DELAYS:
            self.checks.uninformed_at = max(self.checks.uninformed_at, end)

    def check_end(self) -> None:
        """Check that everything has recovered."""
        self._server.begin()
        self.scheduler.run_until(self.scheduler.now + REST_S)

    # The agent

    def _start_agent(self) -> None:
        if self._process is None:
            self.scheduler.call_later(START_S, self._run_agent)

    def _run_agent(self) -> None:
        if self._process is not None:
            return
        self._starts += 1
        seed = self._seed * 1_000 + self._starts
        self._process = AgentProcess(self.scheduler, self._control, seed, self._server.on_packet)

    def _kill_agent(self) -> None:
        if self._process is not None:
            self._process.end()
            self._process = None

    def _freeze_agent(self) -> None:
        if self._process is not None:
            self._process.freeze()

    def _thaw_agent(self) -> None:
        if self._process is not None:
            self._process.thaw()

    def _call_agent(self, report: ServerReport, respond: Callable[[bool], None]) -> None:
        if self._process is None:
            respond(False)
        else:
            self._process.on_report(report, respond)

    def _on_server_packet(self, packet: bytes) -> None:
        if self._process is not None:
            self._process.on_server_packet(packet)

    # Control and the links

    def _set_reachable(self, is_reachable: bool) -> None:
        self._control.is_reachable = is_reachable
        self._notify_agent()

    def _set_in_service(self, is_in_service: bool) -> None:
        state = DataCentreState.IN_SERVICE if is_in_service else DataCentreState.OUT_OF_SERVICE
        self._control.propose(SetDataCentreState(name=DATA_CENTRE, state=state, may_be_last=True))
        self.checks.out_of_service_at = float("inf") if is_in_service else self.scheduler.now
        self.checks.last_opening_at = self.scheduler.now
        self._notify_agent()

    def _notify_agent(self) -> None:
        def notify() -> None:
            if self._process is not None:
                self._process.on_change()

        self.scheduler.call_later(NOTICE_S, notify)

    def _cut_server(self, fault: AgentFault) -> None:
        self._server.cut_until = max(self._server.cut_until, self.scheduler.now + fault.lasts_s)

    def _repeat_calls(self, fault: AgentFault) -> None:
        self._server.repeat(fault.position, self.scheduler.now + fault.lasts_s)

    # Callers

    def _open_forever(self) -> None:
        self._openings += 1
        ports = struct.pack("!HHB", 1_024 + self._random.randrange(PORTS), ROUTE_PORT, ip.TCP)
        packet = build_tcp(CALLER + ROUTE + ports, self._openings, 0, ip.SYN)
        self._open(packet)
        if self._random.random() < LATE_COPY_SHARE:
            delay_s = self._random.uniform(0.0, MAX_COPY_DELAY_S)
            self.scheduler.call_later(delay_s, lambda: self._open(packet))
        self.scheduler.call_later(OPENING_INTERVAL_S, self._open_forever)

    def _open(self, packet: bytes) -> None:
        if self._process is not None:
            self._process.on_opening(packet)

    def _check_forever(self) -> None:
        self.checks.check_progress(self._server.start, self.scheduler.now)
        self.scheduler.call_later(CHECK_INTERVAL_S, self._check_forever)


def play_agent_history(history: AgentHistory) -> None:
    """Play a history; raise ServerCheckError, whose message begins with the virtual time."""
    player = _Player(history)
    try:
        player.start()
        for fault in history.faults:
            player.scheduler.run_until(fault.at_s)
            player.begin(fault)
        player.scheduler.run_until(history.duration_s)
        player.check_end()
    except ServerCheckError as error:
        raise ServerCheckError(f"{player.scheduler.now:.3f} s: {error}") from error


def is_broken(history: AgentHistory) -> bool:
    """Return whether a history fails a check."""
    try:
        play_agent_history(history)
    except ServerCheckError:
        return True
    return False


def shrink_agent_history(history: AgentHistory) -> AgentHistory:
    """Leave out faults one by one while the history still fails a check."""
    return shrink_faults(history, is_broken)

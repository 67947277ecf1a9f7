"""Plays histories of agents, servers, balancers and callers, and shrinks those that fail."""

from __future__ import annotations

from itertools import count
from random import Random
from typing import TYPE_CHECKING

from wagtailkeel_bench.agent_simulation.simulated_agent import START_S
from wagtailkeel_bench.event_scheduler import EventScheduler
from wagtailkeel_bench.fault_shrinking import shrink_faults
from wagtailkeel_bench.flow_simulation.flow_agent import FlowAgentProcess
from wagtailkeel_bench.flow_simulation.flow_balancer import FlowBalancer
from wagtailkeel_bench.flow_simulation.flow_callers import FlowCallers
from wagtailkeel_bench.flow_simulation.flow_checks import FlowCheckError
from wagtailkeel_bench.flow_simulation.flow_checks import FlowChecks
from wagtailkeel_bench.flow_simulation.flow_control import IDLE_LIMIT_S
from wagtailkeel_bench.flow_simulation.flow_control import FlowControl
from wagtailkeel_bench.flow_simulation.flow_history import AGENTS
from wagtailkeel_bench.flow_simulation.flow_history import FlowFaultKind
from wagtailkeel_bench.flow_simulation.flow_network import CALLERS
from wagtailkeel_bench.flow_simulation.flow_network import FlowNetwork
from wagtailkeel_bench.flow_simulation.flow_server import FlowServer
from wagtailkeel_bench.flow_simulation.returning_format import ReturningPacketFormat
from wagtailkeel_protocol.packet_format import IpPacketFormat

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_bench.flow_simulation.flow_checks import HoldingStart
    from wagtailkeel_bench.flow_simulation.flow_history import FlowFault
    from wagtailkeel_bench.flow_simulation.flow_history import FlowHistory
    from wagtailkeel_bench.flow_simulation.flow_outcomes import FlowOutcomes
    from wagtailkeel_coordination.handshake import ServerReport

BALANCERS = 2
PORT = 7_001
OTHER_BALANCER_SHARE = 0.1
"""The share of packets that don't take the balancer of their flow."""
MIN_AGENTS = 2
SERVERS_START_AT_S = 1.0
CALLERS_START_AT_S = 2.0
LOW_IDLE_LIMIT_S = 1.0


class _Node:
    """An agent and its server; the process of the agent is None while it does not run."""

    def __init__(self, player: _Player, number: int) -> None:
        self.address = (f"10.0.0.{number + 1}", PORT)
        self.process: FlowAgentProcess | None = None
        self.may_start = True
        self._player = player
        self._number = number
        self._starts = 0
        self.server = FlowServer(
            f"server-{number}",
            player.scheduler,
            player.server_random,
            player.checks,
            player.start_numbers,
            self._call_agent,
            self._on_server_packet,
            self._on_server_left,
            returns_packets=player.history.returns_packets,
        )

    def start_agent(self) -> None:
        """Start the agent, unless it runs."""
        self._player.scheduler.call_later(START_S, self._run_agent)

    def _run_agent(self) -> None:
        is_running = self.process is not None and self.process.is_running
        if is_running or not self.may_start:
            return
        player = self._player
        self._starts += 1
        self.process = FlowAgentProcess(
            player.scheduler,
            player.control,
            player.history.seed * 1_000_000 + self._number * 1_000 + self._starts,
            self.server.on_packet,
            player.network,
            lambda: self.server.start is not None,
            player.callers.on_packet,
            [balancer.address for balancer in player.balancers],
            agent_id=f"agent-{self._number}",
            address=self.address,
            packet_format=player.packet_format,
        )

    def kill_agent(self) -> None:
        """End the agent's process at once."""
        if self.process is not None:
            self.process.end()

    def restart_agent(self) -> None:
        """Start another process; one that has not ended in time is killed."""
        self.kill_agent()
        self.start_agent()

    def stop_agent(self) -> None:
        """End the agent's process as planned."""
        if self.process is not None:
            self.process.stop()

    def end_server(self) -> None:
        """End the server's process; its flows are lost."""
        holding = self.server.holding
        self.server.crash()
        if holding is None:
            return
        for flow in holding.flows_by_key.values():
            if flow.is_open and not flow.has_ended:
                self._player.callers.on_lost(flow.key, flow.initial_sequence)

    def _call_agent(self, report: ServerReport, respond: Callable[[bool], None]) -> None:
        if self.process is None or not self.process.is_running:
            respond(False)
        else:
            self.process.on_report(report, respond)

    def _on_server_packet(self, packet: bytes) -> None:
        if self.process is not None:
            self.process.on_server_packet(packet)

    def _on_server_left(self) -> None:
        self.may_start = False
        self.stop_agent()


class _Player:
    """All processes of a history."""

    def __init__(self, history: FlowHistory) -> None:
        self.history = history
        self.scheduler = EventScheduler()
        self.random = Random(f"{history.seed}/player")
        self.server_random = Random(f"{history.seed}/servers")
        self.start_numbers = count(1)
        self.checks = FlowChecks(self._find_running)
        self.checks.idle_limit_s = IDLE_LIMIT_S
        self.control = FlowControl(self.scheduler)
        self.network = FlowNetwork(self.scheduler, history.seed)
        self.packet_format: IpPacketFormat = (
            ReturningPacketFormat() if history.returns_packets else IpPacketFormat()
        )
        self.callers = FlowCallers(
            self.scheduler,
            Random(f"{history.seed}/callers"),
            self.checks,
            self._send_to_balancer,
            history.deadline_s,
        )
        self.balancers = [
            FlowBalancer(
                (f"10.0.9.{number + 1}", PORT),
                self.scheduler,
                self.control,
                self.network,
                Random(f"{history.seed}/balancer {number}"),
                self.packet_format,
                self.callers.on_packet,
            )
            for number in range(BALANCERS)
        ]
        self._nodes = [_Node(self, number) for number in range(AGENTS)]
        self._low_idle_limits = 0
        self._begin_by_kind: dict[FlowFaultKind, Callable[[FlowFault, _Node], None]] = {
            FlowFaultKind.KILL_AGENT: lambda fault, node: node.kill_agent(),
            FlowFaultKind.FREEZE_AGENT: lambda fault, node: self._freeze(node, fault),
            FlowFaultKind.STOP_AGENT: lambda fault, node: node.stop_agent(),
            FlowFaultKind.ISOLATE_AGENT: self._isolate,
            FlowFaultKind.CRASH_SERVER: lambda fault, node: node.end_server(),
            FlowFaultKind.LOSE_BOTH: lambda fault, node: self._lose(node),
            FlowFaultKind.DRAIN_SERVER: self._drain,
            FlowFaultKind.FAIL_REPORTS: self._fail_reports,
            FlowFaultKind.LATE_REPORTS: self._delay_reports,
            FlowFaultKind.REPEAT_REPORTS: self._repeat_reports,
            FlowFaultKind.SLOW_SERVER: self._slow_server,
            FlowFaultKind.DEAF_BALANCER: self._deafen_balancer,
            FlowFaultKind.IDLE_LIMIT: lambda fault, node: self._set_low_idle_limit(1),
            FlowFaultKind.POWER_LOSS: lambda fault, node: self._lose_power(),
        }
        self._end_by_kind: dict[FlowFaultKind, Callable[[FlowFault, _Node], None]] = {
            FlowFaultKind.KILL_AGENT: lambda fault, node: node.start_agent(),
            FlowFaultKind.STOP_AGENT: lambda fault, node: node.restart_agent(),
            FlowFaultKind.CRASH_SERVER: self._start_server,
            FlowFaultKind.IDLE_LIMIT: lambda fault, node: self._set_low_idle_limit(-1),
            FlowFaultKind.POWER_LOSS: lambda fault, node: self._return_power(fault),
        }

    def start(self) -> None:
        """Start all processes and the callers; agents find that no server runs yet."""
        for node in self._nodes:
            node.start_agent()
        self.scheduler.run_until(SERVERS_START_AT_S)
        for node in self._nodes:
            node.server.begin()
        self.scheduler.run_until(CALLERS_START_AT_S)
        self.callers.open_forever()

    def begin(self, fault: FlowFault) -> None:
        """Begin a fault, which ends by itself."""
        node = self._nodes[fault.target]
        self._begin_by_kind[fault.kind](fault, node)
        end = self._end_by_kind.get(fault.kind)
        if end is not None:
            self.scheduler.call_later(fault.lasts_s, lambda: end(fault, node))

    def _find_running(self) -> list[HoldingStart]:
        starts = [node.server.holding for node in self._nodes]
        return [start for start in starts if start is not None]

    def _send_to_balancer(self, key: bytes, packet: bytes) -> None:
        index = sum(key) % BALANCERS
        if self.random.random() < OTHER_BALANCER_SHARE:
            index = self.random.randrange(BALANCERS)
        balancer = self.balancers[index]
        delay_s = self.network.draw_delay_s(CALLERS, balancer.address)
        self.scheduler.call_later(delay_s, lambda: balancer.on_packet(packet))

    # Faults

    def _freeze(self, node: _Node, fault: FlowFault) -> None:
        process = node.process
        if process is not None:
            process.freeze()
            self.scheduler.call_later(
                fault.lasts_s, lambda: process.thaw() if process.is_running else None
            )

    def _isolate(self, fault: FlowFault, node: _Node) -> None:
        until = self.network.isolated_until_by_address
        end = self.scheduler.now + fault.lasts_s
        until[node.address] = max(end, until.get(node.address, end))

    def _start_server(self, fault: FlowFault, node: _Node) -> None:
        if node.may_start:
            node.server.first_report_after_s = fault.late_report_s
            node.server.begin(keeps_id=fault.keeps_id)

    def _has_spare_agents(self) -> bool:
        return sum(node.may_start for node in self._nodes) > MIN_AGENTS

    def _lose(self, node: _Node) -> None:
        if self._has_spare_agents():
            node.may_start = False
            node.kill_agent()
            node.end_server()

    def _drain(self, fault: FlowFault, node: _Node) -> None:
        if self._has_spare_agents():
            node.server.drain(fault.lasts_s)

    def _fail_reports(self, fault: FlowFault, node: _Node) -> None:
        node.server.reports_fail_until = self.scheduler.now + fault.lasts_s

    def _delay_reports(self, fault: FlowFault, node: _Node) -> None:
        node.server.cut_until = self.scheduler.now + fault.lasts_s

    def _repeat_reports(self, fault: FlowFault, node: _Node) -> None:
        node.server.repeat(0.0, self.scheduler.now + fault.lasts_s)

    def _slow_server(self, fault: FlowFault, node: _Node) -> None:
        node.server.slow_until = self.scheduler.now + fault.lasts_s

    def _deafen_balancer(self, fault: FlowFault, node: _Node) -> None:
        balancer = self.random.choice(self.balancers)
        balancer.deaf_until_by_agent[node.address] = self.scheduler.now + fault.lasts_s

    def _set_low_idle_limit(self, change: int) -> None:
        self._low_idle_limits += change
        limit_s = LOW_IDLE_LIMIT_S if self._low_idle_limits else IDLE_LIMIT_S
        self.checks.idle_limit_s = limit_s
        self.control.set_idle_limit(limit_s)

    def _lose_power(self) -> None:
        for node in self._nodes:
            node.kill_agent()
            node.end_server()

    def _return_power(self, fault: FlowFault) -> None:
        for node in self._nodes:
            node.start_agent()
            self._start_server(fault, node)


def play_flow_history(history: FlowHistory, *, stops: bool = True) -> FlowOutcomes:
    """Play a history and return what callers got.

    Raise FlowCheckError, whose message begins with the virtual time, at a wrong reset; without
    ``stops``, count it and go on.
    """
    player = _Player(history)
    player.checks.stops = stops
    try:
        player.start()
        for fault in history.faults:
            player.scheduler.run_until(fault.at_s)
            player.begin(fault)
        player.scheduler.run_until(history.duration_s)
    except FlowCheckError as error:
        raise FlowCheckError(f"{player.scheduler.now:.3f} s: {error}") from error
    player.callers.outcomes.stray_spans = player.checks.stray_spans
    player.callers.outcomes.wrong_resets = player.checks.wrong_resets
    return player.callers.outcomes


def is_broken(history: FlowHistory) -> bool:
    """Return whether a history fails a check."""
    try:
        play_flow_history(history)
    except FlowCheckError:
        return True
    return False


def shrink_flow_history(history: FlowHistory) -> FlowHistory:
    """Leave out faults one by one while the history still fails a check."""
    return shrink_faults(history, is_broken)

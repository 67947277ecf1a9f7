"""All control instances of one history, their links, and the operator."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING

from wagtailkeel_bench.event_scheduler import EventScheduler
from wagtailkeel_bench.simulation.control_process import ControlProcess
from wagtailkeel_bench.simulation.history import REJOIN_DELAY_S
from wagtailkeel_bench.simulation.history import VOTERS
from wagtailkeel_bench.simulation.instance import Instance
from wagtailkeel_bench.simulation.invariants import ACK_TIMEOUT_S
from wagtailkeel_bench.simulation.invariants import CALM_S
from wagtailkeel_bench.simulation.invariants import InvariantError
from wagtailkeel_bench.simulation.invariants import Invariants
from wagtailkeel_bench.simulation.majority_check import MajorityCheck
from wagtailkeel_coordination.raft import StorageFaultError
from wagtailkeel_coordination.raft.formation import find_initial_voters
from wagtailkeel_protocol.raft_messages import FormationReply
from wagtailkeel_state.commands import DefineDataCentre

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from pathlib import Path

    from wagtailkeel_bench.simulation.history import History
    from wagtailkeel_state.commands import AnyCommand

FOUNDERS = 3
COMMAND_INTERVAL_S = 0.2
READ_INTERVAL_S = 0.3
READ_TIMEOUT_S = 0.9
READ_POLL_S = 0.01
MAJORITY_CHECK_INTERVAL_S = 0.1
SLOW_LINK_SHARES = (0.0, 0.3, 0.6)
SLOW_MAX_DELAY_S = 0.03
DUPLICATE_SHARE = 0.01
LATE_SHARE = 0.01
LATE_BY_S = 0.3
"""About one retransmission of the transport."""
UNRULY_LATE_BY_S = 3.0
COMMAND_NAMES = 20
START_RETRY_S = 0.2


class Cluster:
    """Delivers messages with random delays, and checks the invariants throughout."""

    voter_limit = VOTERS

    def __init__(self, history: History, folder: Path) -> None:
        self.random = Random(history.seed)
        self._folder = folder
        self._may_suspend = history.has_unruly_links or history.may_suspend
        self._late_by_s = UNRULY_LATE_BY_S if history.has_unruly_links else LATE_BY_S
        self.scheduler = EventScheduler()
        self.invariants = Invariants()
        self._majority_check = MajorityCheck()
        self._partitioned_names: frozenset[str] = frozenset()
        self.instances_by_name: dict[str, Instance] = {}
        self._processes_by_name: dict[str, ControlProcess] = {}
        self.disturbed_at = 0.0
        self._slow_link_share = self.random.choice(SLOW_LINK_SHARES)
        self._pending_command = ""
        self._command_sent_at = 0.0
        self._commands = 0
        for number in range(1, VOTERS + 1):
            self.start(f"c{number}")
        self._form()
        self.scheduler.call_later(1.0, self._send_command)
        self.scheduler.call_later(1.0, self._read)
        self.scheduler.call_later(1.0, self._check_majority)

    # Instances

    def _form(self) -> None:
        """Form the cluster; the founders find out about each other as the product does."""
        founders = [f"c{number}" for number in range(1, FOUNDERS + 1)]
        identities_by_id = {}
        for name in founders:
            identities_by_id[name] = self._processes_by_name[name].node.identity
        for name in founders:
            process = self._processes_by_name[name]
            replies = [
                FormationReply(other, identity)
                for other, identity in identities_by_id.items()
                if other != name
            ]
            voters = find_initial_voters(name, process.node.identity, founders, replies)
            assert voters is not None, "all founders have replied"
            process.node.form(voters)

    def running_process(self, name: str) -> ControlProcess | None:
        """Return the process of an instance while one runs."""
        process = self._processes_by_name.get(name)
        return process if process is not None and process.is_running else None

    def start(self, name: str) -> None:
        """Start the process of an instance, unless the instance has left or runs already.

        A process that can't read its disk ends and starts again.
        """
        instance = self.instances_by_name.get(name)
        if instance is None:
            instance = self.instances_by_name[name] = Instance(name, self._folder)
            if self.random.random() < self._slow_link_share:
                instance.max_delay_s = SLOW_MAX_DELAY_S
        if instance.has_left or self.running_process(name) is not None:
            return
        instance.restored_at = self.scheduler.now
        try:
            self._processes_by_name[name] = ControlProcess(self, instance)
        except StorageFaultError:
            self.scheduler.call_later(START_RETRY_S, partial(self.start, name))

    def kill(self, name: str) -> None:
        """End the process of an instance at once, maybe during a write."""
        process = self.running_process(name)
        if process is not None:
            process.end()
            process.instance.disk.tear(self.random)

    def close(self) -> None:
        """End all processes."""
        for name in self.instances_by_name:
            self.kill(name)

    def other_names(self, name: str) -> list[str]:
        """Return the names of all other instances."""
        return [other for other in self.instances_by_name if other != name]

    def thaw(self, name: str) -> None:
        """Let a suspended instance go on with the messages that have arrived meanwhile."""
        instance = self.instances_by_name[name]
        instance.is_frozen = False
        held_calls, instance.held_calls = instance.held_calls, []
        for call in held_calls:
            call()

    # Partitions

    def partition(self, names: Collection[str]) -> None:
        """Let no message pass between these instances and the others, until the next call."""
        self._partitioned_names = frozenset(names)

    def _is_partitioned(self, sender: str, receiver: str) -> bool:
        return (sender in self._partitioned_names) != (receiver in self._partitioned_names)

    def _find_majority(self) -> set[str]:
        """Return the instances that count and reach each other, if they are most of all."""
        instances = [i for i in self.instances_by_name.values() if not i.has_left]
        names = {instance.name for instance in instances if self._counts(instance)}
        for side in (names & self._partitioned_names, names - self._partitioned_names):
            if 2 * len(side) > len(instances):
                return side
        return set()

    def _counts(self, instance: Instance) -> bool:
        if instance.has_fault or self.running_process(instance.name) is None:
            return False
        return self.scheduler.now - instance.restored_at >= REJOIN_DELAY_S

    def _check_majority(self) -> None:
        self.scheduler.call_later(MAJORITY_CHECK_INTERVAL_S, self._check_majority)
        now, majority = self.scheduler.now, self._find_majority()
        if self._partitioned_names and not majority:
            self.disturbed_at = now  # Neither side may go on.
        if now - self.disturbed_at >= CALM_S and not self._may_suspend:
            processes = [self._processes_by_name[name] for name in majority]
            self._majority_check.check_majority(processes, now)

    # Messages

    def deliver(
        self, sender: str, receiver: str, on_arrival: Callable[[ControlProcess], None]
    ) -> None:
        """Call ``on_arrival`` with the process that runs at the receiver when a message arrives."""
        source, instance = self.instances_by_name[sender], self.instances_by_name.get(receiver)
        if source.drops_outbound or instance is None or self._is_partitioned(sender, receiver):
            return
        addressed = self._processes_by_name.get(receiver)

        def arrive() -> None:
            process = self._processes_by_name.get(receiver)
            if instance.drops_inbound or process is None or process is not addressed:
                return
            if self._is_partitioned(sender, receiver):
                return
            if instance.is_frozen:
                instance.held_calls.append(arrive)
            elif process.is_running:
                on_arrival(process)

        max_delay_s = max(source.max_delay_s, instance.max_delay_s)
        delay_s = max_delay_s * self.random.uniform(0.1, 1.0)
        if self.random.random() < LATE_SHARE:
            delay_s += self.random.uniform(0.0, self._late_by_s)
        self.scheduler.call_later(delay_s, arrive)
        if self.random.random() < DUPLICATE_SHARE:
            self.scheduler.call_later(delay_s + self.random.uniform(0.0, 1.0), arrive)

    # The operator

    @staticmethod
    def build_command(command_id: str) -> AnyCommand:
        """Return a command that the state accepts any number of times."""
        number = int(command_id.rpartition("-")[2]) % COMMAND_NAMES
        return DefineDataCentre(name=f"dc-{number}", region=command_id)

    def _leaders(self) -> list[ControlProcess]:
        processes = [self._processes_by_name.get(name) for name in self.instances_by_name]
        return [p for p in processes if p is not None and p.is_awake and p.node.is_leader]

    def _send_command(self) -> None:
        """Send the next command, or the last again; check that it was not pending for too long."""
        self.scheduler.call_later(COMMAND_INTERVAL_S, self._send_command)
        if not self._pending_command:
            self._commands += 1
            self._pending_command = f"order-{self._commands}"
            self._command_sent_at = self.scheduler.now
        due_at = max(self._command_sent_at, self.disturbed_at + CALM_S) + ACK_TIMEOUT_S
        if self.scheduler.now > due_at and not self._may_suspend:
            raise InvariantError(f"{self._pending_command} is not acknowledged in time")
        leaders = self._leaders()
        if leaders:
            self.random.choice(leaders).propose(self._pending_command)

    def on_acknowledged(self, name: str, command_id: str) -> None:
        """Record that an instance told the operator that a command is in force."""
        self.invariants.acknowledged.add(command_id)
        majority = [self._processes_by_name[other] for other in self._find_majority()]
        if not any(self._is_partitioned(name, process.instance.name) for process in majority):
            majority = []
        self._majority_check.on_acknowledged(name, command_id, self.scheduler.now, majority)
        if command_id == self._pending_command:
            self._pending_command = ""

    def _read(self) -> None:
        """Start a read at some leader: it must show all that was acknowledged before."""
        self.scheduler.call_later(READ_INTERVAL_S * self.random.random(), self._read)
        leaders = self._leaders()
        if not leaders:
            return
        process = self.random.choice(leaders)
        requested_at, expected = self.scheduler.now, set(self.invariants.acknowledged)

        def poll() -> None:
            if not process.is_awake or self.scheduler.now - requested_at > READ_TIMEOUT_S:
                return
            if process.node.is_read_confirmed(requested_at, self.scheduler.now):
                self.invariants.check_acknowledged(process.node, expected)
            elif process.node.is_leader:
                self.scheduler.call_later(READ_POLL_S, poll)

        poll()

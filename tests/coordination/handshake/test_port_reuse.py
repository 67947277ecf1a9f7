from __future__ import annotations

import unittest
from enum import Enum
from enum import auto
from random import Random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import DESK_ENDPOINT
from tests.coordination.handshake.fake_network import FakeNetwork
from wagtailkeel_coordination.handshake.held_flows import HeldFlow
from wagtailkeel_coordination.handshake.repeated_opening import RETRANSMISSION_TIMEOUT_S
from wagtailkeel_coordination.handshake.repeated_opening import RepeatedOpening
from wagtailkeel_protocol import packet_format as packet_flags
from wagtailkeel_protocol.packet_format import PacketHeader

CALLER = "caller"
KEY = CALLER.encode() + DESK_ENDPOINT
FIRST_SEQUENCE = 7
SECOND_SEQUENCE = 8
SHORTEST_DRAIN_PERIOD_S = 3.0


class EarlierFlow(Enum):
    """What became of the flow whose port the caller uses again."""

    UNANSWERED = auto()
    ABANDONED = auto()
    CLOSED_BY_CALLER = auto()
    CLOSED_BY_SERVER = auto()
    CLOSED_BY_BOTH = auto()


class PortReuseTest(unittest.TestCase):
    """A caller uses the port of a flow that has ended again, for a new flow."""

    def setUp(self) -> None:
        self.network = FakeNetwork([DESK] * 2)
        self.server = self.network.open("caller")
        self.network.request("caller", self.server)
        nodes = self.network.nodes.values()
        self.holder = next(n for n in nodes if n.server.name == self.server)
        self.other = next(n for n in nodes if n is not self.holder)
        self.network.close("caller", self.server)
        self.holder.close_flow(b"caller" + DESK_ENDPOINT)
        self.network.run()

    def test_the_new_flow_does_not_go_to_a_server_that_drains(self) -> None:
        self.holder.report(is_draining=True)
        for owner in (self.holder, self.other):
            with self.subTest(owner=owner.address):
                self.network.balancer.owners.update([owner.address])
                self.assertEqual(self.network.open("caller"), self.other.server.name)

    def test_packets_of_the_new_flow_go_to_its_server(self) -> None:
        self.holder.report(is_draining=True)
        server = self.network.open("caller")
        for _ in range(2):
            self.assertEqual(self.network.request("caller", server), server)


class DrainingServerTest(unittest.TestCase):
    """Openings reached a server that drained, as packets of a flow that its agent held still."""

    def setUp(self) -> None:
        self.network = FakeNetwork([DESK] * 2)

    def open_earlier_flow(self, state: EarlierFlow) -> None:
        """Open a flow and bring it to a state; its server then drains."""
        server = self.network.open(CALLER, sequence=FIRST_SEQUENCE)
        nodes = self.network.nodes.values()
        self.holder = next(n for n in nodes if n.server.name == server)
        self.other = next(n for n in nodes if n is not self.holder)
        if state is not EarlierFlow.UNANSWERED:
            self.network.request(CALLER, server)
        if state in (EarlierFlow.CLOSED_BY_CALLER, EarlierFlow.CLOSED_BY_BOTH):
            self.network.close(CALLER, server)
        if state in (EarlierFlow.CLOSED_BY_SERVER, EarlierFlow.CLOSED_BY_BOTH):
            self.holder.close_flow(KEY)
        self.network.run()
        self.holder.report(is_draining=True)

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.5)):
            self.network.pass_time(0.5)

    def test_a_new_opening_reaches_no_server_that_drains(self) -> None:
        for state in EarlierFlow:
            for passed_s in (0.0, 1.0, 6.0):
                for owner_is_holder in (False, True):
                    with self.subTest(state, passed_s=passed_s, owner_is_holder=owner_is_holder):
                        self.setUp()
                        self.open_earlier_flow(state)
                        self.pass_time(passed_s)
                        owner = self.holder if owner_is_holder else self.other
                        self.network.balancer.owners.update([owner.address])
                        openings = len(self.holder.server.openings)
                        server = self.network.open(CALLER, sequence=SECOND_SEQUENCE)
                        self.assertEqual(len(self.holder.server.openings), openings)
                        self.assertEqual(server, self.other.server.name)
                        self.assertEqual(self.network.request(CALLER, server), server)

    def test_a_late_copy_of_an_opening_reaches_no_server_that_drains(self) -> None:
        for state in EarlierFlow:
            with self.subTest(state):
                self.setUp()
                self.open_earlier_flow(state)
                self.pass_time(SHORTEST_DRAIN_PERIOD_S)
                openings = len(self.holder.server.openings)
                self.network.open(CALLER, attempt=2, sequence=FIRST_SEQUENCE)
                self.assertEqual(len(self.holder.server.openings), openings)

    def test_a_late_copy_of_an_opening_does_not_move_its_flow(self) -> None:
        self.open_earlier_flow(EarlierFlow.ABANDONED)
        self.pass_time(SHORTEST_DRAIN_PERIOD_S)
        server = self.holder.server.name
        self.network.open(CALLER, attempt=2, sequence=FIRST_SEQUENCE)
        for _ in range(2):
            self.assertEqual(self.network.request(CALLER, server), server)

    def test_a_copy_of_an_opening_that_was_admitted_reaches_its_server(self) -> None:
        self.open_earlier_flow(EarlierFlow.UNANSWERED)
        self.network.pass_time(0.6)
        server = self.network.open(CALLER, attempt=2, sequence=FIRST_SEQUENCE)
        self.assertEqual(server, self.holder.server.name)


class RejectedOpeningTest(unittest.TestCase):
    """A new opening was refused by the rejections of an earlier one from the same port."""

    def test_a_new_opening_may_go_to_a_server_that_rejected_the_earlier_one(self) -> None:
        network = FakeNetwork([DESK] * 2)
        first, second = network.nodes.values()
        network.balancer.owners.update([first.address])
        first.server.is_full = True
        self.assertEqual(network.open(CALLER, sequence=FIRST_SEQUENCE), second.server.name)
        first.server.is_full = False
        second.report(is_draining=True)
        network.pass_time(0.5)
        self.assertEqual(network.open(CALLER, sequence=SECOND_SEQUENCE), first.server.name)


class UnfoundedRefusalTest(unittest.TestCase):
    """An owner refused a new opening by its record of an earlier one from the same port."""

    def test_no_refusal_of_an_opening_whose_first_transmission_went_to_another_owner(self) -> None:
        network = FakeNetwork([DESK] * 2)
        first, second = network.nodes.values()
        network.balancer.owners.update([first.address])
        network.open(CALLER, sequence=FIRST_SEQUENCE)
        network.balancer.owners.update([second.address])
        self.assertNotEqual(network.open(CALLER, sequence=SECOND_SEQUENCE), "")
        for node in network.nodes.values():
            node.report(is_draining=True)
            node.router.held.on_server_ended()
        network.balancer.owners.update([first.address])
        network.open(CALLER, attempt=1, sequence=SECOND_SEQUENCE)
        self.assertEqual(network.resets, 0)


class RandomPortReuseTest(unittest.TestCase):
    """Agents restart, servers drain, owners change: no draining server gets a new opening."""

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_openings_at_servers_that_drain(self, seed: int) -> None:
        random = Random(seed)
        network = FakeNetwork([DESK] * 4)
        draining: set[str] = set()
        for sequence in range(1, 60):
            self._change(network, random, draining)
            before = {n.server.name: len(n.server.openings) for n in network.nodes.values()}
            name = f"caller-{random.randrange(8)}"
            server = network.open(name, sequence=sequence)
            after = {n.server.name: len(n.server.openings) for n in network.nodes.values()}
            self.assertEqual([s for s in draining if after[s] > before[s]], [])
            if server and random.random() < 0.7:
                network.request(name, server)
            if server and random.random() < 0.3:
                network.close(name, server)

    def _change(self, network: FakeNetwork, random: Random, draining: set[str]) -> None:
        node = random.choice(list(network.nodes.values()))
        choice = random.randrange(3)
        if choice == 0 and node.server.name not in draining:
            node.restart()
            node.router.apply_routing(network.balancer_document)
        elif choice == 1:
            network.balancer.owners.update(random.sample(list(network.nodes), 2))
        elif len(draining) < 3:
            node.report(is_draining=True)
            draining.add(node.server.name)
        network.pass_time(random.choice([0.01, 0.3, 1.5]))
        network.share_state()


class RepeatedOpeningTest(unittest.TestCase):
    def test_classification(self) -> None:
        recent_s, late_s = RETRANSMISSION_TIMEOUT_S, RETRANSMISSION_TIMEOUT_S + 0.1
        retransmission = RepeatedOpening.RETRANSMISSION
        outdated, new = RepeatedOpening.OUTDATED, RepeatedOpening.NEW
        # The sequence number of the held flow, its state and age, that of the opening.
        table = [
            (FIRST_SEQUENCE, False, recent_s, FIRST_SEQUENCE, retransmission),
            (FIRST_SEQUENCE, True, recent_s, FIRST_SEQUENCE, retransmission),
            (FIRST_SEQUENCE, False, late_s, FIRST_SEQUENCE, new),
            (FIRST_SEQUENCE, True, late_s, FIRST_SEQUENCE, outdated),
            (FIRST_SEQUENCE, True, recent_s, SECOND_SEQUENCE, new),
            (FIRST_SEQUENCE, False, late_s, SECOND_SEQUENCE, new),
            (None, True, recent_s, FIRST_SEQUENCE, outdated),
            (None, True, late_s, FIRST_SEQUENCE, new),
        ]
        for held_sequence, is_established, age_s, sequence, expected in table:
            for closed_at in (0.0, 100.0):
                with self.subTest(held_sequence, age_s=age_s, sequence=sequence, at=closed_at):
                    flow = HeldFlow(KEY, ("10.0.0.1", 1), 100.0, 100.0, held_sequence)
                    flow.is_established = is_established
                    flow.closed_at = closed_at
                    header = PacketHeader(KEY, packet_flags.OPENING, 0, 0, sequence)
                    found = RepeatedOpening.classify(flow, header, 100.0 + age_s)
                    self.assertIs(found, new if closed_at else expected)


class DataCentreOutOfServiceTest(unittest.TestCase):
    """The same openings reached servers of a data centre that was out of service."""

    def test_no_opening_on_a_held_port_reaches_its_server(self) -> None:
        # The sequence number and the attempt of the opening, and when it comes after the earlier.
        table = [
            ("new", SECOND_SEQUENCE, 0, 0.5),
            ("late copy", FIRST_SEQUENCE, 2, SHORTEST_DRAIN_PERIOD_S),
        ]
        for name, sequence, attempt, passed_s in table:
            with self.subTest(name):
                network = FakeNetwork([DESK])
                node = next(iter(network.nodes.values()))
                network.open(CALLER, sequence=FIRST_SEQUENCE)
                node.router.gate.set_in_service(False, network.now)
                network.pass_time(passed_s)
                openings = len(node.server.openings)
                network.open(CALLER, attempt=attempt, sequence=sequence)
                self.assertEqual(len(node.server.openings), openings)


class ColdServerTest(unittest.TestCase):
    """The same openings went past the limit of a server that had turned cold."""

    def test_new_openings_on_held_ports_count_for_the_limit(self) -> None:
        network = FakeNetwork([DESK], cold_starts_per_s=3.0)
        node = next(iter(network.nodes.values()))
        for number in range(10):
            network.open(f"caller-{number}", sequence=FIRST_SEQUENCE)
        openings = len(node.server.openings)
        node.report(cold_for_s=5.0)
        for number in range(10):
            network.open(f"caller-{number}", sequence=SECOND_SEQUENCE)
        self.assertEqual(len(node.server.openings), openings + 3)


if __name__ == "__main__":
    unittest.main()

"""Commands that the leader proposes itself, leases, address assignment and cluster formation."""

from __future__ import annotations

import unittest

from wagtailkeel_coordination.address_assignment import assign_addresses
from wagtailkeel_coordination.booking_clock import find_due_bookings
from wagtailkeel_coordination.lease import LEASE_S
from wagtailkeel_coordination.lease import REMOVAL_TIMEOUT_S
from wagtailkeel_coordination.membership import MAX_VERSION_LAG_S
from wagtailkeel_coordination.membership import Membership
from wagtailkeel_coordination.raft.formation import find_initial_voters
from wagtailkeel_coordination.shares import MAX_MOVED_FRACTION
from wagtailkeel_coordination.shares import plan_shares
from wagtailkeel_protocol.messages import Heartbeat
from wagtailkeel_protocol.raft_messages import FormationReply
from wagtailkeel_state import AddressPool
from wagtailkeel_state import Booking
from wagtailkeel_state import BookingState
from wagtailkeel_state import Configuration
from wagtailkeel_state import DataCentreState
from wagtailkeel_state import LogEntry
from wagtailkeel_state import ServerMember
from wagtailkeel_state import apply_entry
from wagtailkeel_state.commands import AnyCommand
from wagtailkeel_state.commands import CreateService
from wagtailkeel_state.commands import JoinServer
from wagtailkeel_state.commands import RemoveServer
from wagtailkeel_state.commands import SetDataCentreState

SERVERS = ("a", "b", "c", "d")


def build_configuration() -> Configuration:
    config = Configuration()
    apply(config, CreateService(name="desk", address="10.0.0.1"))
    for server_id in SERVERS:
        member = ServerMember(server_id, "desk", "east", "127.0.0.1", 1, 2, 7, 2)
        apply(config, JoinServer(member=member))
    return config


def apply(config: Configuration, command: AnyCommand) -> None:
    apply_entry(config, LogEntry(config.index + 1, 1, command))


class MembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.config = build_configuration()
        self.membership = Membership(0.0)

    def send_heartbeat(
        self, server_id: str, now: float, boot_id: int = 7, version: int = 0
    ) -> float:
        heartbeat = Heartbeat(server_id, boot_id, version or self.config.index, sent_at=now)
        return self.membership.on_heartbeat(heartbeat, self.config, now)

    def run_until(self, end: float, unresponsive: set[str]) -> list[str]:
        removed: list[str] = []
        now = 0.0
        while now < end:
            now += 0.25
            for server_id in set(SERVERS) - unresponsive:
                self.send_heartbeat(server_id, now)
            for command in self.membership.find_removals(self.config, now):
                assert isinstance(command, RemoveServer)
                removed.append(command.server_id)
        return removed

    def test_unresponsive_agents_are_removed_after_their_leases(self) -> None:
        table = [
            (REMOVAL_TIMEOUT_S, {"a"}, set()),
            (REMOVAL_TIMEOUT_S + 1, {"a"}, {"a"}),
            (REMOVAL_TIMEOUT_S + 1, {"a", "b"}, {"a", "b"}),
            # More than MAX_TIMED_OUT_FRACTION of the nodes: none is removed.
            (REMOVAL_TIMEOUT_S + 9, {"a", "b", "c"}, set()),
        ]
        for end, unresponsive, expected in table:
            with self.subTest(end=end, unresponsive=unresponsive):
                self.setUp()
                self.assertEqual(set(self.run_until(end, unresponsive)), expected)

    def test_pause_of_the_leader_removes_no_agent(self) -> None:
        self.run_until(2.0, set())
        self.assertEqual(self.membership.find_removals(self.config, 60.0), [])

    def test_lease_needs_the_boot_id_of_the_member(self) -> None:
        epoch = self.config.services_by_name["desk"].table_epoch
        table = [(7, epoch, LEASE_S), (6, epoch, 0.0), (7, epoch - 1, LEASE_S)]
        for boot_id, version, expected in table:
            with self.subTest(boot_id=boot_id, version=version):
                self.setUp()
                self.assertEqual(self.send_heartbeat("a", 1.0, boot_id, version), expected)

    def test_node_with_an_outdated_version_loses_its_lease(self) -> None:
        epoch = self.config.services_by_name["desk"].table_epoch
        self.assertEqual(self.send_heartbeat("a", 1.0, version=epoch - 1), LEASE_S)
        late = 1.0 + MAX_VERSION_LAG_S + 0.1
        self.assertEqual(self.send_heartbeat("a", late, version=epoch - 1), 0.0)

    def test_reports_of_removed_nodes_are_discarded(self) -> None:
        self.run_until(1.0, set())
        apply(self.config, RemoveServer(server_id="a", boot_id=7))
        self.membership.find_removals(self.config, 1.25)
        self.assertEqual(set(self.membership.reports_by_id), {"b", "c", "d"})

    def test_late_heartbeat_renews_no_lease(self) -> None:
        self.send_heartbeat("a", 5.0)
        heartbeat = Heartbeat("a", 7, self.config.index, sent_at=4.0)
        self.assertEqual(self.membership.on_heartbeat(heartbeat, self.config, 6.0), 0.0)


class SharesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.config = build_configuration()

    def test_shares_change_only_if_capacities_differ_enough(self) -> None:
        even = dict.fromkeys(SERVERS, 1_000)
        table = {
            "nothing measured": ({}, False),
            "all equal": (even, False),
            "within the hysteresis": ({**even, "a": 1_015}, False),
            "one faster": ({**even, "a": 2_000}, True),
            "the rest unmeasured": ({"a": 1_000, "b": 2_000}, True),
        }
        for name, (capacities, has_plan) in table.items():
            with self.subTest(name):
                found = plan_shares(self.config, "desk", capacities)
                self.assertEqual(found is not None, has_plan)

    def test_steps_are_bounded_and_converge(self) -> None:
        capacities = {"a": 10_000, "b": 100, "c": 100, "d": 100}
        steps = 0
        while (plan := plan_shares(self.config, "desk", capacities)) is not None:
            before = {key: self.config.share_of(key) for key in SERVERS}
            total = sum(before.values())
            after = plan.shares_by_server_id
            moved = sum(abs(after[key] - before[key]) for key in SERVERS) / 2 / total
            self.assertLessEqual(moved, MAX_MOVED_FRACTION + 0.01)
            apply(self.config, plan)
            steps += 1
            self.assertLess(steps, 20)
        shares = [self.config.share_of(key) for key in SERVERS]
        self.assertAlmostEqual(shares[0] / sum(shares), 10_000 / 10_300, delta=0.02)


class BookingClockTest(unittest.TestCase):
    def test_bookings_advance_at_their_start_and_end(self) -> None:
        active, done, lapsed = BookingState.ACTIVE, BookingState.DONE, BookingState.LAPSED
        table = [
            (BookingState.BOOKED, 99.0, []),
            (BookingState.BOOKED, 100.0, [active]),
            (BookingState.BOOKED, 200.0, [lapsed]),
            (active, 150.0, []),
            (active, 200.0, [done]),
            (BookingState.CANCELLED, 150.0, []),
            (done, 250.0, []),
        ]
        change = SetDataCentreState(name="east", state=DataCentreState.OUT_OF_SERVICE)
        for state, wall_s, expected in table:
            with self.subTest(state=state, wall_s=wall_s):
                config = Configuration()
                config.bookings_by_id["one"] = Booking("one", "ann", 100, 200, change, state)
                due = find_due_bookings(config, wall_s)
                self.assertEqual([found.state for found in due], expected)


class AddressAssignmentTest(unittest.TestCase):
    def test_pool_is_used_in_order_and_runs_out(self) -> None:
        pools = [AddressPool("10.0.0.0/30")]
        config = Configuration()
        for expected in ("10.0.0.1", "10.0.0.2", ""):
            command = assign_addresses(CreateService(name=f"s{expected}"), config, pools)
            assert isinstance(command, CreateService)
            self.assertEqual(command.address, expected)
            if expected:
                apply(config, command)


class FormationTest(unittest.TestCase):
    def test_initial_voters_need_replies_of_all_or_of_a_cluster(self) -> None:
        ids = ["a", "b", "c"]
        unformed_replies = [FormationReply("b", "b1"), FormationReply("c", "c1")]
        voters = {"a": "a1", "b": "b1", "c": "c1"}
        table = {
            "no instance answers": ([], None),
            "one of two answers": (unformed_replies[:1], None),
            "no instance belongs to a cluster": (unformed_replies, voters),
            "formed, and lists this identity": ([FormationReply("b", "b1", voters)], voters),
            "formed, and lists an earlier identity": (
                [FormationReply("b", "b1", {**voters, "a": "a0"}), unformed_replies[1]],
                None,
            ),
        }
        for name, (replies, expected) in table.items():
            with self.subTest(name):
                self.assertEqual(find_initial_voters("a", "a1", ids, replies), expected)


if __name__ == "__main__":
    unittest.main()

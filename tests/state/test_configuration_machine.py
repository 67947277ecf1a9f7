from __future__ import annotations

import unittest
from typing import get_args

from wagtailkeel_state import AnswerStatus
from wagtailkeel_state import BookingState
from wagtailkeel_state import CommandAnswer
from wagtailkeel_state import Configuration
from wagtailkeel_state import DataCentreState
from wagtailkeel_state import FlowProtocol
from wagtailkeel_state import LogEntry
from wagtailkeel_state import ServerIncarnation
from wagtailkeel_state import ServerMember
from wagtailkeel_state import ServerRecord
from wagtailkeel_state import Target
from wagtailkeel_state import apply_entry
from wagtailkeel_state.commands import AdvanceBooking
from wagtailkeel_state.commands import AnyCommand
from wagtailkeel_state.commands import CancelBooking
from wagtailkeel_state.commands import ChangeTarget
from wagtailkeel_state.commands import CreateBooking
from wagtailkeel_state.commands import CreateClass
from wagtailkeel_state.commands import CreateService
from wagtailkeel_state.commands import DefineDataCentre
from wagtailkeel_state.commands import DrainServer
from wagtailkeel_state.commands import JoinServer
from wagtailkeel_state.commands import RecordServer
from wagtailkeel_state.commands import RemoveServer
from wagtailkeel_state.commands import SetDataCentreState
from wagtailkeel_state.configuration_machine import apply_command
from wagtailkeel_state.enums import ServerState

TARGET = Target.parse("p99<200ms")
OUT_OF_SERVICE = DataCentreState.OUT_OF_SERVICE


def member(server_id: str, boot_id: int = 1, service: str = "desk") -> ServerMember:
    return ServerMember(server_id, service, "east", "127.0.0.1", 1, 2, boot_id, 2)


class ConfigurationMachineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.config = Configuration()
        self.accept(DefineDataCentre(name="east", region="home"))
        self.accept(DefineDataCentre(name="west", region="home"))
        self.accept(CreateService(name="desk", address="10.0.0.1"))
        self.accept(self.create_class("feed", 20_000))
        self.accept(JoinServer(member=member("a")))
        self.accept(JoinServer(member=member("b")))

    def test_which_records_of_servers_are_kept(self) -> None:
        """A drain was forgotten with the process of the agent that had acknowledged it."""
        record = ServerRecord(ServerIncarnation("server", 5), 2, True)
        rejoin = JoinServer(member=member("a", boot_id=2))
        # What follows the record of agent a, and whether control still has it then.
        table: list[tuple[str, list[AnyCommand], bool]] = [
            ("nothing", [], True),
            ("restart", [rejoin], True),
            ("removed, as it was silent", [RemoveServer(server_id="a", boot_id=1), rejoin], True),
            ("server has ended", [RemoveServer(server_id="a", boot_id=1, has_ended=True)], False),
        ]
        for name, commands, is_kept in table:
            with self.subTest(name):
                self.setUp()
                self.accept(RecordServer(agent_id="a", boot_id=1, record=record))
                for command in commands:
                    self.accept(command)
                self.assertEqual("a" in self.config.server_records_by_agent_id, is_kept)

    def test_a_record_of_an_earlier_process_of_the_agent_is_rejected(self) -> None:
        record = ServerRecord(ServerIncarnation("server", 5), 2, True)
        self.accept(JoinServer(member=member("a", boot_id=2)))
        late = RecordServer(agent_id="a", boot_id=1, record=record)
        self.assertFalse(self.apply(late).is_accepted)

    @staticmethod
    def create_class(name: str, port: int, service: str = "desk") -> CreateClass:
        return CreateClass(
            service=service, name=name, protocol=FlowProtocol.TCP, target=TARGET, port=port
        )

    def apply(
        self, command: AnyCommand, command_id: str = "", expected_version: int | None = None
    ) -> CommandAnswer:
        index = self.config.index + 1
        return apply_entry(
            self.config, LogEntry(index, 1, command, command_id, "ann", expected_version)
        )

    def accept(self, command: AnyCommand) -> None:
        answer = self.apply(command)
        self.assertTrue(answer.is_accepted, answer.reason)

    def test_each_command_has_a_rule(self) -> None:
        """A committed command whose module is not imported would end every replica."""
        missing = set(get_args(AnyCommand)) - set(apply_command.registry)
        self.assertEqual(missing, set())

    def test_rejection_has_a_reason_and_keeps_the_version(self) -> None:
        """A rejected command must not make the expected version of other operators outdated."""
        change = ChangeTarget(service="desk", name="none", target=TARGET)
        table: list[tuple[AnyCommand, str]] = [
            (CreateService(name="desk", address="10.0.0.2"), "exists already"),
            (CreateService(name="other", address="10.0.0.1"), "is taken"),
            (CreateService(name="other", address=""), "pool is used up"),
            (self.create_class("feed", 20_001), "exists already"),
            (self.create_class("new", 20_000), "is taken"),
            (self.create_class("new", 20_001, "none"), "does not exist"),
            (change, "does not exist"),
            (SetDataCentreState(name="north", state=OUT_OF_SERVICE), "is not known"),
            (DrainServer(server_id="none"), "is not a member"),
            (RemoveServer(server_id="a", boot_id=9), "is not a member"),
            (JoinServer(member=member("a", 2, "other")), "use another server id"),
            (CancelBooking(booking_id="none"), "does not exist"),
        ]
        for command, reason in table:
            with self.subTest(command=type(command).__name__, reason=reason):
                before = self.config.operator_version
                answer = self.apply(command)
                self.assertIs(answer.status, AnswerStatus.REJECTED)
                self.assertIn(reason, answer.reason)
                self.assertEqual(self.config.operator_version, before)

    def test_resent_command_returns_its_first_answer(self) -> None:
        """Applied twice, the command would be rejected, since east is out of service already."""
        change = SetDataCentreState(name="east", state=OUT_OF_SERVICE)
        first = self.apply(change, "id1")
        resent = self.apply(change, "id1")
        self.assertTrue(first.is_accepted)
        self.assertEqual(resent, first)

    def test_second_command_with_the_same_expected_version_conflicts(self) -> None:
        """The conflict names the author and version of the accepted command."""
        version = self.config.operator_version
        change = ChangeTarget(service="desk", name="feed", target=TARGET)
        first = self.apply(change, "id1", version)
        second = self.apply(change, "id2", version)
        self.assertTrue(first.is_accepted)
        self.assertIs(second.status, AnswerStatus.CONFLICT)
        self.assertIn("by ann", second.reason)
        self.assertIn(str(first.index), second.reason)

    def test_last_data_centre_and_last_server_stay_in_service(self) -> None:
        """Otherwise a service could be left without any server for new flows."""
        self.accept(SetDataCentreState(name="west", state=OUT_OF_SERVICE))
        answer = self.apply(SetDataCentreState(name="east", state=OUT_OF_SERVICE))
        self.assertIn("last one in service", answer.reason)
        self.accept(DrainServer(server_id="a"))
        self.assertIn("last one serving", self.apply(DrainServer(server_id="b")).reason)

    def test_restarted_agent_keeps_draining_and_leaves_a_former_member(self) -> None:
        """A restart of the agent must not return a draining server to service."""
        self.accept(DrainServer(server_id="a"))
        self.accept(JoinServer(member=member("a", 2)))
        restarted = self.config.servers_by_id["a"]
        self.assertIs(restarted.state, ServerState.DRAINING)
        self.assertEqual(self.config.former_members_by_id["a"].boot_id, 1)
        self.assertEqual(restarted.joined_index, self.config.index)

    def test_region_without_a_server_uses_the_next_region(self) -> None:
        """The name "home" comes before "overseas", so that the search by name wraps around."""
        self.accept(DefineDataCentre(name="far", region="overseas"))
        self.assertEqual(self.config.table_region("desk", "overseas"), "home")
        self.assertEqual(set(self.config.table_shares("desk", "overseas")), {"a", "b"})

    def book(self, booking_id: str, start_s: float, end_s: float, name: str) -> CommandAnswer:
        change = SetDataCentreState(name=name, state=OUT_OF_SERVICE)
        return self.apply(
            CreateBooking(booking_id=booking_id, start_s=start_s, end_s=end_s, change=change)
        )

    def test_conflicting_booking_is_rejected_on_creation(self) -> None:
        """A conflict is reported when the change is booked, not when its window starts."""
        self.assertTrue(self.book("one", 100, 200, "east").is_accepted)
        table = [
            ("one", 300, 400, "east", "exists already"),
            ("two", 150, 250, "east", "booking one by ann"),
            ("two", 200, 100, "east", "ends before it starts"),
            ("two", 150, 250, "west", "no data centre would be left"),
            ("two", 200, 250, "east", ""),
        ]
        for booking_id, start_s, end_s, name, reason in table:
            with self.subTest(reason=reason or "accepted"):
                answer = self.book(booking_id, start_s, end_s, name)
                self.assertEqual(answer.is_accepted, not reason, answer.reason)
                self.assertIn(reason, answer.reason)

    def test_bookings_cannot_drain_the_last_server(self) -> None:
        table = [("a", ""), ("b", "no server of desk")]
        for number, (server_id, reason) in enumerate(table):
            change = DrainServer(server_id=server_id)
            answer = self.apply(
                CreateBooking(booking_id=str(number), start_s=100, end_s=200, change=change)
            )
            self.assertEqual(answer.is_accepted, not reason, answer.reason)
            self.assertIn(reason, answer.reason)

    def test_booking_state_transitions(self) -> None:
        """A lapsed booking never becomes active; the end of a window does not undo the change."""
        active, done = BookingState.ACTIVE, BookingState.DONE
        table = [
            ([active], BookingState.ACTIVE, OUT_OF_SERVICE),
            ([active, done], BookingState.DONE, OUT_OF_SERVICE),
            ([BookingState.LAPSED], BookingState.LAPSED, DataCentreState.IN_SERVICE),
            ([BookingState.LAPSED, active], BookingState.LAPSED, DataCentreState.IN_SERVICE),
        ]
        for states, final, expected in table:
            with self.subTest(states=states):
                self.setUp()
                self.book("one", 100, 200, "east")
                for state in states:
                    self.apply(AdvanceBooking(booking_id="one", state=state))
                self.assertIs(self.config.bookings_by_id["one"].state, final)
                self.assertIs(self.config.data_centres_by_name["east"].state, expected)

    def test_booking_that_cannot_be_applied_fails_with_the_reason(self) -> None:
        """West goes out of service later, so that east is the last data centre."""
        self.book("one", 100, 200, "east")
        self.accept(SetDataCentreState(name="west", state=OUT_OF_SERVICE))
        self.apply(AdvanceBooking(booking_id="one", state=BookingState.ACTIVE))
        booking = self.config.bookings_by_id["one"]
        self.assertIs(booking.state, BookingState.FAILED)
        self.assertIn("last one in service", booking.reason)

    def test_index_gap_raises_value_error(self) -> None:
        """A replica that skipped an entry would differ from the others."""
        with self.assertRaises(ValueError):
            apply_entry(self.config, LogEntry(self.config.index + 2, 1, DrainServer(server_id="a")))


if __name__ == "__main__":
    unittest.main()

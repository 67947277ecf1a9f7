from __future__ import annotations

import unittest
from random import Random

import msgspec

from wagtailkeel_state import AnswerStatus
from wagtailkeel_state import Configuration
from wagtailkeel_state import DataCentreState
from wagtailkeel_state import LogEntry
from wagtailkeel_state import ServerMember
from wagtailkeel_state import apply_entry
from wagtailkeel_state.commands import AnyCommand
from wagtailkeel_state.commands import CommandAnswer
from wagtailkeel_state.commands import DefineDataCentre
from wagtailkeel_state.commands import JoinServer
from wagtailkeel_state.commands import RemoveServer
from wagtailkeel_state.commands import ReplaceRouting
from wagtailkeel_state.commands import SetDataCentreState
from wagtailkeel_state.routing import Route
from wagtailkeel_state.routing import RoutingDocument
from wagtailkeel_state.routing import ServicePolicy
from wagtailkeel_state.routing import WeightedService
from wagtailkeel_state.routing import apply_change
from wagtailkeel_state.routing import compute_change
from wagtailkeel_state.routing import find_document_error

VERSIONS = 200


def route(number: int, service: str = "a", weight: int = 1) -> Route:
    return Route("198.18.0.1", number, (WeightedService(service, weight),), b"{}")


def document(version: int, routes: list[Route], services: str = "ab") -> RoutingDocument:
    return RoutingDocument(
        version,
        {entry.place: entry for entry in routes},
        {name: ServicePolicy(name) for name in services},
    )


def apply(config: Configuration, command: AnyCommand) -> CommandAnswer:
    return apply_entry(config, LogEntry(config.index + 1, 1, command))


class RoutingDocumentTest(unittest.TestCase):
    def test_invalid_document_has_an_error(self) -> None:
        table = [
            ("version", document(0, [route(1)])),
            ("unknown service", document(1, [route(1, "c")])),
            ("only weights of 0", document(1, [route(1, weight=0)])),
            ("negative weight", document(1, [route(1, weight=-1)])),
            ("no destinations", document(1, [Route("198.18.0.1", 1, ())])),
        ]
        for name, invalid in table:
            with self.subTest(name):
                self.assertIsNotNone(find_document_error(invalid))
        self.assertIsNone(find_document_error(document(1, [route(1)])))

    def test_random_changes_restore_the_document_and_its_order(self) -> None:
        """Changes are encoded and decoded, as they are in log entries."""
        random = Random(1)
        current = RoutingDocument()
        for version in range(1, VERSIONS):
            numbers = random.sample(range(1, 40), random.randint(1, 30))
            routes = [
                route(number, random.choice("ab"), random.randint(1, 3)) for number in numbers
            ]
            new = document(version, routes, random.choice(["ab", "ba", "abc"]))
            change = msgspec.msgpack.decode(
                msgspec.msgpack.encode(compute_change(current, new)),
                type=type(compute_change(current, new)),
            )
            current = apply_change(current, change)
            self.assertEqual(list(current.routes_by_place), list(new.routes_by_place))
            self.assertEqual(current.routes_by_place, new.routes_by_place)
            self.assertEqual(current.policies_by_service, new.policies_by_service)

    def test_change_of_one_route_carries_only_that_route(self) -> None:
        """A log entry stays small however large the document is."""
        old = document(1, [route(number) for number in range(1, 400)])
        new = document(2, [route(number, "b" if number == 7 else "a") for number in range(1, 400)])
        change = compute_change(old, new)
        self.assertEqual((len(change.changed_routes), change.places), (1, []))

    def test_services_that_a_route_has_named_since_it_was_added(self) -> None:
        """A flow may be on a server of any of them."""
        place = route(1).place
        table = [
            ("added", [[route(1)]], ("a",)),
            ("moved", [[route(1)], [route(1, "b")]], ("a", "b")),
            ("moved back", [[route(1)], [route(1, "b")], [route(1)]], ("a", "b")),
            ("removed", [[route(1)], []], None),
            ("added again", [[route(1)], [], [route(1, "b")]], ("b",)),
        ]
        for name, versions, expected in table:
            with self.subTest(name):
                current = RoutingDocument()
                for version, routes in enumerate(versions, start=1):
                    change = compute_change(current, document(version, routes))
                    current = apply_change(current, change)
                self.assertEqual(current.services_by_place.get(place), expected)

    def test_services_of_a_route_from_an_earlier_release_are_unknown(self) -> None:
        """The earlier release did not record them, so any service may have flows of the route."""
        earlier = document(1, [route(1)])
        moved = document(2, [route(1, "b"), route(2)])
        current = apply_change(earlier, compute_change(earlier, moved))
        self.assertEqual(current.services_by_place, {route(2).place: ("a",)})


class ReplaceRoutingTest(unittest.TestCase):
    def test_outdated_version_changes_nothing(self) -> None:
        """A document of the same or an earlier version is accepted but not put in force."""
        config = Configuration()
        first, second = document(3, [route(1)]), document(9, [route(2)])
        self.assertTrue(
            apply(config, ReplaceRouting(change=compute_change(config.routing, first))).is_accepted
        )
        change = compute_change(config.routing, second)
        self.assertTrue(apply(config, ReplaceRouting(change=change)).is_accepted)
        same = compute_change(RoutingDocument(), document(9, [route(5)]))
        older = compute_change(RoutingDocument(), document(4, [route(5)]))
        for outdated in (same, older):
            with self.subTest(version=outdated.version):
                self.assertTrue(apply(config, ReplaceRouting(change=outdated)).is_accepted)
                self.assertEqual(list(config.routing.routes_by_place), ["198.18.0.1:2"])

    def test_change_from_another_base_version_is_rejected(self) -> None:
        """Applied to another base version, the change would give a wrong document."""
        config = Configuration()
        apply(
            config, ReplaceRouting(change=compute_change(config.routing, document(3, [route(1)])))
        )
        change = compute_change(RoutingDocument(), document(9, [route(2)]))
        answer = apply(config, ReplaceRouting(change=change))
        self.assertIs(answer.status, AnswerStatus.REJECTED)
        self.assertEqual(config.routing.version, 3)


class MembersTest(unittest.TestCase):
    def test_removed_member_is_retained_unless_its_server_has_ended(self) -> None:
        """Flows of a removed member may still be on its server, unless the server has stopped."""
        for has_ended, expected in ((True, set()), (False, {"s1"})):
            with self.subTest(has_ended=has_ended):
                config = Configuration()
                member = ServerMember("s1", "a", "east", "10.0.0.1", 1, 2, 7, 1)
                apply(config, JoinServer(member=member))
                apply(config, RemoveServer(server_id="s1", boot_id=7, has_ended=has_ended))
                self.assertEqual(set(config.former_members_by_id), expected)

    def test_last_data_centre_goes_out_of_service_only_with_may_be_last(self) -> None:
        config = Configuration()
        apply(config, DefineDataCentre(name="east", region="home"))
        state = DataCentreState.OUT_OF_SERVICE
        self.assertFalse(apply(config, SetDataCentreState(name="east", state=state)).is_accepted)
        command = SetDataCentreState(name="east", state=state, may_be_last=True)
        self.assertTrue(apply(config, command).is_accepted)


if __name__ == "__main__":
    unittest.main()

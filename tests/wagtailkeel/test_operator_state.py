"""What operators are told while too few instances have stored a committed change."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable
from collections.abc import Callable
from types import SimpleNamespace
from typing import cast
from unittest import mock

import anyio

from tests.wagtailkeel.recorded_events import RecordedEvents
from wagtailkeel.roles.configuration_store import ConfigurationStore
from wagtailkeel.roles.control import operator_state
from wagtailkeel.roles.control.operator_state import OperatorState
from wagtailkeel_coordination import events
from wagtailkeel_coordination.raft import RaftNode
from wagtailkeel_protocol.messages import CommandRequest
from wagtailkeel_state import AnswerStatus
from wagtailkeel_state import CommandAnswer
from wagtailkeel_state import DataCentreState
from wagtailkeel_state.commands import DefineDataCentre
from wagtailkeel_state.data_centre import DataCentre
from wagtailkeel_state.routing import RoutingDocument

INDEX = 7
DEFINED = "kept"
CALLS: list[tuple[str, Callable[[OperatorState], Awaitable[CommandAnswer | None]]]] = [
    ("a new document", lambda state: state.replace_routing(RoutingDocument(version=3), "me")),
    ("a document in force", lambda state: state.replace_routing(RoutingDocument(version=2), "me")),
    (
        "a new state",
        lambda state: state.set_data_centre_state(DEFINED, DataCentreState.OUT_OF_SERVICE, "me"),
    ),
    (
        "a state in force",
        lambda state: state.set_data_centre_state(DEFINED, DataCentreState.IN_SERVICE, "me"),
    ),
    (
        "a command",
        lambda state: state.execute(
            CommandRequest(DefineDataCentre(name="x", region="home"), "1", "me")
        ),
    ),
]


class OperatorStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.holders = ["a", "b", "c"]
        self.sink = RecordedEvents()
        store = ConfigurationStore()
        store.configuration.index = INDEX
        store.configuration.routing = RoutingDocument(version=2)
        store.configuration.data_centres_by_name[DEFINED] = DataCentre(name=DEFINED, region="home")
        raft = SimpleNamespace(
            is_leader=True,
            member_ids=set("abcdefg"),
            is_read_confirmed=lambda *_: True,
            is_stored_by_most=lambda _: 2 * len(self.holders) >= 7,
            list_holders=lambda _: self.holders,
        )
        self.state = OperatorState(cast("RaftNode", raft), store, self.propose, self.sink)

    async def propose(self, request: CommandRequest) -> CommandAnswer | None:
        return CommandAnswer(AnswerStatus.ACCEPTED, index=INDEX)

    def run_call(
        self, call: Callable[[OperatorState], Awaitable[CommandAnswer | None]]
    ) -> CommandAnswer | None:
        async def await_answer() -> CommandAnswer | None:
            return await call(self.state)

        with mock.patch.object(operator_state, "STORE_TIMEOUT_S", 0.05):
            return anyio.run(await_answer)

    def test_nothing_is_acknowledged_while_most_instances_may_not_have_it(self) -> None:
        """Configurations were acknowledged by a minority that had most votes (review/7)."""
        for name, call in CALLS:
            with self.subTest(name):
                self.setUp()
                answer = self.run_call(call)
                assert answer is not None
                self.assertIs(answer.status, AnswerStatus.UNKNOWN)
                expected = events.AcknowledgementWithheld(INDEX, self.holders, list("abcdefg"))
                self.assertIn(expected, self.sink.events)

    def test_all_is_acknowledged_once_most_instances_have_it(self) -> None:
        self.holders = ["a", "b", "c", "d"]
        for name, call in CALLS:
            with self.subTest(name):
                answer = self.run_call(call)
                assert answer is not None
                self.assertIs(answer.status, AnswerStatus.ACCEPTED)


if __name__ == "__main__":
    unittest.main()

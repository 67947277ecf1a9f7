"""Guards how a node follows the versions that control announces."""

from __future__ import annotations

import unittest
from unittest.mock import AsyncMock
from unittest.mock import Mock

from wagtailkeel.roles.configuration_store import ConfigurationStore
from wagtailkeel.roles.metrics import Metrics
from wagtailkeel.roles.node_link import NodeLink
from wagtailkeel_protocol.codec import decode_datagram
from wagtailkeel_protocol.messages import AnnounceReply
from wagtailkeel_protocol.messages import VersionHint
from wagtailkeel_protocol.version_hint import MAX_HINT_BYTES
from wagtailkeel_protocol.version_hint import encode_version_hint
from wagtailkeel_state.balancer_member import BalancerMember
from wagtailkeel_state.commands import JoinBalancer
from wagtailkeel_state.commands import LogEntry
from wagtailkeel_transport import RpcError

LEADER = "10.0.0.1"


def join_entries(first: int, last: int) -> list[LogEntry]:
    """Return the entries ``first`` to ``last`` of a log in which a balancer joins each time."""
    return [
        LogEntry(
            index,
            1,
            JoinBalancer(
                member=BalancerMember(f"b{index}", "surat", f"10.1.0.{index}", 1, 2, index)
            ),
            f"join/b{index}",
            "node",
        )
        for index in range(first, last + 1)
    ]


class VersionHintTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = ConfigurationStore()
        address_book = Mock(control_ids=[LEADER])
        self.link = NodeLink(
            "node", address_book, self.store, Mock(), AsyncMock(), Mock(), Metrics()
        )

    def receive(self, version: int, entries: list[LogEntry]) -> None:
        datagram = encode_version_hint(LEADER, version, entries)
        self.assertLessEqual(len(datagram), MAX_HINT_BYTES)
        hint = decode_datagram(datagram)
        assert isinstance(hint, VersionHint)
        self.link.on_version_hint(hint)

    def test_entries_of_hints(self) -> None:
        """During a release, each change would otherwise cost a pull by each node."""
        table = [
            ("next entry", 1, 1, 1, False),
            ("repeated", 1, 1, 1, False),
            ("two entries, one known", 1, 2, 2, False),
            ("entries 3 and 4 lost", 5, 5, 2, True),
            ("without entries", 7, 6, 2, True),
        ]
        for name, first, last, version, must_pull in table:
            with self.subTest(name):
                self.receive(last, join_entries(first, last))
                self.assertEqual(self.store.version, version)
                self.assertIs(self.link.has_newer_version, must_pull)

    def test_many_entries(self) -> None:
        """At a start, some 30 nodes join between two hints."""
        table = [("one", 1, True), ("of a start", 30, True), ("too many", 1_000, False)]
        for name, count, are_included in table:
            with self.subTest(name):
                self.setUp()
                self.receive(count, join_entries(1, count))
                self.assertEqual(self.store.version, count if are_included else 0)
                self.assertIs(self.link.has_newer_version, not are_included)

    def test_malformed_entries_are_pulled(self) -> None:
        self.link.on_version_hint(VersionHint(LEADER, 3, b"malformed"))
        self.assertEqual(self.store.version, 0)
        self.assertTrue(self.link.has_newer_version)


class LeaveTest(unittest.IsolatedAsyncioTestCase):
    def build_link(self, answers: list[AnnounceReply | RpcError]) -> tuple[NodeLink, AsyncMock]:
        address_book = Mock(control_ids=[LEADER, "10.0.0.2"])
        caller = AsyncMock()
        caller.call.side_effect = answers
        store = ConfigurationStore()
        return NodeLink("node", address_book, store, Mock(), caller, Mock(), Metrics()), caller

    async def test_a_leave_is_repeated_until_control_answers(self) -> None:
        """Without it, searches ask the agent for a minute; an election takes up to a second."""
        lost, no_leader = RpcError("no answer"), AnnounceReply(False)
        table: list[tuple[str, list[AnnounceReply | RpcError]]] = [
            ("at once", [AnnounceReply(True)]),
            ("during an election", [lost, no_leader, lost, no_leader, AnnounceReply(True)]),
            ("removed already", [lost, AnnounceReply(False, reason="not a member")]),
        ]
        for name, answers in table:
            with self.subTest(name):
                link, caller = self.build_link(answers)
                await link.leave()
                self.assertEqual(caller.call.await_count, len(answers))


if __name__ == "__main__":
    unittest.main()

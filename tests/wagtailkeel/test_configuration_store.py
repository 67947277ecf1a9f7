"""Guards what a node transfers when it pulls the configuration."""

from __future__ import annotations

import unittest

import msgspec

from wagtailkeel.roles.configuration_store import ConfigurationStore
from wagtailkeel_protocol.messages import PullReply
from wagtailkeel_protocol.messages import PullRequest
from wagtailkeel_protocol.snapshot_codec import decompress_snapshot
from wagtailkeel_state.balancer_member import BalancerMember
from wagtailkeel_state.commands import JoinBalancer
from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.configuration_machine import apply_entry

MEMBER_COUNT = 195
LINK_BYTES_PER_S = 1.5e6 / 8
MAX_TRANSFER_S = 0.2


def build_store(joins_of_each: int) -> ConfigurationStore:
    """Return the store of an instance after each member has joined some times."""
    store = ConfigurationStore()
    for join in range(joins_of_each):
        for number in range(MEMBER_COUNT):
            name = f"balancer@edge-ahmedabad-{number}"
            host = f"10.1.0.{number}"
            member = BalancerMember(name, "ahmedabad", host, 7_160, 7_161, 2**52 + join)
            index = store.version + 1
            command_id = f"join/{name}/{member.boot_id}"
            entry = LogEntry(index, 1, JoinBalancer(member=member), command_id, "node")
            apply_entry(store.configuration, entry)
            store.retain_entry(entry)
    return store


class PullTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = build_store(3)

    def test_shortest_reply(self) -> None:
        version = self.store.version
        table = [
            ("nothing new", version, True, PullReply()),
            ("few entries", version - 5, True, None),
            ("all entries, compressed", 0, True, "compressed"),
            ("all entries, release before", 0, False, "snapshot"),
        ]
        for name, since, accepts_compressed, expected in table:
            with self.subTest(name):
                reply = self.store.answer_pull(PullRequest(since, accepts_compressed))
                self.assertIs(bool(reply.compressed_snapshot), expected == "compressed")
                self.assertIs(reply.snapshot is not None, expected == "snapshot")
                node = ConfigurationStore()
                node.configuration.index = since
                self.assertIs(node.apply_pull(reply), since < version)
                self.assertEqual(node.version, version)

    def test_a_node_without_a_configuration_gets_it_in_time(self) -> None:
        """After a power failure, balancers behind slow links pull it before they are ready."""
        reply = self.store.answer_pull(PullRequest(0, accepts_compressed=True))
        size = len(msgspec.msgpack.encode(reply))
        self.assertLessEqual(size, MAX_TRANSFER_S * LINK_BYTES_PER_S)
        node = ConfigurationStore()
        node.apply_pull(reply)
        self.assertEqual(node.configuration, self.store.configuration)

    def test_a_newer_version_is_compressed_anew(self) -> None:
        request = PullRequest(0, accepts_compressed=True)
        self.store.answer_pull(request)
        self.store.replace(build_store(4).configuration)
        node = ConfigurationStore()
        node.apply_pull(self.store.answer_pull(request))
        self.assertEqual(node.version, self.store.version)

    def test_a_damaged_snapshot_changes_nothing(self) -> None:
        self.assertIsNone(decompress_snapshot(b"damaged"))
        node = ConfigurationStore()
        self.assertFalse(node.apply_pull(PullReply(compressed_snapshot=b"damaged")))


if __name__ == "__main__":
    unittest.main()

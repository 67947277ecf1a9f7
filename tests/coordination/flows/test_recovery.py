from __future__ import annotations

import unittest

from tests.coordination.flows.fake_cluster import BUCKETS
from tests.coordination.flows.fake_cluster import FakeCluster
from tests.coordination.flows.fake_cluster import FakeServer
from tests.coordination.flows.fake_cluster import data_centre_of
from tests.coordination.flows.fake_cluster import flow_key
from wagtailkeel_coordination.flows.agent_view import REMOVED_MEMBER_RETENTION_S
from wagtailkeel_coordination.flows.recovery import RECOVERY_TIMEOUT_S
from wagtailkeel_coordination.flows.remote_flows import CLOSING_RETENTION_S
from wagtailkeel_coordination.lease import REMOVAL_TIMEOUT_S
from wagtailkeel_protocol import DataFrame
from wagtailkeel_protocol import gue
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.flow_key import hash_flow
from wagtailkeel_protocol.packet_builder import build_tcp
from wagtailkeel_protocol.packet_builder import build_udp
from wagtailkeel_state import FlowRecord
from wagtailkeel_state.commands import DefineDataCentre
from wagtailkeel_state.commands import DrainServer
from wagtailkeel_state.commands import RemoveServer
from wagtailkeel_state.commands import RestoreServer

SERVERS = ["a", "b", "c", "d"]
FEEDS = 60
SETTLE_S = 4.0
REPEATS = 8
REPEAT_INTERVAL_S = 0.25


class RecoveryTest(unittest.TestCase):
    """Flows whose records are lost while their servers go on are found, not reset."""

    def setUp(self) -> None:
        self.cluster = FakeCluster(SERVERS)
        self.cluster.settle(SETTLE_S)
        self.feeds = [flow_key(number, is_tcp=True) for number in range(FEEDS)]
        for position, key in enumerate(self.feeds):
            self.send(key, ip.SYN, to=SERVERS[position % len(SERVERS)])
            self.send(key, ip.ACK, to=SERVERS[position % len(SERVERS)])

    def send(self, key: bytes, flags: int, to: str, body: bytes = b"") -> None:
        self.cluster.inject(to, build_tcp(key, 1, 1, flags, body))
        self.cluster.settle(0.1)

    def request(self, key: bytes, to: str) -> bool:
        """Repeat a request until it is answered, as callers do; return whether it was."""
        before = self.cluster.replies[key]
        for _ in range(REPEATS):
            self.send(key, ip.PSH | ip.ACK, to, b"ping")
            if self.cluster.replies[key] > before or self.cluster.resets[key]:
                break
            self.cluster.settle(REPEAT_INTERVAL_S)
        return self.cluster.replies[key] > before

    def crash(self, *server_ids: str) -> None:
        """Restart agents without their records; others become the owners of their buckets."""
        for server_id in server_ids:
            self.cluster.boot(server_id)
            self.cluster.log(DrainServer(server_id=server_id))
        self.cluster.settle(SETTLE_S)

    def restore(self, *server_ids: str) -> None:
        for server_id in server_ids:
            self.cluster.log(RestoreServer(server_id=server_id))
        self.cluster.settle(SETTLE_S)

    def assert_all_answer(self) -> None:
        unanswered = 0
        for key in self.feeds:
            for server_id in ("a", "d"):
                unanswered += not self.request(key, server_id)
        self.assertEqual((sum(self.cluster.resets.values()), unanswered), (0, 0))

    def test_two_agents_crash_at_once(self) -> None:
        """One agent's denial says nothing of the others: the flow may be at the next one."""
        self.crash("a", "b")
        self.assert_all_answer()

    def test_three_agents_crash_at_once(self) -> None:
        self.crash("a", "b", "c")
        self.assert_all_answer()

    def test_bucket_moves_during_a_recovery(self) -> None:
        """An agent that is only queried must not reach the next authority as the flow's server."""
        self.crash("a", "b")
        for key in self.feeds:
            self.cluster.inject("c", build_tcp(key, 1, 1, ip.PSH | ip.ACK, b"ping"))
        for _ in range(2 * FEEDS):
            position = next((i for i, e in enumerate(self.cluster.in_flight) if e.to in "cd"), None)
            if position is not None:
                self.cluster.deliver(position)
        self.cluster.in_flight.clear()
        self.restore("a", "b")
        self.assert_all_answer()

    def test_answer_of_the_server_s_agent_is_lost(self) -> None:
        """A flow that was found must not be searched for again: each search asks other servers."""
        self.crash("a", "b")
        for key in self.feeds:
            self.cluster.inject("c", build_tcp(key, 1, 1, ip.PSH | ip.ACK, b"ping"))
        for _ in range(20 * FEEDS):
            self.drop_answers()
            if self.cluster.in_flight:
                self.cluster.deliver(0)
        self.assert_all_answer()
        unknown_packets = self.count_unknown_packets()
        self.cluster.settle(2 * RECOVERY_TIMEOUT_S)
        self.assert_all_answer()
        self.assertEqual(self.count_unknown_packets(), unknown_packets)

    def drop_answers(self) -> None:
        self.cluster.in_flight = [
            envelope
            for envelope in self.cluster.in_flight
            if not isinstance(envelope.body, DataFrame) or not envelope.body.flags & gue.FLAG_FOUND
        ]

    def count_unknown_packets(self) -> int:
        """Return the packets that reached servers without their flow."""
        return sum(server.unknown_packets for server in self.cluster.servers_by_id.values())

    def test_agent_is_silent_for_long_after_its_removal(self) -> None:
        """Its server may serve all the time: flows must not be reset because time has passed."""
        node = self.cluster.nodes_by_id.pop("b")
        self.cluster.settle(2 * REMOVED_MEMBER_RETENTION_S)
        for key in self.feeds:
            self.request(key, "d")
        self.assertEqual(sum(self.cluster.resets.values()), 0)
        self.cluster.nodes_by_id["b"] = node
        self.cluster.settle(SETTLE_S)
        self.assert_all_answer()

    def test_server_is_newer_than_the_configuration_of_the_authority(self) -> None:
        """A server that an agent doesn't know yet is not one that has ended."""
        self.cluster.servers_by_id["e"] = FakeServer()
        self.cluster.log(DefineDataCentre(name=data_centre_of("e"), region="home"))
        self.cluster.partitioned_from_control = set(SERVERS)
        self.cluster.boot("e")
        authority_of = {
            bucket: node
            for node in self.cluster.nodes_by_id.values()
            for bucket in node.router.authority.tokens_by_bucket
        }
        keys = [flow_key(FEEDS + number, is_tcp=True) for number in range(BUCKETS)]
        for key in keys:
            bucket = hash_flow(key) % BUCKETS
            start = build_tcp(key, 1, 0, ip.SYN)
            placed = DataFrame(start, bucket, self.cluster.config.index, gue.FLAG_DELIVER)
            self.cluster.nodes_by_id["e"].router.on_frame(placed, self.cluster.now)
            directory = authority_of[bucket].router.directory
            directory.install_records(bucket, [FlowRecord(key, "e")], self.cluster.now)
        for flags in (ip.PSH | ip.ACK, ip.SYN):
            for key in keys:
                self.send(key, flags, "a")
        self.assertEqual(sum(self.cluster.resets.values()), 0)
        self.cluster.partitioned_from_control = set()
        self.feeds = keys
        self.assert_all_answer()
        self.assertEqual({*map(tuple, map(self.cluster.servers_of, keys))}, {("e",)})

    def test_port_is_used_again_after_its_agent_was_removed(self) -> None:
        """The record of a flow at a removed agent must not bind a caller's later flow for ever."""
        keys = [flow_key(number, is_tcp=False) for number in range(FEEDS)]
        for position, key in enumerate(keys):
            self.cluster.inject(SERVERS[position % len(SERVERS)], build_udp(key, b"report"))
        self.cluster.settle(0.1)
        bound = [key for key in [*keys, *self.feeds] if self.cluster.servers_of(key) == ["b"]]
        self.assertTrue(any(key[-1] == ip.UDP for key in bound))
        self.cluster.log(DrainServer(server_id="b"))
        self.cluster.settle(SETTLE_S)
        del self.cluster.nodes_by_id["b"]
        for _ in range(10):
            for key in bound:
                is_udp = key[-1] == ip.UDP
                start = build_udp(key, b"report") if is_udp else build_tcp(key, 1, 0, ip.SYN)
                self.cluster.inject("d", start)
            self.cluster.settle(REMOVED_MEMBER_RETENTION_S / 5)
        self.assertEqual([key for key in bound if self.cluster.servers_of(key) == ["b"]], [])

    def test_late_reset_of_an_earlier_flow_does_not_shorten_the_life_of_a_record(self) -> None:
        """The authority must not forget the server of a flow that is quiet for half a minute."""
        self.cluster.log(DrainServer(server_id="a"))
        self.cluster.settle(SETTLE_S)
        for key in self.feeds:
            self.send(key, ip.RST, "d")
        self.assert_all_answer()
        self.cluster.settle(2 * CLOSING_RETENTION_S)
        self.assert_all_answer()

    def test_agent_leaves_with_its_server(self) -> None:
        """Once the end of a server is known, callers must not wait for it."""
        del self.cluster.nodes_by_id["b"]
        boot_id = self.cluster.config.servers_by_id["b"].boot_id
        self.cluster.log(RemoveServer(server_id="b", boot_id=boot_id, has_ended=True))
        self.cluster.settle(SETTLE_S)
        for key in self.feeds:
            self.request(key, "d")
        lost = {key for key in self.feeds if self.cluster.servers_of(key) == ["b"]}
        self.assertEqual(set(self.cluster.resets), lost)

    def test_bucket_moves_to_an_agent_with_an_older_configuration(self) -> None:
        """An agent that doesn't know of a restart must not take all records for complete."""
        self.cluster.partitioned_from_control = {"b"}
        self.cluster.boot("a")
        for command in (
            DrainServer(server_id="b"),
            DrainServer(server_id="a"),
            RestoreServer(server_id="b"),
            DrainServer(server_id="c"),
            DrainServer(server_id="d"),
        ):
            self.cluster.log(command)
            for _ in range(20):
                self.cluster.heartbeat(self.cluster.nodes_by_id["b"])
                self.cluster.settle(SETTLE_S / 20)
        self.assertEqual(len(self.cluster.nodes_by_id["b"].router.authority.tokens_by_bucket), 8)
        for key in self.feeds:
            self.cluster.heartbeat(self.cluster.nodes_by_id["b"])
            self.send(key, ip.PSH | ip.ACK, "b", b"ping")
        self.assertEqual(sum(self.cluster.resets.values()), 0)
        self.cluster.partitioned_from_control = set()
        self.cluster.settle(SETTLE_S)
        self.assert_all_answer()

    def test_agent_stalls_until_control_removes_it(self) -> None:
        """Packets of its flows must not go to servers whose agents were restarted long before."""
        for server_id in ("a", "c", "d"):
            self.cluster.boot(server_id)
            self.cluster.settle(SETTLE_S)
        self.assert_all_answer()
        unknown_packets = self.count_unknown_packets()
        stalled = self.cluster.nodes_by_id.pop("b")
        keys = [key for key in self.feeds if self.cluster.servers_of(key) == ["b"]]
        for _ in range(5):
            for key in keys:
                self.cluster.inject("a", build_tcp(key, 1, 1, ip.PSH | ip.ACK, b"ping"))
            self.cluster.settle(REMOVAL_TIMEOUT_S / 2 - 0.1)
        self.assertNotIn("b", self.cluster.config.servers_by_id)
        self.cluster.nodes_by_id["b"] = stalled
        self.assert_all_answer()
        self.assertEqual(self.count_unknown_packets(), unknown_packets)

    def test_agent_crashes_before_another_is_restarted(self) -> None:
        """Its flows must be asked for at its own server first, not at the one restarted last."""
        self.cluster.log(DrainServer(server_id="a"))
        self.cluster.settle(SETTLE_S)
        for server_id in ("b", "a"):
            self.cluster.boot(server_id)
            self.cluster.settle(SETTLE_S)
        self.assert_all_answer()
        self.assertEqual(self.count_unknown_packets(), 0)

    def test_lost_owner_is_passed_on_with_the_bucket(self) -> None:
        """The next authority must not ask the agent that was restarted last first."""
        self.cluster.log(DrainServer(server_id="a"))
        self.cluster.settle(SETTLE_S)
        self.crash("b")
        self.cluster.boot("a")
        self.cluster.log(DrainServer(server_id="c"))
        self.cluster.settle(SETTLE_S)
        self.assert_all_answer()
        self.assertEqual(self.count_unknown_packets(), 0)

    def test_record_was_removed_while_its_server_has_the_flow(self) -> None:
        """A late RST of an earlier flow of the port removes the record, which servers ignore."""
        for is_recorded_elsewhere in (False, True):
            with self.subTest(is_recorded_elsewhere=is_recorded_elsewhere):
                self.setUp()
                if is_recorded_elsewhere:
                    self.cluster.log(DrainServer(server_id="a"))
                    self.cluster.settle(SETTLE_S)
                for key in self.feeds:
                    self.send(key, ip.RST, "d")
                self.assert_all_answer()

    def test_bucket_moves_before_its_flows_are_recovered(self) -> None:
        """The next authority must know which agents lack flows, though it has sent no claim."""
        self.crash("a", "b")
        self.cluster.log(DrainServer(server_id="c"))
        self.restore("b")
        self.assert_all_answer()


if __name__ == "__main__":
    unittest.main()

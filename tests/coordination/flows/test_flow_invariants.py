from __future__ import annotations

import unittest
from random import Random

from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from tests.coordination.flows.fake_cluster import BUCKETS
from tests.coordination.flows.fake_cluster import FakeCluster
from tests.coordination.flows.fake_cluster import data_centre_of
from tests.coordination.flows.fake_cluster import flow_key
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.packet_builder import build_tcp
from wagtailkeel_protocol.packet_builder import build_udp
from wagtailkeel_state.commands import DrainServer
from wagtailkeel_state.commands import RestoreServer
from wagtailkeel_state.commands import SetDataCentreState
from wagtailkeel_state.enums import DataCentreState
from wagtailkeel_state.enums import ServerState

SERVERS = ["a", "b", "c", "d"]
STEPS = 250
EXAMPLES = 60
MAX_RECENT_FLOWS = 12
RESEND_WINDOW_S = 6.0


class Fuzzer:
    """Runs random actions: packets, losses, duplicates, delays, changes, restarts, partitions."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.cluster = FakeCluster(SERVERS)
        self.cluster.settle(4.0)
        self.partitioned_ids: set[str] = set()
        self._opened_at_by_key: dict[bytes, float] = {}
        self._next_flow = 0
        self.actions = [
            (30, self._deliver),
            (4, self._drop),
            (4, self._duplicate),
            (20, self._tick),
            (20, self._send_report),
            (10, self._open_feed),
            (3, self._change_member),
            (2, self._change_data_centre),
            (8, self._update),
            (1, self._crash),
            (1, self._toggle_partition),
        ]

    @property
    def keys(self) -> list[bytes]:
        """Keys of all flows so far."""
        return list(self._opened_at_by_key)

    def step(self) -> None:
        """Run one random action."""
        weights = [weight for weight, _ in self.actions]
        self.random.choices([action for _, action in self.actions], weights)[0]()

    def _any_position(self) -> int | None:
        count = len(self.cluster.in_flight)
        return self.random.randrange(count) if count else None

    def _deliver(self) -> None:
        position = self._any_position()
        if position is not None:
            self.cluster.deliver(position)

    def _drop(self) -> None:
        position = self._any_position()
        if position is not None:
            self.cluster.in_flight.pop(position)

    def _duplicate(self) -> None:
        position = self._any_position()
        if position is not None:
            self.cluster.deliver(position, keeps_copy=True)

    def _tick(self) -> None:
        for server_id, node in list(self.cluster.nodes_by_id.items()):
            if server_id not in self.partitioned_ids:
                self.cluster.heartbeat(node)
        if self.random.random() < 0.3:
            self.cluster.gossip()
        self.cluster.advance(self.random.uniform(0.01, 0.4))

    def _pick_key(self, *, is_tcp: bool) -> bytes:
        """Return the key of a new flow, or of one that its caller may still retransmit."""
        recent = [
            key
            for key, opened_at in self._opened_at_by_key.items()
            if self.cluster.now - opened_at < RESEND_WINDOW_S and (key[-1] == ip.TCP) == is_tcp
        ]
        if len(recent) >= MAX_RECENT_FLOWS or (recent and self.random.random() < 0.7):
            return self.random.choice(recent)
        self._next_flow += 1
        key = flow_key(self._next_flow, is_tcp=is_tcp)
        self._opened_at_by_key[key] = self.cluster.now
        return key

    def _send_report(self) -> None:
        key = self._pick_key(is_tcp=False)
        self.cluster.inject(self.random.choice(SERVERS), build_udp(key, b"report"))

    def _open_feed(self) -> None:
        key = self._pick_key(is_tcp=True)
        self.cluster.inject(self.random.choice(SERVERS), build_tcp(key, 1, 0, ip.SYN))

    def _change_member(self) -> None:
        server_id = self.random.choice(SERVERS)
        member = self.cluster.config.servers_by_id.get(server_id)
        if member is None or member.state is not ServerState.DRAINING:
            self.cluster.log(DrainServer(server_id=server_id))
        else:
            self.cluster.log(RestoreServer(server_id=server_id))

    def _change_data_centre(self) -> None:
        name = data_centre_of(self.random.choice(SERVERS))
        was_in_service = self.cluster.config.is_in_service(name)
        state = DataCentreState.OUT_OF_SERVICE if was_in_service else DataCentreState.IN_SERVICE
        self.cluster.log(SetDataCentreState(name=name, state=state))

    def _update(self) -> None:
        server_id = self.random.choice(SERVERS)
        if server_id not in self.partitioned_ids:
            self.cluster.nodes_by_id[server_id].update()

    def _crash(self) -> None:
        self.cluster.boot(self.random.choice(SERVERS), keeps_running=self.random.random() < 0.5)

    def _toggle_partition(self) -> None:
        self.partitioned_ids ^= {self.random.choice(SERVERS)}


class FlowInvariantsTest(unittest.TestCase):
    """Random faults must not leave a bucket with two agents that may place its flows.

    A flow must not run on two servers, and a refused flow must not run at all.
    """

    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.randoms(use_true_random=False))
    def test_random_orders(self, random: Random) -> None:
        fuzzer = Fuzzer(random)
        cluster = fuzzer.cluster
        for _ in range(STEPS):
            fuzzer.step()
            for bucket in range(BUCKETS):
                self.assertLessEqual(len(cluster.placing_authorities(bucket)), 1)
        for key in fuzzer.keys:
            servers = cluster.servers_of(key)
            self.assertLessEqual(len(servers), 1, "one server per flow")
            if key in cluster.refused:
                self.assertEqual(servers, [], "a refused flow has not run")


if __name__ == "__main__":
    unittest.main()

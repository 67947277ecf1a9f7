"""Guards against servers that fail requests unnoticed, and against avoiding healthy ones."""

from __future__ import annotations

import math
import unittest
from random import Random
from typing import Any

import msgspec

from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import DESK_ENDPOINT
from tests.coordination.handshake.fake_network import FakeNetwork
from tests.coordination.handshake.fake_network import FakeNode
from tests.coordination.handshake.fake_network import FakePacket
from wagtailkeel_coordination.handshake import RouterOptions
from wagtailkeel_coordination.handshake.outlier_detector import HEALTHY_FAILURES
from wagtailkeel_coordination.handshake.outlier_detector import OUTLIER_SCORE
from wagtailkeel_coordination.handshake.outlier_detector import Outcome
from wagtailkeel_coordination.handshake.outlier_detector import OutlierDetector
from wagtailkeel_coordination.handshake.outlier_detector import OutlierState
from wagtailkeel_coordination.handshake.server_choice import PeerLoads
from wagtailkeel_coordination.handshake.server_watch import ServerWatch
from wagtailkeel_protocol import packet_format as packet_flags
from wagtailkeel_protocol.messages import ServerLoad

OUTCOMES = {"a": Outcome.ANSWERED, "r": Outcome.RESET, "s": Outcome.SILENT}
OUTCOMES |= {"l": Outcome.LATE_ANSWER, "u": Outcome.UNOPENED}
ANSWER = packet_flags.ACK
RESET = packet_flags.RESET
NOTHING = 0


class OutlierDetectorTest(unittest.TestCase):
    def test_outcomes_that_make_an_outlier(self) -> None:
        table = [("rrr", True), ("sus", True), ("rararar", True), ("rr" + "a" * 20 + "rr", False)]
        table += [(("a" * 19 + "r") * 50, False), ("ssls", False), ("sss" + "lll", False)]
        for outcomes, expected in table:
            with self.subTest(outcomes):
                detector = OutlierDetector()
                for letter in outcomes:
                    detector.record(OUTCOMES[letter], 0.0)
                self.assertEqual(detector.is_outlier, expected)

    def test_a_server_that_fails_a_request_now_and_then_stays_in_use(self) -> None:
        """At the share that counts as healthy, the bound of the score must hold."""
        random, detector, found = Random(1), OutlierDetector(), 0
        for number in range(100_000):
            is_failure = random.random() < HEALTHY_FAILURES
            detector.record(Outcome.RESET if is_failure else Outcome.ANSWERED, number / 20)
            if detector.is_outlier:
                found += 1
                detector = OutlierDetector()
        self.assertLessEqual(found, 100_000 / math.exp(OUTLIER_SCORE))

    def test_each_failed_trial_doubles_the_time_until_the_next(self) -> None:
        detector, now = OutlierDetector(), 0.0
        for _ in range(3):
            detector.record(Outcome.RESET, now)
        for avoided_s in (2.0, 4.0, 8.0, 16.0, 16.0):
            detector.advance(now + avoided_s - 0.1)
            self.assertIs(detector.state, OutlierState.AVOIDED)
            now += avoided_s
            detector.advance(now)
            self.assertIs(detector.state, OutlierState.ON_TRIAL)
            detector.record(Outcome.RESET, now)
        detector.advance(now + 16.0)
        for expected in (True, True, True, True, False):
            detector.record(Outcome.ANSWERED, now)
            self.assertEqual(detector.is_outlier, expected)


def build_network(server_count: int) -> tuple[FakeNetwork, list[FakeNode]]:
    """Return a network that avoids outliers, and its servers; their route is idempotent."""
    network = FakeNetwork([DESK] * server_count, options=RouterOptions(outlier_detection=True))
    set_idempotent(network, 2, is_idempotent=True)
    return network, list(network.nodes.values())


def set_idempotent(network: FakeNetwork, version: int, *, is_idempotent: bool) -> None:
    document = network.document(version)
    for place, route in document.routes_by_place.items():
        route = msgspec.structs.replace(route, is_idempotent=is_idempotent)
        document.routes_by_place[place] = route
    network.apply_routing(document)


def watch_of(node: FakeNode) -> ServerWatch:
    watch = node.router.holder.watch
    assert watch is not None
    return watch


def fail(network: FakeNetwork, node: FakeNode) -> None:
    for _ in range(3):
        watch_of(node).detector.record(Outcome.RESET, network.now)


class OwnersTest(unittest.TestCase):
    """Owners must avoid a failing server, unless so many fail that the cause is elsewhere."""

    def open_many(self, network: FakeNetwork, prefix: str = "caller") -> list[str]:
        return [network.open(f"{prefix}-{number}") for number in range(40)]

    def advance(self, network: FakeNetwork, seconds: float) -> None:
        network.advance(seconds)
        for node in network.nodes.values():
            node.report()

    def test_share_of_outliers_that_is_avoided(self) -> None:
        table = [(4, 1, True), (4, 2, False), (4, 4, False), (1, 1, False)]
        for server_count, outlier_count, is_avoided in table:
            with self.subTest(server_count=server_count, outlier_count=outlier_count):
                network, nodes = build_network(server_count)
                for node in nodes[:outlier_count]:
                    fail(network, node)
                servers = self.open_many(network)
                self.assertNotIn("", servers)
                names = {node.server.name for node in nodes[int(is_avoided) :]}
                self.assertEqual(set(servers), names)

    def test_openings_placed_by_older_loads_go_elsewhere(self) -> None:
        network, nodes = build_network(5)
        held = self.open_many(network)
        fail(network, nodes[0])
        servers = self.open_many(network, "later")
        self.assertNotIn(nodes[0].server.name, servers)
        self.assertNotIn("", servers)
        self.assertGreater(nodes[0].counters["rejected_server_outlier"], 0)
        for number, server in enumerate(held):
            self.assertEqual(network.request(f"caller-{number}", server), server)

    def test_no_opening_is_refused_because_all_servers_fail_at_once(self) -> None:
        network, nodes = build_network(5)
        self.open_many(network)
        for node in nodes:
            fail(network, node)
        self.assertNotIn("", self.open_many(network, "later"))

    def test_an_owner_that_sampled_only_outliers_uses_them(self) -> None:
        loads = PeerLoads(avoids_outliers=True)
        for number in range(5):
            load = ServerLoad(1, True, 0, 0, 1, 20.0, is_outlier=number < 2)
            loads.on_load((str(number), 1), "east", load, 0.0)
        for sampled, expected in (((0, 1, 2), [2]), ((0, 1), [0, 1])):
            found = loads.find_candidates([(str(number), 1) for number in sampled], 0.1)
            self.assertEqual([int(peer.address[0]) for peer in found], expected)

    def test_an_outlier_serves_while_all_others_drain(self) -> None:
        network, nodes = build_network(4)
        self.open_many(network)
        fail(network, nodes[0])
        network.advance(0.3)
        for node in nodes[1:]:
            node.report(is_draining=True)
        self.assertEqual(set(self.open_many(network, "later")), {nodes[0].server.name})

    def test_a_trial_takes_one_opening_at_a_time_and_none_that_must_not_repeat(self) -> None:
        network, nodes = build_network(5)
        fail(network, nodes[0])
        self.advance(network, 1.9)
        self.open_many(network)
        self.advance(network, 0.2)
        name = nodes[0].server.name
        set_idempotent(network, 3, is_idempotent=False)
        self.assertNotIn(name, self.open_many(network, "payment"))
        set_idempotent(network, 4, is_idempotent=True)
        self.advance(network, 0.2)
        self.assertEqual(self.open_many(network, "lookup").count(name), 1)
        self.assertTrue(nodes[0].router.build_load(network.now).is_outlier)
        set_idempotent(network, 5, is_idempotent=False)
        for prefix, seconds, expected in (("early", 1.0, 0), ("late", 1.1, 1)):
            self.advance(network, seconds)
            self.assertEqual(self.open_many(network, prefix).count(name), expected)


class Scenario:
    """One server, whose events are the methods that scenarios name."""

    def __init__(self) -> None:
        self.network, (self.node,) = build_network(1)
        self.advance = self.network.advance
        self.count = 0

    def report(self, is_draining: bool = False, has_left: bool = False) -> None:
        self.node.report(is_draining=is_draining, has_left=has_left)

    def key(self, number: int) -> bytes:
        return f"caller-{number}".encode() + DESK_ENDPOINT

    def open(self, has_server: bool = True) -> None:
        self.count += 1
        self.node.has_server = has_server
        self.network.open(f"caller-{self.count}")

    def request(self, wait_s: float, flags: int = NOTHING) -> None:
        """Open a flow and send a request on it; the server sends a packet later, or none."""
        self.open()
        self.node.has_server = False
        packet = FakePacket(self.key(self.count), ANSWER, self.node.server.name, 1)
        self.network.send_packet(packet)
        self.node.has_server = True
        self.advance(wait_s)
        if flags:
            self.send_from_server(self.count, flags)

    def send_from_server(self, number: int, flags: int) -> None:
        packet = FakePacket(self.key(number), flags, self.node.server.name, int(flags == ANSWER))
        self.node.router.on_server_packet(msgspec.msgpack.encode(packet), self.network.now)

    def reset_all(self) -> None:
        for number in range(1, self.count + 1):
            self.send_from_server(number, RESET)

    def fill_server(self) -> None:
        self.node.server.is_full = True

    def repeat_requests(self) -> None:
        self.node.has_server = False
        for number in range(1, self.count + 1):
            packet = FakePacket(self.key(number), ANSWER, self.node.server.name, 1)
            self.network.send_packet(packet)
        self.node.has_server = True

    def restart_server(self) -> None:
        report = self.node.router.gate.report
        assert report is not None
        started = msgspec.structs.replace(report, started_at_ms=2, has_left=False, cold_for_s=0.5)
        self.node.router.on_report(started, self.network.now)

    def suspend_agent(self, seconds: float) -> None:
        self.network.now += seconds

    def count_failures(self) -> int:
        counts = watch_of(self.node).detector.counts
        return counts[Outcome.RESET] + counts[Outcome.SILENT] + counts[Outcome.UNOPENED]


class ServerFailuresTest(unittest.TestCase):
    """Only failures of the server itself must count; three make it an outlier."""

    def test_scenarios(self) -> None:
        answered, pending = ("request", 0.02, ANSWER), [("request", 0.01)] * 4
        slow = [("request", wait_s, ANSWER) for wait_s in (0.02, 0.07, 0.2, 0.6, 0.6, 0.02, 0.6)]
        opened, unopened = [("open",)] * 4, [("open", False)] * 3
        copies = [answered, answered, answered, ("repeat_requests",)]
        slower = [answered, ("request", 0.01), ("request", 0.3, ANSWER), ("advance", 0.3)]
        drain, leave = ("report", True), ("report", False, True)
        table: list[tuple[str, int, list[tuple[Any, ...]]]] = [
            ("requests reset", 4, [*pending, ("reset_all",)]),
            ("requests overtaken", 4, [answered, *pending, ("advance", 0.5), answered]),
            ("requests not overtaken", 0, [answered, *pending, ("advance", 0.5), ("report",)]),
            ("no request answered", 4, [answered, *pending, ("advance", 1.2), ("report",)]),
            ("openings unanswered", 3, [*unopened, ("advance", 0.4), ("report",)]),
            ("openings reset", 0, [*unopened, ("reset_all",)]),
            ("openings returned", 0, [("fill_server",), *opened, ("advance", 0.4), ("report",)]),
            ("slow server", 0, [step for entry in slow for step in (entry, ("report",))]),
            ("server becomes slow", 0, [*slower, ("report",)]),
            ("leaving server", 0, [*pending, leave, ("reset_all",)]),
            ("draining server", 0, [*pending, drain, ("reset_all",)]),
            ("planned restart", 0, [*pending, leave, ("reset_all",), ("restart_server",)]),
            ("cold server", 0, [("restart_server",), *pending, ("reset_all",)]),
            ("link to the server cut", 0, [answered, *pending, *unopened, ("advance", 1.9)]),
            ("link to callers cut", 0, [*copies, ("advance", 1.2), answered, ("reset_all",)]),
            ("agent suspended", 0, [answered, *pending, ("suspend_agent", 1.0), answered]),
        ]
        for name, failures, steps in table:
            with self.subTest(name):
                scenario = Scenario()
                for method, *arguments in steps:
                    getattr(scenario, method)(*arguments)
                scenario.advance(0.05)
                self.assertEqual(scenario.count_failures(), failures)
                load = scenario.node.router.build_load(scenario.network.now)
                self.assertEqual(load.is_outlier, failures >= 3)


if __name__ == "__main__":
    unittest.main()

from __future__ import annotations

import asyncio
import socket
import unittest
from collections import Counter
from random import Random

from wagtailkeel_bench.deployment import SMALL
from wagtailkeel_bench.deployment import Deployment
from wagtailkeel_bench.site import Site
from wagtailkeel_bench.site import make_folder
from wagtailkeel_protocol import gue
from wagtailkeel_protocol.flow_key import endpoint_key
from wagtailkeel_protocol.packet_builder import build_udp

TIMEOUT_S = 20.0
SEED = 7
RANDOM_DATAGRAMS = 200
FLOW_KEY = bytes([10, 1, 0, 1]) + bytes([10, 90, 0, 1]) + b"\x07\xd0\x4e\x20\x11"


def build_bad_packets() -> dict[str, bytes]:
    """Return bad packets by the name of the counter that must count each."""
    valid_packet = build_udp(FLOW_KEY, b"body")
    return {
        "dropped_truncated": valid_packet[:-3],
        "dropped_oversized": valid_packet + b"more",
        "dropped_fragmented": valid_packet[:6] + b"\x20\x00" + valid_packet[8:],
        "dropped_foreign": valid_packet[:9] + b"\x2f" + valid_packet[10:],
        "dropped_wrong_version": b"\x95" + valid_packet[1:],
        "dropped_unknown_class": build_udp(
            FLOW_KEY[:4] + b"\x0a\x5a\x00\xfe" + FLOW_KEY[8:], b"body"
        ),
    }


class BadInputTest(unittest.IsolatedAsyncioTestCase):
    """Guards against bad datagrams that end a task or are dropped without a count by cause."""

    async def asyncSetUp(self) -> None:
        self.site = Site(Deployment(SMALL, make_folder(), 1, is_stateless=False))
        await self.site.start()

    async def asyncTearDown(self) -> None:
        await self.site.stop()

    async def test_bad_datagrams_are_counted_by_cause_and_traffic_goes_on(self) -> None:
        packets = build_bad_packets()
        await self.site.callers.command("send_raw", packets=[p.hex() for p in packets.values()])
        self.send_random_datagrams()
        await self.wait_for_counters("balancer", set(packets))
        await self.wait_for_counters("agent", {"dropped_undecodable", "dropped_truncated"})
        await self.wait_for_counters("control", {"dropped_undecodable", "dropped_wrong_version"})
        await self.site.callers.command(
            "start_requests",
            endpoint=endpoint_key("10.90.0.1", 20_001, 17).hex(),
            rate=20.0,
            work_ms=1.0,
            parts=1,
            is_idempotent=False,
        )
        async with asyncio.timeout(TIMEOUT_S):
            while "requests_answered" not in await self.fetch_callers_report():
                await asyncio.sleep(0.1)

    async def fetch_callers_report(self) -> dict[str, object]:
        found: dict[str, object] = await self.site.callers.command(
            "report", lost_servers=[], silenced=[], max_idle_s=1.0
        )
        return found

    def send_random_datagrams(self) -> None:
        random = Random(SEED)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for instance in self.site.deployment.instances_by_name.values():
                address = (instance.bind_host, instance.ports["port"])
                for _ in range(RANDOM_DATAGRAMS):
                    body = random.randbytes(random.randrange(1, 200))
                    sender.sendto(body, address)
                    sender.sendto(gue.CONTROL_PREFIX + body, address)
                    sender.sendto(b"\x04\x04" + body, address)

    async def wait_for_counters(self, role: str, names: set[str]) -> None:
        found: Counter[str] = Counter()
        async with asyncio.timeout(TIMEOUT_S):
            while not names <= set(found):
                await asyncio.sleep(0.1)
                found = Counter()
                for dump in (await self.site.dumps(role)).values():
                    found.update(dump["metrics"]["counters"])


if __name__ == "__main__":
    unittest.main()

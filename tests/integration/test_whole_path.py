from __future__ import annotations

import asyncio
import unittest

from wagtailkeel_bench.deployment import SMALL
from wagtailkeel_bench.deployment import Deployment
from wagtailkeel_bench.site import Site
from wagtailkeel_bench.site import make_folder

TIMEOUT_S = 20.0


class WholePathTest(unittest.IsolatedAsyncioTestCase):
    """Guards the path from a caller through fabric, balancer and agent to a server and back."""

    async def asyncSetUp(self) -> None:
        self.site = Site(Deployment(SMALL, make_folder(), 1, is_stateless=False))
        await self.site.start()

    async def asyncTearDown(self) -> None:
        statuses = await self.site.stop()
        self.assertEqual(set(statuses.values()), {0}, "SIGTERM is a graceful stop")

    async def test_feed_and_requests_reach_their_servers(self) -> None:
        endpoints = self.site.endpoints_by_class
        callers = self.site.callers
        await callers.command(
            "start_feeds",
            endpoint=endpoints["marshal-desk/feed"],
            count=1,
            interval_s=0.2,
            over_s=0.1,
        )
        await callers.command(
            "start_requests",
            endpoint=endpoints["marshal-desk/checkpoint"],
            rate=20.0,
            work_ms=5.0,
            parts=3,
            is_idempotent=False,
        )
        async with asyncio.timeout(TIMEOUT_S):
            while not await self._has_open_feed_and_answer():
                await asyncio.sleep(0.1)
        await callers.command("stop_requests")
        report = await self.site.servers.command("report")
        for name in ("misrouted_packets", "double_runs", "multi_server_flows"):
            self.assertEqual(report[name], 0, name)

    async def _has_open_feed_and_answer(self) -> bool:
        report = await self.site.callers.command(
            "report", lost_servers=[], silenced=[], max_idle_s=2.0
        )
        has_feed: bool = sum(report["feeds_by_server"].values()) == 1
        return has_feed and "requests_answered" in report

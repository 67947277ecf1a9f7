"""Demonstration of ``make run``: a small site that gets traffic for a few seconds."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from wagtailkeel_bench.deployment import SMALL
from wagtailkeel_bench.deployment import Deployment
from wagtailkeel_bench.site import Site
from wagtailkeel_bench.site import make_folder

FEED_COUNT = 60
REQUESTS_PER_S = 60.0
SEED = 1
OUTCOME_TIMEOUT_S = 8.0


def run_demonstration(seconds: float) -> int:
    """Run the demonstration; return 0 if all traffic was handled correctly or on Ctrl-C, else 1."""
    try:
        return asyncio.run(_demonstrate(seconds))
    except KeyboardInterrupt:
        print("stopped")
        return 0


async def _demonstrate(seconds: float) -> int:
    folder = make_folder()
    site = Site(Deployment(SMALL, folder, SEED, is_stateless=False))
    print("starting 1 control, 2 balancers and 3 agents, one process each, and stand-ins for")
    print("the network, the callers and 3 backend servers, one process for each kind")
    try:
        await site.start()
        print("ready: service marshal-desk has an address, two classes and three backend servers")
        await _send_traffic(site, seconds)
        return await _print_report(site)
    finally:
        with contextlib.suppress(ProcessLookupError):
            await site.stop()
        print(f"all processes stopped; settings and logs are in {folder}")


async def _send_traffic(site: Site, seconds: float) -> None:
    feed = site.endpoints_by_class["marshal-desk/feed"]
    checkpoint = site.endpoints_by_class["marshal-desk/checkpoint"]
    print(
        f"opening {FEED_COUNT} feeds and sending {REQUESTS_PER_S:g} checkpoint reports per second"
    )
    await site.callers.command(
        "start_feeds", endpoint=feed, count=FEED_COUNT, interval_s=0.5, over_s=seconds / 4
    )
    await site.callers.command(
        "start_requests",
        endpoint=checkpoint,
        rate=REQUESTS_PER_S,
        work_ms=10.0,
        parts=1,
        is_idempotent=False,
    )
    await asyncio.sleep(seconds)
    await site.callers.command("stop_requests")
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(OUTCOME_TIMEOUT_S):
            while not await _is_every_request_resolved(site):
                await asyncio.sleep(0.1)


async def _is_every_request_resolved(site: Site) -> bool:
    callers = await _fetch_callers_report(site)
    resolved_requests = sum(callers.get(f"requests_{name}", 0) for name in ("answered", "refused"))
    is_resolved: bool = resolved_requests == callers["requests_sent"]
    return is_resolved


async def _fetch_callers_report(site: Site) -> dict[str, Any]:
    report: dict[str, Any] = await site.callers.command(
        "report", lost_servers=[], silenced=[], max_idle_s=3.0
    )
    return report


async def _print_report(site: Site) -> int:
    callers = await _fetch_callers_report(site)
    servers = await site.servers.command("report")
    open_feeds = callers["outcomes"].get("open", 0)
    answered = callers.get("requests_answered", 0)
    print(f"feeds: {open_feeds} of {callers['feeds']} open, by server {callers['feeds_by_server']}")
    refused = callers.get("requests_refused", 0)
    print(
        f"reports: {answered} of {callers['requests_sent']} answered, {refused} refused and not run"
    )
    print(f"response times in ms: {callers['response_ms']}")
    print(f"packets delivered to a wrong service: {servers['misrouted_packets']}")
    print(f"reports run twice: {servers['double_runs']}")
    is_complete = open_feeds == FEED_COUNT and answered + refused == callers["requests_sent"]
    is_correct = not servers["misrouted_packets"] and not servers["double_runs"]
    return 0 if is_complete and is_correct else 1

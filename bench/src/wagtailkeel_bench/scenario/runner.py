"""Runs a scenario and compares its result with the expectations."""

from __future__ import annotations

import asyncio
import statistics
import time
from pathlib import Path
from typing import Any

import msgspec

from wagtailkeel_bench.deployment import DEPLOYMENT_SPECS_BY_NAME
from wagtailkeel_bench.deployment import Deployment
from wagtailkeel_bench.flow_records import BrokenFlow
from wagtailkeel_bench.flow_records import FlowRecord
from wagtailkeel_bench.flow_records import judge
from wagtailkeel_bench.scenario.actions import Actions
from wagtailkeel_bench.scenario.model import FeedTraffic
from wagtailkeel_bench.scenario.model import Scenario
from wagtailkeel_bench.scenario.operators import Operators
from wagtailkeel_bench.site import Site
from wagtailkeel_bench.site import make_folder

SETTLE_DELAY_S = 2.5
OPEN_TIMEOUT_S = 30.0
MIN_LOAD_S = 0.5

Result = dict[str, Any]


class ScenarioRun:
    """One run of a scenario, with each instance in a process of its own."""

    def __init__(self, scenario: Scenario, seed: int, *, is_stateless: bool = False) -> None:
        self._scenario = scenario
        spec = msgspec.structs.replace(DEPLOYMENT_SPECS_BY_NAME[scenario.deployment])
        spec.balancers = scenario.balancers or spec.balancers
        spec.controls = scenario.controls or spec.controls
        self.folder = make_folder()
        self._site = Site(Deployment(spec, self.folder, seed, is_stateless))
        self._operators = Operators(self._site, seed)
        self._actions = Actions(self._site, self._operators)
        self._initial_dumps: dict[str, Result] = {}
        self._measured_since = 0.0
        self._initial_call_bytes = 0

    async def run(self) -> Result:
        """Run all steps and return the result.

        After the steps, callers start no new requests, but open feeds keep sending theirs.
        ``settled_hops`` is measured after the other results, with this traffic.
        """
        try:
            await self._site.start(absent=self._scenario.absent)
            await self._set_rules()
            await self._start_traffic()
            await self._run_steps()
            await self._site.callers.command("stop_requests")
            await asyncio.sleep(SETTLE_DELAY_S)
            result = await self._collect_result()
            return {**result, "settled_hops": await self._measure_settled_hops()}
        finally:
            await self._site.stop()

    async def _set_rules(self) -> None:
        network = self._site.network
        if self._scenario.fabric_rule:
            await network.command("set_fabric_rule", **self._scenario.fabric_rule)
        if self._scenario.network_rule:
            await network.command("set_default_rule", **self._scenario.network_rule)

    async def _start_traffic(self) -> None:
        for traffic in self._scenario.requests:
            service, _, name = traffic.class_path.partition("/")
            classes = self._site.deployment.spec.classes
            traffic_class = next(c for c in classes if (c.service, c.name) == (service, name))
            await self._site.callers.command(
                "start_requests",
                endpoint=self._site.endpoints_by_class[traffic.class_path],
                rate=traffic.rate,
                work_ms=traffic.work_ms,
                parts=traffic.parts,
                is_idempotent=traffic_class.is_idempotent,
            )
        await asyncio.sleep(self._scenario.warmup_s)
        for feed_traffic in self._scenario.feeds:
            await self._start_feeds(feed_traffic)
        self._initial_dumps = await self._site.dumps()
        self._measured_since = time.monotonic()
        counters = await self._site.network.command("counters")
        self._initial_call_bytes = counters["call_bytes"]

    async def _start_feeds(self, traffic: FeedTraffic) -> None:
        """Start feeds; wait until all are open, at most OPEN_TIMEOUT_S after the last start."""
        expected = await self._site.callers.command("count_open") + traffic.count
        await self._site.callers.command(
            "start_feeds",
            endpoint=self._site.endpoints_by_class[traffic.class_path],
            count=traffic.count,
            interval_s=traffic.interval_s,
            over_s=traffic.over_s,
        )
        deadline = time.monotonic() + traffic.over_s + OPEN_TIMEOUT_S
        while time.monotonic() < deadline:
            if await self._site.callers.command("count_open") >= expected:
                return
            await asyncio.sleep(0.1)

    async def _run_steps(self) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for step in self._scenario.steps:
            await asyncio.sleep(max(0.0, started_at + step.at_s - loop.time()))
            await self._actions.run(step)
        await asyncio.sleep(max(0.0, started_at + self._scenario.duration_s - loop.time()))
        await self._actions.finish()

    # Results

    async def _collect_result(self) -> Result:
        max_interval_s = max((traffic.interval_s for traffic in self._scenario.feeds), default=1.0)
        callers = await self._site.callers.command(
            "report",
            lost_servers=self._actions.lost_servers,
            silenced=self._actions.silenced_flow_keys,
            max_idle_s=max_interval_s + SETTLE_DELAY_S,
        )
        servers = await self._site.servers.command("report")
        false_refusals = await self._site.servers.command(
            "count_runs", request_ids=callers["refused_ids"]
        )
        outcomes = callers["outcomes"]
        broken_by_cause = {
            cause: outcomes[cause]
            for cause in ("reset", "timed_out", "stale", "never_opened")
            if outcomes.get(cause)
        }
        held_flows = await self._find_resets_of_held_flows()
        sent = callers.get("requests_sent", 0)
        return {
            "flows_opened": callers["feeds"] + sent,
            "feeds": callers["feeds"],
            "broken_flows": sum(broken_by_cause.values()),
            "broken_by_cause": broken_by_cause,
            "resets_of_held_flows": len(held_flows),
            "held_flows_reset": msgspec.to_builtins(held_flows),
            "given_up_flows": outcomes.get("given_up", 0),
            "silenced_flows": outcomes.get("silenced", 0),
            "silenced_untold": outcomes.get("silenced", 0) - outcomes.get("silenced_told", 0),
            "silence_told_s": callers["silence_told_s"],
            "misrouted_packets": servers["misrouted_packets"],
            "multi_server_flows": servers["multi_server_flows"],
            "double_runs": servers["double_runs"],
            "false_refusals": false_refusals,
            "wrong_answers": callers.get("wrong_answers", 0),
            "late_packets": servers["late_packets"],
            "late_openings": servers["late_openings"],
            "requests_refused": callers.get("requests_refused", 0),
            "requests_unanswered": callers.get("requests_unanswered", 0),
            "answered_share": callers.get("requests_answered", 0) / sent if sent else 1.0,
            "worst_gap_ms": callers["worst_gap_ms"],
            "response_ms": callers["response_ms"],
            "server_falls": sum(s.get("falls", 0) for s in servers["servers"].values()),
            "overloads": sum(s.get("overloads", 0) for s in servers["servers"].values()),
            "accepted_changes": self._actions.accepted_changes,
            "call_bytes_per_node_s": await self._measure_call_bytes(),
            **_measure_imbalance(servers["servers"], callers["feeds_by_server"]),
            **await self._measure_resource_use(),
            **await self._operators.check_answers(),
            "share_error_cv": await self._measure_share_error(),
        }

    async def _find_resets_of_held_flows(self) -> list[BrokenFlow]:
        """Return the feeds that were reset while the server that answered them held them."""
        resets = await self._site.callers.command(
            "list_resets", silenced=self._actions.silenced_flow_keys
        )
        tables = await self._site.servers.command("list_flow_records")
        records = msgspec.convert([*tables, *resets], list[FlowRecord])
        return judge(records).broken_flows

    async def _measure_share_error(self) -> float:
        """Return how far the committed shares deviate from the true capacities.

        For each service this is the coefficient of variation of share divided by capacity; the
        highest value of all services is returned.
        """
        config = (await self._site.client.status()).configuration
        worst = 0.0
        for service in config.services_by_name:
            ratios = []
            for member in config.members_of(service):
                instance = self._site.deployment.instances_by_name[member.server_id]
                share = config.share_of(member.server_id)
                ratios.append(share / (instance.slots * instance.speed))
            if ratios:
                worst = max(worst, statistics.pstdev(ratios) / statistics.fmean(ratios))
        return worst

    async def _measure_settled_hops(self) -> int:
        """Return the highest number of hops between agents in the second after the settle delay."""
        before = _sum_counters(await self._site.dumps("agent"))
        await asyncio.sleep(1.0)
        after = _sum_counters(await self._site.dumps("agent"))
        hops = [
            int(name.split("_")[2])
            for name in after
            if name.startswith("delivered_after_") and after[name] > before.get(name, 0)
        ]
        return max(hops, default=0)

    async def _measure_call_bytes(self) -> float:
        """Return the bytes of RPC calls between processes, both ways, per node and second."""
        counters = await self._site.network.command("counters")
        elapsed_s = time.monotonic() - self._measured_since
        nodes = len(self._site.deployment.instances_by_name)
        rate: float = (counters["call_bytes"] - self._initial_call_bytes) / elapsed_s / nodes
        return rate

    async def _measure_resource_use(self) -> Result:
        """Return mean resource use by role, and the sums of all counters.

        Rates are since the start of the traffic, or since the start of the process if it is later.
        """
        dumps = await self._site.dumps()
        bytes_by_role: dict[str, list[float]] = {}
        cpu_by_role: dict[str, list[float]] = {}
        rss_by_role: dict[str, list[float]] = {}
        for name, dump in dumps.items():
            after, before = dump["metrics"], self._initial_dumps.get(name, {}).get("metrics")
            if before is None or after["uptime_s"] < before["uptime_s"]:
                before = {"uptime_s": 0.0, "cpu_s": 0.0, "counters": {}}
            elapsed_s = after["uptime_s"] - before["uptime_s"]
            sent = after["counters"].get("control_bytes_sent", 0)
            sent -= before["counters"].get("control_bytes_sent", 0)
            role = dump["role"]
            bytes_by_role.setdefault(role, []).append(sent / elapsed_s)
            cpu_by_role.setdefault(role, []).append((after["cpu_s"] - before["cpu_s"]) / elapsed_s)
            rss_by_role.setdefault(role, []).append(after["max_rss_kb"] / 1_024)
        return {
            "control_bytes_per_s": _mean_by_role(bytes_by_role),
            "cpu_share": _mean_by_role(cpu_by_role),
            "rss_mb": _mean_by_role(rss_by_role),
            "counters": _sum_counters(dumps),
        }


def _mean_by_role(values_by_role: dict[str, list[float]]) -> dict[str, float]:
    return {role: round(statistics.fmean(v), 4) for role, v in sorted(values_by_role.items())}


def _sum_counters(dumps: dict[str, Result]) -> dict[str, int]:
    total: dict[str, int] = {}
    for dump in dumps.values():
        for name, value in dump["metrics"]["counters"].items():
            total[name] = total.get(name, 0) + value
    return dict(sorted(total.items()))


def _measure_imbalance(
    servers: dict[str, Result], feeds_by_server: dict[str, int]
) -> dict[str, float]:
    """Return how unevenly load is spread relative to capacity, at worst over the services.

    Services whose work time per slot, summed over their servers, is at most MIN_LOAD_S are left out
    of ``imbalance_cv`` and ``imbalance_max_over_mean``.
    """
    worst = {"imbalance_cv": 0.0, "imbalance_max_over_mean": 1.0, "held_imbalance_cv": 0.0}
    for service in sorted({s["service"] for s in servers.values()}):
        reports_by_id = {key: s for key, s in servers.items() if s["service"] == service}
        loads = [s["busy_s"] / s["slots"] for s in reports_by_id.values()]
        held = [
            feeds_by_server.get(key, 0) / (s["slots"] * s["speed"])
            for key, s in reports_by_id.items()
        ]
        if sum(loads) > MIN_LOAD_S:
            cv = statistics.pstdev(loads) / statistics.fmean(loads)
            worst["imbalance_cv"] = max(worst["imbalance_cv"], cv)
            ratio = max(loads) / statistics.fmean(loads)
            worst["imbalance_max_over_mean"] = max(worst["imbalance_max_over_mean"], ratio)
        if sum(held) > 0:
            cv = statistics.pstdev(held) / statistics.fmean(held)
            worst["held_imbalance_cv"] = max(worst["held_imbalance_cv"], cv)
    return worst


async def run_scenario(scenario: Scenario, name: str, seed: int) -> Result:
    """Run a scenario, and its stateless baseline if requested; check the expectations."""
    run = ScenarioRun(scenario, seed)
    measured = await run.run()
    if scenario.has_baseline:
        baseline_run = ScenarioRun(scenario, seed, is_stateless=True)
        measured["baseline"] = await baseline_run.run()
        del measured["baseline"]["counters"]
    failed = [
        str(expectation)
        for expectation in scenario.expectations
        if not expectation.is_met(get_by_path(measured, expectation.path))
    ]
    result = {"scenario": name, "seed": seed, **measured, "expectations_failed": failed}
    (Path(run.folder) / "result.json").write_bytes(msgspec.json.encode(result))
    return result


def get_by_path(result: Result, path: str) -> float:
    """Return a value of the result by its dotted path."""
    value: Any = result
    for part in path.split("."):
        value = value[part]
    return float(value)

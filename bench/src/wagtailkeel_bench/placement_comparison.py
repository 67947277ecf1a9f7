"""Compares the placement rules by number of servers and load: ``python -m`` this module.

Each line has the averages of three seeds: the time that requests queue at a server while another
one is idle, in percent of the time of all requests' work, late and failed requests in a thousand,
the median and the 99th percentile of the response times, and load messages for each opening and
for each request. Refused and repeated openings are counted as openings too.
"""

from __future__ import annotations

import argparse
from statistics import fmean

import msgspec

from wagtailkeel_bench.load_model import LOADS_BY_NAME
from wagtailkeel_bench.load_model import POLICIES_BY_NAME
from wagtailkeel_bench.load_model import Load
from wagtailkeel_bench.load_model import simulate

SEEDS = (1, 2, 3)
POLICIES = ("sampled", "aged-loads")
REQUESTS = 4_000
MIN_DURATION_S = 1.0
MAX_DURATION_S = 12.0

HEADER = "load        servers busy rule       idle%   late  failed  p50 ms  p99 ms opening request"


def scale(load: Load, server_count: int, busy_share: float) -> Load:
    """Return a load on a number of servers, whose slots are busy for a share of the time."""
    speeds = load.server_speeds
    server_speeds = tuple(speeds[number % len(speeds)] for number in range(server_count))
    classes = load.request_classes
    work_factor = sum(entry.share * entry.work_factor for entry in classes)
    mean_work_s = load.mean_work_s * work_factor / sum(entry.share for entry in classes)
    rate = busy_share * sum(server_speeds) * load.slots / mean_work_s
    duration_s = min(MAX_DURATION_S, max(MIN_DURATION_S, REQUESTS / rate))
    return msgspec.structs.replace(
        load, server_speeds=server_speeds, requests_per_s=rate, duration_s=duration_s
    )


def compare(name: str, server_count: int, busy_share: float) -> None:
    """Print a line for each rule on one load."""
    load = scale(LOADS_BY_NAME[name], server_count, busy_share)
    for policy in POLICIES:
        results = [simulate(load, POLICIES_BY_NAME[policy], seed) for seed in SEEDS]
        requests = sum(result.requests for result in results)
        work_s = sum(sum(result.work_s_by_server) for result in results)
        idle_percent = 100 * sum(result.idle_while_queued_s for result in results) / work_s
        late = 1_000 * sum(result.late for result in results) / requests
        failed = 1_000 * sum(result.failed for result in results) / requests
        median_ms = fmean(result.percentile_ms(50) for result in results)
        high_ms = fmean(result.percentile_ms(99) for result in results)
        messages = fmean(result.load_messages_per_opening for result in results)
        messages_per_request = sum(result.load_messages for result in results) / requests
        print(
            f"{name:15s}{server_count:5d}{busy_share:5.2f} {policy:11s}{idle_percent:7.2f}"
            f"{late:7.2f}{failed:7.2f}{median_ms:8.1f}{high_ms:8.1f}{messages:8.2f}"
            f"{messages_per_request:8.2f}",
            flush=True,
        )


def main() -> None:
    """Compare the rules on all combinations of the arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--loads", nargs="+", default=["long-requests", "short-requests"])
    parser.add_argument("--servers", nargs="+", type=int, default=[10, 42, 109])
    parser.add_argument("--busy", nargs="+", type=float, default=[0.25, 0.6, 0.9])
    arguments = parser.parse_args()
    print(HEADER)
    for name in arguments.loads:
        for server_count in arguments.servers:
            for busy_share in arguments.busy:
                compare(name, server_count, busy_share)


if __name__ == "__main__":
    main()

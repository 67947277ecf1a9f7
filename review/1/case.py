"""Four core machines are replaced as planned, two at a time."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from small_site import BOUNDS  # noqa: E402
from small_site import Node  # noqa: E402
from small_site import NotRunnable  # noqa: E402
from small_site import Operator  # noqa: E402
from small_site import Record  # noqa: E402
from small_site import Site  # noqa: E402
from small_site import build_config  # noqa: E402
from small_site import build_route  # noqa: E402
from small_site import is_disturbed  # noqa: E402
from small_site import run_case  # noqa: E402

TRAFFIC_STARTS_S = 12.0
ROUNDS = 2
MACHINES_AT_ONCE = 2
"""As fault-tolerance allows."""
REJOIN_DELAY_S = BOUNDS["rejoin-delay-s"]
MARGIN_S = 0.1
SUCCESSOR_LEAD_S = REJOIN_DELAY_S + MARGIN_S
"""From the start of a successor to SIGTERM: after this time the successor doesn't count as lost."""
DARK_S = 1.5
"""``for_s`` of ``after_ack_wipe`` is 3 in the site file."""
RECOVERY_S = BOUNDS["recovery-time-s"]
READ_BACK_S = 20.0


def config(version: int) -> dict:
    routes = [build_route("r-one", "198.18.0.1", 8443, "desk", 1500 + version)]
    return build_config(version, {"desk": 0.0}, routes)


def sleep_until(moment: float) -> None:
    time.sleep(max(0.0, moment - time.monotonic()))


def run(site: Site, record: Record) -> bool:
    core = site.start_core()
    started_at = time.monotonic()
    operator = Operator(site, list(core))
    if operator.replace(config(1), 20.0) is None:
        raise NotRunnable("the first configuration was not acknowledged")
    sleep_until(started_at + TRAFFIC_STARTS_S)
    if os.environ.get("VARIANT") == "wipe" and is_disturbed():
        version = replace_one_and_wipe_two(site, record, operator)
    else:
        version = replace_in_pairs(site, record, operator)
    sleep_until(time.monotonic() + RECOVERY_S)
    return not is_read_back(record, operator, version)


def replace_in_pairs(site: Site, record: Record, operator: Operator) -> int:
    """Replace two of the first five machines, then two others; return the version in force."""
    version = 1
    first_five = list(operator.nodes)
    for number in range(ROUNDS):
        version += 1
        if is_disturbed():
            pair = first_five[number * MACHINES_AT_ONCE :][:MACHINES_AT_ONCE]
            replace(site, record, operator, pair, version)
        else:
            change_configuration(operator, version)
            time.sleep(SUCCESSOR_LEAD_S)
    return version


def change_configuration(operator: Operator, version: int) -> Node:
    """Change the configuration; return the machine that acknowledged it."""
    address = operator.replace(config(version))
    if address is None:
        raise NotRunnable(f"configuration {version} was not acknowledged")
    return next(node for node in operator.nodes if node.ip == address[0])


def replace(
    site: Site, record: Record, operator: Operator, leaving: list[Node], version: int
) -> None:
    """Start successors, wait until they don't count as lost, then stop the machines that leave.

    Meanwhile a configuration is changed.
    """
    staying = [node for node in operator.nodes if node not in leaving]
    site.seed_ips = [node.ip for node in staying[:3]]
    successors = [site.add_node("core", node.zone) for node in leaving]
    for node in successors:
        node.start()
    change_configuration(operator, version)
    sleep_until(successors[-1].started_at + SUCCESSOR_LEAD_S)
    record.write(f"the successors were started over {REJOIN_DELAY_S} s ago; no machine is lost")
    for node in leaving:
        node.stop()
    operator.nodes = [*staying, *successors]


def replace_one_and_wipe_two(site: Site, record: Record, operator: Operator) -> int:
    """The variant: one replacement of a follower, then two machines lose their disks."""
    leader = change_configuration(operator, 2)
    follower = next(node for node in operator.nodes if node is not leader)
    replace(site, record, operator, [follower], 3)
    first = change_configuration(operator, 4)
    second = next(node for node in operator.nodes if node is not first)
    for node in (first, second):
        node.kill()
    for node in (first, second):
        node.wipe()
    time.sleep(DARK_S)
    for node in (first, second):
        node.start()
    record.write("all machines are back")
    return 4


def is_read_back(record: Record, operator: Operator, version: int) -> bool:
    """Return whether any read of the last seconds shows the acknowledged configuration."""
    until = time.monotonic() + READ_BACK_S
    while time.monotonic() < until:
        found = operator.fetch_version(2.0)
        if found is not None:
            return found >= version
    record.write(f"configuration {version} was acknowledged, but no read of it is answered")
    return False


run_case(FOLDER, run)

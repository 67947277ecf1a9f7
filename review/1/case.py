"""Three core machines are replaced as planned, one after the other, the leader each time."""

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
REPLACEMENTS = 3
SUCCESSOR_LEAD_S = 2.0
"""The ``x`` of ``replace_core`` with ``how = "planned"`` in the site file."""
REJOIN_DELAY_S = BOUNDS["rejoin-delay-s"]
MARGIN_S = 0.1
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
    if os.environ.get("VARIANT") == "wipe":
        version = replace_one_and_wipe_two(site, record, operator)
    else:
        version = replace_leaders(site, record, operator)
    sleep_until(time.monotonic() + RECOVERY_S)
    return not is_read_back(record, operator, version)


def replace_leaders(site: Site, record: Record, operator: Operator) -> int:
    """Replace the machine that acknowledged last, three times; return the version in force."""
    version = 1
    for _ in range(REPLACEMENTS):
        version += 1
        leader = change_configuration(operator, version)
        if not is_disturbed():
            time.sleep(REJOIN_DELAY_S + MARGIN_S)
            continue
        replace(site, record, operator, leader)
    return version


def change_configuration(operator: Operator, version: int) -> Node:
    """Change the configuration; return the machine that acknowledged it."""
    address = operator.replace(config(version))
    if address is None:
        raise NotRunnable(f"configuration {version} was not acknowledged")
    return next(node for node in operator.nodes if node.ip == address[0])


def replace(site: Site, record: Record, operator: Operator, leaving: Node) -> None:
    """Start the successor, stop the machine 2 s later, wait until neither counts as lost."""
    staying = [node for node in operator.nodes if node is not leaving]
    site.seed_ips = [node.ip for node in staying[:3]]
    successor = site.add_node("core", leaving.zone)
    successor.start()
    sleep_until(successor.started_at + SUCCESSOR_LEAD_S)
    leaving.stop()
    operator.nodes = [*staying, successor]
    sleep_until(successor.started_at + REJOIN_DELAY_S + MARGIN_S)
    record.write(f"{successor.name}: started over {REJOIN_DELAY_S} s ago; no machine is lost")


def replace_one_and_wipe_two(site: Site, record: Record, operator: Operator) -> int:
    """The variant: one replacement of a follower, then two machines lose their disks."""
    leader = change_configuration(operator, 2)
    replace(site, record, operator, next(node for node in operator.nodes if node is not leader))
    first = change_configuration(operator, 3)
    second = next(node for node in operator.nodes if node is not first)
    for node in (first, second):
        node.kill()
    for node in (first, second):
        node.wipe()
    time.sleep(DARK_S)
    for node in (first, second):
        node.start()
    record.write("all machines are back")
    return 3


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

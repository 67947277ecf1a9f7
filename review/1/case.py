"""A core machine is replaced as planned; then two others lose their disks, as tolerated."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from small_site import BOUNDS  # noqa: E402
from small_site import NotRunnable  # noqa: E402
from small_site import Operator  # noqa: E402
from small_site import Record  # noqa: E402
from small_site import Site  # noqa: E402
from small_site import build_config  # noqa: E402
from small_site import build_route  # noqa: E402
from small_site import is_disturbed  # noqa: E402
from small_site import run_case  # noqa: E402

TRAFFIC_STARTS_S = 12.0
SUCCESSOR_LEAD_S = 2.0
"""The ``x`` of ``replace_core`` with ``how = "planned"`` in the site file."""
REJOIN_DELAY_S = BOUNDS["rejoin-delay-s"]
MARGIN_S = 0.6
DARK_S = 1.5
"""``for_s`` of ``after_ack_wipe`` is 3 in the site file."""
RECOVERY_S = BOUNDS["recovery-time-s"]
READ_BACK_S = 10.0


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
    leader_address = operator.replace(config(2))
    if leader_address is None:
        raise NotRunnable("the second configuration was not acknowledged")
    version = 2
    if is_disturbed():
        if os.environ.get("TROUBLE") != "wipe":
            replace_a_follower(site, record, operator, leader_address)
        version = 3
        acknowledged_by = operator.replace(config(version))
        if acknowledged_by is None:
            raise NotRunnable("the configuration before the loss was not acknowledged")
        lose_two_disks(record, operator, acknowledged_by)
    sleep_until(time.monotonic() + RECOVERY_S)
    return not is_read_back(record, operator, version)


def replace_a_follower(
    site: Site, record: Record, operator: Operator, leader: tuple[str, int]
) -> None:
    """Start the successor, stop the machine 2 s later, wait until neither counts as lost."""
    leaving = next(node for node in operator.nodes if node.ip != leader[0])
    staying = [node for node in operator.nodes if node is not leaving]
    site.seed_ips = [node.ip for node in staying[:3]]
    successor = site.add_node("core", leaving.zone)
    successor.start()
    sleep_until(successor.started_at + SUCCESSOR_LEAD_S)
    leaving.stop()
    operator.nodes = [*staying, successor]
    sleep_until(successor.started_at + REJOIN_DELAY_S + MARGIN_S)
    record.write(f"{successor.name}: started over {REJOIN_DELAY_S} s ago; no machine is lost")


def lose_two_disks(record: Record, operator: Operator, acknowledged_by: tuple[str, int]) -> None:
    """The machine that has acknowledged and one more lose power and their disks."""
    first = next(node for node in operator.nodes if node.ip == acknowledged_by[0])
    second = next(node for node in operator.nodes if node is not first)
    for node in (first, second):
        node.kill()
    for node in (first, second):
        node.wipe()
    time.sleep(DARK_S)
    for node in (first, second):
        node.start()
    record.write("all machines are back")


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

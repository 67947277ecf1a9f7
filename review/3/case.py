"""An operator's version number does not fit into 64 bits; later orders follow."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from small_site import BOUNDS  # noqa: E402
from small_site import ZONES  # noqa: E402
from small_site import NotRunnable  # noqa: E402
from small_site import Operator  # noqa: E402
from small_site import Record  # noqa: E402
from small_site import Site  # noqa: E402
from small_site import build_config  # noqa: E402
from small_site import build_route  # noqa: E402
from small_site import is_disturbed  # noqa: E402
from small_site import run_case  # noqa: E402

TRAFFIC_STARTS_S = 12.0
ACK_TIMEOUT_S = BOUNDS["ack-timeout-ms"] / 1000
CALM_S = 20.0
"""How long the later change is repeated; nothing else happens meanwhile."""
LONG_VERSION = 20261205120000000001
"""Date, time and microseconds: 20 digits, more than 2**64."""


def config(version: int) -> dict:
    routes = [build_route("r-one", "198.18.0.1", 8443, "desk", 1500)]
    return build_config(version, {"desk": 0.0}, routes)


def run(site: Site, record: Record) -> bool:
    core = site.start_core()
    started_at = time.monotonic()
    operator = Operator(site, list(core))
    if operator.replace(config(1), 20.0) is None:
        raise NotRunnable("the first configuration was not acknowledged")
    time.sleep(max(0.0, started_at + TRAFFIC_STARTS_S - time.monotonic()))
    if is_disturbed():
        operator.replace(config(LONG_VERSION), ACK_TIMEOUT_S)
    began_at = time.monotonic()
    path = f"/-/drain/{ZONES[0]}/begin"
    # An order other than a configuration is sent again for ack-timeout-ms at most.
    status, _, address = operator.call("POST", path, b"", ACK_TIMEOUT_S)
    record.write(f"operator: {path}: last status {status} from {address[0]}")
    is_evacuation_acknowledged = status == 200
    is_change_acknowledged = False
    while not is_change_acknowledged and time.monotonic() - began_at < CALM_S:
        is_change_acknowledged = operator.replace(config(2), 4.0) is not None
    waited_s = time.monotonic() - began_at
    record.write(
        f"after {waited_s:.1f} s: a valid change is acknowledged: {is_change_acknowledged}, "
        f"an evacuation: {is_evacuation_acknowledged}; allowed {ACK_TIMEOUT_S:g} s"
    )
    record.write(f"running core processes: {sum(node.is_running for node in core)} of {len(core)}")
    return not (is_change_acknowledged and is_evacuation_acknowledged)


run_case(FOLDER, run)

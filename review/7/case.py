"""A heartbeat of another writer, with fields missing, arrives while a server is draining."""

import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from deployment import CannotRun
from deployment import configuration
from deployment import has_trouble
from deployment import main
from deployment import post
from deployment import route

DRAIN_PERIOD_S = 3.0
OPENINGS_PER_S = 40


def play(site):
    for number in range(3):
        site.add_core(number)
    edge = site.add_edge("za")
    sides = [site.add_side("za", "desk") for _ in range(2)]
    leaving, staying = (site.add_server(side, "desk", slots=2) for side in sides)
    body = configuration(1, [route("r-desk", "desk")], ["desk"])
    status, _ = site.order("POST", "/-/config/replace", json.dumps(body).encode())
    if status != 200:
        raise CannotRun(f"the first configuration was answered with {status}")
    site.wait_until("the edge is in rotation", lambda: edge.is_in_rotation)
    site.wait_until(
        "the servers are known",
        lambda: leaving.first_acked.is_set() and staying.first_acked.is_set(),
    )
    time.sleep(5.0)  # contact-window-ms is 4,000: every machine is in touch from now on.

    client = site.client()
    ends = time.monotonic() + 9.0

    def send():
        while time.monotonic() < ends:
            client.request()
            time.sleep(1 / OPENINGS_PER_S)

    threading.Thread(target=send, daemon=True).start()
    time.sleep(1.0)
    leaving.state = "draining"
    site.wait_until(
        "the drain is acknowledged",
        lambda: any(state == "draining" for _, state in leaving.acked),
        5.0,
    )
    acked_at = min(at for at, state in leaving.acked if state == "draining")
    time.sleep(DRAIN_PERIOD_S + 0.3)
    if has_trouble():
        # Such a heartbeat names no server to use: the fields "version" and "zone"'s writer differ.
        foreign = leaving.body()
        foreign.update(state="healthy", seq=leaving.seq + 100)
        del foreign["version"], foreign["warmup-left-ms"]
        status = post(leaving.node.ip, f"/-/instances/{leaving.id}/heartbeat", foreign)
        site.record.write("other writer", f"{json.dumps(foreign)}: {status}")
    time.sleep(max(0.0, ends - time.monotonic()) + 1.0)

    late = [at for at, _, _ in leaving.arrivals if at > acked_at + DRAIN_PERIOD_S]
    total = len(leaving.arrivals)
    if not total or not staying.arrivals:
        raise CannotRun("no traffic reached the servers")
    site.record.write(
        "check",
        f"drain acknowledged at {acked_at:.3f}; {len(late)} openings later than "
        f"{DRAIN_PERIOD_S} s after it, of {total} in all",
    )
    return bool(late)


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)

"""A control instance is replaced without SIGTERM, and right after it two others lose their disks."""

import json
import os
import shutil
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from deployment import CONTROL_PORT
from deployment import CannotRun
from deployment import call
from deployment import configuration
from deployment import has_trouble
from deployment import main
from deployment import route

CORES = 5
MAX_NODE_FAILURES = 2
REJOIN_DELAY_S = 4.0
MARGIN_S = 0.2
DARK_S = 1.5
RECOVERY_TIME_S = 12.0
READ_FOR_S = 20.0
GAP_S = float(os.environ.get("GAP_S", "0.5"))


def play(site):
    site.max_node_failures = MAX_NODE_FAILURES
    for number in range(CORES):
        site.add_core(number)
    replace(site, 1)
    time.sleep(REJOIN_DELAY_S + MARGIN_S)  # All five have been up for rejoin-delay-s.
    replace(site, 2)
    if os.environ.get("VARIANT") == "replace":
        replace_three(site)
    else:
        replace_one_and_lose_two_disks(site)
    return not is_read_back(site, 3)


def replace_one_and_lose_two_disks(site):
    """Replace a follower; then the acknowledging machine and another lose their disks."""
    successor = site.add_core(CORES)
    time.sleep(REJOIN_DELAY_S + MARGIN_S)
    leader, followers = find_leader(site)
    removed, lost = followers[0], [leader, followers[1]]
    if has_trouble():
        remove(site, removed)
        time.sleep(GAP_S)
    replace(site, 3)
    if not has_trouble():
        return
    for core in lost:
        core.signal(signal.SIGKILL)
    for core in lost:
        core.popen.wait()
        folder = site.disk(int(core.name.rpartition("-")[2]))
        shutil.rmtree(folder)
        folder.mkdir()
        site.record.write("platform", f"the disk of {core.name} is lost")
    time.sleep(DARK_S)
    for core in lost:
        core.start()
    site.record.write("site", f"all are back; {removed.name} has {successor.name} as successor")


def replace_three(site):
    """Replace three machines, each of whose successors has had its time; no disk is lost."""
    successors = [site.add_core(CORES + number) for number in range(3)]
    time.sleep(REJOIN_DELAY_S + MARGIN_S)
    _, followers = find_leader(site)
    replace(site, 3)
    if not has_trouble():
        return
    for core in followers[:3]:
        remove(site, core)
        time.sleep(0.3)
    names = ", ".join(core.name for core in successors)
    site.record.write("site", f"the successors {names} have had their time")


def remove(site, core):
    core.signal(signal.SIGKILL)
    core.popen.wait()
    site.cores.remove(core)
    site.record.write("platform", f"{core.name} is removed for good, without SIGTERM")


def replace(site, version):
    body = configuration(version, [route("r-desk", "desk")], ["desk"])
    status, _ = site.order("POST", "/-/config/replace", json.dumps(body).encode())
    if status != 200:
        raise CannotRun(f"configuration {version} was answered with {status}")


def find_leader(site):
    """Return the machine that answers reads without a redirect, and the other founders."""
    for _ in range(50):
        for core in site.cores[:CORES]:
            if call("GET", core.ip, CONTROL_PORT, "/-/config/fetch")[0] == 200:
                others = [other for other in site.cores[:CORES] if other is not core]
                return core, others
        time.sleep(0.1)
    raise CannotRun("no machine leads")


def is_read_back(site, version):
    """Read the configuration until recovery-time-s is over, and for a while longer."""
    started_at = site.record.now()
    read = None
    while site.record.now() < started_at + RECOVERY_TIME_S + READ_FOR_S:
        status, answer = site.order("GET", "/-/config/fetch", None, 2.0)
        if status == 200:
            read = json.loads(answer)["version"]
            break
    site.record.write(
        "check",
        f"acknowledged: version {version}; read back: {read}, "
        f"{site.record.now() - started_at:.1f} s after all were back",
    )
    running = [core.name for core in site.cores if core.is_running]
    site.record.write("check", f"running: {', '.join(running)}")
    return read is not None and read >= version


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)

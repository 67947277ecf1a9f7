"""Plays histories, and leaves out what a failure does not need."""

from __future__ import annotations

import tempfile
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from wagtailkeel_bench.simulation.cluster import Cluster
from wagtailkeel_bench.simulation.history import Kind
from wagtailkeel_bench.simulation.invariants import InvariantError

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_bench.simulation.history import Fault
    from wagtailkeel_bench.simulation.history import History

STOP_RETRY_S = 0.1
KILLS = (Kind.KILL, Kind.WIPE)


class _Player:
    """Brings the faults of a history about."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._begin_by_kind: dict[Kind, Callable[[Fault], None]] = {
            Kind.KILL: lambda fault: cluster.kill(fault.target),
            Kind.WIPE: self._wipe,
            Kind.FREEZE: lambda fault: self._set(fault, "is_frozen"),
            Kind.CUT: lambda fault: self._set(fault, "drops_inbound", "drops_outbound"),
            Kind.CUT_IN: lambda fault: self._set(fault, "drops_inbound"),
            Kind.CUT_OUT: lambda fault: self._set(fault, "drops_outbound"),
            Kind.DISK: lambda fault: self._set_disk(fault, is_failing=True),
            Kind.REPLACE: lambda fault: cluster.start(fault.successor),
            Kind.ABANDON: lambda fault: cluster.start(fault.successor),
            Kind.KILL_ALL: self._kill_all,
            Kind.ADD: lambda fault: cluster.start(fault.successor),
            Kind.SPLIT: lambda fault: cluster.partition(fault.group),
        }

    def begin(self, fault: Fault) -> None:
        """Begin a fault, which ends by itself."""
        self._cluster.disturbed_at = self._cluster.scheduler.now
        self._begin_by_kind[fault.kind](fault)
        self._cluster.scheduler.call_later(fault.lasts_s, lambda: self._end(fault))

    def _end(self, fault: Fault) -> None:
        cluster = self._cluster
        cluster.disturbed_at = cluster.scheduler.now
        if fault.kind is Kind.SPLIT:
            cluster.partition(())
        if not fault.target:
            return
        instance = cluster.instances_by_name[fault.target]
        instance.restored_at = cluster.scheduler.now
        if fault.kind in KILLS:
            cluster.start(fault.target)
        elif fault.kind is Kind.FREEZE:
            cluster.thaw(fault.target)
        elif fault.kind is Kind.DISK:
            self._set_disk(fault, is_failing=False)
        elif fault.kind is Kind.REPLACE:
            self._stop(fault)
        elif fault.kind is Kind.ABANDON:
            instance.has_left = True
            cluster.kill(fault.target)
        else:
            instance.drops_inbound = instance.drops_outbound = False

    def _stop(self, fault: Fault) -> None:
        """Stop the process of an instance for good, once one runs."""
        instance = self._cluster.instances_by_name[fault.target]
        process = self._cluster.running_process(fault.target)
        if process is None:
            self._cluster.scheduler.call_later(STOP_RETRY_S, lambda: self._stop(fault))
            return
        instance.has_left = True
        process.stop()

    def _set(self, fault: Fault, *names: str) -> None:
        for name in names:
            setattr(self._cluster.instances_by_name[fault.target], name, True)

    def _set_disk(self, fault: Fault, *, is_failing: bool) -> None:
        self._cluster.instances_by_name[fault.target].disk.is_failing = is_failing

    def _wipe(self, fault: Fault) -> None:
        self._cluster.kill(fault.target)
        self._cluster.instances_by_name[fault.target].disk.wipe()

    def _kill_all(self, fault: Fault) -> None:
        """End all processes; each starts again by itself before the fault ends."""
        cluster = self._cluster
        for name in cluster.instances_by_name:
            cluster.kill(name)
            delay_s = fault.lasts_s * cluster.random.random()
            cluster.scheduler.call_later(delay_s, partial(cluster.start, name))


def play(history: History) -> None:
    """Play a history; raise InvariantError, whose message begins with the virtual time."""
    with tempfile.TemporaryDirectory(prefix="wagtailkeel-simulation-") as folder:
        cluster = Cluster(history, Path(folder))
        try:
            _play(history, cluster)
        except InvariantError as error:
            raise InvariantError(f"{cluster.scheduler.now:.3f} s: {error}") from error
        finally:
            cluster.close()


def _play(history: History, cluster: Cluster) -> None:
    player = _Player(cluster)
    for fault in history.faults:
        cluster.scheduler.run_until(fault.at_s)
        player.begin(fault)
    cluster.scheduler.run_until(history.duration_s)
    acknowledged = len(cluster.invariants.acknowledged)
    cluster.scheduler.run_until(history.duration_s + 1.0)
    if len(cluster.invariants.acknowledged) == acknowledged:
        raise InvariantError("no command is acknowledged after the recovery time")


def is_broken(history: History) -> bool:
    """Return whether a history breaks an invariant."""
    try:
        play(history)
    except InvariantError:
        return True
    return False


def shrink(history: History) -> History:
    """Leave out faults one by one while the history still breaks an invariant."""
    for fault in reversed(history.faults):
        smaller = history.without(fault)
        if is_broken(smaller):
            history = smaller
    return history

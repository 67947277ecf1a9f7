"""Draws histories in which instances are added, lost and then partitioned from each other.

At most FAULT_TOLERANCE instances are lost at a time, and votes may move meanwhile. When a partition
begins, no instance counts as lost any more, so that the larger side decides what is in force. Only
strict histories have partitions that begin earlier.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from wagtailkeel_bench.simulation.history import FAULT_TOLERANCE
from wagtailkeel_bench.simulation.history import FIRST_FAULT_AT_S
from wagtailkeel_bench.simulation.history import LEAVES
from wagtailkeel_bench.simulation.history import REJOIN_DELAY_S
from wagtailkeel_bench.simulation.history import SUCCESSOR_LEAD_S
from wagtailkeel_bench.simulation.history import UNANNOUNCED_LEAVE_S
from wagtailkeel_bench.simulation.history import VOTERS
from wagtailkeel_bench.simulation.history import Fault
from wagtailkeel_bench.simulation.history import History
from wagtailkeel_bench.simulation.history import Kind

if TYPE_CHECKING:
    from collections.abc import Callable

DATA_CENTRES = 3
MOST_ADDITIONS = 5
LAST_ROUND_AT_S = 45.0
LOSS_KINDS = (Kind.KILL, Kind.WIPE, Kind.FREEZE, Kind.CUT, Kind.DISK)
STRICT_LOSS_KINDS = (Kind.KILL, Kind.FREEZE, Kind.CUT)
"""No more disks than promised are lost in strict histories either."""
LOSS_MIN_S, LOSS_MAX_S = 0.1, 8.0
SPLIT_MIN_S, SPLIT_MAX_S = 5.0, 14.0
PAUSES_S = (0.0, 0.1, 1.0)


class _Drawer:
    """Draws rounds of faults one after the other; ``at_s`` is when the next one begins."""

    def __init__(self, random: Random, *, is_strict: bool) -> None:
        self.at_s = FIRST_FAULT_AT_S
        self.faults: list[Fault] = []
        self._is_strict = is_strict
        self._busy_until_by_name: dict[str, float] = {}
        self._random = random
        self._names = [f"c{number}" for number in range(1, VOTERS + 1)]
        self._started = VOTERS

    def add(self) -> None:
        """Add an instance."""
        self.faults.append(Fault(self.at_s, Kind.ADD, successor=self._start_name()))
        self._names.append(f"c{self._started}")
        self.at_s += REJOIN_DELAY_S

    def lose(self) -> None:
        """Lose some instances for a time, of one data centre or of any."""
        candidates = self._list_idle(self._random.choice([self._names, self._draw_data_centre()]))
        count = min(self._random.randint(1, FAULT_TOLERANCE), len(candidates))
        kind = self._random.choice(STRICT_LOSS_KINDS if self._is_strict else LOSS_KINDS)
        end_s = self.at_s
        for target in self._random.sample(candidates, count):
            begin_s = self.at_s + self._random.choice(PAUSES_S) * self._random.random()
            lasts_s = self._random.uniform(LOSS_MIN_S, LOSS_MAX_S)
            self.faults.append(Fault(begin_s, kind, target, lasts_s))
            self._busy_until_by_name[target] = begin_s + lasts_s
            end_s = max(end_s, begin_s + lasts_s)
        self._end_round(self.at_s, end_s)

    def replace(self) -> None:
        """Replace an instance for good, with or without a planned stop."""
        idle = self._list_idle(self._names)
        if not idle:
            return
        target = self._random.choice(idle)
        kind = Kind.REPLACE if self._is_strict else self._random.choice(LEAVES)
        successor = self._start_name()
        self.faults.append(Fault(self.at_s, kind, target, SUCCESSOR_LEAD_S, successor))
        self._names.remove(target)
        self._names.append(successor)
        self.at_s += SUCCESSOR_LEAD_S + UNANNOUNCED_LEAVE_S

    def split(self) -> None:
        """Partition a data centre, or half of the instances, from the others."""
        half = self._random.sample(self._names, len(self._names) // 2)
        group = self._random.choice([half, self._draw_data_centre()])
        lasts_s = self._random.uniform(SPLIT_MIN_S, SPLIT_MAX_S)
        self.faults.append(Fault(self.at_s, Kind.SPLIT, lasts_s=lasts_s, group=tuple(group)))
        self._end_round(self.at_s, self.at_s + lasts_s)

    def _end_round(self, begin_s: float, end_s: float) -> None:
        self.at_s = end_s + REJOIN_DELAY_S
        if self._is_strict:
            self.at_s = self._random.uniform(begin_s, self.at_s)

    def pause(self) -> None:
        """Let some time pass before the next round."""
        self.at_s += self._random.choice(PAUSES_S) * self._random.random()

    def _list_idle(self, names: list[str]) -> list[str]:
        return [name for name in names if self._busy_until_by_name.get(name, 0.0) <= self.at_s]

    def _draw_data_centre(self) -> list[str]:
        number = self._random.randrange(DATA_CENTRES)
        return [name for name in self._names if int(name[1:]) % DATA_CENTRES == number]

    def _start_name(self) -> str:
        self._started += 1
        return f"c{self._started}"


def draw_partition_history(seed: int, *, is_strict: bool = False) -> History:
    """Return the history of a seed: additions, then rounds of losses, replacements and splits."""
    random = Random(seed)
    drawer = _Drawer(random, is_strict=is_strict)
    for _ in range(random.randint(0, MOST_ADDITIONS)):
        drawer.add()
    rounds: list[Callable[[], None]] = [drawer.lose, drawer.lose, drawer.replace, drawer.split]
    while drawer.at_s < LAST_ROUND_AT_S:
        random.choice(rounds)()
        drawer.pause()
    drawer.split()
    faults = tuple(sorted(drawer.faults, key=lambda fault: fault.at_s))
    return History(seed, faults, may_suspend=is_strict)

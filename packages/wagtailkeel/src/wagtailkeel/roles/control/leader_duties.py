"""Commands that the leader proposes without a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.booking_clock import find_due_bookings
from wagtailkeel_coordination.membership import Membership
from wagtailkeel_coordination.shares import SHARE_INTERVAL_S
from wagtailkeel_coordination.shares import plan_shares
from wagtailkeel_state.commands import DefineDataCentre
from wagtailkeel_transport.log import logger

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtailkeel.roles.metrics import Metrics
    from wagtailkeel.settings import ControlSettings
    from wagtailkeel.settings.model import DataCentreSettings
    from wagtailkeel_state.commands import AnyCommand
    from wagtailkeel_state.configuration import Configuration

SHARE_CHANGES_PER_ROUND = 40


class LeaderDuties:
    """Finds due commands: data centres of the settings, removals, bookings and shares."""

    def __init__(
        self, data_centres: list[DataCentreSettings], metrics: Metrics, now: float
    ) -> None:
        self.membership = Membership(now)
        self._data_centres = data_centres
        self._metrics = metrics
        self._shares_planned_at = now
        self._share_service_index = 0

    @classmethod
    def from_settings(cls, section: ControlSettings, metrics: Metrics, now: float) -> LeaderDuties:
        """Build the duties of one control instance."""
        return cls(section.data_centres, metrics, now)

    def start_term(self, now: float) -> None:
        """Discard the heartbeats received in an earlier term: leases are counted from ``now``."""
        self.membership = Membership(now)

    def find_due_commands(
        self, config: Configuration, now: float, wall_s: float
    ) -> Iterator[AnyCommand]:
        """Yield the commands that are due; ``wall_s`` is seconds since the Unix epoch."""
        yield from self._find_data_centre_changes(config)
        for removal in self.membership.find_removals(config, now):
            logger.warning("removing a node that has stopped sending heartbeats: {}", removal)
            yield removal
        for advance in find_due_bookings(config, wall_s):
            logger.info("booking {} changes to {}", advance.booking_id, advance.state.value)
            yield advance
        if now - self._shares_planned_at >= SHARE_INTERVAL_S:
            self._shares_planned_at = now
            yield from self._find_share_changes(config)

    def _find_data_centre_changes(self, config: Configuration) -> Iterator[AnyCommand]:
        for data_centre in self._data_centres:
            known = config.data_centres_by_name.get(data_centre.name)
            if known is None or known.region != data_centre.region:
                yield DefineDataCentre(name=data_centre.name, region=data_centre.region)

    def _find_share_changes(self, config: Configuration) -> Iterator[AnyCommand]:
        capacities = {
            key: report.heartbeat.capacity
            for key, report in self.membership.reports_by_id.items()
            if not report.heartbeat.is_cold
        }
        services = list(config.services_by_name)
        changes = 0
        for _ in range(len(services)):
            if changes >= SHARE_CHANGES_PER_ROUND:
                # Every node has to pull each change, so the next round continues from here.
                return
            self._share_service_index = (self._share_service_index + 1) % len(services)
            command = plan_shares(config, services[self._share_service_index], capacities)
            if command is not None:
                changes += 1
                self._metrics.counters["share_changes"] += 1
                yield command

"""Builds owner tables in a worker thread, to not delay the tasks that forward packets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from anyio import to_thread

from wagtailkeel_state.owner_table import OwnerTable

if TYPE_CHECKING:
    from wagtailkeel_state.configuration import Configuration


class TableBuilder:
    """Builds the owner tables of one region, and keeps each service's until its epoch changes.

    ``without_quotas`` builds them by plain rendezvous hashing, the baseline of measurements.
    """

    def __init__(self, data_centre: str, *, without_quotas: bool = False) -> None:
        self.tables_by_service: dict[str, OwnerTable] = {}
        self._data_centre = data_centre
        self._without_quotas = without_quotas

    async def refresh(self, config: Configuration, service_names: list[str]) -> list[str]:
        """Rebuild the tables whose epoch is outdated; return the names of their services."""
        refreshed = []
        for name in service_names:
            service = config.services_by_name.get(name)
            current = self.tables_by_service.get(name)
            if service is None or (current is not None and current.epoch >= service.table_epoch):
                continue
            shares = config.table_shares(name, config.region_of(self._data_centre))
            build = OwnerTable.build_without_quotas if self._without_quotas else OwnerTable.build
            self.tables_by_service[name] = await to_thread.run_sync(
                build, service.table_epoch, shares, service.bucket_count
            )
            refreshed.append(name)
        return refreshed

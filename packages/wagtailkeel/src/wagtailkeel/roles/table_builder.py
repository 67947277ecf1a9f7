"""Owner tables built in a worker thread, away from the tasks that move packets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from anyio import to_thread

from wagtailkeel_state.owner_table import OwnerTable

if TYPE_CHECKING:
    from wagtailkeel_state.configuration import Configuration


class TableBuilder:
    """Builds tables for one region; keeps one by service until its epoch changes."""

    def __init__(self, data_centre: str, *, is_plain: bool = False) -> None:
        self.tables_by_service: dict[str, OwnerTable] = {}
        self._data_centre = data_centre
        self._is_plain = is_plain

    async def refresh(self, config: Configuration, service_names: list[str]) -> list[str]:
        """Build the tables whose epoch is behind; return the services whose table is new."""
        refreshed = []
        for name in service_names:
            service = config.services_by_name.get(name)
            known = self.tables_by_service.get(name)
            if service is None or (known is not None and known.epoch >= service.table_epoch):
                continue
            shares = config.table_shares(name, config.region_of(self._data_centre))
            build = OwnerTable.build_without_quotas if self._is_plain else OwnerTable.build
            self.tables_by_service[name] = await to_thread.run_sync(
                build, service.table_epoch, shares, service.bucket_count
            )
            refreshed.append(name)
        return refreshed

"""A balancer's route to one service: small enough to hold one for every service of a fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_protocol import gue

if TYPE_CHECKING:
    from wagtailkeel_state.configuration import Configuration
    from wagtailkeel_state.owner_table import OwnerTable

Address = tuple[str, int]

MAX_BUCKETS = 65_536
BUCKET_BYTES = tuple(bucket.to_bytes(2, "big") for bucket in range(MAX_BUCKETS))
PREFIX_IPV4 = gue.header_prefix(4)
PREFIX_IPV6 = gue.header_prefix(6)


class ServiceRoute(msgspec.Struct):
    """Positions of owners by bucket, their addresses, and what a header ends with."""

    positions: memoryview
    addresses: tuple[Address | None, ...]
    suffix: bytes

    @classmethod
    def from_table(cls, table: OwnerTable, config: Configuration) -> ServiceRoute:
        """Build the route; a server that is no member any more has no address."""
        members = [config.servers_by_id.get(server_id) for server_id in table.server_ids]
        addresses = tuple((m.host, m.port) if m is not None else None for m in members)
        return cls(memoryview(table.positions), addresses, gue.header_suffix(table.epoch))

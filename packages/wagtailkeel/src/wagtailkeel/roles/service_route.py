"""A balancer's route to one service, compact enough to hold one for every service of a fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_protocol import gue

if TYPE_CHECKING:
    from wagtailkeel_state.configuration import Configuration
    from wagtailkeel_state.owner_table import OwnerTable

Address = tuple[str, int]

MAX_BUCKETS = 65_536
ENCODED_BUCKETS = tuple(bucket.to_bytes(2, "big") for bucket in range(MAX_BUCKETS))
GUE_PREFIX_IPV4 = gue.header_prefix(4)
GUE_PREFIX_IPV6 = gue.header_prefix(6)


class ServiceRoute(msgspec.Struct):
    """The owners of a service's buckets, and the GUE header bytes that follow the bucket.

    ``positions`` has, for each bucket, the position of its owner in ``addresses``.
    """

    positions: memoryview
    addresses: tuple[Address | None, ...]
    gue_suffix: bytes

    @classmethod
    def from_table(cls, table: OwnerTable, config: Configuration) -> ServiceRoute:
        """Build the route from an owner table.

        A server that is no longer a member, or whose data centre is out of service, gets no
        address, so that no packet is sent to it even before the table without it is built.
        """
        addresses = tuple(_server_address(server_id, config) for server_id in table.server_ids)
        return cls(memoryview(table.positions), addresses, gue.header_suffix(table.epoch))


def _server_address(server_id: str, config: Configuration) -> Address | None:
    member = config.servers_by_id.get(server_id)
    if member is None or not config.is_in_service(member.data_centre):
        return None
    return member.host, member.port

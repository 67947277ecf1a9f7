"""A member of the cluster as the routers of agents see it."""

from __future__ import annotations

import msgspec


class Member(msgspec.Struct, frozen=True):
    """The service and the data centre of an agent's backend server."""

    service: str
    data_centre: str

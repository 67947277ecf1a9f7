"""What a scenario plans for one backend server."""

from __future__ import annotations

import msgspec

from wagtailkeel_bench.stand_ins.udp_port import Address


class ServerPlan(msgspec.Struct):
    """Properties of one server, the address it listens on and the address of its agent."""

    server_id: str
    service: str
    data_centre: str
    slots: int
    speed: float
    address: Address
    agent: Address

"""Membership entry of a balancer."""

from __future__ import annotations

import msgspec


class BalancerMember(msgspec.Struct):
    """A balancer as it announced itself."""

    instance_id: str
    data_centre: str
    host: str
    port: int
    rpc_port: int
    boot_id: int

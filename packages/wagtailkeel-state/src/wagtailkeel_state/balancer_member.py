"""Membership entry of a balancer."""

from __future__ import annotations

import msgspec


class BalancerMember(msgspec.Struct):
    """A balancer, with the details that it announced."""

    instance_id: str
    data_centre: str
    host: str
    port: int
    rpc_port: int
    boot_id: int

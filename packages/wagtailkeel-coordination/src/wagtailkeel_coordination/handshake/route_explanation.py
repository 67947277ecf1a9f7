"""Determines the route and the service of an opening that is given by its addresses."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING

from wagtailkeel_protocol.where_messages import WhereReply

if TYPE_CHECKING:
    from wagtailkeel_coordination.handshake.routing_table import RoutingTable
    from wagtailkeel_protocol.packet_format import PacketFormat

Address = tuple[str, int]

MAX_PORT = 65_535


class AddressError(ValueError):
    """A text is not an IP address and a port."""


def parse_address(text: str) -> Address:
    """Parse "host:port"; raise AddressError with the reason if it has another form."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError as error:
        raise AddressError(f"{text!r}: expected IP:PORT") from error
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise AddressError(f"{text!r}: the port is not a number from 1 to {MAX_PORT}")
    return host.strip("[]"), int(port)


def build_flow_key(packet_format: PacketFormat, caller: str, route: str) -> bytes:
    """Return the key of a flow between two addresses "host:port"; raise AddressError."""
    try:
        return packet_format.build_key(parse_address(caller), parse_address(route))
    except ValueError as error:
        raise AddressError(str(error)) from error


def explain_route(routing: RoutingTable, packet_format: PacketFormat, key: bytes) -> WhereReply:
    """Return the service of an opening, and the priority, target and timeout of its route."""
    destinations = routing.find(packet_format.endpoint_of(key))
    if destinations is None:
        return WhereReply(routing.version)
    return WhereReply(
        routing.version,
        destinations.choose(key),
        destinations.priority,
        destinations.target_s * 1_000,
        destinations.timeout_s * 1_000,
    )

"""Sample service of the measurements, with one class of held flows, and its flow keys."""

from __future__ import annotations

from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.flow_key import endpoint_key
from wagtailkeel_state import Configuration
from wagtailkeel_state import FlowProtocol
from wagtailkeel_state import LogEntry
from wagtailkeel_state import ServerMember
from wagtailkeel_state import Target
from wagtailkeel_state import apply_entry
from wagtailkeel_state.commands import CreateClass
from wagtailkeel_state.commands import CreateService
from wagtailkeel_state.commands import JoinServer

SERVICE_ADDRESS = "10.90.0.1"
CLASS_PORT = 20_000
FIRST_CALLER_HOST = 0x0A010000
FIRST_CALLER_PORT = 2_000
PORTS_PER_CALLER = 60_000


def build_keys(count: int) -> list[bytes]:
    """Return the keys of ``count`` TCP flows to the service."""
    endpoint = endpoint_key(SERVICE_ADDRESS, CLASS_PORT, ip.TCP)
    return [
        (FIRST_CALLER_HOST + number // PORTS_PER_CALLER).to_bytes(4, "big")
        + endpoint[:4]
        + (FIRST_CALLER_PORT + number % PORTS_PER_CALLER).to_bytes(2, "big")
        + endpoint[4:]
        for number in range(count)
    ]


def build_configuration(member: ServerMember) -> Configuration:
    """Return a configuration with the sample service and one backend server."""
    config = Configuration()
    commands = (
        CreateService(name="desk", address=SERVICE_ADDRESS),
        CreateClass(
            service="desk",
            name="feed",
            protocol=FlowProtocol.TCP,
            target=Target.parse("held<1000000"),
            port=CLASS_PORT,
            idle_limit_s=36_000.0,
        ),
        JoinServer(member=member),
    )
    for command in commands:
        apply_entry(config, LogEntry(config.index + 1, 1, command))
    return config

"""Runs one process of a handshake site: ``python -m wagtailkeel_bench.handshake_soak.node PLAN``.

The daemon of the command line does not run these roles, since their packet format and the reports
of their servers come from the deployment; here they are the soak's own.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import msgspec

from wagtailkeel.daemon import Daemon
from wagtailkeel.logs import configure_logging
from wagtailkeel.roles.control import Control
from wagtailkeel.roles.handshake import HandshakeAgent
from wagtailkeel.roles.handshake import HandshakeBalancer
from wagtailkeel.settings import Settings
from wagtailkeel_bench.handshake_soak.report_server import ReportServer
from wagtailkeel_bench.handshake_soak.soak_packet import SoakPacketFormat

if TYPE_CHECKING:
    from wagtailkeel.daemon import Role
    from wagtailkeel_coordination.events import EventSink


class NodePlan(msgspec.Struct):
    """The settings of a process; an agent receives its server's reports at ``report_port``."""

    settings: Settings
    report_port: int = 0


def build_roles(plan: NodePlan, event_sink: EventSink) -> list[Role]:
    """Build the role whose section the settings have."""
    settings = plan.settings
    if settings.control is not None:
        return [Control.from_settings(settings, None, event_sink)]
    if settings.handshake_balancer is not None:
        return [HandshakeBalancer.from_settings(settings, SoakPacketFormat(), event_sink)]
    agent = HandshakeAgent.from_settings(settings, SoakPacketFormat(), event_sink)
    return [agent, ReportServer(agent, (settings.instance.host, plan.report_port))]


def main() -> None:
    """Read the plan, a JSON file, and run until SIGTERM or SIGINT."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=NodePlan)
    event_log = configure_logging(plan.settings.instance.id, plan.settings.instance.log_level)
    anyio.run(Daemon(build_roles(plan, event_log), event_log).run)


if __name__ == "__main__":
    main()

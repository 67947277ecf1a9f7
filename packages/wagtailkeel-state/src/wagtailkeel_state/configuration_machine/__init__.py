"""Deterministic application of log entries: every replica computes the same configuration.

The modules of the subjects are imported here, which registers their rules.
"""

from __future__ import annotations

from wagtailkeel_state.configuration_machine import balancers
from wagtailkeel_state.configuration_machine import bookings
from wagtailkeel_state.configuration_machine import control_members
from wagtailkeel_state.configuration_machine import data_centres
from wagtailkeel_state.configuration_machine import routing
from wagtailkeel_state.configuration_machine import server_records
from wagtailkeel_state.configuration_machine import servers
from wagtailkeel_state.configuration_machine import services
from wagtailkeel_state.configuration_machine.apply_command import apply_command
from wagtailkeel_state.configuration_machine.entries import apply_entry

__all__ = [
    "apply_command",
    "apply_entry",
    "balancers",
    "bookings",
    "control_members",
    "data_centres",
    "routing",
    "server_records",
    "servers",
    "services",
]

"""Settings of a process."""

from __future__ import annotations

from wagtailkeel.settings.loader import load_settings
from wagtailkeel.settings.model import AgentSettings
from wagtailkeel.settings.model import BalancerSettings
from wagtailkeel.settings.model import ControlInstanceSettings
from wagtailkeel.settings.model import ControlSettings
from wagtailkeel.settings.model import DataCentreSettings
from wagtailkeel.settings.model import DiscoverySettings
from wagtailkeel.settings.model import HandshakeAgentSettings
from wagtailkeel.settings.model import HandshakeBalancerSettings
from wagtailkeel.settings.model import InstanceSettings
from wagtailkeel.settings.model import MetricsSettings
from wagtailkeel.settings.model import Settings

__all__ = [
    "AgentSettings",
    "BalancerSettings",
    "ControlInstanceSettings",
    "ControlSettings",
    "DataCentreSettings",
    "DiscoverySettings",
    "HandshakeAgentSettings",
    "HandshakeBalancerSettings",
    "InstanceSettings",
    "MetricsSettings",
    "Settings",
    "load_settings",
]

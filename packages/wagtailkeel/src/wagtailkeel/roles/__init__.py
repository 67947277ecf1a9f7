"""Roles of the daemon: tasks that own sockets and state."""

from __future__ import annotations

from wagtailkeel.roles.agent import Agent
from wagtailkeel.roles.balancer import Balancer
from wagtailkeel.roles.control import Control

__all__ = ["Agent", "Balancer", "Control"]

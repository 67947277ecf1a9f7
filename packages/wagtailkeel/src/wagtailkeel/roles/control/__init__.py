"""The control role."""

from __future__ import annotations

from wagtailkeel.roles.control.control import Control

__all__ = ["Control"]

"""Command lines: wagtailkeel for operators, and wagtailkeeld, the daemon."""

from __future__ import annotations

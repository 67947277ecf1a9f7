"""Scenarios: the language, the steps, and the runner that evaluates the results."""

from __future__ import annotations

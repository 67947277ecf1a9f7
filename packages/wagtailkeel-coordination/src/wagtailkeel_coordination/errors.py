"""Errors of the coordination layer."""

from __future__ import annotations


class CoordinationError(Exception):
    """Base of all errors of this layer."""

"""Errors of the coordination layer."""

from __future__ import annotations


class CoordinationError(Exception):
    """Base class of all errors of this layer."""

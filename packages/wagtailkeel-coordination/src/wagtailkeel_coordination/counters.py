"""Counters by name; every process has one set of them in its dump."""

from __future__ import annotations

from collections import Counter

Counters = Counter[str]
"""Alias for annotations."""

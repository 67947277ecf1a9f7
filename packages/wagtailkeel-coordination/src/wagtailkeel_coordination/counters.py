"""Counters by name; the diagnostic dump of a process has one set of them."""

from __future__ import annotations

from collections import Counter

Counters = Counter[str]
"""Alias for annotations."""

"""Measurements of packet rates, memory, message sizes and computing times."""

from __future__ import annotations

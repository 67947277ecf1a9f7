"""Test bench: stand-ins for callers, fabric and backend servers, scenarios and measurements."""

from __future__ import annotations

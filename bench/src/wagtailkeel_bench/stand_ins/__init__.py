"""Processes that simulate the network, the backend servers and the callers in the bench."""

from __future__ import annotations

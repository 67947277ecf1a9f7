"""Routing for protocols whose flows belong to buckets: an authority places those of its bucket."""

from __future__ import annotations

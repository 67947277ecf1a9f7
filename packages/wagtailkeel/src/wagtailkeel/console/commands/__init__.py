"""Commands of the two command lines."""

from __future__ import annotations

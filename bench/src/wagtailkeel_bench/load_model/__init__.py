"""Simulates loads in virtual time against the real routing code."""

from __future__ import annotations

from wagtailkeel_bench.load_model.load import LOADS_BY_NAME
from wagtailkeel_bench.load_model.load import Load
from wagtailkeel_bench.load_model.policy import POLICIES_BY_NAME
from wagtailkeel_bench.load_model.results import Results
from wagtailkeel_bench.load_model.results import format_table
from wagtailkeel_bench.load_model.simulation import simulate

__all__ = ["LOADS_BY_NAME", "POLICIES_BY_NAME", "Load", "Results", "format_table", "simulate"]

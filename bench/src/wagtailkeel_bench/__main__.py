"""``python -m wagtailkeel_bench``."""

from __future__ import annotations

from pathlib import Path

import click

from wagtailkeel_bench.demonstration import run_demonstration
from wagtailkeel_bench.test_runner import run_tests


@click.group()
def main() -> None:
    """Bench of wagtailkeel."""


@main.command(name="run")
@click.option("--seconds", type=click.FloatRange(min=1), default=8.0)
def run_command(seconds: float) -> None:
    """Run a small site for a few seconds and say what happened."""
    raise SystemExit(run_demonstration(seconds))


@main.command(name="test")
@click.option("--pattern", default="test_*.py")
def test_command(pattern: str) -> None:
    """Run the tests of the checkout."""
    raise SystemExit(run_tests(Path.cwd(), pattern))


main()

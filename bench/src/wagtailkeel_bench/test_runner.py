"""Runs the tests; those listed in KNOWN-RED.txt may fail, and the list is printed."""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

KNOWN_RED_FILE = "KNOWN-RED.txt"
TEST_PREFIX = "test:"


def run_tests(root: Path, pattern: str) -> int:
    """Run all tests below ``tests``; return 1 if none ran or an unlisted one failed, else 0."""
    sys.path.insert(0, str(root))
    suite = unittest.defaultTestLoader.discover(
        str(root / "tests"), pattern=pattern, top_level_dir=str(root)
    )
    result = unittest.TextTestRunner(verbosity=1, stream=sys.stdout).run(suite)
    known_red = load_known_red(root / KNOWN_RED_FILE)
    print_known_red(root / KNOWN_RED_FILE)
    failed = {case.id().split(" ")[0] for case, _ in [*result.failures, *result.errors]}
    for test_id in sorted(failed & known_red):
        print(f"known red: {test_id}")
    for test_id in sorted(known_red - failed):
        print(f"known red, but passed or not run: {test_id}")
    unexpected = failed - known_red
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    print(f"{passed} passed, {len(unexpected)} failed, {skipped} skipped")
    return 1 if unexpected or not result.testsRun else 0


def print_known_red(path: Path) -> None:
    """Print the list of known faults, including those of scenarios."""
    if path.exists():
        print(path.read_text())


def load_known_red(path: Path) -> set[str]:
    """Return the ids of the tests that may fail because of a known fault."""
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {
        line.removeprefix(TEST_PREFIX).strip() for line in lines if line.startswith(TEST_PREFIX)
    }

"""Guards against names of the platform in code outside the adapter's folder."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
SOURCES = ("packages", "bench")
PLATFORM_NAMES = (
    "wagtailkeel_platform",
    "WAGTAILKEEL_SETTINGS",
    "/-/",
    "path-prefix",
    "traffic-split",
    "warmup-per-s",
    "warmup-left-ms",
    "idle-timeout-ms",
    "seed-nodes",
    "bind-addrs",
    "datagram-addr",
    "internal-port-range",
    "control_plane",
    "in-tolerance",
    "fleetbench",
)
_ANY_NAME = re.compile("|".join(re.escape(name) for name in PLATFORM_NAMES))


class BoundaryTest(unittest.TestCase):
    def test_no_platform_name_outside_the_adapter(self) -> None:
        files = [path for folder in SOURCES for path in (ROOT / folder).rglob("*.py")]
        self.assertTrue(files)
        names_by_file = {
            str(path.relative_to(ROOT)): names
            for path in files
            if (names := _ANY_NAME.findall(path.read_text()))
        }
        self.assertEqual(names_by_file, {})

    def test_the_pattern_finds_platform_names(self) -> None:
        self.assertTrue(_ANY_NAME.search("POST /-/config/replace"))

    def test_the_folder_does_not_shadow_the_standard_platform_module(self) -> None:
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())


if __name__ == "__main__":
    unittest.main()

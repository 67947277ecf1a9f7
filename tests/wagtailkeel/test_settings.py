from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from wagtailkeel.console.daemon import main
from wagtailkeel.settings import load_settings

EXAMPLES = Path(__file__).parents[2] / "examples"

VALID = """
[instance]
id = "control-1"
data_centre = "ahmedabad"
host = "127.0.0.1"

[[control_instances]]
id = "control-1"
host = "127.0.0.1"
port = 7001
rpc_port = 7002

[control]
data_folder = "DATA"
data_centres = [{ name = "ahmedabad", region = "gujarat" }]

[[control.pools]]
network = "10.90.0.0/24"
"""


class SettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name)

    def check(self, text: str) -> tuple[int, str]:
        path = self.folder / "settings.toml"
        path.write_text(text.replace("DATA", str(self.folder)))
        result = CliRunner().invoke(main, ["check", str(path)])
        return result.exit_code, result.output

    def test_valid_settings_pass_the_check(self) -> None:
        self.assertEqual(self.check(VALID)[0], 0)

    def test_invalid_settings_give_the_key_and_the_expected_value(self) -> None:
        second_pool = '\n[[control.pools]]\nnetwork = "10.90.0.128/25"\n'
        table = {
            "unknown key": (VALID.replace("host =", "hots ="), "instance"),
            "wrong type": (VALID.replace("7001", '"7001"'), "control_instances[0].port"),
            "port out of range": (VALID.replace("7001", "70010"), "port"),
            "overlapping pool": (VALID + second_pool, "control.pools[1].network"),
            "not a network": (VALID.replace("10.90.0.0/24", "10.90"), "control.pools[0].network"),
            "missing data folder": (VALID.replace("DATA", "DATA/none"), "control.data_folder"),
            "not an address": (VALID.replace('"127.0.0.1"', '"localhost"'), "instance.host"),
            "one port twice": (VALID.replace("7002", "7001"), "control_instances.rpc_port"),
            "no such instance": (VALID.replace('"control-1"', '"other"', 1), "control_instances"),
            "an id twice": (
                VALID.replace(
                    "[control]",
                    "[balancer]\nport = 1\nrpc_port = 2\nfabric_port = 3\n\n[control]",
                ),
                "balancer.id",
            ),
            "no role": (VALID[: VALID.index("[control]")], "no role is configured"),
            "no TOML": ("instance = ", "is not TOML"),
            "unknown level": (
                VALID.replace("[[control_i", 'log_level = "LOUD"\n\n[[control_i'),
                "instance.log_level",
            ),
        }
        for name, (text, expected) in table.items():
            with self.subTest(name):
                status, output = self.check(text)
                self.assertEqual(status, 2, output)
                self.assertIn(expected, output)
                self.assertEqual(len(output.strip().splitlines()), 1)

    def test_a_file_in_another_encoding_is_a_usage_error(self) -> None:
        path = self.folder / "settings.toml"
        path.write_bytes(VALID.encode("utf-16"))
        result = CliRunner().invoke(main, ["check", str(path)])
        self.assertEqual(result.exit_code, 2)
        self.assertIn("is not UTF-8", result.output)

    def test_missing_file_is_a_usage_error(self) -> None:
        result = CliRunner().invoke(main, ["check", str(self.folder / "none.toml")])
        self.assertEqual(result.exit_code, 2)

    def test_examples_load(self) -> None:
        paths = sorted(EXAMPLES.rglob("*.toml"))
        self.assertGreaterEqual(len(paths), 7)
        for path in paths:
            with self.subTest(path.name):
                text = path.read_text().replace("/var/lib/wagtailkeel", str(self.folder))
                copy = self.folder / path.name
                copy.write_text(text)
                load_settings(copy)


if __name__ == "__main__":
    unittest.main()

"""Guards the start of a process: loguru is imported with the first message, and not before."""

from __future__ import annotations

import json
import subprocess
import sys
import unittest

IMPORT_ROLE = "import sys, wagtailkeel.logs, wagtailkeel.roles.handshake\n"
IS_IMPORTED = "print('loguru' in sys.modules)\n"
CONFIGURE = "wagtailkeel.logs.configure_logging('node-1', 'INFO')\n"
LOG = "from wagtailkeel_transport.log import logger\nlogger.warning('disk {}', 'full')\n"
LOG_BELOW_LEVEL = "logger.debug('nothing')\n"


def run_python(code: str) -> list[str]:
    """Run code in another process and return the lines that it writes."""
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=60
    )
    return result.stdout.splitlines()


class DeferredImportTest(unittest.TestCase):
    def test_a_role_starts_without_loguru(self) -> None:
        self.assertEqual(run_python(IMPORT_ROLE + CONFIGURE + IS_IMPORTED), ["False"])

    def test_the_first_message_is_written_as_configured(self) -> None:
        lines = run_python(IMPORT_ROLE + CONFIGURE + LOG + LOG_BELOW_LEVEL)
        self.assertEqual(len(lines), 1)
        line = json.loads(lines[0])
        self.assertEqual((line["node"], line["level"]), ("node-1", "warning"))
        self.assertEqual(line["message"], "disk full")


if __name__ == "__main__":
    unittest.main()

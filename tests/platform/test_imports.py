"""Guards the start of thin instances, whose processor time mostly goes into imports."""

from __future__ import annotations

import subprocess
import sys
import unittest

SCRIPT = """
import sys
import wagtailkeel_platform.process
import {module}
print("\\n".join(sys.modules))
"""

AGENT = "wagtailkeel.roles.handshake.agent"
BALANCER = "wagtailkeel.roles.handshake.balancer"


def modules_after_import(module: str) -> set[str]:
    """Return the modules that a fresh process has imported before its role starts."""
    command = [sys.executable, "-c", SCRIPT.format(module=module)]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    return set(result.stdout.split())


class ImportsTest(unittest.TestCase):
    def test_modules_that_a_role_starts_without(self) -> None:
        table = [
            (BALANCER, ["grpclib", "h2", "numpy", "loguru", "click", "h11", "hdrh", AGENT]),
            (BALANCER, ["wagtailkeel_coordination.handshake.agent_router"]),
            (AGENT, ["grpclib", "h2", "numpy", "loguru", "click", "h11", "hdrh", BALANCER]),
        ]
        for role, absent in table:
            imported = modules_after_import(role)
            for module in absent:
                with self.subTest(role, module=module):
                    self.assertNotIn(module, imported)


if __name__ == "__main__":
    unittest.main()

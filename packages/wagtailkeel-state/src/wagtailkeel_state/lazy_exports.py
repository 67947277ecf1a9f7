"""Re-exports of a package whose modules are imported on first use.

An instance then imports only what its role needs: imports are most of a process's start, and
processor time is short on a small instance.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable


def lazy_exports(package: str, modules_by_name: dict[str, str]) -> Callable[[str], Any]:
    """Return the ``__getattr__`` of a package, given the module that defines each name."""

    def import_name(name: str) -> Any:
        module = modules_by_name.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{module}"), name)

    return import_name

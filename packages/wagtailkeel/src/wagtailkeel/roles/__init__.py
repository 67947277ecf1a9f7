"""Roles of the daemon: tasks that own sockets and state.

Each role is imported from its own module, so that a process loads only what it runs.
"""

from __future__ import annotations

"""Roles of the daemon: tasks that own sockets and state.

Import each role from its own module, so that a process loads only the roles that it runs.
"""

from __future__ import annotations

"""Command interface of the stand-ins.

Each command is a JSON line on standard input and is answered by a JSON line on standard output.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from typing import Any

Handlers = dict[str, Callable[..., Any]]


async def serve_commands(handlers: Handlers) -> None:
    """Run commands until standard input ends or the command ``stop`` is received."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=64 * 1024 * 1024)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        request = json.loads(line)
        if request["command"] == "stop":
            return
        result = handlers[request["command"]](**request.get("arguments", {}))
        if asyncio.iscoroutine(result):
            result = await result
        sys.stdout.write(json.dumps(result) + "\n")
        sys.stdout.flush()

"""Stand-ins take commands as JSON lines on standard input and answer each with one line."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from typing import Any

Handlers = dict[str, Callable[..., Any]]


async def serve_commands(handlers: Handlers) -> None:
    """Serve until standard input ends or the command ``stop`` comes."""
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

"""Runs one stand-in: ``python -m wagtailkeel_bench.stand_ins KIND PLAN``."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import msgspec

from wagtailkeel_bench.stand_ins.callers import CallersPlan
from wagtailkeel_bench.stand_ins.callers import run_callers
from wagtailkeel_bench.stand_ins.network import NetworkPlan
from wagtailkeel_bench.stand_ins.network import run_network
from wagtailkeel_bench.stand_ins.servers import ServersPlan
from wagtailkeel_bench.stand_ins.servers import run_servers

KINDS: dict[str, tuple[type[msgspec.Struct], Callable[[Any], Coroutine[Any, Any, None]]]] = {
    "network": (NetworkPlan, run_network),
    "servers": (ServersPlan, run_servers),
    "callers": (CallersPlan, run_callers),
}


def main() -> None:
    """Read the plan, a JSON file, and run the stand-in until it is told to stop."""
    kind, path = sys.argv[1:]
    plan_type, run = KINDS[kind]
    plan = msgspec.json.decode(Path(path).read_bytes(), type=plan_type)
    asyncio.run(run(plan))


main()

"""The process that runs all simulated backend servers."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from wagtailkeel_bench.stand_ins.backend_server import BackendServer
from wagtailkeel_bench.stand_ins.command_loop import serve_commands
from wagtailkeel_bench.stand_ins.delivery_checker import DeliveryChecker
from wagtailkeel_bench.stand_ins.server_plan import ServerPlan


class ServersPlan(msgspec.Struct):
    """Start parameters: the random seed and all servers of a bench."""

    seed: int
    servers: list[ServerPlan]


class Servers:
    """Implements the commands on the servers."""

    def __init__(self, plan: ServersPlan) -> None:
        self.checker = DeliveryChecker()
        random = Random(plan.seed)
        self._servers_by_id = {
            server_plan.server_id: BackendServer(server_plan, self.checker, Random(random.random()))
            for server_plan in plan.servers
        }

    def turn_cold(self, server_id: str) -> bool:
        """Make a server cold while it runs; its agent is not notified."""
        self._servers_by_id[server_id].turn_cold()
        return True

    def set_speed(self, server_id: str, speed: float) -> bool:
        """Set the speed of a server."""
        self._servers_by_id[server_id].plan.speed = speed
        return True

    def set_down(self, server_id: str, is_down: bool) -> bool:
        """Stop a server, or start it again."""
        self._servers_by_id[server_id].set_down(is_down)
        return True

    def silence(self, server_id: str, count: int) -> list[str]:
        """Stop a server from answering up to ``count`` connections; return their keys in hex."""
        return self._servers_by_id[server_id].silence(count)

    def list_flow_records(self) -> list[Any]:
        """Return when the servers opened, closed and lost TCP connections."""
        records = [
            record for server in self._servers_by_id.values() for record in server.flow_records
        ]
        builtins: list[Any] = msgspec.to_builtins(records)
        return builtins

    def reset_load(self) -> bool:
        """Reset the work time and the number of served requests of all servers."""
        for server in self._servers_by_id.values():
            server.busy_s = 0.0
            server.counters["served"] = 0
        return True

    def report(self) -> dict[str, Any]:
        """Return the counts of delivery errors, and the load and counters of each server."""
        return {
            "misrouted_packets": self.checker.misrouted_packets,
            "late_packets": self.checker.late_packets,
            "late_openings": self.checker.late_openings,
            "double_runs": self.checker.double_runs,
            "multi_server_flows": self.checker.multi_server_flows,
            "servers": {
                server_id: {
                    "service": server.plan.service,
                    "data_centre": server.plan.data_centre,
                    "slots": server.plan.slots,
                    "speed": server.plan.speed,
                    "busy_s": server.busy_s,
                    "connections": server.connection_count,
                    "max_load_over_bearable": server.max_load_ratio,
                    **server.counters,
                }
                for server_id, server in self._servers_by_id.items()
            },
        }


async def run_servers(plan: ServersPlan) -> None:
    """Run the servers until told to stop."""
    servers = Servers(plan)
    handlers: dict[str, Callable[..., object]] = {
        "ping": lambda: True,
        "set_endpoints": servers.checker.set_endpoints,
        "close_data_centre": servers.checker.close_data_centre,
        "open_data_centre": servers.checker.open_data_centre,
        "close_server": servers.checker.close_server,
        "open_server": servers.checker.open_server,
        "count_runs": servers.checker.count_runs,
        "turn_cold": servers.turn_cold,
        "set_down": servers.set_down,
        "set_speed": servers.set_speed,
        "silence": servers.silence,
        "list_flow_records": servers.list_flow_records,
        "reset_load": servers.reset_load,
        "report": servers.report,
    }
    await serve_commands(handlers)

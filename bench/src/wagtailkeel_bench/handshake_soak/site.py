"""A site of the handshake roles: its processes, its backend servers and its callers."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from itertools import islice
from random import Random
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel.console.control_client import ControlClient
from wagtailkeel.errors import ControlUnreachableError
from wagtailkeel.settings import ControlSettings
from wagtailkeel.settings import DataCentreSettings
from wagtailkeel.settings import DiscoverySettings
from wagtailkeel.settings import HandshakeAgentSettings
from wagtailkeel.settings import HandshakeBalancerSettings
from wagtailkeel.settings import InstanceSettings
from wagtailkeel.settings import Settings
from wagtailkeel_bench.child_process import BenchError
from wagtailkeel_bench.child_process import ChildProcess
from wagtailkeel_bench.handshake_soak.callers import Callers
from wagtailkeel_bench.handshake_soak.node import NodePlan
from wagtailkeel_bench.handshake_soak.report_sender import REPORT_INTERVAL_S
from wagtailkeel_bench.handshake_soak.schedule import AGENTS
from wagtailkeel_bench.handshake_soak.schedule import BALANCERS
from wagtailkeel_bench.handshake_soak.schedule import CONTROLS
from wagtailkeel_bench.handshake_soak.schedule import names
from wagtailkeel_bench.handshake_soak.server import ServerPlan
from wagtailkeel_bench.handshake_soak.server import SoakServer
from wagtailkeel_state import AddressPool
from wagtailkeel_state.commands import ReplaceRouting
from wagtailkeel_state.routing import Route
from wagtailkeel_state.routing import RoutingDocument
from wagtailkeel_state.routing import ServicePolicy
from wagtailkeel_state.routing import WeightedService
from wagtailkeel_state.routing import compute_change

if TYPE_CHECKING:
    from pathlib import Path

    from wagtailkeel_bench.handshake_soak.record_file import RecordFile

Address = tuple[str, int]

SERVICE = "service"
DATA_CENTRE = "east"
ROUTE = ("198.18.0.1", 443)
REPORT_LIMIT_S = 2.5 * REPORT_INTERVAL_S
MAX_OPENING_WAIT_S = 1.3
READY_TIMEOUT_S = 30.0
READY_POLL_INTERVAL_S = 0.1
FABRIC_CHECK_INTERVAL_S = 0.5
GRACE_PERIOD_S = 6.0
"""A process that has not ended this long after SIGTERM is killed."""
COMMAND_DEADLINE_S = 20.0
PORT_RANGE = range(10_000, 30_000)
"""Below the ports from which the kernel opens connections, which could take one while a process is
down.
"""
MAX_PORT_CANDIDATES = 100


class _Ports(msgspec.Struct):
    """The ports of the site, the same on each host."""

    node: int
    rpc: int
    fabric: int
    caller: int
    server_side: int
    server: int
    report: int
    report_source: int

    @classmethod
    def pick(cls, hosts: list[str]) -> _Ports:
        """Pick ports that are free on all hosts."""
        candidates = Random().sample(PORT_RANGE, MAX_PORT_CANDIDATES)
        free = (port for port in candidates if all(_is_free(host, port) for host in hosts))
        ports = list(islice(free, len(cls.__struct_fields__)))
        if len(ports) < len(cls.__struct_fields__):
            raise BenchError(f"too few ports are free on {', '.join(hosts)}")
        return cls(*ports)


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


class HandshakeSite:
    """Starts, stops and disturbs the processes and servers, by the names of the schedule.

    Callers reach the balancers that answer that they are ready.
    """

    def __init__(self, folder: Path, records: RecordFile, random: Random) -> None:
        # Runs beside each other have networks of their own.
        network = f"127.{64 + os.getpid() % 128}"
        self._folder = folder
        self._hosts_by_name = {
            f"{role}-{number + 1}": f"{network}.{position}.{number + 1}"
            for position, (role, count) in enumerate(
                {"control": CONTROLS, "agent": AGENTS, "balancer": BALANCERS}.items()
            )
            for number in range(count)
        }
        caller_host = f"{network}.9.1"
        self._ports = _Ports.pick([*self._hosts_by_name.values(), caller_host])
        self._processes_by_name: dict[str, ChildProcess] = {}
        self.servers_by_name = {
            name: SoakServer(self._server_plan(name), records, random)
            for name in names("server", AGENTS)
        }
        caller_address = (caller_host, self._ports.caller)
        self.callers = Callers(caller_address, ROUTE, [], records, random)
        self._client = ControlClient(
            [(host, self._ports.rpc) for host in self._hosts("control")], COMMAND_DEADLINE_S
        )
        self._health_client = ControlClient([], COMMAND_DEADLINE_S)

    def _hosts(self, role: str) -> list[str]:
        return [host for name, host in self._hosts_by_name.items() if name.startswith(role)]

    def _server_plan(self, name: str) -> ServerPlan:
        host, ports = self._hosts_by_name[name.replace("server", "agent")], self._ports
        return ServerPlan(
            name,
            SERVICE,
            address=(host, ports.server),
            report_source=(host, ports.report_source),
            agent=(host, ports.server_side),
            agent_reports=(host, ports.report),
        )

    async def start(self) -> None:
        """Start all processes and servers; wait until all agents and balancers have joined."""
        for name in self._hosts_by_name:
            await self.start_process(name)
        for server in self.servers_by_name.values():
            await server.start(has_new_id=False)
        await self._put_route_in_force()
        deadline = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while not await self._is_ready():
            if ended := self.ended_processes():
                raise BenchError(f"{', '.join(ended)} ended; logs in {self._folder}")
            if asyncio.get_running_loop().time() > deadline:
                raise BenchError(f"the site is not ready in time; logs in {self._folder}")
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    async def _put_route_in_force(self) -> None:
        document = RoutingDocument(
            1,
            {
                f"{ROUTE[0]}:{ROUTE[1]}": Route(
                    *ROUTE, (WeightedService(SERVICE, 1),), is_idempotent=True
                )
            },
            {SERVICE: ServicePolicy(SERVICE)},
        )
        command = ReplaceRouting(change=compute_change(RoutingDocument(), document))
        answer = await self._client.send(command, author="bench")
        if not answer.is_accepted:
            raise BenchError(
                f"control has not accepted the route: {answer.reason}; logs in {self._folder}"
            )

    async def _is_ready(self) -> bool:
        try:
            status = await self._client.status()
        except ControlUnreachableError:
            return False
        await self.check_balancers()
        is_complete = len(status.nodes) == AGENTS + BALANCERS
        return is_complete and len(self.callers.balancers) == BALANCERS

    async def run_fabric(self) -> None:
        """Check the balancers until cancelled."""
        while True:
            await asyncio.sleep(FABRIC_CHECK_INTERVAL_S)
            await self.check_balancers()

    async def check_balancers(self) -> None:
        """Send packets only to the balancers that are ready; to all if none is."""
        hosts = self._hosts("balancer")
        ready = await asyncio.gather(*(self._is_balancer_ready(host) for host in hosts))
        selected = [host for host, is_ready in zip(hosts, ready, strict=True) if is_ready]
        self.callers.balancers = [(host, self._ports.fabric) for host in selected or hosts]

    async def _is_balancer_ready(self, host: str) -> bool:
        try:
            dump = await self._health_client.dump((host, self._ports.rpc))
        except ControlUnreachableError:
            return False
        return bool(msgspec.json.decode(dump)["is_ready"])

    # Processes

    async def start_process(self, name: str) -> None:
        """Start a process of the system."""
        path = self._folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(NodePlan(self._settings(name), self._ports.report)))
        process = ChildProcess(
            name,
            ["-m", "wagtailkeel_bench.handshake_soak.node", str(path)],
            self._folder / f"{name}.log",
        )
        self._processes_by_name[name] = process
        await process.start()

    async def kill(self, name: str) -> None:
        """Kill a process."""
        await self._processes_by_name[name].kill()

    async def terminate(self, name: str) -> None:
        """Stop a process as planned; kill it after the grace period."""
        process = self._processes_by_name[name]
        process.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_PERIOD_S):
                await process.wait()
        except TimeoutError:
            await process.kill()

    def pause(self, name: str, is_paused: bool) -> None:
        """Suspend or resume a process."""
        self._processes_by_name[name].signal(signal.SIGSTOP if is_paused else signal.SIGCONT)

    def ended_processes(self) -> list[str]:
        """Return the names of the processes that do not run."""
        return [name for name, p in self._processes_by_name.items() if not p.is_running]

    async def stop(self) -> None:
        """End all servers and processes."""
        for server in self.servers_by_name.values():
            server.crash()
        self.callers.close()
        # The agents and balancers need control for a planned stop.
        await asyncio.gather(*(process.kill() for process in self._processes_by_name.values()))
        self._client.close()
        self._health_client.close()

    # Settings

    def _settings(self, name: str) -> Settings:
        role, host, ports = name.split("-")[0], self._hosts_by_name[name], self._ports
        settings = Settings(
            instance=InstanceSettings(id=host, data_centre=DATA_CENTRE, host=host),
            discovery=DiscoverySettings(
                seeds=self._hosts("control"),
                port=ports.node,
                rpc_port=ports.rpc,
                may_form=True,
                voters=CONTROLS,
            ),
        )
        if role == "control":
            settings.control = self._control_settings(name)
        elif role == "balancer":
            settings.handshake_balancer = HandshakeBalancerSettings(
                port=ports.node,
                rpc_port=ports.rpc,
                fabric_port=ports.fabric,
                caller_port=ports.caller,
            )
        else:
            settings.handshake_agent = HandshakeAgentSettings(
                service=SERVICE,
                port=ports.node,
                rpc_port=ports.rpc,
                server_side_port=ports.server_side,
                server_host=host,
                server_port=ports.server,
                caller_port=ports.caller,
                report_limit_s=REPORT_LIMIT_S,
                max_opening_wait_s=MAX_OPENING_WAIT_S,
                server_accepts_tcp=True,
            )
        return settings

    def _control_settings(self, name: str) -> ControlSettings:
        data_folder = self._folder / f"{name}-data"
        data_folder.mkdir(exist_ok=True)
        return ControlSettings(
            data_folder=str(data_folder),
            pools=[AddressPool("192.0.2.0/24")],
            data_centres=[DataCentreSettings(name=DATA_CENTRE, region="home")],
        )

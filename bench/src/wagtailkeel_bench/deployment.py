"""Deployments: the users' sites of today, and where each process listens in a bench."""

from __future__ import annotations

import os
import socket
from pathlib import Path
from typing import Any

import msgspec

from wagtailkeel_bench.stand_ins.backend_server import ServerPlan
from wagtailkeel_bench.stand_ins.callers import CallersPlan
from wagtailkeel_bench.stand_ins.network import NetworkPlan
from wagtailkeel_bench.stand_ins.network import ProxiedInstance
from wagtailkeel_bench.stand_ins.servers import ServersPlan
from wagtailkeel_bench.stand_ins.udp_port import Address

NETWORKS = 200
BIND_THIRD = 1
PROXY_THIRD = 2


class ClassShape(msgspec.Struct):
    """A class to create."""

    service: str
    name: str
    protocol: str
    target: str
    is_idempotent: bool = True
    idle_limit_s: float = 3_600.0


class ServiceShape(msgspec.Struct):
    """A service's servers: their number, slots, and speeds in turn."""

    name: str
    servers: int
    slots: int
    speeds: list[float]


class DeploymentShape(msgspec.Struct):
    """A site, without addresses."""

    name: str
    data_centres: list[str]
    services: list[ServiceShape]
    classes: list[ClassShape]
    balancers: int = 3
    controls: int = 1


UNLIKE_SPEEDS = [1.0, 0.6, 1.5, 0.8, 1.2, 1.0, 0.7]

MARSHALS = DeploymentShape(
    "marshals",
    ["ahmedabad", "vadodara", "surat"],
    [
        ServiceShape("marshal-desk", 7, 2, UNLIKE_SPEEDS),
        ServiceShape("sheet-office", 3, 2, UNLIKE_SPEEDS),
    ],
    [
        ClassShape("marshal-desk", "feed", "tcp", "held<2000"),
        ClassShape("marshal-desk", "checkpoint", "udp", "p99<500ms", False, 30.0),
        ClassShape("sheet-office", "sheet", "udp", "p99<1000ms", True, 30.0),
    ],
)
GUILD = DeploymentShape(
    "guild",
    ["boston", "portland", "hartford"],
    [
        ServiceShape("count-desk", 7, 1, UNLIKE_SPEEDS),
        ServiceShape("sketch-archive", 3, 1, UNLIKE_SPEEDS),
    ],
    [
        ClassShape("count-desk", "session", "tcp", "held<2000"),
        ClassShape("count-desk", "tally", "udp", "p99<500ms", False, 30.0),
        ClassShape("sketch-archive", "sketch", "udp", "p99<1000ms", True, 30.0),
    ],
)
SMALL = DeploymentShape(
    "small",
    ["ahmedabad", "vadodara", "surat"],
    [ServiceShape("marshal-desk", 3, 2, [1.0])],
    [
        ClassShape("marshal-desk", "feed", "tcp", "held<2000"),
        ClassShape("marshal-desk", "checkpoint", "udp", "p99<500ms", False, 30.0),
    ],
    balancers=2,
)
SHAPES_BY_NAME = {shape.name: shape for shape in (MARSHALS, GUILD, SMALL)}


class Instance(msgspec.Struct):
    """One process of the system in a bench; ``ports`` by their key in the settings."""

    name: str
    role: str
    data_centre: str
    bind_host: str
    proxy_host: str
    ports: dict[str, int]
    service: str = ""
    slots: int = 1
    speed: float = 1.0


class AddressPlan:
    """Hands out loopback hosts and free ports of this run."""

    def __init__(self) -> None:
        self._network = 16 + os.getpid() % NETWORKS
        self._next = 1

    def next_hosts(self) -> tuple[str, str]:
        """Return a bind host and the proxy host in front of it."""
        number = self._next
        self._next += 1
        high, low = divmod(number, 250)
        return (
            f"127.{self._network}.{BIND_THIRD + 2 * high}.{low + 1}",
            f"127.{self._network}.{PROXY_THIRD + 2 * high}.{low + 1}",
        )


def free_port(host: str) -> int:
    """Return a port that the kernel finds free on a host."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


class Deployment:
    """A shape with addresses, and the plans and settings derived from it."""

    def __init__(self, shape: DeploymentShape, folder: Path, seed: int, is_stateless: bool) -> None:
        self.shape = shape
        self.folder = folder
        self._seed = seed
        self.is_stateless = is_stateless
        self._addresses = AddressPlan()
        self.instances_by_name: dict[str, Instance] = {}
        hosts = [self._addresses.next_hosts()[0] for _ in range(3)]
        self.fabric: Address = (hosts[0], free_port(hosts[0]))
        self.gateway: Address = (hosts[1], free_port(hosts[1]))
        self.callers: Address = (hosts[2], free_port(hosts[2]))
        for number in range(shape.controls):
            self._add(f"control-{number + 1}", "control", number, ("port", "rpc_port"))
        for service in shape.services:
            for number in range(service.servers):
                self.add_agent(service, number)
        for number in range(shape.balancers):
            ports = ("port", "rpc_port", "fabric_port")
            self._add(f"balancer-{number + 1}", "balancer", number, ports)

    def add_agent(self, service: ServiceShape, number: int) -> Instance:
        """Add a server and its agent."""
        ports = ("port", "rpc_port", "server_side_port", "server_port")
        instance = self._add(f"{service.name}-{number + 1}", "agent", number, ports)
        instance.service = service.name
        instance.slots = service.slots
        instance.speed = service.speeds[number % len(service.speeds)]
        return instance

    def _add(self, name: str, role: str, number: int, ports: tuple[str, ...]) -> Instance:
        bind_host, proxy_host = self._addresses.next_hosts()
        data_centre = self.shape.data_centres[number % len(self.shape.data_centres)]
        taken = {key: free_port(bind_host) for key in ports}
        instance = Instance(name, role, data_centre, bind_host, proxy_host, taken)
        self.instances_by_name[name] = instance
        return instance

    def of_role(self, role: str) -> list[Instance]:
        """Return the instances of a role."""
        return [found for found in self.instances_by_name.values() if found.role == role]

    # Plans of the stand-ins

    def network_plan(self) -> NetworkPlan:
        """Return what the network needs."""
        proxied = [
            ProxiedInstance(
                found.name,
                found.bind_host,
                found.proxy_host,
                [found.ports["port"]],
                [found.ports["rpc_port"]],
            )
            for found in self.instances_by_name.values()
        ]
        return NetworkPlan(self._seed, proxied, self.fabric, self.gateway, self.callers)

    def servers_plan(self) -> ServersPlan:
        """Return what the servers need."""
        servers = [
            ServerPlan(
                found.name,
                found.service,
                found.data_centre,
                found.slots,
                found.speed,
                (found.bind_host, found.ports["server_port"]),
                (found.bind_host, found.ports["server_side_port"]),
            )
            for found in self.of_role("agent")
        ]
        return ServersPlan(self._seed, servers)

    def callers_plan(self) -> CallersPlan:
        """Return what the callers need."""
        return CallersPlan(self._seed, self.callers, self.fabric)

    # Settings

    def write_settings(self, instance: Instance) -> Path:
        """Write the settings file of an instance and return its path."""
        path = self.folder / f"{instance.name}.toml"
        path.write_bytes(msgspec.toml.encode(self._settings(instance)))
        return path

    def _settings(self, instance: Instance) -> dict[str, Any]:
        settings: dict[str, Any] = {
            "instance": {
                "id": instance.name,
                "data_centre": instance.data_centre,
                "host": instance.proxy_host,
                "bind_host": instance.bind_host,
                "stateless": self.is_stateless,
            },
            "control_instances": [
                {"id": found.name, "host": found.proxy_host, **found.ports}
                for found in self.of_role("control")
            ],
        }
        if instance.role == "balancer":
            settings["balancer"] = dict(instance.ports)
        elif instance.role == "agent":
            settings["agents"] = [self._agent_section(instance)]
        else:
            settings["control"] = self._control_section(instance)
        return settings

    def _agent_section(self, instance: Instance) -> dict[str, Any]:
        return {
            "server_id": instance.name,
            "service": instance.service,
            "slots": instance.slots,
            "server_host": instance.bind_host,
            "caller_gateway_host": self.gateway[0],
            "caller_gateway_port": self.gateway[1],
            **instance.ports,
        }

    def _control_section(self, instance: Instance) -> dict[str, Any]:
        data_folder = self.folder / f"{instance.name}-data"
        data_folder.mkdir(exist_ok=True)
        return {
            "data_folder": str(data_folder),
            "pools": [{"network": "10.90.0.0/24"}],
            "data_centres": [{"name": name, "region": "home"} for name in self.shape.data_centres],
        }

"""The network stand-in: the fabric in front of the balancers, and a fault-injecting proxy.

Every instance listens on its own bind host; the other instances reach it through a proxy host with
the same ports. The proxy identifies the sender of a datagram or connection by its source host;
a sender whose host belongs to no instance is identified as ``operator``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import msgspec

from wagtailkeel_bench.stand_ins.command_loop import serve_commands
from wagtailkeel_bench.stand_ins.link_rule import LinkRule
from wagtailkeel_bench.stand_ins.udp_port import Address
from wagtailkeel_bench.stand_ins.udp_port import UdpPort

CUT_POLL_INTERVAL_S = 0.05
CHUNK_BYTES = 65_536


class ProxiedInstance(msgspec.Struct):
    """Hosts and ports of one instance behind the proxy."""

    name: str
    bind_host: str
    proxy_host: str
    udp_ports: list[int]
    tcp_ports: list[int]


class NetworkPlan(msgspec.Struct):
    """Start parameters of the network.

    ``fabric`` receives the packets of callers and ``gateway`` those to callers, which it forwards
    to ``callers``.
    """

    seed: int
    instances: list[ProxiedInstance]
    fabric: Address
    gateway: Address
    callers: Address


class Network:
    """Forwards datagrams and connections according to the rule of each pair of instances.

    Datagrams are subject to all faults of the rule, connections only to ``is_cut``.
    """

    def __init__(self, plan: NetworkPlan) -> None:
        self._plan = plan
        self._random = Random(plan.seed)
        self._names_by_host = {instance.bind_host: instance.name for instance in plan.instances}
        self._default_rule = LinkRule()
        self._fabric_rule = LinkRule()
        self._rules_by_pair: dict[tuple[str, str], LinkRule] = {}
        self._balancers_by_name: dict[str, Address] = {}
        self._balancers: list[Address] = []
        self.forwarded_datagrams = 0
        self.rpc_bytes = 0

    async def start(self) -> None:
        """Bind all ports."""
        for instance in self._plan.instances:
            for port in instance.udp_ports:
                self._start_udp(instance, port)
            for port in instance.tcp_ports:
                await self._start_tcp(instance, port)
        self._fabric_port = UdpPort(self._plan.fabric, self._on_caller_packet)
        self._gateway_port = UdpPort(self._plan.gateway, self._on_return_packet)

    # Fabric

    def set_balancer(self, name: str, host: str, port: int) -> bool:
        """Add a balancer to those among which the fabric distributes packets at random."""
        self._balancers_by_name[name] = (host, port)
        self._balancers = list(self._balancers_by_name.values())
        return True

    def remove_balancer(self, name: str) -> bool:
        """Remove a balancer from the fabric."""
        self._balancers_by_name.pop(name, None)
        self._balancers = list(self._balancers_by_name.values())
        return True

    def _on_caller_packet(self, datagram: bytes, sender: Address) -> None:
        if not self._balancers:
            return
        for delay_s in self._fabric_rule.pick_delays_s(self._random):
            balancer = self._random.choice(self._balancers)
            self._send_later(self._fabric_port, datagram, balancer, delay_s)

    def _on_return_packet(self, datagram: bytes, sender: Address) -> None:
        for delay_s in self._fabric_rule.pick_delays_s(self._random):
            self._send_later(self._gateway_port, datagram, self._plan.callers, delay_s)

    def _send_later(self, port: UdpPort, datagram: bytes, address: Address, delay_s: float) -> None:
        self.forwarded_datagrams += 1
        if delay_s <= 0.0:
            port.send(datagram, address)
            return
        asyncio.get_running_loop().call_later(delay_s, port.send, datagram, address)

    # Proxy

    def _rule_for_datagram(self, sender_host: str, receiver: str) -> LinkRule:
        if not self._rules_by_pair:
            return self._default_rule
        sender = self._names_by_host.get(sender_host, "operator")
        return self._rules_by_pair.get((sender, receiver), self._default_rule)

    def _start_udp(self, instance: ProxiedInstance, port: int) -> None:
        instance_address = (instance.bind_host, port)

        def on_datagram(datagram: bytes, sender: Address) -> None:
            rule = self._rule_for_datagram(sender[0], instance.name)
            for delay_s in rule.pick_delays_s(self._random):
                self._send_later(proxy_port, datagram, instance_address, delay_s)

        proxy_port = UdpPort((instance.proxy_host, port), on_datagram)

    async def _start_tcp(self, instance: ProxiedInstance, port: int) -> None:
        async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            peer_host = writer.get_extra_info("peername")[0]
            peer = self._names_by_host.get(peer_host, "operator")
            await self._wait_while_cut(peer, instance.name)
            try:
                instance_streams = await asyncio.open_connection(instance.bind_host, port)
            except OSError:
                writer.close()
                return
            await asyncio.gather(
                self._copy_stream(reader, instance_streams[1], peer, instance.name),
                self._copy_stream(instance_streams[0], writer, instance.name, peer),
            )

        await asyncio.start_server(on_connection, instance.proxy_host, port)

    async def _copy_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sender: str, receiver: str
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._wait_while_cut(sender, receiver)
                self.rpc_bytes += len(chunk)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    async def _wait_while_cut(self, sender: str, receiver: str) -> None:
        while self._rules_by_pair.get((sender, receiver), self._default_rule).is_cut:
            await asyncio.sleep(CUT_POLL_INTERVAL_S)

    # Faults

    def set_fabric_rule(self, **rule: float) -> bool:
        """Set the faults of packets from callers to balancers and of packets back to callers."""
        self._fabric_rule = msgspec.convert(rule, LinkRule)
        return True

    def set_default_rule(self, **rule: float) -> bool:
        """Set the rule of all pairs of instances that have no rule of their own."""
        self._default_rule = msgspec.convert(rule, LinkRule)
        return True

    def cut(self, senders: list[str], receivers: list[str], is_one_way: bool) -> bool:
        """Block all traffic from senders to receivers, and in the other direction unless one-way.

        Datagrams are dropped and connections stall; neither side receives an error.
        """
        for sender in senders:
            for receiver in receivers:
                self._rules_by_pair[(sender, receiver)] = LinkRule(is_cut=True)
                if not is_one_way:
                    self._rules_by_pair[(receiver, sender)] = LinkRule(is_cut=True)
        return True

    def heal(self) -> bool:
        """Remove the rules of single pairs, so that the default rule applies to all."""
        self._rules_by_pair.clear()
        return True

    def counters(self) -> dict[str, int]:
        """Return the numbers of forwarded datagrams and of forwarded RPC bytes."""
        return {"forwarded": self.forwarded_datagrams, "call_bytes": self.rpc_bytes}


async def run_network(plan: NetworkPlan) -> None:
    """Run the network until told to stop."""
    network = Network(plan)
    await network.start()
    handlers: dict[str, Callable[..., object]] = {
        "ping": lambda: True,
        "set_balancer": network.set_balancer,
        "remove_balancer": network.remove_balancer,
        "set_fabric_rule": network.set_fabric_rule,
        "set_default_rule": network.set_default_rule,
        "cut": network.cut,
        "heal": network.heal,
        "counters": network.counters,
    }
    await serve_commands(handlers)

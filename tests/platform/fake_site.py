"""A site of real processes on loopback addresses, with a fake backend server beside each agent."""

from __future__ import annotations

import http.client
import json
import os
import socket
import struct
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

from wagtailkeel_platform import packet_format as packets

ROOT = Path(__file__).parents[2]
SERVICE = "desk"
ROUTE = "198.18.0.1"
ROUTE_PORT = 8443
HEARTBEAT_INTERVAL_S = 0.2
WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
STOP_TIMEOUT_S = 6.0
REFUSED_RETRY_S = 0.2
FAILURE_LOG_LINES = 60
PACKET_HEADER = struct.Struct("!IBBIIIH4s4sHH")


def free_ports(count: int) -> list[int]:
    """Return ports that the kernel reports as free."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [int(sock.getsockname()[1]) for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def wait_until(condition: Any, description: str) -> Any:
    """Return the first true value of a condition; fail after ``WAIT_TIMEOUT_S``."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"timed out waiting for {description}")


def http_call(host: str, port: int, method: str, path: str, body: Any = None) -> tuple[int, bytes]:
    """Send an HTTP request, following redirects; return status 0 if there is no answer."""
    data = json.dumps(body).encode() if body is not None else None
    for _ in range(3):
        connection = http.client.HTTPConnection(host, port, timeout=3)
        try:
            connection.request(method, path, data, {"Content-Type": "application/json"})
            response = connection.getresponse()
            content = response.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()
        location = response.headers.get("Location")
        if response.status != 307 or not location:
            return response.status, content
        target = urlsplit(location)
        host, port = str(target.hostname), int(target.port or 0)
    return 0, b""


def build_packet(
    flags: int, caller: tuple[str, int], *, is_reply: bool = False, ack: int = 0, data: bytes = b""
) -> bytes:
    """Return a packet between a caller and the route."""
    endpoints = [(ROUTE, ROUTE_PORT), caller]
    (destination, destination_port), (source, source_port) = (
        reversed(endpoints) if is_reply else endpoints
    )
    return (
        PACKET_HEADER.pack(
            1,
            flags,
            0,
            0,
            7,
            ack,
            len(data),
            socket.inet_aton(destination),
            socket.inet_aton(source),
            source_port,
            destination_port,
        )
        + data
    )


class FakeBackend(threading.Thread):
    """A backend server that accepts every flow and answers data with its host.

    It returns packets of flows that it did not accept, flagged as bounced. While ``is_connected``
    is false, it sends no heartbeats, ignores packets and refuses connections.
    ``acknowledged_state`` is that of the last heartbeat with an answer of status 200.
    """

    def __init__(
        self, host: str, port: int, outbound_address: tuple[str, int], control_port: int
    ) -> None:
        super().__init__(daemon=True)
        self.host = host
        self.state = "healthy"
        self._listener: socket.socket | None = None
        self.sends_heartbeats = True
        self.acknowledged_state = ""
        self.openings = 0
        self.flows: set[bytes] = set()
        self._port = port
        self._outbound_address = outbound_address
        self._control_port = control_port
        self._sequence = 0
        self._started_at_ms = int(time.time() * 1_000)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._socket.settimeout(HEARTBEAT_INTERVAL_S)

    def run(self) -> None:
        self.is_connected = True
        last_heartbeat_at = 0.0
        while True:
            is_due = time.monotonic() - last_heartbeat_at > HEARTBEAT_INTERVAL_S
            if self.is_connected and self.sends_heartbeats and is_due:
                last_heartbeat_at = time.monotonic()
                self._send_heartbeat()
            try:
                packet = self._socket.recv(2_048)
            except TimeoutError:
                continue
            except OSError:
                return
            if self.is_connected:
                self._handle_packet(packet)

    @property
    def is_connected(self) -> bool:
        return self._listener is not None

    @is_connected.setter
    def is_connected(self, value: bool) -> None:
        if self._listener is not None:
            self._listener.close()
        self._listener = socket.create_server((self.host, self._port)) if value else None

    def _send_heartbeat(self) -> None:
        self._sequence += 1
        state = self.state
        if self.call_agent(state, self._sequence) == 200:
            self.acknowledged_state = state

    def call_agent(self, state: str, sequence: int) -> int:
        """Send a heartbeat with a state and a number; return the status of the answer."""
        body = {
            "service": SERVICE,
            "address": f"{self.host}:{self._port}",
            "zone": "east",
            "version": "v1",
            "capacity": 2,
            "state": state,
            "warmup-left-ms": 0,
            "seq": sequence,
            "born": self._started_at_ms,
        }
        path = f"/-/instances/i-{self.host}/heartbeat"
        return http_call(self.host, self._control_port, "POST", path, body)[0]

    def _handle_packet(self, packet: bytes) -> None:
        flags, caller = packet[4], (socket.inet_ntoa(packet[24:28]), 0)
        caller = (caller[0], struct.unpack_from("!H", packet, 28)[0])
        key = packet[24:32]
        if flags & packets.SYN:
            self.openings += 1
            self.flows.add(key)
            self._send(build_packet(packets.SYN | packets.ACK, caller, is_reply=True))
        elif key not in self.flows:
            self._send(packet[:4] + bytes([flags | packets.BOUNCED]) + packet[5:])
        elif len(packet) > packets.HEADER_BYTES:
            self._send(build_packet(packets.ACK, caller, is_reply=True, data=self.host.encode()))

    def _send(self, packet: bytes) -> None:
        self._socket.sendto(packet, self._outbound_address)

    def close(self) -> None:
        self._socket.close()


class FakeSite:
    """Control instances, two agents with servers and one balancer in data centre "east"."""

    def __init__(self, folder: Path, control_count: int = 3) -> None:
        ports = free_ports(7)
        self.control_port, self.ready_port, self.packet_port, self.outbound_port = ports[:4]
        self.rpc_port, self._app_port = ports[4], ports[5]
        self._folder = folder
        self.control_hosts = [f"127.31.0.{number + 1}" for number in range(control_count)]
        self._founder_hosts = list(self.control_hosts)
        self._seeds_by_host: dict[str, list[str]] = {}
        self.agent_hosts = [f"127.31.1.{number}" for number in (1, 2)]
        self.balancer_host = "127.31.2.1"
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._caller.bind(("127.31.9.1", self.packet_port))
        self._caller.settimeout(0.2)
        self.backends = [
            FakeBackend(host, self._app_port, (host, self.outbound_port), self.control_port)
            for host in self.agent_hosts
        ]

    def start(self) -> None:
        """Start all processes and backend servers, and apply the first configuration."""
        for host in [*self.control_hosts, *self.agent_hosts, self.balancer_host]:
            self.start_process(host)
        for backend in self.backends:
            backend.start()
        self.replace_configuration(1)
        wait_until(lambda: self.get_readiness_status() == 200, "the balancer to be ready")

    def start_process(self, host: str) -> None:
        path = self._folder / f"{host}.toml"
        path.write_text(self._settings(host))
        with (self._folder / f"{host}.log").open("ab") as log:
            self._processes[host] = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "main.py")],
                env={**os.environ, "WAGTAILKEEL_SETTINGS": str(path)},
                stdout=log,
                stderr=log,
            )

    def kill(self, host: str) -> None:
        process = self._processes.pop(host)
        process.kill()
        process.wait()

    def terminate(self, host: str) -> None:
        """Stop a process as planned; kill it if it has not ended after STOP_TIMEOUT_S."""
        process = self._processes.pop(host)
        process.terminate()
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def add_control_hosts(self, count: int, seeds: list[str]) -> list[str]:
        """Return the hosts of new control instances, which are to join through the seeds."""
        first = len(self._founder_hosts) + len(self._seeds_by_host) + 1
        hosts = [f"127.31.0.{number}" for number in range(first, first + count)]
        self._seeds_by_host.update(dict.fromkeys(hosts, seeds))
        return hosts

    def stop(self) -> None:
        for process in self._processes.values():
            process.terminate()
        for process in self._processes.values():
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for backend in self.backends:
            backend.is_connected = False
            backend.close()
        self._caller.close()

    def _settings(self, host: str) -> str:
        is_agent = host in self.agent_hosts
        is_control = host in self._founder_hosts or host in self._seeds_by_host
        serves = "control_plane" if is_control else "side" if is_agent else "edge"
        seed_hosts = self._seeds_by_host.get(host, self._founder_hosts)
        seeds = ",".join(f'"{seed_host}:{self.control_port}"' for seed_host in seed_hosts)
        data_folder = self._folder / f"data-{host}"
        data_folder.mkdir(exist_ok=True)
        addresses = (
            {"control-plane": self.control_port} if is_control else {"ready": self.ready_port}
        )
        if not is_control:
            addresses["datagram-addr"] = self.packet_port
        if is_agent:
            addresses["outbound"] = self.outbound_port
            addresses["control-plane"] = self.control_port
        bind_addresses = "\n".join(f'{name} = "{host}:{port}"' for name, port in addresses.items())
        return f"""
node-name = "{host}"
ip = "{host}"
zone = "east"
region = "home"
machine-class = "{serves}"
serves = ["{serves}"]
internal-port-range = [{self.rpc_port}, {self.rpc_port + 15}]
seed-nodes = [{seeds}]
bootstrap = {"false" if host in self._seeds_by_host else "true"}
data-dir = "{data_folder}"
heartbeat-interval-ms = {int(HEARTBEAT_INTERVAL_S * 1_000)}
service = "{SERVICE}"
app = "{host}:{self._app_port}"
field-of-a-later-version = 1
[zones]
east = "home"
[bind-addrs]
{bind_addresses}
[fault-tolerance]
max-node-failures = {len(self._founder_hosts) // 2}
[bounds]
warmup-factor = 1.5
warmup-slack = 5
"""

    def replace_configuration(self, version: int) -> None:
        """Replace the configuration, repeating the request until it is answered with status 200."""
        body = {
            "version": version,
            "routes": [
                {
                    "host": ROUTE,
                    "path-prefix": f"/{ROUTE_PORT}/",
                    "timeout-ms": 500,
                    "service": SERVICE,
                }
            ],
            "services": [{"name": SERVICE}],
            "limits": {"idle-timeout-ms": 15_000},
        }
        path = "/-/config/replace"
        wait_until(
            lambda: http_call(self.control_hosts[0], self.control_port, "POST", path, body)[0]
            == 200,
            "control to accept the configuration",
        )

    def get_readiness_status(self) -> int:
        return http_call(self.balancer_host, self.ready_port, "GET", "/-/readyz")[0]

    def call_operator_api(
        self, method: str, path: str, body: Any = None, host: str = ""
    ) -> tuple[int, bytes]:
        """Send an operator's request to a control instance; without ``host``, to the last one."""
        host = host or self.control_hosts[-1]
        return http_call(host, self.control_port, method, path, body)

    def send_and_receive(self, packet: bytes) -> bytes | None:
        """Send a caller's packet; return the next packet that comes back, or None."""
        self._caller.sendto(packet, (self.balancer_host, self.packet_port))
        try:
            return self._caller.recv(2_048)
        except TimeoutError:
            return None

    def open_flow(self, port: int) -> None:
        """Open a flow from a port, retransmitting the opening packet as callers do."""
        caller = ("127.31.9.1", port)
        for attempt in range(int(WAIT_TIMEOUT_S / 0.2)):
            answer = self.send_and_receive(build_packet(packets.SYN, caller, ack=attempt))
            if answer is not None and answer[4] & packets.SYN:
                return
            if answer is not None:
                # A refusal comes at once; a caller does not use up its attempts in milliseconds.
                time.sleep(REFUSED_RETRY_S)
        raise AssertionError(f"no server accepted the opening; {self.last_log_lines()}")

    def send_request(self, port: int) -> bytes:
        """Send data on a flow until it is answered; return the answer: data, or a reset.

        The server's answer to a repeated opening may come after the flow is open; it is dropped.
        """
        packet = build_packet(packets.ACK, ("127.31.9.1", port), ack=1, data=b"request")

        def receive_answer() -> bytes | None:
            answer = self.send_and_receive(packet)
            return None if answer is not None and answer[4] & packets.SYN else answer

        return bytes(wait_until(receive_answer, "an answer"))

    def last_log_lines(self) -> str:
        """Return the last log lines of all processes, to explain a failure."""
        lines = b"\n".join(self.logs()[-FAILURE_LOG_LINES:]).decode(errors="replace")
        return f"the last log lines:\n{lines}"

    def describe(self, packet: bytes) -> str:
        """Return the flags of an unexpected packet and the log lines that may explain it."""
        return (
            f"packet with flags {packet[4]:#04x} and {len(packet)} bytes; {self.last_log_lines()}"
        )

    def logs(self) -> list[bytes]:
        """Return the log lines of all processes."""
        return [
            line for path in self._folder.glob("*.log") for line in path.read_bytes().splitlines()
        ]

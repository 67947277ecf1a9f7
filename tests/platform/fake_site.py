"""A site of real processes on loopback addresses, each agent with a backend server of our own."""

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
HEARTBEAT_S = 0.2
WAIT_S = 30.0
POLL_S = 0.02
LINES_IN_FAILURE = 60
ENDS = struct.Struct("!IBBIIIH4s4sHH")


def free_ports(count: int) -> list[int]:
    """Return ports that the kernel says are free."""
    sockets = [socket.socket() for _ in range(count)]
    for found in sockets:
        found.bind(("127.0.0.1", 0))
    ports = [int(found.getsockname()[1]) for found in sockets]
    for found in sockets:
        found.close()
    return ports


def wait_until(condition: Any, what: str) -> Any:
    """Return the first true value of a condition; fail after a while."""
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise AssertionError(f"waited in vain for {what}")


def call(host: str, port: int, method: str, path: str, body: Any = None) -> tuple[int, bytes]:
    """Make one call, following redirects; status 0 where nobody answers."""
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


def build(
    flags: int, caller: tuple[str, int], *, is_reply: bool = False, ack: int = 0, data: bytes = b""
) -> bytes:
    """Return a packet between a caller and the route."""
    ends = [(ROUTE, ROUTE_PORT), caller]
    (to, to_port), (source, source_port) = reversed(ends) if is_reply else ends
    return (
        ENDS.pack(
            1,
            flags,
            0,
            0,
            7,
            ack,
            len(data),
            socket.inet_aton(to),
            socket.inet_aton(source),
            source_port,
            to_port,
        )
        + data
    )


class FakeBackend(threading.Thread):
    """A backend server: takes flows, answers data with its own name, returns what it lacks."""

    def __init__(self, host: str, port: int, outbound: tuple[str, int], control: int) -> None:
        super().__init__(daemon=True)
        self.host = host
        self.state = "healthy"
        self.is_alive_on_network = True
        self.flows: set[bytes] = set()
        self._port = port
        self._outbound = outbound
        self._control = control
        self._sequence = 0
        self._born = int(time.time() * 1_000)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._socket.settimeout(HEARTBEAT_S)

    def run(self) -> None:
        beaten_at = 0.0
        while True:
            if self.is_alive_on_network and time.monotonic() - beaten_at > HEARTBEAT_S:
                beaten_at = time.monotonic()
                self._beat()
            try:
                packet = self._socket.recv(2_048)
            except TimeoutError:
                continue
            except OSError:
                return
            if self.is_alive_on_network:
                self._take(packet)

    def _beat(self) -> None:
        self._sequence += 1
        body = {
            "service": SERVICE,
            "address": f"{self.host}:{self._port}",
            "zone": "east",
            "version": "v1",
            "capacity": 2,
            "state": self.state,
            "warmup-left-ms": 0,
            "seq": self._sequence,
            "born": self._born,
        }
        call(self.host, self._control, "POST", f"/-/instances/i-{self.host}/heartbeat", body)

    def _take(self, packet: bytes) -> None:
        flags, caller = packet[4], (socket.inet_ntoa(packet[24:28]), 0)
        caller = (caller[0], struct.unpack_from("!H", packet, 28)[0])
        key = packet[24:32]
        if flags & packets.SYN:
            self.flows.add(key)
            self._send(build(packets.SYN | packets.ACK, caller, is_reply=True))
        elif key not in self.flows:
            self._send(packet[:4] + bytes([flags | packets.BOUNCED]) + packet[5:])
        elif len(packet) > packets.HEADER_BYTES:
            self._send(build(packets.ACK, caller, is_reply=True, data=self.host.encode()))

    def _send(self, packet: bytes) -> None:
        self._socket.sendto(packet, self._outbound)

    def close(self) -> None:
        self._socket.close()


class FakeSite:
    """Three control instances, two agents with servers, one balancer; data centre "east"."""

    def __init__(self, folder: Path) -> None:
        ports = free_ports(7)
        self.control_port, self.ready_port, self.packet_port, self.outbound_port = ports[:4]
        self._internal_port, self._app_port = ports[4], ports[5]
        self._folder = folder
        self.cores = [f"127.31.0.{number}" for number in (1, 2, 3)]
        self.sides = [f"127.31.1.{number}" for number in (1, 2)]
        self.edge = "127.31.2.1"
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._caller.bind(("127.31.9.1", self.packet_port))
        self._caller.settimeout(0.2)
        self.backends = [
            FakeBackend(host, self._app_port, (host, self.outbound_port), self.control_port)
            for host in self.sides
        ]

    def start(self) -> None:
        """Start everything and put the first configuration in force."""
        for host in [*self.cores, *self.sides, self.edge]:
            self.start_process(host)
        for backend in self.backends:
            backend.start()
        self.configure(1)
        wait_until(lambda: self.get_ready() == 200, "the balancer")

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
            backend.is_alive_on_network = False
            backend.close()
        self._caller.close()

    def _settings(self, host: str) -> str:
        is_core, is_side = host in self.cores, host in self.sides
        serves = "control_plane" if is_core else "side" if is_side else "edge"
        seeds = ",".join(f'"{core}:{self.control_port}"' for core in self.cores)
        data = self._folder / f"data-{host}"
        data.mkdir(exist_ok=True)
        addresses = {"control-plane": self.control_port} if is_core else {"ready": self.ready_port}
        if not is_core:
            addresses["datagram-addr"] = self.packet_port
        if is_side:
            addresses["outbound"] = self.outbound_port
            addresses["control-plane"] = self.control_port
        bound = "\n".join(f'{name} = "{host}:{port}"' for name, port in addresses.items())
        return f"""
node-name = "{host}"
ip = "{host}"
zone = "east"
region = "home"
machine-class = "{serves}"
serves = ["{serves}"]
internal-port-range = [{self._internal_port}, {self._internal_port + 15}]
seed-nodes = [{seeds}]
bootstrap = true
data-dir = "{data}"
heartbeat-interval-ms = {int(HEARTBEAT_S * 1_000)}
service = "{SERVICE}"
app = "{host}:{self._app_port}"
a-field-of-tomorrow = 1
[zones]
east = "home"
[bind-addrs]
{bound}
[fault-tolerance]
max-node-failures = 1
[bounds]
warmup-factor = 1.5
warmup-slack = 5
"""

    def configure(self, version: int) -> None:
        """Have a configuration acknowledged."""
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
            lambda: call(self.cores[0], self.control_port, "POST", path, body)[0] == 200,
            "the acknowledgement of a configuration",
        )

    def get_ready(self) -> int:
        return call(self.edge, self.ready_port, "GET", "/-/readyz")[0]

    def operate(self, method: str, path: str, body: Any = None) -> tuple[int, bytes]:
        """Make a call of the operator at the last control instance."""
        return call(self.cores[-1], self.control_port, method, path, body)

    def exchange(self, packet: bytes) -> bytes | None:
        """Send a caller's packet; return the next packet that comes back, None without one."""
        self._caller.sendto(packet, (self.edge, self.packet_port))
        try:
            return self._caller.recv(2_048)
        except TimeoutError:
            return None

    def open(self, port: int) -> None:
        """Open a flow from a port, with copies of the opening as callers send them."""
        caller = ("127.31.9.1", port)
        for copies in range(int(WAIT_S / 0.2)):
            answer = self.exchange(build(packets.SYN, caller, ack=copies))
            if answer is not None and answer[4] & packets.SYN:
                return
        lines = b"\n".join(self.logs()[-LINES_IN_FAILURE:]).decode(errors="replace")
        raise AssertionError(f"no server takes the opening; the last lines:\n{lines}")

    def request(self, port: int) -> bytes:
        """Send data on a flow until it is answered; return the answer: data, or a reset."""
        packet = build(packets.ACK, ("127.31.9.1", port), ack=1, data=b"request")
        return bytes(wait_until(lambda: self.exchange(packet), "an answer"))

    def logs(self) -> list[bytes]:
        """Return the lines of all processes."""
        return [
            line for path in self._folder.glob("*.log") for line in path.read_bytes().splitlines()
        ]

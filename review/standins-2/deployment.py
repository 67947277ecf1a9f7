"""A small deployment on loopback: the project's processes, and stand-ins for what surrounds them.

The processes are started with the commands of the deploy file and settings of the platform's
format. Clients, servers and the operator are stand-ins of this folder. Every address is in
127.0.0.0/8; all processes end with the site.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

SYN, BOUNCED, RST, FIN, ACK = 0x01, 0x02, 0x08, 0x10, 0x20
HEAD = struct.Struct("!IBBIIIH4s4sHH")
KEY = random.randbytes(8)

CONTROL_PORT, READY_PORT, OUTBOUND_PORT, DATAGRAM_PORT, APP_PORT = 8166, 8167, 8168, 8172, 8165
INTERNAL_PORTS = (7720, 7735)
METRICS_PORT = 9464
HEARTBEAT_S = 0.77
HEARTBEAT_RETRY_S = 0.2
RESTART_DELAY_S = 0.2
CALL_TIMEOUT_S = 1.0
ROUTE_PORT = 8443
ROUTE_HOST = "127.19.0.1"  # Only a field of packets and configurations; nothing is sent to it.


class CannotRun(Exception):
    """The case could not be set up; it shows nothing."""


class Record:
    """The record of a run, one line for each event, with seconds since its start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self.started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started

    def write(self, who: str, text: str) -> None:
        line = f"{self.now():9.3f} {who}: {text}"
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()


def encode(flags, seq, ack, dst, dport, src, sport, data=b""):
    """Encode a packet; its sum covers all fields but echo, pad and BOUNCED."""
    body = HEAD.pack(0, flags & ~BOUNCED, 0, 0, seq, ack, len(data), dst, src, sport, dport) + data
    return struct.pack("!I", zlib.crc32(KEY + body) or 1) + body[4:5] + body[5:]


class Packet:
    """A decoded packet; ``is_intact`` says whether its sum is right."""

    def __init__(self, raw: bytes) -> None:
        self.raw = raw
        (self.sum, self.flags, _, _, self.seq, self.ack, self.len) = HEAD.unpack_from(raw)[:7]
        self.dst, self.src, self.sport, self.dport = HEAD.unpack_from(raw)[7:]
        self.data = raw[HEAD.size :]
        blank = b"\0\0\0\0" + bytes((self.flags & ~BOUNCED, 0)) + b"\0\0\0\0" + raw[10:]
        self.is_intact = self.sum == (zlib.crc32(KEY + blank) or 1)


def pick_prefix() -> str:
    """Return the first two parts of loopback addresses at which the ports are free."""
    ports = [CONTROL_PORT, READY_PORT, OUTBOUND_PORT, DATAGRAM_PORT, APP_PORT, METRICS_PORT]
    ports += list(range(INTERNAL_PORTS[0], INTERNAL_PORTS[0] + 3))
    for _ in range(20):
        prefix = f"127.{random.randrange(20, 250)}"
        try:
            for port in ports:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((f"{prefix}.1.1", port))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses and ports")


class Process:
    """One process of the project on a machine of its own."""

    def __init__(self, site: Site, name: str, role: str, ip: str, zone: str, extra: dict) -> None:
        self.site, self.name, self.ip, self.zone = site, name, ip, zone
        self._role, self._extra = role, extra
        self._settings = site.folder / f"{name}.toml"
        self._log = (site.folder / f"{name}.log").open("ab")
        self.popen: subprocess.Popen | None = None
        self._has_run = False

    def start(self) -> None:
        self._settings.write_text(self._render())
        site = self.site
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "WAGTAILKEEL_SETTINGS": str(self._settings),
        }
        self.popen = subprocess.Popen(
            site.commands[self._role], cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )
        self._has_run = True
        site.record.write("platform", f"start {self.name} at {self.ip}")

    def signal(self, number: int) -> None:
        assert self.popen is not None
        self.site.record.write("platform", f"{signal.Signals(number).name} to {self.name}")
        self.popen.send_signal(number)

    def kill_and_restart(self, delay_s: float = RESTART_DELAY_S) -> None:
        self.signal(signal.SIGKILL)
        self.popen.wait()
        time.sleep(delay_s)
        self.start()

    @property
    def is_running(self) -> bool:
        return self.popen is not None and self.popen.poll() is None

    def end(self) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()
        self._log.close()

    def _render(self) -> str:
        site = self.site
        serves = {"balancer": "edge", "agent": "side", "control": "control_plane"}[self._role]
        machine = {"balancer": "edge", "agent": "side", "control": "core"}[self._role]
        bind = {
            "balancer": {"datagram-addr": DATAGRAM_PORT, "ready": READY_PORT},
            "agent": {
                "datagram-addr": DATAGRAM_PORT,
                "outbound": OUTBOUND_PORT,
                "ready": READY_PORT,
                "control-plane": CONTROL_PORT,
            },
            "control": {"control-plane": CONTROL_PORT},
        }[self._role]
        lines = [
            f'node-name = "{self.name}"',
            f'role = "{self._role}"',
            f'machine-class = "{machine}"',
            f'serves = ["{serves}"]',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            'region = "north"',
            f"internal-port-range = [{INTERNAL_PORTS[0]},{INTERNAL_PORTS[1]}]",
            "seed-nodes = " + json.dumps([f"{ip}:{CONTROL_PORT}" for ip in site.seeds]),
            f"bootstrap = {'true' if site.is_forming and not self._has_run else 'false'}",
            f"in-tolerance = {'true' if self._role == 'control' else 'false'}",
            'discovery = "local"',
            'entry-type = "advertise"',
            f"heartbeat-interval-ms = {int(HEARTBEAT_S * 1000)}",
            'contracts = ["base","drain","config","cost","recover","flows","places"]',
            'config_mode = "highest"',
            'ecmp-hash = "mod"',
            'forwarding-mode = "agent"',
        ]
        lines += [f"{key} = {json.dumps(value)}" for key, value in self._extra.items()]
        lines += ["[zones]"] + [f'{zone} = "north"' for zone in site.zones]
        lines += ["[bind-addrs]"] + [f'{k} = "{self.ip}:{port}"' for k, port in bind.items()]
        lines += [
            "[limits]",
            "cpu-quota = 0.645\ncpu-cores = 1\nmemory-mb = 296\nmax-fds = 4096",
            "link-mbps = 1000.0",
            f"disk-mb = {128 if self._role == 'control' else 0}",
            "[fault-tolerance]",
            f"max-node-failures = {site.max_node_failures}",
            "zones = 1\nmax-region-failures = 0",
            "[bounds]",
            "seed-staleness-s = 3\nreuse-delay-s = 2\ncontact-window-ms = 4000",
            "ack-timeout-ms = 5000\nrejoin-delay-s = 4\ndrain-period-ms = 3000",
            "grace-period-s = 6\nloss-slack-ms = 200\nconfig-apply-ms = 3000",
            "downgrade-slack-ms = 250\npartition-slack-ms = 12000\nwarmup-factor = 1.5",
            "warmup-slack = 5\nevacuation-timeout-ms = 5000\nrecovery-time-s = 12",
            "flow-reorder-ms = 2000\nflow-max-s = 60",
        ]
        return "\n".join(lines) + "\n"


class Server:
    """A sound backend server: answers requests, and reports to the node beside it."""

    def __init__(self, site: Site, node: Process, service: str, slots=4, work_s=0.02, cold_s=0.0):
        self.site, self.node, self.service = site, node, service
        self.id = f"i-{random.randbytes(4).hex()}"
        self.slots, self.work_s, self.cold_s = slots, work_s, cold_s
        self.state = "healthy"
        self.seq = 0
        self.arrivals: list[tuple[float, bytes, int]] = []
        self.runs: list[tuple[float, str]] = []
        self.first_ack_at: float | None = None
        self.acked: list[tuple[float, str]] = []
        self.first_acked = threading.Event()
        self._flows: dict[tuple, dict] = {}
        self._slots = threading.Semaphore(slots)
        self._stop = threading.Event()
        self._out = (node.ip, OUTBOUND_PORT)

    def start(self) -> None:
        self.born_ms = int(time.time() * 1000)
        self._born = time.monotonic()
        self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._udp.bind((self.node.ip, APP_PORT))
        self._udp.settimeout(0.2)
        self._tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._tcp.bind((self.node.ip, APP_PORT))
        self._tcp.listen(16)
        self._tcp.settimeout(0.2)
        self.site.record.write(self.id, f"starts for {self.service} at {self.node.ip}")
        for run in (self._receive, self._serve_health, self._report):
            threading.Thread(target=run, daemon=True).start()

    def stop(self) -> None:
        self._stop.set()
        self._udp.close()
        self._tcp.close()
        self.site.record.write(self.id, "ends")

    def cold_left_ms(self) -> int:
        return max(0, int((self._born + self.cold_s - time.monotonic()) * 1000))

    def body(self) -> dict:
        return {
            "service": self.service,
            "address": f"{self.node.ip}:{APP_PORT}",
            "zone": self.node.zone,
            "version": "v1",
            "capacity": self.slots,
            "state": self.state,
            "warmup-left-ms": self.cold_left_ms(),
            "seq": self.seq,
            "born": self.born_ms,
        }

    def _report(self) -> None:
        while not self._stop.is_set():
            self.seq += 1
            state = self.state
            status = post(self.node.ip, f"/-/instances/{self.id}/heartbeat", self.body())
            if status and 200 <= status < 300:
                self.acked.append((self.site.record.now(), state))
                self.first_acked.set()
            self.site.record.write(self.id, f"heartbeat {self.seq} {state}: {status}")
            self._stop.wait(HEARTBEAT_S if status else HEARTBEAT_RETRY_S)

    def _serve_health(self) -> None:
        while not self._stop.is_set():
            try:
                connection, _ = self._tcp.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            with connection:
                connection.settimeout(1.0)
                try:
                    if connection.recv(4096):
                        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                except OSError:
                    pass

    def _send(self, packet: bytes) -> None:
        try:
            self._udp.sendto(packet, self._out)
        except OSError:
            pass

    def _receive(self) -> None:
        while not self._stop.is_set():
            try:
                raw = self._udp.recv(2048)
            except TimeoutError:
                continue
            except OSError:
                return
            self._on_packet(Packet(raw))

    def _reply(self, packet: Packet, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        self._send(
            encode(flags, seq, ack, packet.src, packet.sport, packet.dst, packet.dport, data)
        )

    def _on_packet(self, packet: Packet) -> None:
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self._flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow["client_seq"] != packet.seq:
                flow = {"client_seq": packet.seq, "seq": random.getrandbits(31), "answers": {}}
                self._flows[key] = flow
                self.arrivals.append((self.site.record.now(), packet.dst, packet.dport))
                self.site.record.write(
                    self.id,
                    f"opening {socket.inet_ntoa(packet.src)}:{packet.sport} -> "
                    f"{socket.inet_ntoa(packet.dst)}:{packet.dport}",
                )
            self._reply(packet, SYN | ACK, flow["seq"], packet.seq + 1)
            return
        if flow is None or (packet.ack and packet.ack < flow["seq"] + 1):
            raw = packet.raw
            self._send(raw[:4] + bytes((packet.flags | BOUNCED, 0)) + raw[6:])
            return
        if packet.flags & RST:
            del self._flows[key]
        elif packet.data:
            threading.Thread(target=self._run, args=(packet, flow), daemon=True).start()
        elif packet.flags & FIN:
            self._reply(packet, FIN | ACK, packet.ack, packet.seq + 1)
            flow["closed"] = True

    def _run(self, packet: Packet, flow: dict) -> None:
        attempt = packet.data.decode("ascii", "replace").partition("Attempt-Id: ")[2].split("\r")[0]
        if packet.seq not in flow["answers"]:
            flow["answers"][packet.seq] = None
            with self._slots:
                self.runs.append((self.site.record.now(), attempt))
                self.site.record.write(self.id, f"runs {attempt}")
                time.sleep(self.work_s)
            text = f"{self.id} {attempt}"
            answer = f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode()
            flow["answers"][packet.seq] = answer
        answer = flow["answers"][packet.seq]
        if answer is not None:
            self._reply(packet, ACK, packet.ack, packet.seq + len(packet.data), answer)


class Flow:
    """A client's flow with one request."""

    def __init__(self, attempt: str, sport: int) -> None:
        self.attempt, self.sport = attempt, sport
        self.seq = random.getrandbits(30)
        self.opened_at = self.ended_at = None
        self.server_seq = 0
        self.outcome = ""
        self.answer = b""
        self.synacks = 0
        self.expected_ack = None
        self.event = threading.Event()
        self.done = threading.Event()


class Client:
    """A client host: each request has a flow of its own from a new port."""

    def __init__(self, site: Site, ip: str, deadline_s: float = 1.5) -> None:
        self.site, self.ip, self.deadline_s = site, ip, deadline_s
        self._packed = socket.inet_aton(ip)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, DATAGRAM_PORT))
        self._socket.settimeout(0.2)
        self._next_port = random.randrange(20000, 30000)
        self._flows: dict[int, Flow] = {}
        self._number = 0
        self.flows: list[Flow] = []
        threading.Thread(target=self._receive, daemon=True).start()

    def new_flow(self) -> Flow:
        self._number += 1
        self._next_port += 1
        flow = Flow(f"{self.ip}-{self._number}", self._next_port)
        self._flows[flow.sport] = flow
        return flow

    def request(self, host: str = ROUTE_HOST, port: int = ROUTE_PORT) -> Flow:
        flow = self.new_flow()
        self.flows.append(flow)
        threading.Thread(target=self._run, args=(flow, host, port), daemon=True).start()
        return flow

    def session(
        self, pause_s: float, lasts_s: float, host: str = ROUTE_HOST, port: int = ROUTE_PORT
    ) -> Session:
        session = Session(self, pause_s, lasts_s, host, port)
        threading.Thread(target=session.run, daemon=True).start()
        return session

    def open(self, flow: Flow, host: str, port: int) -> None:
        for number, wait_s in enumerate((0.2, 0.4, 0.8)):
            self._send(flow, host, port, SYN, flow.seq, number)
            if flow.event.wait(wait_s):
                break

    def _send(self, flow, host, port, flags, seq, ack, data=b""):
        packet = encode(
            flags, seq, ack, socket.inet_aton(host), port, self._packed, flow.sport, data
        )
        for _ in range(5):
            edges = [e for e in self.site.edges if e.is_in_rotation] or self.site.edges
            edge = edges[zlib.crc32(f"{self.ip}:{flow.sport}".encode()) % len(edges)]
            try:
                self._socket.sendto(packet, (edge.ip, DATAGRAM_PORT))
            except OSError:
                pass
            return

    def _run(self, flow: Flow, host: str, port: int) -> None:
        flow.sent_at = self.site.record.now()
        self.site.record.write(self.ip, f"request {flow.attempt} from port {flow.sport}")
        self.open(flow, host, port)
        if not flow.synacks:
            flow.outcome = flow.outcome or "never opened"
        else:
            text = (
                f"GET / HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {flow.attempt}\r\n\r\n"
            ).encode()
            pause_s, deadline = 0.2, flow.sent_at + self.deadline_s
            while not flow.done.is_set() and self.site.record.now() < deadline:
                self._send(flow, host, port, ACK, flow.seq + 1, flow.server_seq + 1, text)
                flow.done.wait(pause_s)
                pause_s = min(1.6, 2 * pause_s)
            flow.outcome = flow.outcome or ("answered" if flow.answer else "deadline")
            if flow.answer:
                end = flow.seq + 1 + len(text)
                self._send(flow, host, port, FIN | ACK, end, flow.server_seq + 1 + len(flow.answer))
        flow.ended_at = self.site.record.now()
        self.site.record.write(
            self.ip, f"request {flow.attempt}: {flow.outcome} {flow.answer[-60:]!r}"
        )

    def _receive(self) -> None:
        while not self.site.ended.is_set():
            try:
                packet = Packet(self._socket.recv(2048))
            except TimeoutError:
                continue
            except OSError:
                return
            flow = self._flows.get(packet.dport)
            if flow is None:
                continue
            if packet.flags & RST:
                flow.outcome = flow.outcome or ("reset" if not packet.sum else "server reset")
                flow.done.set()
                flow.event.set()
            elif packet.flags & SYN and not flow.synacks:
                flow.synacks += 1
                flow.server_seq = packet.seq
                flow.event.set()
            elif packet.data and not flow.answer and flow.expected_ack in (None, packet.ack):
                flow.answer = packet.data
                flow.done.set()


class Session:
    """A flow that a client keeps open for many requests, with pauses between them."""

    def __init__(self, client: Client, pause_s: float, lasts_s: float, host, port) -> None:
        self.client, self.pause_s, self.lasts_s = client, pause_s, lasts_s
        self.host, self.port = host, port
        self.answered = 0
        self.unanswered: list[str] = []
        self.reset_at: float | None = None
        self.server_id = ""
        self.outcome = ""
        self.ended = threading.Event()

    def run(self) -> None:
        client, record = self.client, self.client.site.record
        flow = client.new_flow()
        client.open(flow, self.host, self.port)
        if not flow.synacks:
            self.outcome = flow.outcome or "never opened"
            self.ended.set()
            return
        seq, ack = flow.seq + 1, flow.server_seq + 1
        ends = record.now() + self.lasts_s
        number = 0
        while record.now() < ends and not self.outcome:
            number += 1
            attempt = f"{flow.attempt}.{number}"
            text = (
                f"POST / HTTP/1.1\r\nHost: {self.host}\r\nAttempt-Id: {attempt}\r\n\r\n"
            ).encode()
            flow.answer = b""
            flow.expected_ack = seq + len(text)
            flow.done.clear()
            pause_s, deadline = 0.2, record.now() + client.deadline_s
            while not flow.done.is_set() and record.now() < deadline:
                client._send(flow, self.host, self.port, ACK, seq, ack, text)
                flow.done.wait(pause_s)
                pause_s = min(1.6, 2 * pause_s)
            if flow.outcome:
                self.outcome, self.reset_at = flow.outcome, record.now()
                record.write(client.ip, f"{attempt}: {flow.outcome}, server {self.server_id}")
            elif not flow.answer:
                self.outcome = "deadline"
                self.unanswered.append(attempt)
                record.write(client.ip, f"{attempt}: no answer, server {self.server_id}")
            else:
                self.answered += 1
                self.server_id = flow.answer.split(b"\r\n\r\n", 1)[1].split()[0].decode()
                seq += len(text)
                ack += len(flow.answer)
                time.sleep(self.pause_s)
        if not self.outcome:
            self.outcome = "closed"
            client._send(flow, self.host, self.port, FIN | ACK, seq, ack)
        self.ended.set()


class Edge(Process):
    """An edge process, with the router's view of its readiness."""

    is_in_rotation = False


class Site:
    """The whole deployment."""

    def __init__(self, record_path: Path, zones=("za", "zb", "zc")) -> None:
        self.zones = zones
        self.record = Record(record_path)
        self.ended = threading.Event()
        self._temporary = tempfile.TemporaryDirectory(prefix="wagtailkeel-case-")
        self.folder = Path(self._temporary.name)
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing: run the deploy file's build")
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.commands = {name: role["run"].split() for name, role in roles.items()}
        self.prefix = pick_prefix()
        self.processes: list[Process] = []
        self.cores: list[Process] = []
        self.edges: list[Edge] = []
        self.sides: list[Process] = []
        self.servers: list[Server] = []
        self.seeds = [f"{self.prefix}.1.{10 + number}" for number in range(3)]
        self.max_node_failures = 1
        self.is_forming = True  # Until the first configuration: "bootstrap" is true so long.

    def disk(self, number: int) -> Path:
        return self.folder / f"disk-{number}"

    def add_core(self, number: int) -> Process:
        folder = self.disk(number)
        folder.mkdir(exist_ok=True)
        core = Process(
            self,
            f"core-{number}",
            "control",
            f"{self.prefix}.1.{10 + number}",
            self.zones[number % len(self.zones)],
            {"data-dir": str(folder)},
        )
        return self._add(core, self.cores)

    def add_edge(self, zone: str) -> Edge:
        number = len(self.edges)
        edge = Edge(
            self, f"edge-{number}", "balancer", f"{self.prefix}.2.{10 + number}", zone, {}
        )
        self._add(edge, self.edges)
        threading.Thread(target=self._probe_ready, args=(edge,), daemon=True).start()
        return edge

    def add_side(self, zone: str, service: str) -> Process:
        number = len(self.sides)
        ip = f"{self.prefix}.3.{10 + number}"
        extra = {"service": service, "app": f"{ip}:{APP_PORT}"}
        return self._add(Process(self, f"side-{number}", "agent", ip, zone, extra), self.sides)

    def _add(self, process, group):
        self.processes.append(process)
        group.append(process)
        process.start()
        return process

    def add_server(self, side: Process, service: str, **options) -> Server:
        server = Server(self, side, service, **options)
        self.servers.append(server)
        server.start()
        return server

    def _probe_ready(self, edge: Edge) -> None:
        misses = 0
        while not self.ended.is_set():
            status = call("GET", edge.ip, READY_PORT, "/-/readyz")[0]
            misses = 0 if status == 200 else misses + 1
            edge.is_in_rotation = status == 200 or (edge.is_in_rotation and misses < 2)
            self.ended.wait(0.5)

    def client(self, deadline_s: float = 1.5) -> Client:
        self._clients = getattr(self, "_clients", 0) + 1
        return Client(self, f"{self.prefix}.4.{10 + self._clients}", deadline_s)

    def order(self, method: str, path: str, body: bytes | None = None, within_s: float = 20.0):
        """Send an operator's order until it is answered clearly; return status and body."""
        ends = time.monotonic() + within_s
        attempt = 0
        status, answer = None, b""
        while time.monotonic() < ends:
            core = self.cores[attempt % len(self.cores)]
            attempt += 1
            status, answer = call(method, core.ip, CONTROL_PORT, path, body, redirects=2)
            self.record.write("operator", f"{method} {path} at {core.name}: {status}")
            if status in (400, 409, 412, 413, 422) or (status and 200 <= status < 300):
                if status == 200 and path == "/-/config/replace":
                    self.is_forming = False
                return status, answer
            time.sleep(min(0.1 * attempt, 1.0))
        return status, answer

    def wait_until(self, what: str, condition, within_s: float = 20.0) -> None:
        ends = time.monotonic() + within_s
        while not condition():
            if time.monotonic() > ends:
                raise CannotRun(f"{what}: not within {within_s} s")
            time.sleep(0.05)
        self.record.write("site", what)

    def close(self) -> None:
        self.ended.set()
        for server in self.servers:
            if not server._stop.is_set():
                server.stop()
        for process in self.processes:
            process.end()
        if os.environ.get("KEEP_LOGS"):
            target = Path(os.environ["KEEP_LOGS"])
            target.mkdir(parents=True, exist_ok=True)
            for log in self.folder.glob("*.log"):
                (target / log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()


def call(method, ip, port, path, body=None, redirects=0, timeout=CALL_TIMEOUT_S):
    """Make one HTTP call; return its status and body, or None and nothing without an answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        headers = {"Content-Type": "application/json"} if body is not None else {}
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        answer = response.read()
        location = response.getheader("Location", "")
        if response.status == 307 and redirects and location.startswith("http://"):
            host, _, target = location.removeprefix("http://").partition("/")
            next_ip, _, next_port = host.partition(":")
            return call(method, next_ip, int(next_port), "/" + target, body, redirects - 1, timeout)
        return response.status, answer
    except (OSError, http.client.HTTPException):
        return None, b""
    finally:
        connection.close()


def post(ip: str, path: str, body: dict):
    return call("POST", ip, CONTROL_PORT, path, json.dumps(body).encode())[0]


def configuration(version: int, routes: list[dict], services: list[str], **policy) -> dict:
    """Return a configuration as the pages show it."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/healthz",
                "max-conns": 2000,
                "protocol": "h1",
                "tls-enabled": False,
                "warmup-s": 2.0,
                "warmup-per-s": 0.0,
                **policy,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


def route(name: str, service: str, host=ROUTE_HOST, port=ROUTE_PORT, **fields) -> dict:
    """Return a route to one service."""
    return {
        "name": name,
        "host": host,
        "path-prefix": f"/{port}/",
        "type": "idempotent",
        "timeout-ms": 1200,
        "target-latency-ms": 120,
        "priority": 2,
        "service": service,
        "attempts": 2,
        **fields,
    }


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder: Path, play) -> None:
    """Play a case; exit with 1 if its rule was broken, 0 if it held, 2 if it could not run."""
    site = None
    try:
        site = Site(folder / "record.txt")
        is_broken = play(site)
        site.record.write("verdict", "the rule was broken" if is_broken else "the rule held")
        code = 1 if is_broken else 0
    except CannotRun as error:
        print(f"can't run: {error}", file=sys.stderr)
        if site is not None:
            site.record.write("verdict", f"the case could not run: {error}")
        code = 2
    except Exception as error:  # noqa: BLE001
        import traceback

        traceback.print_exc()
        if site is not None:
            site.record.write("verdict", f"the case could not run: {error!r}")
        code = 2
    finally:
        if site is not None:
            site.close()
    sys.exit(code)

"""Starts a small site on loopback: the project's programs as the deploy file runs them.

Every node has an address of its own in 127.0.0.0/8, so all nodes use the same port numbers, as on
the platform. Nothing outside the temporary folder of the run is written, apart from record.txt.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
REGION = "gujarat"
ZONES = ("ahmedabad", "vadodara", "surat")
METRICS_PORT = 9464
BOUNDS = {
    "seed-staleness-s": 3,
    "reuse-delay-s": 2,
    "contact-window-ms": 4000,
    "ack-timeout-ms": 5000,
    "rejoin-delay-s": 4,
    "drain-period-ms": 3000,
    "grace-period-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 3000,
    "downgrade-slack-ms": 250,
    "partition-slack-ms": 12000,
    "warmup-factor": 1.5,
    "warmup-slack": 5,
    "evacuation-timeout-ms": 5000,
    "recovery-time-s": 12,
    "flow-reorder-ms": 2000,
    "flow-max-s": 60,
}
HEARTBEAT_MS = 770
GRACE_S = 6.0
RESTART_DELAY_S = 0.5
"""A process that was killed is started again after a short delay."""
HTTP_TIMEOUT_S = 1.0


class NotRunnable(Exception):
    """The case can't run here, or its set-up failed before the disruption."""


class Record:
    """Writes record.txt: seconds since the start of the run, then what happened."""

    def __init__(self, folder: Path) -> None:
        self.started_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        line = f"{time.monotonic() - self.started_at:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()


class Node:
    """One machine with one process of the project."""

    def __init__(self, site: Site, role: str, zone: str, ip: str) -> None:
        self.site = site
        self.role = role
        self.zone = zone
        self.ip = ip
        self.name = f"{role}-{zone}-{ip.rpartition('.')[2]}"
        self.folder = site.folder / self.name
        self.data_folder = self.folder / "data"
        self.process: subprocess.Popen[bytes] | None = None
        self.service = ""
        self.is_bootstrap = False
        self.started_at = 0.0
        self.ended_at = 0.0

    @property
    def control_address(self) -> tuple[str, int]:
        return (self.ip, self.site.control_port)

    @property
    def app_address(self) -> tuple[str, int]:
        return (self.ip, self.site.app_port)

    def settings(self) -> str:
        site = self.site
        serves = {"core": "control_plane", "edge": "edge", "side": "side"}[self.role]
        binds = {
            "core": {"control-plane": site.control_port},
            "edge": {"datagram-addr": site.edge_port, "ready": site.ready_port},
            "side": {
                "datagram-addr": site.edge_port,
                "outbound": site.outbound_port,
                "ready": site.ready_port,
                "control-plane": site.control_port,
            },
        }[self.role]
        lines = [
            f'node-name = "{self.name}"',
            f'role = "{self.role}"',
            f'machine-class = "{self.role}"',
            f'serves = ["{serves}"]',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            f'region = "{REGION}"',
            f"internal-port-range = [{site.internal_port},{site.internal_port + 15}]",
            f"seed-nodes = {json.dumps(site.seeds())}",
            f"bootstrap = {json.dumps(self.is_bootstrap)}",
            f'in-tolerance = {json.dumps(self.role == "core")}',
            'discovery = "local"',
            'entry-type = "advertise"',
            f"heartbeat-interval-ms = {HEARTBEAT_MS}",
            'contracts = ["base","drain","config","cost","recover","flows","places"]',
            'config_mode = "highest"',
            'ecmp-hash = "mod"',
            'forwarding-mode = "agent"',
        ]
        if self.role == "core":
            lines.append(f'data-dir = "{self.data_folder}"')
        if self.role == "side":
            lines.append(f'service = "{self.service}"')
            lines.append(f'app = "{self.ip}:{site.app_port}"')
        lines.append("[zones]")
        lines += [f'{zone} = "{REGION}"' for zone in ZONES]
        lines.append("[bind-addrs]")
        lines += [f'{key} = "{self.ip}:{port}"' for key, port in binds.items()]
        lines += [
            "[limits]",
            "cpu-quota = 0.86",
            "cpu-cores = 1",
            "memory-mb = 296",
            "max-fds = 4096",
            "link-mbps = 1000.0",
            f"disk-mb = {128 if self.role == 'core' else 0}",
            "[fault-tolerance]",
            "max-node-failures = 2",
            "zones = 1",
            "max-region-failures = 0",
            "[bounds]",
        ]
        lines += [f"{key} = {value}" for key, value in BOUNDS.items()]
        return "\n".join(lines) + "\n"

    def start(self) -> None:
        """Start the process with the settings in effect now."""
        self.folder.mkdir(parents=True, exist_ok=True)
        if self.role == "core":
            self.data_folder.mkdir(exist_ok=True)
        settings_path = self.folder / "local.toml"
        settings_path.write_text(self.settings(), encoding="utf-8")
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["WAGTAILKEEL_SETTINGS"] = str(settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / "output.txt").open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-S", "platform/main.py"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.started_at = time.monotonic()
        self.site.record.write(f"{self.name}: started, bootstrap {self.is_bootstrap}")

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: int) -> None:
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process as a loss of power or a SIGKILL does."""
        if self.process is None:
            return
        self.send_signal(signal.SIGKILL)
        self.process.wait()
        self.ended_at = time.monotonic()
        self.site.record.write(f"{self.name}: killed")

    def stop(self) -> int:
        """Stop the process like the platform: SIGTERM, after the grace period SIGKILL."""
        assert self.process is not None
        self.site.record.write(f"{self.name}: SIGTERM")
        self.send_signal(signal.SIGTERM)
        try:
            status = self.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            status = self.process.wait()
        self.ended_at = time.monotonic()
        self.site.record.write(f"{self.name}: ended with status {status}")
        return status

    def wipe(self) -> None:
        """Remove the contents of the data folder of this node."""
        shutil.rmtree(self.data_folder)
        self.data_folder.mkdir()
        self.site.record.write(f"{self.name}: lost its disk")


class Site:
    """All nodes of one run; a context manager that ends every process it started."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="wagtailkeel-review-"))
        self.nodes: list[Node] = []
        self.seed_ips: list[str] = []
        random_source = random.Random()
        self._prefix = f"127.{random_source.randint(16, 250)}.{random_source.randint(1, 250)}"
        self._next_host = 10
        base = random_source.randint(200, 280) * 100
        self.internal_port = base
        self.control_port = base + 40
        self.edge_port = base + 41
        self.ready_port = base + 42
        self.outbound_port = base + 43
        self.app_port = base + 44
        self._check()

    def _check(self) -> None:
        if not (ROOT / "target" / "deps" / "wagtailkeel").is_dir():
            raise NotRunnable("target/deps is missing: run the build of the deploy file first")
        ports = [self.internal_port, self.internal_port + 1, METRICS_PORT]
        ports += [self.control_port, self.edge_port, self.ready_port, self.outbound_port]
        for port in [*ports, self.app_port]:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    try:
                        probe.bind((f"{self._prefix}.10", port))
                    except OSError as error:
                        raise NotRunnable(f"port {port}: {error}") from error

    def add_node(self, role: str, zone: str, service: str = "") -> Node:
        node = Node(self, role, zone, f"{self._prefix}.{self._next_host}")
        node.service = service
        self._next_host += 1
        self.nodes.append(node)
        return node

    def new_ip(self) -> str:
        """Return a loopback address that no node uses."""
        self._next_host += 1
        return f"{self._prefix}.{self._next_host - 1}"

    def seeds(self) -> list[str]:
        return [f"{ip}:{self.control_port}" for ip in self.seed_ips]

    def start_core(self) -> list[Node]:
        """Start five core machines with empty disks for the first time."""
        core = [self.add_node("core", zone) for zone in (*ZONES, *ZONES[:2])]
        self.seed_ips = [node.ip for node in core[:3]]
        for node in core:
            node.is_bootstrap = True
            node.start()
        for node in core:
            node.is_bootstrap = False
        return core

    def dump(self, node: Node) -> str:
        """Return the end of a node's output, for the record."""
        path = node.folder / "output.txt"
        return path.read_text(errors="replace")[-2000:] if path.exists() else ""

    def __enter__(self) -> Site:
        return self

    def __exit__(self, *_: object) -> None:
        for node in self.nodes:
            if node.is_running:
                assert node.process is not None
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP") == "1":
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Operator:
    """Calls the operator's API as the pages describe it.

    A call goes to one node after the other until an answer is clear: it follows a redirect twice
    and moves on after a failure, a 5xx, a 408 or 429, or a second without a response.
    """

    def __init__(self, site: Site, nodes: list[Node]) -> None:
        self.site = site
        self.nodes = nodes
        self._first = 0

    def call_once(
        self, address: tuple[str, int], method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes, tuple[str, int]]:
        """Send one request and follow redirects; status 0 means that no response came."""
        for _ in range(3):
            try:
                connection = http.client.HTTPConnection(*address, timeout=HTTP_TIMEOUT_S)
                try:
                    headers = {"Content-Type": "application/json"} if body else {}
                    connection.request(method, path, body, headers)
                    response = connection.getresponse()
                    content = response.read()
                    location = response.getheader("Location", "")
                finally:
                    connection.close()
            except (OSError, http.client.HTTPException):
                return 0, b"", address
            if response.status != 307:
                return response.status, content, address
            host, _, rest = location.removeprefix("http://").partition(":")
            address = (host, int(rest.partition("/")[0]))
        return 307, b"", address

    def call(
        self, method: str, path: str, body: bytes = b"", limit_s: float = 5.0
    ) -> tuple[int, bytes, tuple[str, int]]:
        """Repeat a call until it has a clear answer or the time is over."""
        until = time.monotonic() + limit_s
        pause_s = 0.05
        status, content, address = 0, b"", ("", 0)
        while time.monotonic() < until:
            self._first += 1
            node = self.nodes[self._first % len(self.nodes)]
            status, content, address = self.call_once(node.control_address, method, path, body)
            is_unclear = status in (0, 307, 408, 429) or status >= 500
            if not is_unclear:
                return status, content, address
            time.sleep(pause_s)
            pause_s = min(2 * pause_s, 0.5)
        return status, content, address

    def replace(self, config: dict[str, object], limit_s: float = 5.0) -> tuple[str, int] | None:
        """Send a configuration; return the address that acknowledged it, None if none did."""
        body = json.dumps(config).encode()
        version = config["version"]
        self.site.record.write(f"operator: configuration {version} sent")
        status, content, address = self.call("POST", "/-/config/replace", body, limit_s)
        self.site.record.write(
            f"operator: configuration {version}: last status {status} from {address[0]} "
            f"{content[:120]!r}"
        )
        return address if status == 200 else None

    def fetch_version(self, limit_s: float = 5.0) -> int | None:
        """Read the configuration back; return its version, None if it doesn't come."""
        status, content, address = self.call("GET", "/-/config/fetch", b"", limit_s)
        version = json.loads(content)["version"] if status == 200 else None
        self.site.record.write(f"operator: read back: status {status}, version {version}")
        return version


def build_config(version: int, services: dict[str, float], routes: list[dict[str, object]]) -> dict:
    """Return a configuration body; ``services`` maps names to warmup-per-s."""
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
                "warmup-per-s": per_s,
            }
            for name, per_s in services.items()
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


def build_route(name: str, host: str, port: int, service: str, timeout_ms: int = 1500) -> dict:
    return {
        "name": name,
        "host": host,
        "path-prefix": f"/{port}/",
        "type": "idempotent",
        "timeout-ms": timeout_ms,
        "target-latency-ms": 150,
        "priority": 1,
        "service": service,
        "attempts": 2,
    }


def is_disturbed() -> bool:
    """Return whether the run includes the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def _end(*_: object) -> None:
    """End on SIGTERM, so that the site ends its processes."""
    raise SystemExit(2)


def run_case(folder: Path, case) -> None:  # noqa: ANN001
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 if it couldn't run."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, _end)
    try:
        with Site(record) as site:
            is_broken = case(site, record)
    except NotRunnable as error:
        record.write(f"not run: {error}")
        raise SystemExit(2) from error
    record.write("RESULT: the rule was broken" if is_broken else "RESULT: the rule held")
    raise SystemExit(1 if is_broken else 0)

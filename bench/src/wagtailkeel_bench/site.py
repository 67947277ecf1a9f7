"""A running site: all processes of a deployment, their commands and their faults."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import tempfile
import time
from pathlib import Path
from typing import Any

from wagtailkeel.console.control_client import ControlClient
from wagtailkeel.errors import ControlUnreachableError
from wagtailkeel_bench.child_process import BenchError
from wagtailkeel_bench.child_process import ChildProcess
from wagtailkeel_bench.child_process import StandIn
from wagtailkeel_bench.deployment import Deployment
from wagtailkeel_bench.deployment import Instance
from wagtailkeel_protocol.flow_key import endpoint_key
from wagtailkeel_state.commands import AnyCommand
from wagtailkeel_state.commands import CommandAnswer
from wagtailkeel_state.commands import CreateClass
from wagtailkeel_state.commands import CreateService
from wagtailkeel_state.enums import FlowProtocol
from wagtailkeel_state.target import Target

READY_TIMEOUT_S = 40.0
READY_LOG_TEXT = "ready with"
POLL_INTERVAL_S = 0.05
BALANCER_LOSS_DETECTION_S = 0.3
COMMAND_DEADLINE_S = 20.0


class Site:
    """Starts and stops the processes; sends commands with the client of the command line."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.network = StandIn("network", deployment.network_plan(), deployment.folder)
        self.servers = StandIn("servers", deployment.servers_plan(), deployment.folder)
        self.callers = StandIn("callers", deployment.callers_plan(), deployment.folder)
        self.processes_by_name: dict[str, ChildProcess] = {}
        self.endpoints_by_class: dict[str, str] = {}
        self.client = self.new_client(COMMAND_DEADLINE_S)

    async def start(self, absent: list[str] | None = None) -> None:
        """Start all instances except ``absent``; create the services; wait until all are ready."""
        for stand_in in (self.network, self.servers, self.callers):
            await stand_in.start()
        for instance in self.deployment.instances_by_name.values():
            if instance.name not in (absent or []):
                await self.start_instance(instance)
        await self._create_services()
        await self.wait_ready()
        await self._publish_endpoints()

    def new_client(self, deadline_s: float) -> ControlClient:
        """Return a client of control that has its own connections."""
        addresses = [
            (instance.proxy_host, instance.ports["rpc_port"])
            for instance in self.deployment.of_role("control")
        ]
        return ControlClient(addresses, deadline_s)

    async def start_instance(self, instance: Instance) -> None:
        """Start one process of the system; add a balancer to the fabric once it is ready."""
        path = self.deployment.write_settings(instance)
        process = ChildProcess(
            instance.name,
            ["-m", "wagtailkeel.console.daemon", "run", str(path)],
            self.deployment.folder / f"{instance.name}.log",
        )
        self.processes_by_name[instance.name] = process
        await process.start()
        if instance.role == "balancer":
            await self._wait_for_log_text(process, READY_LOG_TEXT)
            await self.network.command(
                "set_balancer",
                name=instance.name,
                host=instance.bind_host,
                port=instance.ports["fabric_port"],
            )

    async def _wait_for_log_text(self, process: ChildProcess, text: str) -> None:
        """Wait for a new log line with the text, in place of a fabric's health check.

        Return without an error if there is none within READY_TIMEOUT_S.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        initial_count = process.log.count(text)
        while process.log.count(text) <= initial_count and time.monotonic() < deadline:
            if not process.is_running:
                raise BenchError(f"{process.name} exited: {process.log[-2_000:]}")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _create_services(self) -> None:
        for service in self.deployment.spec.services:
            await self.send_command(CreateService(name=service.name))
        for class_spec in self.deployment.spec.classes:
            command = CreateClass(
                service=class_spec.service,
                name=class_spec.name,
                protocol=FlowProtocol(class_spec.protocol),
                target=Target.parse(class_spec.target),
                is_idempotent=class_spec.is_idempotent,
                idle_limit_s=class_spec.idle_limit_s,
            )
            await self.send_command(command)

    async def send_command(self, command: AnyCommand, **options: Any) -> CommandAnswer:
        """Send an operator's command; raise BenchError unless control accepts it."""
        answer = await self.client.send(command, author="bench", **options)
        if not answer.is_accepted:
            raise BenchError(f"{command} was {answer.status.value}: {answer.reason}")
        return answer

    async def wait_ready(self) -> None:
        """Wait until all nodes have the newest version and every bucket is held by an agent.

        Buckets are not checked in a stateless deployment.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if await self._is_ready():
                return
            await asyncio.sleep(POLL_INTERVAL_S * 4)
        raise BenchError(
            "the site is not ready in time; dumps: " + json.dumps(await self.dumps())[:4_000]
        )

    async def _is_ready(self) -> bool:
        try:
            status = await self.client.status()
        except ControlUnreachableError:
            return False
        running = {name for name, process in self.processes_by_name.items() if process.is_running}
        nodes = running - {instance.name for instance in self.deployment.of_role("control")}
        if not status.is_leader or nodes - {node.instance_id for node in status.nodes}:
            return False
        if any(node.version < status.version for node in status.nodes):
            return False
        if self.deployment.is_stateless:
            return True
        dumps = await self.dumps("agent")
        for service in status.configuration.services_by_name.values():
            held = sum(
                dump["buckets_held"] for dump in dumps.values() if dump["service"] == service.name
            )
            if held != service.bucket_count:
                return False
        return True

    async def _publish_endpoints(self) -> None:
        config = (await self.client.status()).configuration
        services_by_endpoint: dict[str, str] = {}
        for service in config.services_by_name.values():
            for traffic_class in service.classes_by_name.values():
                key = endpoint_key(
                    service.address, traffic_class.port, traffic_class.protocol.number
                ).hex()
                services_by_endpoint[key] = service.name
                self.endpoints_by_class[f"{service.name}/{traffic_class.name}"] = key
        for stand_in in (self.servers, self.callers):
            await stand_in.command("set_endpoints", services_by_endpoint=services_by_endpoint)

    async def dump(self, name: str) -> dict[str, Any]:
        """Return the state dump of one instance."""
        instance = self.deployment.instances_by_name[name]
        body = await self.client.dump((instance.bind_host, instance.ports["rpc_port"]))
        state: dict[str, Any] = json.loads(body)
        return state

    async def dumps(self, role: str = "") -> dict[str, dict[str, Any]]:
        """Return the dumps of the running instances of a role, or of all; skip failed ones."""
        names = [
            instance.name
            for instance in self.deployment.instances_by_name.values()
            if (not role or instance.role == role) and self._is_running(instance.name)
        ]
        results = await asyncio.gather(*(self.dump(name) for name in names), return_exceptions=True)
        return {
            name: dump
            for name, dump in zip(names, results, strict=True)
            if not isinstance(dump, BaseException)
        }

    def _is_running(self, name: str) -> bool:
        process = self.processes_by_name.get(name)
        return process is not None and process.is_running

    # Faults

    async def kill_instance(self, name: str) -> None:
        """Kill a process; the fabric drops a balancer ``BALANCER_LOSS_DETECTION_S`` later."""
        await self.processes_by_name[name].kill()
        if self.deployment.instances_by_name[name].role == "balancer":
            await asyncio.sleep(BALANCER_LOSS_DETECTION_S)
            await self.network.command("remove_balancer", name=name)

    async def restart_instance(self, name: str, *, is_planned: bool) -> None:
        """Restart a process, after SIGTERM if it is planned, else after SIGKILL.

        A balancer is removed from the fabric before the SIGTERM, but BALANCER_LOSS_DETECTION_S
        after the SIGKILL.
        """
        instance = self.deployment.instances_by_name[name]
        if is_planned:
            if instance.role == "balancer":
                await self.network.command("remove_balancer", name=name)
            await self.processes_by_name[name].stop()
        else:
            await self.kill_instance(name)
        await self.start_instance(instance)

    async def wipe_instance(self, name: str) -> None:
        """Kill a control process, delete its data folder and start it with an empty one."""
        await self.kill_instance(name)
        shutil.rmtree(self.deployment.folder / f"{name}-data")
        await self.start_instance(self.deployment.instances_by_name[name])

    async def find_leader(self) -> str:
        """Return the name of the leading control instance, or an empty string."""
        for name, dump in (await self.dumps("control")).items():
            if dump["raft_role"] == "leader":
                return name
        return ""

    async def kill_server(self, name: str) -> None:
        """Stop a backend server and kill its agent."""
        await self.servers.command("set_down", server_id=name, is_down=True)
        await self.kill_instance(name)

    def pause_instance(self, name: str, is_paused: bool) -> None:
        """Suspend or resume a process."""
        signal_number = signal.SIGSTOP if is_paused else signal.SIGCONT
        self.processes_by_name[name].signal(signal_number)

    async def stop(self) -> dict[str, int]:
        """Stop all processes; return the exit statuses of the system's instances by name."""
        statuses: dict[str, int] = {}
        for role in ("balancer", "agent", "control"):
            names = [instance.name for instance in self.deployment.of_role(role)]
            running = [
                self.processes_by_name[name]
                for name in names
                if name in self.processes_by_name and self.processes_by_name[name].is_running
            ]
            results = await asyncio.gather(*(process.stop() for process in running))
            statuses.update(
                {stopped.name: status for stopped, status in zip(running, results, strict=True)}
            )
        for stand_in in (self.callers, self.servers, self.network):
            if stand_in.is_running:
                await stand_in.kill()
        self.client.close()
        return statuses


def make_folder(root: Path | None = None) -> Path:
    """Create a temporary folder for the settings, logs and data of a run; return its path."""
    return Path(tempfile.mkdtemp(prefix="wagtailkeel-", dir=root))

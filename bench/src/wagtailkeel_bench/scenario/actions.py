"""Actions that the steps of a scenario run."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

from wagtailkeel_bench.child_process import BenchError
from wagtailkeel_bench.scenario.parser import ScenarioError
from wagtailkeel_state.commands import DrainServer
from wagtailkeel_state.commands import RestoreServer
from wagtailkeel_state.commands import SetDataCentreState
from wagtailkeel_state.enums import DataCentreState

if TYPE_CHECKING:
    from wagtailkeel_bench.scenario.model import Step
    from wagtailkeel_bench.scenario.operators import Operators
    from wagtailkeel_bench.site import Site

LATE_PACKET_GRACE_S = 3.0
MAX_VOTER_POLLS = 100
VOTER_POLL_INTERVAL_S = 0.2

Action = Callable[..., Awaitable[None]]


class Actions:
    """Runs actions by verb and records those of their effects that the result depends on.

    These are the lost servers, the silenced connections and the number of accepted changes.
    """

    def __init__(self, site: Site, operators: Operators) -> None:
        self.lost_servers: list[str] = []
        self.silenced_flow_keys: list[str] = []
        self.accepted_changes = 0
        self._site = site
        self._operators = operators
        self._background_tasks: list[asyncio.Task[None]] = []
        self._version_watcher: asyncio.Task[None] | None = None
        self._killed_leader = ""
        self._actions: dict[str, Action] = {
            "drain": self._drain,
            "restore": self._restore,
            "kill": site.kill_instance,
            "start": self._start,
            "restart": self._restart,
            "crash": self._crash,
            "kill-server": self._kill_server,
            "out": self._take_out_data_centre,
            "back": self._bring_back_data_centre,
            "cut": self._cut,
            "cut-pair": self._cut_pair,
            "cut-one-way": self._cut_one_way,
            "heal": self._heal,
            "cold": self._turn_cold,
            "speed": self._set_speed,
            "silence": self._silence_connections,
            "changes": self._drain_and_restore_in_turn,
            "restart-all": self._restart_all,
            "pause": self._pause,
            "resume": self._resume,
            "measure": self._start_measuring,
            "commands": self._send_commands,
            "race": self._race_commands,
            "wipe": site.wipe_instance,
            "kill-leader": self._kill_leader,
            "start-killed": self._start_killed,
            "await-voters": self._await_voters,
            "in-force": self._operators.measure_in_force,
            "watch-versions": self._watch_versions,
        }

    async def run(self, step: Step) -> None:
        """Run one step; raise ScenarioError for an unknown verb or invalid arguments."""
        action = self._actions.get(step.verb)
        if action is None:
            known = ", ".join(sorted(self._actions))
            raise ScenarioError(
                f"line {step.line}: unknown action {step.verb!r}; known actions are {known}"
            )
        try:
            await action(*step.arguments)
        except (KeyError, TypeError) as error:
            raise ScenarioError(f"line {step.line}: {step.verb}: {error!r}") from error

    async def _drain(self, server_id: str) -> None:
        await self._site.send_command(DrainServer(server_id=server_id))
        self.accepted_changes += 1
        await self._site.servers.command(
            "close_server", server_id=server_id, grace_s=LATE_PACKET_GRACE_S
        )

    async def _restore(self, server_id: str) -> None:
        await self._site.servers.command("open_server", server_id=server_id)
        await self._site.send_command(RestoreServer(server_id=server_id))
        self.accepted_changes += 1

    async def _start(self, name: str) -> None:
        instance = self._site.deployment.instances_by_name[name]
        if instance.role == "agent":
            await self._site.servers.command("set_down", server_id=name, is_down=False)
        await self._site.start_instance(instance)

    async def _restart(self, name: str) -> None:
        await self._site.restart_instance(name, is_planned=True)

    async def _crash(self, name: str) -> None:
        await self._site.restart_instance(name, is_planned=False)

    async def _kill_server(self, name: str) -> None:
        self.lost_servers.append(name)
        await self._site.kill_server(name)

    async def _take_out_data_centre(self, name: str) -> None:
        deployment = self._site.deployment
        self.lost_servers.extend(
            agent.name for agent in deployment.of_role("agent") if agent.data_centre == name
        )
        await self._site.send_command(
            SetDataCentreState(name=name, state=DataCentreState.OUT_OF_SERVICE)
        )
        self.accepted_changes += 1
        await self._site.servers.command(
            "close_data_centre", name=name, grace_s=LATE_PACKET_GRACE_S
        )

    async def _bring_back_data_centre(self, name: str) -> None:
        await self._site.servers.command("open_data_centre", name=name)
        await self._site.send_command(
            SetDataCentreState(name=name, state=DataCentreState.IN_SERVICE)
        )
        self.accepted_changes += 1

    async def _cut(self, *names: str) -> None:
        """Partition the named instances from all other instances and from operators."""
        others = [name for name in self._site.deployment.instances_by_name if name not in names]
        await self._site.network.command(
            "cut", senders=list(names), receivers=[*others, "operator"], is_one_way=False
        )

    async def _cut_one_way(self, sender: str, receiver: str) -> None:
        await self._site.network.command(
            "cut", senders=[sender], receivers=[receiver], is_one_way=True
        )

    async def _cut_pair(self, one: str, other: str) -> None:
        await self._site.network.command("cut", senders=[one], receivers=[other], is_one_way=False)

    async def _heal(self) -> None:
        await self._site.network.command("heal")

    async def _turn_cold(self, server_id: str) -> None:
        await self._site.servers.command("turn_cold", server_id=server_id)

    async def _set_speed(self, server_id: str, speed: str) -> None:
        self._site.deployment.instances_by_name[server_id].speed = float(speed)
        await self._site.servers.command("set_speed", server_id=server_id, speed=float(speed))

    async def _silence_connections(self, count: str, server_id: str) -> None:
        keys = await self._site.servers.command("silence", server_id=server_id, count=int(count))
        self.silenced_flow_keys.extend(keys)

    async def _drain_and_restore_in_turn(self, count: str, over_s: str) -> None:
        """Drain and restore one server after another.

        Each of the ``count`` commands changes the owner table.
        """
        service = self._site.deployment.spec.services[0]
        interval_s = float(over_s) / int(count)
        loop = asyncio.get_running_loop()
        due_at = loop.time()
        for number in range(int(count)):
            server_id = f"{service.name}-{number // 2 % service.servers + 1}"
            await (self._restore(server_id) if number % 2 else self._drain(server_id))
            due_at += interval_s
            await asyncio.sleep(max(0.0, due_at - loop.time()))

    async def _restart_all(self) -> None:
        """Restart all instances one by one; wait after each until the site is ready."""
        for role in ("balancer", "agent", "control"):
            for instance in self._site.deployment.of_role(role):
                await self._site.restart_instance(instance.name, is_planned=True)
                await self._site.wait_ready()

    async def _send_commands(self, count: str, over_s: str) -> None:
        """Start to send commands in the background, so that the next steps run meanwhile."""
        work = self._operators.send_commands(int(count), float(over_s))
        self._background_tasks.append(asyncio.create_task(work))

    async def _race_commands(self, count: str) -> None:
        self._background_tasks.append(
            asyncio.create_task(self._operators.race_commands(int(count)))
        )

    async def _watch_versions(self) -> None:
        self._version_watcher = asyncio.create_task(self._operators.watch_versions())

    async def finish(self) -> None:
        """Wait until all commands in the background have ended; stop watching versions."""
        await asyncio.gather(*self._background_tasks)
        if self._version_watcher is not None:
            self._version_watcher.cancel()

    async def _kill_leader(self) -> None:
        self._killed_leader = await self._site.find_leader()
        await self._site.kill_instance(self._killed_leader)

    async def _start_killed(self) -> None:
        await self._start(self._killed_leader)

    async def _await_voters(self, count: str) -> None:
        """Wait until ``count`` control instances are voters.

        Each has to be a voter under the identity of its present data folder.
        """
        for _ in range(MAX_VOTER_POLLS):
            dumps = (await self._site.dumps("control")).values()
            if sum(dump["is_voter"] for dump in dumps) == int(count):
                return
            await asyncio.sleep(VOTER_POLL_INTERVAL_S)
        raise BenchError(f"the number of voters is not {count} after {MAX_VOTER_POLLS} polls")

    async def _pause(self, name: str) -> None:
        self._site.pause_instance(name, True)

    async def _resume(self, name: str) -> None:
        self._site.pause_instance(name, False)

    async def _start_measuring(self) -> None:
        await self._site.servers.command("reset_load")
        await self._site.callers.command("reset_gaps")

"""Simulated operators, who send, resend and race commands and record every answer."""

from __future__ import annotations

import asyncio
import contextlib
import uuid
from random import Random
from typing import Any

import anyio
import msgspec

from wagtailkeel.console.control_client import ControlClient
from wagtailkeel.errors import ControlUnreachableError
from wagtailkeel_bench.site import Site
from wagtailkeel_state import AnswerStatus
from wagtailkeel_state import CommandAnswer
from wagtailkeel_state import Configuration
from wagtailkeel_state import Target
from wagtailkeel_state.commands import ChangeTarget

COMMAND_TIMEOUT_S = 30.0
ABANDON_TIMEOUT_S = 0.02
POLL_INTERVAL_S = 0.1


class SentCommand(msgspec.Struct):
    """One command id and all answers received for it, other than those of unknown outcome."""

    command_id: str
    expected_version: int | None
    answers: list[CommandAnswer] = []


class Operators:
    """Sends changes of one target; compares the answers with the configuration at the end."""

    def __init__(self, site: Site, seed: int) -> None:
        self.sent: list[SentCommand] = []
        self.max_in_force_s = 0.0
        self.version_reversals = 0
        self._site = site
        self._random = Random(seed)
        self._change_count = 0
        self._versions_by_incarnation: dict[tuple[str, int], int] = {}

    def _next_change(self) -> ChangeTarget:
        self._change_count += 1
        traffic_class = self._site.deployment.spec.classes[0]
        target = Target.parse(f"held<{2_000 + self._change_count}")
        return ChangeTarget(service=traffic_class.service, name=traffic_class.name, target=target)

    def _new_client(self) -> ControlClient:
        return self._site.new_client(COMMAND_TIMEOUT_S)

    async def send_commands(self, count: int, over_s: float) -> None:
        """Send commands one after another; the client resends each until its outcome is known."""
        client = self._new_client()
        for _ in range(count):
            await self._send(client, self._next_change(), None)
            await asyncio.sleep(over_s / count)
        client.close()

    async def _send(
        self, client: ControlClient, change: ChangeTarget, expected_version: int | None
    ) -> CommandAnswer | None:
        command = SentCommand(uuid.UUID(int=self._random.getrandbits(128)).hex, expected_version)
        self.sent.append(command)
        if self._random.random() < 0.3:
            await self._send_and_abandon(client, change, command)
        send_count = 2 if self._random.random() < 0.3 else 1
        answer = None
        for _ in range(send_count):
            try:
                answer = await client.send(
                    change, command.command_id, "bench", command.expected_version
                )
            except ControlUnreachableError:
                continue
            if answer.status is not AnswerStatus.UNKNOWN:
                command.answers.append(answer)
        return answer

    async def _send_and_abandon(
        self, client: ControlClient, change: ChangeTarget, command: SentCommand
    ) -> None:
        """Send a command, but wait at most ABANDON_TIMEOUT_S and ignore any answer."""
        with anyio.move_on_after(ABANDON_TIMEOUT_S), contextlib.suppress(ControlUnreachableError):
            await client.send(change, command.command_id, "bench", command.expected_version)

    async def race_commands(self, count: int) -> None:
        """Let two operators repeatedly change the same target, both based on the same version."""
        clients = [self._new_client(), self._new_client()]
        for _ in range(count // 2):
            version = (await clients[0].status()).configuration.operator_version
            await asyncio.gather(
                *(self._send(client, self._next_change(), version) for client in clients)
            )
        for client in clients:
            client.close()

    async def measure_in_force(self) -> None:
        """Send one command and measure the time until every node has its version."""
        client = self._new_client()
        loop = asyncio.get_running_loop()
        answer = await self._send(client, self._next_change(), None)
        if answer is None or not answer.is_accepted:
            self.max_in_force_s = float("inf")
            return
        accepted_at = loop.time()
        lagging_nodes = await client.wait_in_force(answer.index)
        elapsed_s = float("inf") if lagging_nodes else loop.time() - accepted_at
        self.max_in_force_s = max(self.max_in_force_s, elapsed_s)
        client.close()

    async def watch_versions(self) -> None:
        """Poll every node's version until cancelled; count decreases within one incarnation."""
        while True:
            for name, dump in (await self._site.dumps()).items():
                incarnation = (name, dump.get("boot_id", dump["metrics"]["started_at"]))
                known = self._versions_by_incarnation.get(incarnation, 0)
                self.version_reversals += dump["version"] < known
                self._versions_by_incarnation[incarnation] = max(known, dump["version"])
            await asyncio.sleep(POLL_INTERVAL_S)

    async def check_answers(self) -> dict[str, Any]:
        """Compare all answers with the final configuration and return the counts."""
        config = (await self._site.client.status()).configuration
        accepted = [
            command
            for command in self.sent
            if any(answer.is_accepted for answer in command.answers)
        ]
        return {
            "commands_sent": len(self.sent),
            "commands_accepted": len(accepted),
            "commands_unanswered": sum(not command.answers for command in self.sent),
            "accepted_lost": sum(
                not _is_recorded_as_accepted(command, config) for command in accepted
            ),
            "answers_changed": sum(_has_conflicting_answers(command) for command in self.sent),
            "double_winners": _count_double_accepts(accepted),
            "version_reversals": self.version_reversals,
            "in_force_s": self.max_in_force_s,
        }


def _is_recorded_as_accepted(command: SentCommand, config: Configuration) -> bool:
    recorded = config.answers_by_command_id.get(command.command_id)
    return recorded is not None and recorded.is_accepted


def _has_conflicting_answers(command: SentCommand) -> bool:
    return any(answer != command.answers[0] for answer in command.answers)


def _count_double_accepts(accepted: list[SentCommand]) -> int:
    """Return how many commands were accepted beyond one per expected version."""
    versions = [
        command.expected_version for command in accepted if command.expected_version is not None
    ]
    return len(versions) - len(set(versions))

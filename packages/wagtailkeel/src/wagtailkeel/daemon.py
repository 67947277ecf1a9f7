"""The daemon, which runs the roles of one process."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING
from typing import Protocol
from typing import runtime_checkable

import anyio

from wagtailkeel_coordination import events
from wagtailkeel_transport.log import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskStatus

    from wagtailkeel.settings import Settings
    from wagtailkeel_coordination.events import EventSink


class Role(Protocol):
    """Interface of a role towards the daemon."""

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Serve until cancelled; report the role as started, upon which the next one starts."""

    async def stop(self) -> None:
        """Hand over the state that other instances need, before the role is cancelled."""


@runtime_checkable
class RequestServer(Role, Protocol):
    """A role that answers requests, whose callers a planned stop must not cut off."""

    async def drain(self) -> None:
        """Wait for the answers to the requests in progress, after all roles have stopped."""


class DeferredRole:
    """A role that is built, and its modules imported, only once the preceding roles run."""

    def __init__(self, name: str, build: Callable[[], Role]) -> None:
        self.name = name
        self._build = build
        self._role: Role | None = None

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Build the role and serve until cancelled."""
        self._role = self._build()
        await self._role.run(task_status=task_status)

    async def stop(self) -> None:
        """Stop the role if it has been built."""
        if self._role is not None:
            await self._role.stop()

    async def drain(self) -> None:
        """Drain the role if it has been built and answers requests."""
        if isinstance(self._role, RequestServer):
            await self._role.drain()


def role_name(role: Role) -> str:
    """Return a role's name for logs."""
    return role.name if isinstance(role, DeferredRole) else type(role).__name__


class Daemon:
    """Starts all roles, waits for a signal and stops the roles gracefully."""

    def __init__(
        self,
        roles: list[Role],
        event_sink: EventSink = events.UNLOGGED,
        read_seeds: Callable[[], list[str]] | None = None,
    ) -> None:
        self._roles = roles
        self._emit = event_sink.emit
        self._has_event_log = event_sink is not events.UNLOGGED
        self._read_seeds = read_seeds

    @classmethod
    def from_settings(cls, settings: Settings) -> Daemon:
        """Build the roles in the order of their dependencies."""
        roles: list[Role] = []
        if settings.control is not None:
            from wagtailkeel.roles.control import Control

            roles.append(Control.from_settings(settings))
        if settings.agents:
            from wagtailkeel.roles.agent import Agent

            roles.extend(Agent.from_settings(settings, section) for section in settings.agents)
        if settings.balancer is not None:
            from wagtailkeel.roles.balancer import Balancer

            roles.append(Balancer.from_settings(settings))
        return cls(roles)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT; SIGHUP signals that the settings have changed."""
        handled_signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*handled_signals) as signals:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._start_roles, tasks)
                async for signal_number in signals:
                    if signal_number == signal.SIGHUP:
                        self._reload_settings()
                        continue
                    self._emit(events.ProcessStopping(signal.Signals(signal_number).name))
                    self._log("stopping on {}", signal.Signals(signal_number).name)
                    break
                await self._stop_roles()
                tasks.cancel_scope.cancel()
        self._log("stopped")

    def _log(self, message: str, *arguments: object) -> None:
        """Log what an event says too, unless events are written."""
        if not self._has_event_log:
            logger.info(message, *arguments)

    def _reload_settings(self) -> None:
        """Log the present seeds; no other setting may change while the process runs.

        The roles read the seeds again when they can't reach a control instance.
        """
        self._log("settings file changed")
        if self._read_seeds is not None:
            self._emit(events.SettingsReloaded(self._read_seeds()))

    async def _start_roles(self, tasks: anyio.abc.TaskGroup) -> None:
        for role in self._roles:
            await tasks.start(role.run)
        self._log("ready with {} roles", len(self._roles))
        self._emit(events.ProcessStarted([role_name(role) for role in self._roles]))

    async def _stop_roles(self) -> None:
        async with anyio.create_task_group() as tasks:
            for role in self._roles:
                tasks.start_soon(role.stop)
        async with anyio.create_task_group() as tasks:
            for role in self._roles:
                if isinstance(role, RequestServer):
                    tasks.start_soon(role.drain)

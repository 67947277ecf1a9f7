"""Proposes the commands that are due while this instance leads."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio

from wagtailkeel_transport import clock
from wagtailkeel_transport.log import logger

if TYPE_CHECKING:
    from wagtailkeel.roles.configuration_store import ConfigurationStore
    from wagtailkeel.roles.control.consensus import Consensus
    from wagtailkeel.roles.control.leader_duties import LeaderDuties

DUTY_INTERVAL_S = 0.25


class DutyLoop:
    """Runs the leader's duties every 0.25 s; a new term starts them anew."""

    def __init__(
        self, duties: LeaderDuties, consensus: Consensus, store: ConfigurationStore
    ) -> None:
        self._duties = duties
        self._consensus = consensus
        self._store = store
        self._term = 0

    async def run(self) -> None:
        """Run the duties until cancelled."""
        while True:
            await anyio.sleep(DUTY_INTERVAL_S)
            now = clock.seconds()
            if self._consensus.raft.has_read_lease(now):
                self._run_duties(now)

    def _run_duties(self, now: float) -> None:
        raft = self._consensus.raft
        if self._term != raft.term:
            self._term = raft.term
            self._duties.start_term(now)
            logger.info("became leader of term {}", raft.term)
        if raft.commit_index != raft.log.last_index:
            return
        config = self._store.configuration
        for command in self._duties.find_due_commands(config, now, time.time()):
            self._consensus.proposer.propose_duty(command)

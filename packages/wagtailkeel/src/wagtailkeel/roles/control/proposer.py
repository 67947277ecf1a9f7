"""Proposes commands as leader and waits for them to be committed.

Load pattern: hundreds of nodes join within a fraction of a second, after a power failure or during
a release. Commands that arrive together are appended with one sync of the disk; a sync for each
would hold up the leader's heartbeats and every later join.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import anyio

from wagtailkeel.roles.control.pending_proposals import PendingProposals
from wagtailkeel_coordination.address_assignment import assign_addresses
from wagtailkeel_coordination.raft import Proposal
from wagtailkeel_state.commands import CommandAnswer
from wagtailkeel_state.enums import AnswerStatus
from wagtailkeel_transport import clock
from wagtailkeel_transport.log import logger

if TYPE_CHECKING:
    from wagtailkeel.roles.configuration_store import ConfigurationStore
    from wagtailkeel.roles.control.pending_proposals import PendingProposal
    from wagtailkeel_coordination.raft import RaftNode
    from wagtailkeel_protocol.messages import CommandRequest
    from wagtailkeel_state.address_pool import AddressPool
    from wagtailkeel_state.commands import AnyCommand
    from wagtailkeel_state.commands import LogEntry

COMMIT_TIMEOUT_S = 5.0
COMMIT_POLL_S = 0.2
"""How often a request that waits for a commit checks that this instance still leads."""


class _Waiter:
    """A proposal that is appended with the next batch; ``pending`` is None if that failed."""

    def __init__(self, proposal: Proposal) -> None:
        self.proposal = proposal
        self.pending: PendingProposal | None = None
        self.index = 0
        self.appended = anyio.Event()


class Proposer:
    """Appends commands to the log in batches."""

    def __init__(self, raft: RaftNode, store: ConfigurationStore, pools: list[AddressPool]) -> None:
        self._raft = raft
        self._store = store
        self._pools = pools
        self._pending = PendingProposals()
        self._waiters: list[_Waiter] = []

    async def propose(self, request: CommandRequest) -> CommandAnswer | None:
        """Propose a command and wait up to COMMIT_TIMEOUT_S until it is committed.

        Returns the committed answer, also that of an earlier command with the same id, REJECTED if
        the command can't be stored, None if nothing was proposed (not the leader, or the disk
        failed), or UNKNOWN if no commit was seen before the timeout or a change of leader.
        """
        if not self._raft.is_leader:
            return None
        earlier_answer = self._store.configuration.answers_by_command_id.get(request.command_id)
        if earlier_answer is not None and request.command_id:
            return earlier_answer
        proposal = Proposal(
            assign_addresses(request.command, self._store.configuration, self._pools),
            request.command_id,
            request.author,
            request.expected_version,
        )
        encoding_error = proposal.find_encoding_error()
        if encoding_error is not None:
            # Checked here, since it would fail the commands that are appended with it too.
            return CommandAnswer(
                AnswerStatus.REJECTED, f"the command can't be stored: {encoding_error}"
            )
        waiter = _Waiter(proposal)
        if not self._waiters:
            # The commands of the other datagrams and connections that are readable now follow.
            asyncio.get_running_loop().call_soon(self._append_batch)
        self._waiters.append(waiter)
        await waiter.appended.wait()
        if waiter.pending is None:
            return None
        return await self._wait_for_commit(waiter.pending, waiter.index)

    def propose_duty(self, command: AnyCommand) -> None:
        """Propose a command of control itself; nobody waits for it."""
        if self._raft.propose(command, author="control") is not None:
            self._raft.flush(clock.seconds())

    def on_applied(self, entry: LogEntry, answer: CommandAnswer) -> None:
        """Pass the answer to a committed command on to its waiter."""
        self._pending.resolve(entry, answer)

    def _append_batch(self) -> None:
        """Append the commands of all waiters, and wake them whatever happens."""
        waiters, self._waiters = self._waiters, []
        try:
            self._append_all(waiters)
        except Exception:
            # This runs as a callback of the event loop, where nobody else sees the error.
            logger.exception("can't append a batch of {} commands", len(waiters))
            for waiter in waiters:
                if waiter.pending is not None:
                    waiter.pending.done.set()
        finally:
            for waiter in waiters:
                waiter.appended.set()

    def _append_all(self, waiters: list[_Waiter]) -> None:
        first_index = self._raft.log.last_index + 1
        # A single voter commits within propose_all(), so the pending proposals are added before.
        for number, waiter in enumerate(waiters):
            waiter.index = first_index + number
            waiter.pending = self._pending.add(waiter.index, self._raft.term)
        if not self._raft.propose_all([waiter.proposal for waiter in waiters]):
            for waiter in waiters:
                self._pending.discard(waiter.index)
                waiter.pending = None
        self._raft.flush(clock.seconds())

    async def _wait_for_commit(self, pending: PendingProposal, index: int) -> CommandAnswer:
        with anyio.move_on_after(COMMIT_TIMEOUT_S):
            while self._raft.is_leader and self._raft.term == pending.term:
                with anyio.move_on_after(COMMIT_POLL_S):
                    await pending.done.wait()
                    break
        self._pending.discard(index)
        if pending.answer is not None:
            return pending.answer
        return CommandAnswer(
            AnswerStatus.UNKNOWN,
            "no quorum confirmed the command; send it again with the same command id",
        )

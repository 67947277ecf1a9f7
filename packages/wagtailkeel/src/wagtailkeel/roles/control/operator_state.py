"""What operators change and read: routing documents, states of data centres, any command.

A change is acknowledged once it is committed, and stored by so many instances, with or without a
vote, that the others are no majority; see ``member_majority``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from wagtailkeel_coordination import events
from wagtailkeel_protocol.messages import CommandRequest
from wagtailkeel_state.commands import CommandAnswer
from wagtailkeel_state.commands import ReplaceRouting
from wagtailkeel_state.commands import SetDataCentreState
from wagtailkeel_state.enums import AnswerStatus
from wagtailkeel_state.routing import compute_change
from wagtailkeel_state.routing import find_document_error
from wagtailkeel_transport import clock

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from wagtailkeel.roles.configuration_store import ConfigurationStore
    from wagtailkeel_coordination.events import EventSink
    from wagtailkeel_coordination.raft import RaftNode
    from wagtailkeel_state.enums import DataCentreState
    from wagtailkeel_state.routing import RoutingDocument

READ_TIMEOUT_S = 0.9
POLL_INTERVAL_S = 0.01
ROUTING_ATTEMPTS = 3


STORE_TIMEOUT_S = 0.9
"""How long an answer waits for instances without a vote to store a committed change."""
NOT_STORED_REASON = "committed, but most instances may not have it yet; send it again"


class OperatorState:
    """Changes and reads that a quorum confirms; ``propose`` returns None if not the leader."""

    def __init__(
        self,
        raft: RaftNode,
        store: ConfigurationStore,
        propose: Callable[[CommandRequest], Awaitable[CommandAnswer | None]],
        event_sink: EventSink,
    ) -> None:
        self._raft = raft
        self._store = store
        self._propose = propose
        self._emit = event_sink.emit
        self._lock = anyio.Lock()

    async def execute(self, request: CommandRequest) -> CommandAnswer | None:
        """Commit a command and wait until it may be acknowledged.

        Returns what ``propose`` does, or UNKNOWN if too few instances have stored the command in
        time; it may then be sent again with the same command id.
        """
        answer = await self._propose(request)
        if answer is None or not answer.is_accepted:
            return answer
        return await self._acknowledge(answer)

    async def replace_routing(self, document: RoutingDocument, author: str) -> CommandAnswer:
        """Commit a routing document, or confirm that its version or a newer one is committed.

        The answer is UNKNOWN if this instance is not the leader or no quorum confirms in time;
        the same document may then be sent again, to this instance or to another.
        """
        error = find_document_error(document)
        if error is not None:
            return CommandAnswer(AnswerStatus.REJECTED, error)
        async with self._lock:
            for _ in range(ROUTING_ATTEMPTS):
                current = self._store.configuration.routing
                if document.version <= current.version:
                    return await self._acknowledge_current()
                command = ReplaceRouting(change=compute_change(current, document))
                answer = await self._propose(CommandRequest(command, "", author))
                if answer is None or answer.status is AnswerStatus.UNKNOWN:
                    break
                if answer.is_accepted:
                    self._emit(events.RoutingCommitted(document.version, answer.index))
                    return await self._acknowledge(answer)
                if self._store.configuration.routing.version == current.version:
                    return answer  # No other change came in between: the document is at fault.
        return CommandAnswer(
            AnswerStatus.UNKNOWN, "not the leader, or no quorum confirmed the document in time"
        )

    async def read_routing(self) -> RoutingDocument | None:
        """Return the newest document, or None if no quorum confirms that it is the newest."""
        if not await self._confirm_read():
            return None
        return self._store.configuration.routing

    async def set_data_centre_state(
        self, name: str, state: DataCentreState, author: str
    ) -> CommandAnswer:
        """Set the state of a data centre, or confirm that it is set already.

        The last data centre in service may be taken out too. UNKNOWN is returned for the same
        reasons as by ``replace_routing``.
        """
        async with self._lock:
            if not await self._confirm_read():
                return CommandAnswer(
                    AnswerStatus.UNKNOWN,
                    "not the leader, or no quorum confirmed the current state in time",
                )
            data_centre = self._store.configuration.data_centres_by_name.get(name)
            if data_centre is not None and data_centre.state is state:
                return await self._acknowledge_current()
            command = SetDataCentreState(name=name, state=state, may_be_last=True)
            answer = await self.execute(CommandRequest(command, "", author))
        return answer or CommandAnswer(AnswerStatus.UNKNOWN, "this instance is not the leader")

    async def _confirm_read(self) -> bool:
        """Return whether a quorum confirms within READ_TIMEOUT_S that this instance still leads."""
        requested_at = clock.seconds()

        def is_confirmed() -> bool:
            return self._raft.is_read_confirmed(requested_at, clock.seconds())

        return await self._wait_as_leader(is_confirmed, READ_TIMEOUT_S)

    async def _acknowledge_current(self) -> CommandAnswer:
        """Acknowledge what is in force, which this instance may have committed a moment ago."""
        return await self._acknowledge(
            CommandAnswer(AnswerStatus.ACCEPTED, index=self._store.version)
        )

    async def _acknowledge(self, answer: CommandAnswer) -> CommandAnswer:
        """Return the answer once enough instances have stored its entry, or UNKNOWN."""
        if await self._wait_as_leader(
            lambda: self._raft.is_stored_by_most(answer.index), STORE_TIMEOUT_S
        ):
            return answer
        holders = self._raft.list_holders(answer.index)
        self._emit(
            events.AcknowledgementWithheld(answer.index, holders, sorted(self._raft.member_ids))
        )
        return CommandAnswer(AnswerStatus.UNKNOWN, NOT_STORED_REASON)

    async def _wait_as_leader(self, is_done: Callable[[], bool], timeout_s: float) -> bool:
        """Return whether a condition comes true in time, while this instance leads."""
        deadline = clock.seconds() + timeout_s
        while self._raft.is_leader:
            if is_done():
                return True
            if clock.seconds() > deadline:
                return False
            await anyio.sleep(POLL_INTERVAL_S)
        return False

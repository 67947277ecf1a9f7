"""State that operators replace as a whole: routing documents, and data centres out or back."""

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
READ_POLL_S = 0.01
ROUTING_ATTEMPTS = 3


class OperatorState:
    """Changes and reads that a quorum confirms; ``propose`` returns None away from the leader."""

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

    async def replace_routing(self, document: RoutingDocument, author: str) -> CommandAnswer:
        """Put a document in force, or confirm that a newer one is.

        The answer is UNKNOWN where this instance does not lead or no quorum confirms in time; the
        same document may then be sent again, here or elsewhere.
        """
        fault = find_document_error(document)
        if fault is not None:
            return CommandAnswer(AnswerStatus.REJECTED, fault)
        async with self._lock:
            for _ in range(ROUTING_ATTEMPTS):
                known = self._store.configuration.routing
                if document.version <= known.version:
                    return CommandAnswer(AnswerStatus.ACCEPTED, index=self._store.version)
                command = ReplaceRouting(change=compute_change(known, document))
                answer = await self._propose(CommandRequest(command, "", author))
                if answer is None or answer.status is AnswerStatus.UNKNOWN:
                    break
                if answer.is_accepted:
                    self._emit(events.RoutingCommitted(document.version, answer.index))
                    return answer
        return CommandAnswer(AnswerStatus.UNKNOWN, "no quorum confirmed the document in time")

    async def read_routing(self) -> RoutingDocument | None:
        """Return the newest document, or None where a quorum does not confirm that it is."""
        if not await self._confirm_read():
            return None
        return self._store.configuration.routing

    async def set_data_centre_state(
        self, name: str, state: DataCentreState, author: str
    ) -> CommandAnswer:
        """Take a data centre out or back; one that is in the state already is confirmed."""
        async with self._lock:
            if not await self._confirm_read():
                return CommandAnswer(AnswerStatus.UNKNOWN, "no quorum confirmed the change in time")
            found = self._store.configuration.data_centres_by_name.get(name)
            if found is not None and found.state is state:
                return CommandAnswer(AnswerStatus.ACCEPTED, index=self._store.version)
            command = SetDataCentreState(name=name, state=state, may_be_last=True)
            answer = await self._propose(CommandRequest(command, "", author))
        return answer or CommandAnswer(AnswerStatus.UNKNOWN, "this instance does not lead")

    async def _confirm_read(self) -> bool:
        asked_at = clock.seconds()
        while self._raft.is_leader:
            now = clock.seconds()
            if self._raft.is_read_confirmed(asked_at, now):
                return True
            if now - asked_at > READ_TIMEOUT_S:
                return False
            await anyio.sleep(READ_POLL_S)
        return False

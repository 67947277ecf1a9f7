"""State of one instance of consensus, and its disk.

A voter is an instance id together with the identity of its data folder: an instance that lost its
folder has another identity and is no voter until a log entry adds that identity to the voters.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from wagtailkeel_coordination.raft.quorum import majority_of
from wagtailkeel_coordination.raft.raft_log import VoterChange
from wagtailkeel_coordination.raft.role import RaftRole
from wagtailkeel_coordination.raft.storage import StorageFaultError
from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.commands import SetControlMembers
from wagtailkeel_state.persistent_state import RETAINED_ENTRIES
from wagtailkeel_state.persistent_state import Snapshot
from wagtailkeel_state.persistent_state import Vote

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_coordination.raft.raft_log import RaftLog
    from wagtailkeel_coordination.raft.storage import RaftStorage
    from wagtailkeel_state.commands import CommandAnswer
    from wagtailkeel_state.configuration import Configuration

SNAPSHOT_INTERVAL_ENTRIES = 1_000
STORAGE_RETRY_S = 0.5


class UnconfirmedChange(NamedTuple):
    """A change of voters that may not be committed: its index, and the voters before it."""

    log_index: int
    previous_identities_by_id: dict[str, str]


class RaftState:
    """Role, term, log, voters and committed configuration of one instance.

    What is to be durable is stored before it changes here. If the disk fails, nothing changes and
    the instance steps down.
    """

    def __init__(
        self,
        instance_id: str,
        identity: str,
        vote: Vote,
        log: RaftLog,
        configuration: Configuration,
        storage: RaftStorage,
        apply: Callable[[LogEntry], CommandAnswer],
        replace_configuration: Callable[[Configuration], None],
    ) -> None:
        self.instance_id = instance_id
        self.identity = identity
        self.role = RaftRole.FOLLOWER
        self.leader_id = ""
        self.term = vote.term
        self.voted_for = vote.voted_for
        self.log = log
        self.commit_index = configuration.index
        self.configuration = configuration
        self.has_storage_failed = False
        self._storage = storage
        self._retry_storage_at = float("inf")
        self._apply = apply
        self._replace_configuration = replace_configuration
        self._members = self._find_members()

    # Members

    @property
    def voters_by_id(self) -> dict[str, str]:
        """Identities of the voters by instance id, as of the newest entry in the log."""
        return self._members.identities_by_id

    @property
    def learner_ids(self) -> list[str]:
        """Instances without a vote that may run, as of the newest entry in the log."""
        return self._members.learner_ids

    @property
    def member_ids(self) -> set[str]:
        """All instances that may run, with or without a vote, as far as the log tells."""
        return {*self.voters_by_id, *self.learner_ids}

    @property
    def is_voter(self) -> bool:
        """Return whether the identity of this data folder is a voter."""
        return self.voters_by_id.get(self.instance_id) == self.identity

    def has_committed_vote(self, instance_id: str, identity: str) -> bool:
        """Return whether an identity is a voter as of the newest committed entry."""
        return self.configuration.control_identities_by_id.get(instance_id) == identity

    @property
    def is_leader(self) -> bool:
        """Return whether this instance is the leader of its term."""
        return self.role is RaftRole.LEADER

    @property
    def has_committed_in_term(self) -> bool:
        """Return whether the newest committed entry is of the current term."""
        return self.log.term_at(self.commit_index) == self.term

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return majority_of(len(self.voters_by_id))

    @property
    def is_member_change_pending(self) -> bool:
        """Return whether a change of members is in the log but not committed."""
        return self.log.find_members(after=self.commit_index) is not None

    @property
    def can_change_voters(self) -> bool:
        """Return whether this leader may propose a change of voters.

        It must have committed an entry of its own term: until then, a change that an earlier leader
        made may still be committed, by a quorum that need not share a voter with the next one.
        Source: Ongaro's note "bug in single-server membership changes" (raft-dev, 2015).
        """
        return self.is_leader and self.has_committed_in_term and not self.is_member_change_pending

    def find_unconfirmed_change(self) -> UnconfirmedChange | None:
        """Return the newest change of voters, unless this instance knows that it is committed.

        It knows so once the entry is applied, or if the log has the entry twice: a leader repeats
        a change as soon as it is committed.
        """
        changes = self.log.find_voter_changes(after=self.commit_index)
        if not changes:
            return None
        applied = VoterChange(self.commit_index, self.configuration.control_identities_by_id)
        previous, newest = [applied, *changes][-2:]
        if previous.identities_by_id == newest.identities_by_id:
            return None
        return UnconfirmedChange(newest.log_index, dict(previous.identities_by_id))

    def _find_members(self) -> SetControlMembers:
        config = self.configuration
        return self.log.find_members(after=config.index) or SetControlMembers(
            identities_by_id=dict(config.control_identities_by_id),
            learner_ids=list(config.control_learner_ids),
        )

    # Vote and log

    def form(self, identities_by_id: dict[str, str]) -> None:
        """Append the first entry of a new cluster, which is the same on every initial voter."""
        command = SetControlMembers(identities_by_id=identities_by_id)
        self.append([LogEntry(1, 0, command)])

    def save_vote(self, term: int, voted_for: str) -> bool:
        """Save a term and a vote durably; return False if the disk fails."""
        try:
            self._storage.save_vote(Vote(term, voted_for))
        except StorageFaultError:
            self._on_storage_failure()
            return False
        self.term, self.voted_for = term, voted_for
        return True

    def append(self, entries: list[LogEntry]) -> bool:
        """Append entries to the log on disk, then in memory; return whether this succeeded.

        If the disk fails, nothing is added in memory and the node steps down. The voters are those
        of the newest entry that sets them, committed or not.
        """
        try:
            self._storage.append(entries)
        except StorageFaultError:
            self._on_storage_failure()
            return False
        self.log.append(entries)
        self._members = self._find_members()
        return True

    def truncate_from(self, index: int) -> bool:
        """Remove the entry at ``index`` and all after it; return False if the disk fails."""
        if index <= self.commit_index:
            raise AssertionError(f"entry {index} is committed and can't be removed")
        try:
            self._storage.truncate_from(index)
        except StorageFaultError:
            self._on_storage_failure()
            return False
        self.log.truncate_from(index)
        self._members = self._find_members()
        return True

    def install_snapshot(self, configuration: Configuration) -> bool:
        """Replace log and configuration by a leader's snapshot; return False if the disk fails."""
        try:
            # The snapshot is saved first, so that acknowledged entries stay durable throughout.
            self._storage.save_snapshot(Snapshot(configuration))
            self._storage.truncate_from(self.log.base_index + 1)
        except StorageFaultError:
            self._on_storage_failure()
            return False
        self.log.reset(configuration.index, configuration.term)
        self.commit_index = configuration.index
        self.configuration = configuration
        self._members = self._find_members()
        self._replace_configuration(configuration)
        return True

    # Commit

    def commit_to(self, index: int) -> None:
        """Apply the entries up to ``index``, which are committed."""
        while self.commit_index < index:
            self.commit_index += 1
            self._apply(self.log.entry_at(self.commit_index))
        self._compact()

    def _compact(self) -> None:
        if self.commit_index - self.log.base_index < SNAPSHOT_INTERVAL_ENTRIES + RETAINED_ENTRIES:
            return
        try:
            self._storage.save_snapshot(Snapshot(self.configuration))
        except StorageFaultError:
            self._on_storage_failure()
            return
        self.log.compact(self.commit_index - RETAINED_ENTRIES)

    # Disk failures

    def _on_storage_failure(self) -> None:
        """Step down for now: an instance whose disk does not sync is of no use as a voter."""
        self.has_storage_failed = True
        self._retry_storage_at = float("-inf")  # The next retry sets the time.
        self.role = RaftRole.FOLLOWER
        self.leader_id = ""

    def retry_storage(self, now: float) -> bool:
        """Retry the disk after STORAGE_RETRY_S, in case it was full; return whether it works.

        Entries whose write failed are not in the in-memory log; the next write replaces them.
        """
        if self._retry_storage_at == float("-inf"):
            self._retry_storage_at = now + STORAGE_RETRY_S
        if now < self._retry_storage_at:
            return False
        self.has_storage_failed = False
        return self.save_vote(self.term, self.voted_for)

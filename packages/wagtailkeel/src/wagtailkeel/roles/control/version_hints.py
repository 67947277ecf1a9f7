"""Notifies nodes of new versions of the configuration, with the entries that led to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_protocol.version_hint import encode_version_hint
from wagtailkeel_transport import clock

if TYPE_CHECKING:
    from wagtailkeel.roles.configuration_store import ConfigurationStore
    from wagtailkeel.roles.control_datagrams import ControlDatagrams
    from wagtailkeel_coordination.raft import RaftNode

VERSION_HINT_INTERVAL_S = 0.1


class VersionHints:
    """Sends the leader's hints to all members; one for each version, at most every 0.1 s."""

    def __init__(
        self,
        instance_id: str,
        raft: RaftNode,
        store: ConfigurationStore,
        datagrams: ControlDatagrams,
    ) -> None:
        self._instance_id = instance_id
        self._raft = raft
        self._store = store
        self._datagrams = datagrams
        self._sent_version = 0
        self._sent_at = float("-inf")

    def send_if_due(self) -> None:
        """Send a hint to each member if this instance leads and the version has changed."""
        version, now = self._store.version, clock.seconds()
        if version == self._sent_version or not self._raft.is_leader:
            return
        if now - self._sent_at < VERSION_HINT_INTERVAL_S:
            return
        entries = self._store.entries_after(self._sent_version)
        self._sent_version, self._sent_at = version, now
        datagram = encode_version_hint(self._instance_id, version, entries)
        config = self._store.configuration
        for node_id in [*config.servers_by_id, *config.balancers_by_id]:
            self._datagrams.send(node_id, datagram)

"""Pulls newer versions of the configuration from control instances and peers."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import anyio

from wagtailkeel_protocol.messages import PullReply
from wagtailkeel_protocol.messages import PullRequest
from wagtailkeel_protocol.snapshot_codec import decompress_entries
from wagtailkeel_transport import RpcError
from wagtailkeel_transport.methods import PULL

if TYPE_CHECKING:
    from wagtailkeel.roles.address_book import AddressBook
    from wagtailkeel.roles.configuration_store import ConfigurationStore
    from wagtailkeel.roles.control_caller import ControlCaller
    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_protocol.messages import VersionHint

PULL_TIMEOUT_S = 2.0
PULL_RETRY_INTERVAL_S = 0.2


class VersionPulls:
    """Records which peers have a newer version than this node, and pulls it from them."""

    def __init__(
        self,
        address_book: AddressBook,
        store: ConfigurationStore,
        caller: ControlCaller,
        counters: Counters,
    ) -> None:
        self._address_book = address_book
        self._store = store
        self._caller = caller
        self._counters = counters
        self._random = Random()
        self._versions_by_peer_id: dict[str, int] = {}
        self._newer_version_known = anyio.Event()

    @property
    def has_newer_version(self) -> bool:
        """Return whether a version newer than this node's is known to exist."""
        return any(version > self._store.version for version in self._versions_by_peer_id.values())

    def on_version_hint(self, message: VersionHint) -> None:
        """Apply the entries of a hint, and pull those that this node lacks."""
        if message.compressed_entries and message.version > self._store.version:
            entries = decompress_entries(message.compressed_entries)
            if entries is None:
                self._counters["hints_malformed"] += 1
            elif self._store.apply_pull(PullReply(entries=entries)):
                self._counters["hints_applied"] += 1
        self.record_peer_version(message.sender, message.version)

    def record_peer_version(self, peer_id: str, version: int) -> None:
        """Record a peer's configuration version; pull it if it is newer than this node's."""
        if version > self._store.version:
            self._versions_by_peer_id[peer_id] = version
            self._newer_version_known.set()

    async def run(self) -> None:
        """Pull each newer version that becomes known, until cancelled."""
        while True:
            await self._newer_version_known.wait()
            self._newer_version_known = anyio.Event()
            for peer_id, version in list(self._versions_by_peer_id.items()):
                if version <= self._store.version or not await self._pull_sparing_leader(peer_id):
                    del self._versions_by_peer_id[peer_id]
            if self._versions_by_peer_id:
                # The delay combines changes in quick succession into one pull.
                await anyio.sleep(PULL_RETRY_INTERVAL_S)
                self._newer_version_known.set()

    async def _pull_sparing_leader(self, peer_id: str) -> bool:
        """Pull from a random control instance, to spare the leader; if that fails, from the peer.

        A peer that is not a control instance is pulled from directly.
        """
        control_ids = self._address_book.control_ids
        if peer_id in control_ids:
            control_id = self._random.choice(control_ids)
            if control_id != peer_id and await self.pull_from(control_id):
                return True
        return await self.pull_from(peer_id)

    async def pull_from(self, peer_id: str) -> bool:
        """Pull once from a peer; return whether the version increased."""
        try:
            request = PullRequest(self._store.version, accepts_compressed=True)
            reply = await self._caller.call(peer_id, PULL, request, PULL_TIMEOUT_S)
        except RpcError:
            self._counters["pull_failures"] += 1
            return False
        self._counters["pulls"] += 1
        return self._store.apply_pull(reply)

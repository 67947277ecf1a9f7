"""Shares of the buckets, planned from the measured capacities of the servers."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from wagtailkeel_state.commands import SetShares
from wagtailkeel_state.configuration import DEFAULT_SHARE_PER_SLOT

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wagtailkeel_state.configuration import Configuration
    from wagtailkeel_state.server_member import ServerMember

SHARE_INTERVAL_S = 5.0
HYSTERESIS = 0.02
MAX_MOVED_FRACTION = 0.25


def plan_shares(
    config: Configuration, service: str, capacities_by_id: Mapping[str, int]
) -> SetShares | None:
    """Return the command that sets new shares, or None if the current ones are close enough.

    None also if no server has a measured capacity.

    A server without a measured capacity is assumed to have the median capacity per slot of the
    measured ones. Hysteresis keeps small changes of a measurement from moving buckets; the
    fraction of the buckets that one command moves is bounded.
    """
    members = config.members_of(service)
    measured = {
        m.server_id: capacities_by_id[m.server_id]
        for m in members
        if capacities_by_id.get(m.server_id, 0) > 0
    }
    if not measured:
        return None
    target_weights = _target_weights(members, measured)
    current_weights = {m.server_id: float(config.share_of(m.server_id)) for m in members}
    target_total, current_total = sum(target_weights.values()), sum(current_weights.values())
    target = {key: target_weights[key] / target_total for key in target_weights}
    current = {key: current_weights[key] / current_total for key in current_weights}
    if all(abs(target[key] - current[key]) <= HYSTERESIS * current[key] for key in target):
        return None
    moved_fraction = sum(abs(target[key] - current[key]) for key in target) / 2
    step = min(1.0, MAX_MOVED_FRACTION / moved_fraction)
    total_shares = DEFAULT_SHARE_PER_SLOT * sum(m.slots for m in members)
    shares = {
        key: max(1, round(total_shares * (current[key] + step * (target[key] - current[key]))))
        for key in target
    }
    return SetShares(service=service, shares_by_server_id=shares)


def _target_weights(members: list[ServerMember], measured: Mapping[str, int]) -> dict[str, float]:
    slots_by_id = {m.server_id: m.slots for m in members}
    per_slot = median(measured[key] / slots_by_id[key] for key in measured)
    return {m.server_id: float(measured.get(m.server_id, per_slot * m.slots)) for m in members}

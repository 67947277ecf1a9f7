"""A data centre and its region."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.enums import DataCentreState


class DataCentre(msgspec.Struct):
    """Data centres of one region are near one another and share owner tables."""

    name: str
    region: str
    state: DataCentreState = DataCentreState.IN_SERVICE
    state_index: int = 0

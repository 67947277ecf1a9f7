"""A data centre and its region."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.enums import DataCentreState


class DataCentre(msgspec.Struct):
    """A data centre; those of one region are close to one another and share owner tables.

    ``state_index`` is the log index of the last change of its state.
    """

    name: str
    region: str
    state: DataCentreState = DataCentreState.IN_SERVICE
    state_index: int = 0

"""Storage in the data folder of a control instance; roles without a disk don't import it."""

from __future__ import annotations

from wagtailkeel_transport.storage.data_folder import DataFolder
from wagtailkeel_transport.storage.log_store import LogStore

__all__ = ["DataFolder", "LogStore"]

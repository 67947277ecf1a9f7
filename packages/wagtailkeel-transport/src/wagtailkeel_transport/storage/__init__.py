"""The data folder of a control instance; other roles have no disk and don't import this."""

from __future__ import annotations

from wagtailkeel_transport.storage.data_folder import DataFolder
from wagtailkeel_transport.storage.log_store import LogStore

__all__ = ["DataFolder", "LogStore"]

"""Events on a process and its event log."""

from __future__ import annotations

from wagtailkeel_coordination.events.event import Event


class ProcessStarted(Event, tag="process_started"):
    """The roles of this process have started."""

    roles: list[str]


class ProcessStopping(Event, tag="process_stopping"):
    """The process received a request to stop."""

    signal: str


class SettingsReloaded(Event, tag="settings_reloaded"):
    """The settings were reloaded."""

    seeds: list[str]


class EventsLeftOut(Event, tag="events_left_out"):
    """Numbers of events that were left out since the last event of this type, by event name."""

    counts: dict[str, int]

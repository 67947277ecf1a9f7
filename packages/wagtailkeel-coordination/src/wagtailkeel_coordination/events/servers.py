"""Events on the backend server beside an agent."""

from __future__ import annotations

from wagtailkeel_coordination.events.event import Event


class ServerChanged(Event, tag="server_changed"):
    """A status report of the local backend server changed its state as seen by this agent.

    The first report after a start of the agent is such a change.
    """

    server: str
    sequence: int
    started_at_ms: int
    accepts: bool
    is_draining: bool
    cold_for_s: float


class ReportDropped(Event, tag="report_dropped"):
    """A status report of the local backend server was not used.

    ``outcome`` is "outdated" if it is late, but holds, and "refused" if it does not hold or may be
    from a start of the server that has ended. ``known_sequence`` and ``known_started_at_ms`` are
    those of the last report that was used.
    """

    server: str
    sequence: int
    started_at_ms: int
    is_draining: bool
    known_server: str
    known_sequence: int
    known_started_at_ms: int
    outcome: str


class LeaveNoticeDropped(Event, tag="leave_notice_dropped"):
    """A start of the local backend server that is not known to run says that it has ended."""

    server: str
    started_at_ms: int


class DrainUnrecorded(Event, tag="drain_unrecorded"):
    """The local backend server drains, which is not acknowledged: control has not recorded it."""

    server: str
    sequence: int
    started_at_ms: int


class ServerOutlier(Event, tag="server_outlier"):
    """The local backend server fails too many requests and gets no openings for ``avoided_s``.

    The numbers of requests that it reset, left unanswered and answered, and of openings that it
    left unanswered, since its failures began.
    """

    service: str
    requests_reset: int
    requests_unanswered: int
    openings_unanswered: int
    requests_answered: int
    avoided_s: float


class ServerOutlierEnded(Event, tag="server_outlier_ended"):
    """The local backend server is no longer an outlier, after ``lasted_s``.

    ``reason`` is ``answers`` after a trial, ``late_answers`` if the server was only slow, or
    ``restart``.
    """

    service: str
    reason: str
    failed_trials: int
    lasted_s: float


class ServerAbsent(Event, tag="server_absent"):
    """No backend server runs beside this agent: its port refuses connections."""

"""Events on open flows: searches for their servers, and resets."""

from __future__ import annotations

from wagtailkeel_coordination.events.event import Event


class SearchStarted(Event, tag="search_started"):
    """A directory owner does not know which server has a flow and queries the agents."""

    flow: str
    reason: str
    asked: int


class SearchEnded(Event, tag="search_ended"):
    """A search has ended; ``server_agent`` is empty if no agent was found to have the flow.

    ``silent`` is the number of agents that did not answer, and ``silent_hosts`` are the first few.
    """

    flow: str
    outcome: str
    server_agent: str
    silent: int
    silent_hosts: list[str] = []


class FlowLocated(Event, tag="flow_located"):
    """The agent that may have owned a flow before told its new owner which server has the flow."""

    flow: str
    server_agent: str


class FlowAdopted(Event, tag="flow_adopted"):
    """A server sent a packet of a flow that its restarted agent had no record of."""

    flow: str


class FlowReturned(Event, tag="flow_returned"):
    """A server returned a packet of a flow that it does not hold."""

    flow: str


class FlowReset(Event, tag="flow_reset"):
    """The caller was sent a reset, since no server has its flow."""

    flow: str
    reason: str

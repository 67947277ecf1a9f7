"""One agent beside its backend server in virtual time, judged by what the server sees."""

from __future__ import annotations

from wagtailkeel_bench.agent_simulation.agent_history import AgentHistory
from wagtailkeel_bench.agent_simulation.agent_history import draw_agent_history
from wagtailkeel_bench.agent_simulation.player import play_agent_history
from wagtailkeel_bench.agent_simulation.player import shrink_agent_history
from wagtailkeel_bench.agent_simulation.server_checks import ServerCheckError

__all__ = [
    "AgentHistory",
    "ServerCheckError",
    "draw_agent_history",
    "play_agent_history",
    "shrink_agent_history",
]

"""Randomized soak of the handshake roles, in which each reset is judged by what servers hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_state.lazy_exports import lazy_exports

if TYPE_CHECKING:
    from wagtailkeel_bench.handshake_soak.runner import HandshakeSoakResult
    from wagtailkeel_bench.handshake_soak.runner import run_handshake_soak
    from wagtailkeel_bench.handshake_soak.schedule import HandshakeSchedule
    from wagtailkeel_bench.handshake_soak.schedule import draw_handshake_schedule

__all__ = [
    "HandshakeSchedule",
    "HandshakeSoakResult",
    "draw_handshake_schedule",
    "run_handshake_soak",
]

# The processes of the site import modules of this package too, but not all.
__getattr__ = lazy_exports(
    __name__,
    {
        "HandshakeSchedule": "schedule",
        "HandshakeSoakResult": "runner",
        "draw_handshake_schedule": "schedule",
        "run_handshake_soak": "runner",
    },
)

"""Deferral of SIGHUP, which ends a process that has not set its handler yet.

A daemon blocks the signal as the first thing it does. The kernel keeps a blocked signal pending, so
one that arrives during the start is handled as soon as the daemon is ready for it.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType

SignalHandler = Callable[[int, FrameType | None], None]


def defer_hangups() -> None:
    """Keep SIGHUP pending instead of letting it end the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def accept_hangups(handler: SignalHandler) -> None:
    """Set the handler of SIGHUP, and let a pending one reach it."""
    signal.signal(signal.SIGHUP, handler)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

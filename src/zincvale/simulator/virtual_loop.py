"""An asyncio event loop in virtual time, on which the daemons' code runs unchanged."""

from __future__ import annotations

import asyncio
from typing import Any


class VirtualLoop(asyncio.BaseEventLoop):
    """Runs callbacks and timers in virtual time; files and sockets are not supported."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 0.0
        self._selector = self

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._now_s

    def select(self, timeout: float | None) -> list[Any]:
        """Advance the time to the next timer; stop the loop if there is none."""
        if timeout is None:
            self.stop()
        else:
            self._now_s += max(0.0, timeout)
        return []

    def run_until(self, end_s: float) -> None:
        """Run the callbacks and timers that are due before `end_s`."""
        self.call_at(end_s, self.stop)
        asyncio.set_event_loop(self)
        try:
            self.run_forever()
        finally:
            asyncio.set_event_loop(None)

    def _process_events(self, event_list: Any) -> None:
        """Do nothing: the loop has no events other than timers."""

    def _write_to_self(self) -> None:
        """Do nothing: the loop never blocks, so it does not have to be woken up."""

"""An event loop whose time jumps to the next timer: code of the daemons runs on it unchanged."""

from __future__ import annotations

import asyncio
from typing import Any


class VirtualLoop(asyncio.BaseEventLoop):
    """Runs callbacks and timers in virtual time; it has no files and no sockets."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 0.0
        self._selector = self

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._now_s

    def select(self, timeout: float | None) -> list[Any]:
        """Jump to the next timer; without one the loop stands still and is stopped."""
        if timeout is None:
            self.stop()
        else:
            self._now_s += max(0.0, timeout)
        return []

    def run_until(self, end_s: float) -> None:
        """Run what is due before `end_s`."""
        self.call_at(end_s, self.stop)
        asyncio.set_event_loop(self)
        try:
            self.run_forever()
        finally:
            asyncio.set_event_loop(None)

    def _process_events(self, event_list: Any) -> None:
        """There are no events beside timers."""

    def _write_to_self(self) -> None:
        """Nothing sleeps that had to be woken."""

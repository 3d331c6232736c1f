"""Tells whether a request that is read now may have arrived while the process did not run.

A process that was frozen, waited for its disk or got no processor time reads late what arrived
meanwhile: first the connections that are waiting, a few turns of the event loop later what they
sent. A caller that gets no response has gone on to another process by then.
"""

from __future__ import annotations

from collections.abc import Callable

PAUSE_GAP_S = 0.4
"""Longest time between two ticks that does not count as a pause. Callers wait for a second."""
SETTLE_TURNS = 20
"""Turns of the event loop after a pause in which requests that arrived during it are still read."""
SETTLE_S = 0.1
"""Least time after a pause that counts as well."""


class PauseDetector:
    """Watches the ticks of an event loop.

    Parameters
    ----------
    clock : the suspend-aware clock.
    call_next_turn : calls a function in the next turn of the event loop.
    """

    def __init__(
        self, clock: Callable[[], float], call_next_turn: Callable[[Callable[[], None]], None]
    ) -> None:
        self._clock = clock
        self._call_next_turn = call_next_turn
        self._last_tick_at = clock()
        self._settled_at = float("-inf")
        self._turns_left = 0

    def on_tick(self) -> None:
        """Notice a pause since the last tick."""
        now = self._clock()
        gap_s = now - self._last_tick_at
        self._last_tick_at = now
        if gap_s <= PAUSE_GAP_S:
            return
        is_counting = self._turns_left > 0
        self._turns_left = SETTLE_TURNS
        self._settled_at = now + SETTLE_S
        if not is_counting:
            self._call_next_turn(self._count_turn)

    def may_read_delayed_requests(self) -> bool:
        """Whether a request that is read now may have arrived during a pause."""
        now = self._clock()
        is_paused = now - self._last_tick_at > PAUSE_GAP_S
        return is_paused or self._turns_left > 0 or now < self._settled_at

    def _count_turn(self) -> None:
        self._turns_left -= 1
        if self._turns_left:
            self._call_next_turn(self._count_turn)

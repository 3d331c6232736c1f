"""Faults of one stream: a cut, a pause, an omitted or a repeated token. Performs no I/O."""

from __future__ import annotations

import attrs

from zincvale.standins.back_end import BackEnd
from zincvale.standins.behaviours import Behaviour, BehaviourKind


@attrs.frozen
class StreamMisbehaviour:
    """The behaviours that apply to one stream; tokens are counted from 1."""

    cut: Behaviour | None = None
    pause: Behaviour | None = None
    skip: Behaviour | None = None
    repeat: Behaviour | None = None

    @classmethod
    def drawn_from(cls, back_end: BackEnd) -> StreamMisbehaviour:
        """Return the active behaviours that apply to a stream that starts now."""
        return cls(
            cut=back_end.draw(BehaviourKind.CUT_STREAM),
            pause=back_end.draw(BehaviourKind.PAUSE_STREAM),
            skip=back_end.draw(BehaviourKind.SKIP_CHUNK),
            repeat=back_end.draw(BehaviourKind.REPEAT_CHUNK),
        )

    def cuts_after(self, token: int) -> bool:
        """Return whether the connection is closed after `token`."""
        return self.cut is not None and token >= self.cut.after_tokens

    def pause_before(self, token: int) -> float:
        """Return how many seconds the server pauses before `token`."""
        if self.pause is None or token != self.pause.after_tokens + 1:
            return 0.0
        return self.pause.delay_s

    def send_count(self, token: int) -> int:
        """Return how many times `token` is sent: 0, 1 or 2."""
        if self.skip is not None and token == self.skip.after_tokens + 1:
            return 0
        if self.repeat is not None and token == self.repeat.after_tokens + 1:
            return 2
        return 1

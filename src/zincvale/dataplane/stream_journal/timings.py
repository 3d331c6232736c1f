"""Times and bounds of the stream journal, in seconds unless the name says otherwise."""

from __future__ import annotations

import attrs


@attrs.frozen
class JournalTimings:
    """Defaults fit eleven machines in one region.

    Attributes
    ----------
    batch_s : shortest time between the starts of two calls to one peer.
    call_timeout_s : of one call; a peer that does not answer is replaced.
    append_timeout_s : an append is answered "not kept" after this time.
    avoid_s : a peer that failed is not chosen again for this time.
    copy_s : how often streams without a live entry node are looked for, to be copied.
    read_s : a take-over waits for answers so long once it has found enough.
    read_max_s : a take-over waits for answers so long in all, in each of its two rounds.
    search_s : a stream that is not found while some node does not answer is looked for so long.
    search_pause_s : pause before it is looked for again.
    idle_ttl_s : a stream is forgotten this long after its last write or fence.
    ended_ttl_s : the same, for one that ended whole.
    max_candidates : nodes that a take-over asks at once.
    max_bytes : pieces held for others; what goes beyond is refused.
    max_own_bytes : pieces remembered of streams this node entered and that are over.
    max_batch_bytes : pieces in one call.
    """

    batch_s: float = 0.003
    call_timeout_s: float = 0.25
    append_timeout_s: float = 0.8
    avoid_s: float = 1.0
    copy_s: float = 0.5
    read_s: float = 0.1
    read_max_s: float = 0.5
    search_s: float = 3.0
    search_pause_s: float = 0.2
    idle_ttl_s: float = 120.0
    ended_ttl_s: float = 60.0
    max_candidates: int = 16
    max_bytes: int = 64 * 1024 * 1024
    max_own_bytes: int = 32 * 1024 * 1024
    max_batch_bytes: int = 256 * 1024

"""Times and bounds of the stream journal, in seconds unless the name says otherwise."""

from __future__ import annotations

import attrs


@attrs.frozen
class JournalTimings:
    """Defaults fit eleven machines in one region.

    Attributes
    ----------
    min_batch_interval_s : shortest time between the starts of two calls to one peer.
    call_timeout_s : of one call; a peer that does not respond is replaced.
    append_timeout_s : an append is `UNREPLICATED` after this time.
    avoid_failed_peer_s : a peer that failed is not chosen again for this time.
    copy_interval_s : how often streams without a live ingress node are looked for, to be copied.
    read_timeout_s : a failover waits for responses so long once it has found enough.
    max_read_timeout_s : a failover waits for responses so long in all, in each of its two rounds.
    search_timeout_s : a stream that is not found is looked for so long while some node does not
        respond.
    search_pause_s : pause before it is looked for again.
    idle_ttl_s : a stream is forgotten this long after its last write or fence.
    ended_ttl_s : the same, for one that ended complete.
    max_candidates : nodes that a failover calls at once.
    max_bytes : chunks stored for others; what goes beyond is refused.
    max_own_bytes : chunks remembered of this node's own streams that are over.
    max_batch_bytes : chunks in one call.
    """

    min_batch_interval_s: float = 0.003
    call_timeout_s: float = 0.25
    append_timeout_s: float = 0.8
    avoid_failed_peer_s: float = 1.0
    copy_interval_s: float = 0.5
    read_timeout_s: float = 0.1
    max_read_timeout_s: float = 0.5
    search_timeout_s: float = 3.0
    search_pause_s: float = 0.2
    idle_ttl_s: float = 120.0
    ended_ttl_s: float = 60.0
    max_candidates: int = 16
    max_bytes: int = 64 * 1024 * 1024
    max_own_bytes: int = 32 * 1024 * 1024
    max_batch_bytes: int = 256 * 1024

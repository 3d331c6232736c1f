"""Times and limits of the stream journal, in seconds unless the name says otherwise."""

from __future__ import annotations

import attrs


@attrs.frozen
class JournalTimings:
    """Times and limits of the journal; the defaults suit eleven machines in one region.

    Attributes
    ----------
    min_batch_interval_s : shortest time between the starts of two calls to one peer.
    call_timeout_s : timeout of one call that stores chunks; a peer that does not respond in time is
        replaced.
    append_timeout_s : time after which an append that is not stored is `UNREPLICATED`.
    avoid_failed_peer_s : how long a peer that failed or is full is not chosen again.
    copy_interval_s : interval between searches for streams without a live ingress node, which are
        copied to a second node.
    read_timeout_s : time after which a round of a failover no longer waits for replies if it has
        found a copy that is long enough.
    max_read_timeout_s : timeout of each of the two rounds of a failover.
    search_timeout_s : how long a failover repeats its rounds while no copy is long enough and some
        node has not responded; also how long a resume waits until the live nodes are known.
    search_pause_s : pause before a failover repeats its rounds.
    idle_ttl_s : time to live of a stream after its last write or fence.
    ended_ttl_s : the same for a stream that is complete.
    max_candidates : limit of the nodes that a failover calls, besides the node that runs it.
    max_bytes : limit of the memory of chunks stored for other nodes; writes beyond it are refused.
    max_own_bytes : limit of the memory of this node's own streams that are over.
    max_batch_bytes : size of the chunks at which one call takes no more writes.
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

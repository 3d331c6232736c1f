"""Times and limits of the claim protocol, in seconds unless the name says otherwise.

The proofs in the design note need: `dispatch_window_s` < `settle_s` < `quarantine_s` < `ttl_s`.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class ClaimTimings:
    """Times and limits of claims; the defaults suit eleven machines in one region.

    Attributes
    ----------
    dispatch_window_s : how long a vote permits a dispatch after it was requested.
    settle_s : delay between the start of a restarted voter and its first read from the others;
        after it, every vote of the former process is too old to count.
    quarantine_s : delay after which a voter votes again although too many of the nodes that it must
        read from are lost.
    ttl_s : time to live of a claim after it last changed or was announced.
    own_claim_ttl_s : time to live of an ingress node's own attempts; longer than `ttl_s`.
    call_timeout_s : timeout of one call to a peer.
    round_timeout_s : timeout of a round of calls, after which the replies so far are evaluated.
    retry_backoff_s, max_retry_backoff_s : first and longest pause between two rounds; it doubles
        each time, and jitter adds up to as much again.
    max_claiming_s : time after which a claim without a majority yields to a competing attempt or is
        refused.
    poll_interval_s, max_poll_interval_s : first and longest pause between two queries about a
        competing attempt.
    suspect_after_s : time without a response after which an owner's attempt may be blocked; also
        the shortest time between two rounds of blocking.
    owner_timeout_s : time without a response after which a resend stops waiting for an owner.
    announce_interval_s : interval at which an ingress node announces its running claims to their
        voters, so that they do not expire there.
    max_run_s : time after which a granted claim without an outcome is no longer announced.
    delivery_timeout_s : how long an outcome or release is resent to voters that did not confirm it.
    pull_retry_s : pause before a page is requested again from a source that did not respond.
    pull_behind_retry_s : the same for a source that responded but did not know the view yet.
    max_rows : limit of the claims that a node votes on, and separately of its own; beyond it, new
        claims are refused and none is dropped. With responses of 200 bytes a row takes about 1 KiB.
    max_body_bytes : largest recorded response that is stored with its body.
    max_total_body_bytes : limit of the sum of all stored bodies of a table; a response that would
        exceed it is stored without its body.
    """

    dispatch_window_s: float = 2.0
    settle_s: float = 2.5
    quarantine_s: float = 8.0
    ttl_s: float = 300.0
    own_claim_ttl_s: float = 360.0
    call_timeout_s: float = 0.5
    round_timeout_s: float = 0.3
    retry_backoff_s: float = 0.01
    max_retry_backoff_s: float = 0.16
    max_claiming_s: float = 1.5
    poll_interval_s: float = 0.02
    max_poll_interval_s: float = 0.25
    suspect_after_s: float = 0.5
    owner_timeout_s: float = 3.0
    announce_interval_s: float = 30.0
    max_run_s: float = 3600.0
    delivery_timeout_s: float = 3.0
    pull_retry_s: float = 0.2
    pull_behind_retry_s: float = 0.05
    max_rows: int = 50_000
    max_body_bytes: int = 64 * 1024
    max_total_body_bytes: int = 64 * 1024 * 1024
